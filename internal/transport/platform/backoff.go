package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between retries: exponential with full jitter, so
// that the daemons of a fleet return spread over the whole pause.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand // must not be shared

	failures int
}

// Next returns the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	const maxShift = 16
	ceiling := min(b.Max, b.Min<<min(b.failures, maxShift))
	b.failures++
	return b.Min/2 + time.Duration(b.Rand.Int64N(int64(max(ceiling, 1))))
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.failures = 0 }
