package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between retries: exponential with full jitter, so that the
// retries of the daemons of a fleet spread over the whole delay.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand // must not be used elsewhere at the same time

	failures int
}

// Next returns the delay after a further failure.
func (b *Backoff) Next() time.Duration {
	const maxShift = 16
	ceiling := min(b.Max, b.Min<<min(b.failures, maxShift))
	b.failures++
	return b.Min/2 + time.Duration(b.Rand.Int64N(int64(max(ceiling, 1))))
}

// Reset makes the next delay that of a first failure.
func (b *Backoff) Reset() { b.failures = 0 }
