package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays between retries. Full jitter spreads the retries of
// the daemons of a fleet over the whole delay.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand // must not be used concurrently elsewhere

	failures int
}

// Next counts a failure and returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	const maxShift = 16
	ceiling := min(b.Max, b.Min<<min(b.failures, maxShift))
	b.failures++
	return b.Min/2 + time.Duration(b.Rand.Int64N(int64(max(ceiling, 1))))
}

// Reset forgets all failures, so that the next failure counts as the first.
func (b *Backoff) Reset() { b.failures = 0 }
