package loading

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	backoffInitial    = 250 * time.Millisecond
	backoffMax        = 30 * time.Second
	maxFailedAdapters = 256 // number of backoffs of one engine from which ended ones are pruned
)

// Backoff delays the loads of adapters whose last load on one engine failed. The delay
// doubles with each failure in a row. It is not safe for concurrent use.
type Backoff struct {
	adapters map[state.AdapterRef]failedLoads
}

// failedLoads counts the failures in a row of one adapter.
type failedLoads struct {
	count int
	until time.Time // end of the backoff
}

// NewBackoff returns a Backoff without failed loads.
func NewBackoff() *Backoff { return &Backoff{adapters: make(map[state.AdapterRef]failedLoads)} }

// RecordFailure starts a backoff after a failed load and returns the number of failures in
// a row. It prunes ended backoffs when too many are kept.
func (b *Backoff) RecordFailure(now time.Time, ref state.AdapterRef) int {
	if len(b.adapters) >= maxFailedAdapters {
		b.prune(now)
	}
	f := b.adapters[ref]
	wait := backoffMax
	if f.count < 10 {
		wait = min(backoffMax, backoffInitial<<f.count)
	}
	f.count++
	f.until = now.Add(wait)
	b.adapters[ref] = f
	return f.count
}

// RecordSuccess resets the backoff of an adapter.
func (b *Backoff) RecordSuccess(ref state.AdapterRef) { delete(b.adapters, ref) }

// Remaining returns the time until the adapter may be loaded, or 0 if no backoff is in
// effect.
func (b *Backoff) Remaining(now time.Time, ref state.AdapterRef) time.Duration {
	if f, ok := b.adapters[ref]; ok {
		return max(0, f.until.Sub(now))
	}
	return 0
}

// prune drops the backoffs that ended more than backoffMax ago.
func (b *Backoff) prune(now time.Time) {
	for ref, f := range b.adapters {
		if now.Sub(f.until) > backoffMax {
			delete(b.adapters, ref)
		}
	}
}
