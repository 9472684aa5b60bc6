package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority is the priority of a call within a daemon. Lower values go first.
type Priority int

// Priorities of calls to the platform, most urgent first.
const (
	PriorityLease Priority = iota
	PriorityOwnership
	PriorityConfig
	PriorityStatus
	priorityCount
)

// Rates of calls for coordination that the whole fleet shares. The platform sustains
// several hundred writes and about 2,000 reads per second.
const (
	FleetWritesPerSecond = 150
	FleetReadsPerSecond  = 1000
)

const (
	minWritesPerSecond = 0.5 // of a daemon, however large the fleet
	minReadsPerSecond  = 2   // of a daemon, however large the fleet
	writeBurst         = 16
	readBurst          = 32
	minPollInterval    = 5 * time.Millisecond
	maxPollInterval    = 500 * time.Millisecond
)

type priorityKey struct{}

// WithPriority sets the priority of the calls made with the returned context.
// Calls without a priority have the lowest.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// priorityOf returns the priority of the calls made with ctx.
func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityStatus
}

// CallKind is the kind of a call, each of which has a rate limit of its own.
type CallKind int

// Kinds of calls. A watch counts as one read, however long it waits.
const (
	CallRead CallKind = iota
	CallWrite
)

// CallCounts holds the numbers of calls since the start of a daemon.
type CallCounts struct {
	Reads     uint64
	Writes    uint64
	Delayed   uint64 // calls that waited for the budget
	Abandoned uint64 // calls whose context ended while they waited
}

// Budget limits the rate of the calls of one daemon. Calls of lower priorities leave part
// of the burst in reserve for those of higher priorities. It is safe for concurrent use.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex         // makes the check of the reserve and the acquisition atomic
	waiting [priorityCount]int // calls by priority
	counts  CallCounts
}

// NewBudget returns the budget of a daemon in a fleet with the given number of daemons.
func NewBudget(daemons int) *Budget {
	b := &Budget{
		reads:  rate.NewLimiter(0, readBurst),
		writes: rate.NewLimiter(0, writeBurst),
	}
	b.SetDaemons(daemons)
	return b
}

// SetDaemons sets the rates to an equal share of the rates of the fleet for each of n
// daemons.
func (b *Budget) SetDaemons(n int) {
	n = max(n, 1)
	b.writes.SetLimit(rate.Limit(max(minWritesPerSecond, FleetWritesPerSecond/float64(n))))
	b.reads.SetLimit(rate.Limit(max(minReadsPerSecond, FleetReadsPerSecond/float64(n))))
}

// Counts returns the numbers of calls so far.
func (b *Budget) Counts() CallCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Wait returns nil once a call may be made, or the error of ctx.
func (b *Budget) Wait(ctx context.Context, kind CallKind) error {
	p := priorityOf(ctx)
	delay := b.tryAcquire(p, kind, time.Now())
	if delay == 0 {
		return nil
	}
	b.addWaiting(p, 1)
	defer b.addWaiting(p, -1)
	for delay > 0 {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			b.countAbandoned()
			return ctx.Err()
		}
		delay = b.tryAcquire(p, kind, time.Now())
	}
	return nil
}

// addWaiting adds n to the calls of a priority that wait.
func (b *Budget) addWaiting(p Priority, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[p] += n
	if n > 0 {
		b.counts.Delayed++
	}
}

// countAbandoned counts a call whose context ended while it waited.
func (b *Budget) countAbandoned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Abandoned++
}

// tryAcquire acquires one call, unless a call of a higher priority waits or the call would
// use the reserve for higher priorities. It returns zero if the call may be made, and
// otherwise the delay before the next attempt.
func (b *Budget) tryAcquire(p Priority, kind CallKind, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for higher := range p {
		if b.waiting[higher] > 0 {
			return maxPollInterval
		}
	}
	limiter, burst := b.reads, readBurst
	if kind == CallWrite {
		limiter, burst = b.writes, writeBurst
	}
	reserve := float64(burst) * float64(p) / float64(2*priorityCount)
	missing := 1 + reserve - limiter.TokensAt(now)
	if missing > 0 || !limiter.AllowN(now, 1) {
		delay := time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
		return min(max(delay, minPollInterval), maxPollInterval)
	}
	if kind == CallWrite {
		b.counts.Writes++
	} else {
		b.counts.Reads++
	}
	return 0
}
