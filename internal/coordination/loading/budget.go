package loading

import "time"

// Budget limits the loads of one engine by rate and by number in flight. Without
// limits it admits every load. It is not safe for concurrent use.
type Budget struct {
	limited  bool
	rate     float64 // loads a second
	burst    float64 // loads at once after a pause; 0 leaves the rate to the grants
	inFlight int
	tokens   float64
	at       time.Time
	until    time.Time // zero for no end
}

// Set replaces the limits. With a burst, the budget keeps to the rate by itself;
// without one, only the loads in flight are limited and the rate is what may be
// expected.
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

// Admits reports whether a load may start while others are in progress.
func (b *Budget) Admits(now time.Time, loading int) bool {
	if !b.limited {
		return true
	}
	return !b.ended(now) && loading < b.inFlight && b.affords(now)
}

// AdmitsUrgent reports whether an urgent load may start: it does not wait for a
// grant when no other load is in progress.
func (b *Budget) AdmitsUrgent(now time.Time, loading int) bool {
	return b.Admits(now, loading) || loading == 0 && !b.ended(now) && b.burst == 0
}

// Take accounts for a load that starts.
func (b *Budget) Take(now time.Time) {
	b.refill(now)
	if b.burst > 0 {
		b.tokens--
	}
}

func (b *Budget) ended(now time.Time) bool { return !b.until.IsZero() && !now.Before(b.until) }

func (b *Budget) affords(now time.Time) bool {
	b.refill(now)
	return b.burst == 0 || b.tokens >= 1
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
