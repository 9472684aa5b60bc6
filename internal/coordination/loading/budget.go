package loading

import "time"

// Budget limits the loads of one engine. Without limits it admits every load. It
// is not safe for concurrent use.
type Budget struct {
	limited  bool
	rate     float64 // loads a second to be expected
	inFlight int
}

// Set replaces the limits.
func (b *Budget) Set(rate float64, inFlight int) {
	b.limited = true
	b.rate, b.inFlight = rate, inFlight
}

// Admits reports whether a load may start while others are in progress.
func (b *Budget) Admits(loading int) bool { return !b.limited || loading < b.inFlight }

// Wait returns how long a load waits behind others.
func (b *Budget) Wait(ahead int) time.Duration {
	if !b.limited || ahead == 0 {
		return 0
	}
	const slowest = 0.01 // loads a second
	return time.Duration(float64(ahead) / max(b.rate, slowest) * float64(time.Second))
}
