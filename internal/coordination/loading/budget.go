package loading

import "time"

// maxAdvance is the number of loads by which an urgent load may overdraw the budget.
const maxAdvance = 1.0

// Budget is a token bucket that limits the loads of one engine by rate and by number
// in flight. It admits every load until limits are set. It is not safe for concurrent
// use.
type Budget struct {
	limited    bool
	rate       float64 // loads a second; enforced only if burst is not 0
	burst      float64 // loads that may start at once after a pause
	inFlight   int     // loads that may be in flight at once
	tokens     float64
	refilledAt time.Time
	expiry     time.Time // zero for no expiry
}

// Set replaces the limits. A burst of 0 limits only the number of loads in flight.
func (b *Budget) Set(now time.Time, rate, burst float64, inFlight int) {
	b.refill(now)
	if !b.limited {
		b.tokens = burst
	}
	b.limited = true
	b.rate, b.burst, b.inFlight = rate, burst, inFlight
}

// SetExpiry sets the time from which no load may start until a later expiry is set. A
// zero time means no expiry.
func (b *Budget) SetExpiry(until time.Time) { b.expiry = until }

// Admits reports whether a load may start while the given number of loads are in
// flight. An urgent load may overdraw the budget by maxAdvance if no load is in
// flight.
func (b *Budget) Admits(now time.Time, loading int, urgent bool) bool {
	if !b.limited {
		return true
	}
	if !b.expiry.IsZero() && !now.Before(b.expiry) {
		return false
	}
	b.refill(now)
	if urgent && loading == 0 {
		return b.burst == 0 || b.tokens >= 1-maxAdvance
	}
	return loading < b.inFlight && (b.burst == 0 || b.tokens >= 1)
}

// Consume deducts a token for a load that starts.
func (b *Budget) Consume(now time.Time) {
	b.refill(now)
	if b.burst > 0 {
		b.tokens--
	}
}

func (b *Budget) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
}

// StartDelay estimates the start delay of a load that is queued behind the given number of
// loads.
func (b *Budget) StartDelay(ahead int) time.Duration {
	if !b.limited || ahead == 0 {
		return 0
	}
	const minRate = 0.01 // loads a second
	return time.Duration(float64(ahead) / max(b.rate, minRate) * float64(time.Second))
}
