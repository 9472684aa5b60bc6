package loading

import "time"

// advance is the part of the budget, in loads, that an urgent load may use before
// it is earned.
const advance = 1.0

// Budget limits the loads of one engine by rate and by number in flight. Without
// limits it admits every load. It is not safe for concurrent use.
type Budget struct {
	limited  bool
	rate     float64 // loads a second; only expected, not enforced, without a burst
	burst    float64 // loads that may start at once after a pause
	inFlight int
	tokens   float64
	at       time.Time
	until    time.Time // zero for no end
}

// Set replaces the limits. With a burst of 0 only the number in flight is limited.
func (b *Budget) Set(now time.Time, rate, burst float64, inFlight int) {
	b.refill(now)
	if !b.limited {
		b.tokens = burst
	}
	b.limited = true
	b.rate, b.burst, b.inFlight = rate, burst, inFlight
}

// SetExpiry ends the limits at the given time: no load may start from then on until
// they are set anew. A zero time means no end.
func (b *Budget) SetExpiry(until time.Time) { b.until = until }

// Admits reports whether a load may start while others are in progress. The first
// load of an urgent request may start in advance of the budget, which it then
// uses up.
func (b *Budget) Admits(now time.Time, loading int, urgent bool) bool {
	if !b.limited {
		return true
	}
	if !b.until.IsZero() && !now.Before(b.until) {
		return false
	}
	b.refill(now)
	if urgent && loading == 0 {
		return b.burst == 0 || b.tokens >= 1-advance
	}
	return loading < b.inFlight && (b.burst == 0 || b.tokens >= 1)
}

// Consume accounts for a load that starts.
func (b *Budget) Consume(now time.Time) {
	b.refill(now)
	if b.burst > 0 {
		b.tokens--
	}
}

func (b *Budget) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
}

// StartDelay returns how long a load waits behind others.
func (b *Budget) StartDelay(ahead int) time.Duration {
	if !b.limited || ahead == 0 {
		return 0
	}
	const slowest = 0.01 // loads a second
	return time.Duration(float64(ahead) / max(b.rate, slowest) * float64(time.Second))
}
