package loading

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	backoffFirst = 250 * time.Millisecond
	backoffMax   = 30 * time.Second
	maxFailed    = 256 // adapters with failed loads that one engine remembers
)

// Backoff delays the loads of adapters whose last loads on this engine failed. It
// is not safe for concurrent use.
type Backoff struct {
	failed map[state.AdapterRef]failure
}

type failure struct {
	count int
	until time.Time
}

// NewBackoff returns an empty table.
func NewBackoff() *Backoff { return &Backoff{failed: make(map[state.AdapterRef]failure)} }

// RecordFailure notes a failed load and returns how many failed in a row.
func (b *Backoff) RecordFailure(now time.Time, ref state.AdapterRef) int {
	if len(b.failed) >= maxFailed {
		b.prune(now)
	}
	f := b.failed[ref]
	wait := backoffMax
	if f.count < 10 {
		wait = min(backoffMax, backoffFirst<<f.count)
	}
	f.count++
	f.until = now.Add(wait)
	b.failed[ref] = f
	return f.count
}

// RecordSuccess notes a load that worked.
func (b *Backoff) RecordSuccess(ref state.AdapterRef) { delete(b.failed, ref) }

// Remaining returns how long loads of the adapter must still wait.
func (b *Backoff) Remaining(now time.Time, ref state.AdapterRef) time.Duration {
	if f, ok := b.failed[ref]; ok {
		return max(0, f.until.Sub(now))
	}
	return 0
}

func (b *Backoff) prune(now time.Time) {
	for ref, f := range b.failed {
		if now.Sub(f.until) > backoffMax {
			delete(b.failed, ref)
		}
	}
}
