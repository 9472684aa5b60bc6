package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority is the priority of a call relative to the other calls of the same daemon. A
// lower value is more urgent.
type Priority int

// Priorities of calls to the platform, most urgent first.
const (
	PriorityLease Priority = iota
	PriorityOwnership
	PriorityConfig
	PriorityStatus
	priorityCount
)

// Limits of the rates of coordination calls of all daemons of the fleet together. The
// platform sustains several hundred writes and about 2,000 reads per second.
const (
	FleetWritesPerSecond = 150
	FleetReadsPerSecond  = 1000
)

const (
	minWritesPerSecond = 0.5 // rate limit of a daemon in a fleet of any size
	minReadsPerSecond  = 2   // rate limit of a daemon in a fleet of any size
	writeBurst         = 16
	readBurst          = 32
	minPollInterval    = 5 * time.Millisecond
	maxPollInterval    = 500 * time.Millisecond
)

type priorityKey struct{}

// WithPriority returns a context that gives the calls made with it a priority. Calls whose
// context sets no priority have the lowest priority.
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

// CallKind distinguishes reads and writes, which have separate rate limits.
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

// Budget limits the rate of the calls of one daemon. The lower the priority of a call, the
// larger the part of the burst that it must leave to calls of higher priorities. Budget is
// safe for concurrent use.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex         // makes the check of the reserve and the acquisition atomic
	waiting [priorityCount]int // number of waiting calls by priority
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

// SetDaemons sets the rate limits of this daemon in a fleet of n daemons, among which the
// limits of the fleet are divided evenly.
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

// addWaiting adds n to the number of waiting calls of a priority. If n is positive, it also
// counts a delayed call.
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

// tryAcquire takes a call of priority p out of the budget, counts it and returns zero. If a
// call of a higher priority waits, or too little of the budget would remain in reserve for
// higher priorities, it returns the delay before the next attempt instead.
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
