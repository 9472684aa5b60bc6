package loading

import "time"

// Budget spaces the loads of one engine. Without limits it admits every load. It
// is not safe for concurrent use.
type Budget struct {
	limited  bool
	rate     float64 // loads a second
	burst    float64
	inFlight int
	tokens   float64
	at       time.Time
	until    time.Time // zero for no end
}

// Set replaces the limits.
func (b *Budget) Set(now time.Time, rate, burst float64, inFlight int) {
	b.refill(now)
	if !b.limited {
		b.tokens = burst
	}
	b.limited = true
	b.rate, b.burst, b.inFlight = rate, burst, inFlight
}

// EndAt ends the limits at the given time: no load may start from then on until
// they are set anew. A zero time means no end.
func (b *Budget) EndAt(until time.Time) { b.until = until }

// Admits reports whether a load may start while others are in progress. Reserve
// is what must be left of the budget afterwards; a negative reserve lets an
// urgent load use budget in advance.
func (b *Budget) Admits(now time.Time, loading int, reserve float64) bool {
	if !b.limited {
		return true
	}
	b.refill(now)
	if !b.until.IsZero() && !now.Before(b.until) {
		return false
	}
	return loading < b.inFlight && b.tokens-1 >= reserve
}

// Take accounts for a load that starts.
func (b *Budget) Take(now time.Time) {
	b.refill(now)
	b.tokens--
}

func (b *Budget) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
}

// Wait returns how long a load waits behind others.
func (b *Budget) Wait(ahead int) time.Duration {
	if !b.limited || ahead == 0 {
		return 0
	}
	const slowest = 0.01 // loads a second
	return time.Duration(float64(ahead) / max(b.rate, slowest) * float64(time.Second))
}
