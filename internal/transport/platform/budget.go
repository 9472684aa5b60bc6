package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority orders the calls of a daemon. Lower values go first.
type Priority int

// Priorities of calls.
const (
	PriorityLease Priority = iota
	PriorityOwnership
	PriorityConfig
	PriorityStatus
	priorities
)

// Share of the platform that the whole fleet uses for coordination. The platform
// takes several hundred writes and about 2,000 reads a second.
const (
	FleetWritesPerSecond = 150
	FleetReadsPerSecond  = 1000
)

const (
	minWritesPerSecond = 0.5
	minReadsPerSecond  = 2
	writeBurst         = 16
	readBurst          = 32
	minPoll            = 5 * time.Millisecond
	maxPoll            = 500 * time.Millisecond
)

type priorityKey struct{}

// WithPriority sets the priority of the calls made with the returned context.
// Calls without a priority have the lowest.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityStatus
}

// CallKind tells the calls of a budget apart.
type CallKind int

// Kinds of calls. A waiting watch counts as one read.
const (
	CallRead CallKind = iota
	CallWrite
)

// CallCounts counts the calls of a daemon.
type CallCounts struct {
	Reads     uint64
	Writes    uint64
	Delayed   uint64 // calls that waited for the budget
	Abandoned uint64 // calls given up while waiting
}

// Budget limits the calls of one daemon. A call of a lower priority leaves a part
// of the burst to the calls of the higher ones. It is safe for concurrent use.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex // makes the test of the reserve and the take one step
	waiting [priorities]int
	counts  CallCounts
}

// NewBudget returns the budget of one of n daemons.
func NewBudget(daemons int) *Budget {
	b := &Budget{
		reads:  rate.NewLimiter(0, readBurst),
		writes: rate.NewLimiter(0, writeBurst),
	}
	b.SetDaemons(daemons)
	return b
}

// SetDaemons divides the share of the fleet by the number of daemons.
func (b *Budget) SetDaemons(n int) {
	n = max(n, 1)
	b.writes.SetLimit(rate.Limit(max(minWritesPerSecond, FleetWritesPerSecond/float64(n))))
	b.reads.SetLimit(rate.Limit(max(minReadsPerSecond, FleetReadsPerSecond/float64(n))))
}

// Counts returns the counts so far.
func (b *Budget) Counts() CallCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Wait returns when a call may be made, or with the error of ctx.
func (b *Budget) Wait(ctx context.Context, kind CallKind) error {
	p := priorityOf(ctx)
	pause := b.take(p, kind, time.Now())
	if pause == 0 {
		return nil
	}
	b.enter(p, 1)
	defer b.enter(p, -1)
	for pause > 0 {
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			b.refuse()
			return ctx.Err()
		}
		pause = b.take(p, kind, time.Now())
	}
	return nil
}

func (b *Budget) enter(p Priority, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[p] += n
	if n > 0 {
		b.counts.Delayed++
	}
}

func (b *Budget) refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Abandoned++
}

// take takes one call unless one of a higher priority waits or the reserve of
// the higher priorities would be touched. It returns zero when the call may be
// made, and otherwise the pause before the next try.
func (b *Budget) take(p Priority, kind CallKind, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for higher := range p {
		if b.waiting[higher] > 0 {
			return maxPoll
		}
	}
	limiter, burst := b.reads, readBurst
	if kind == CallWrite {
		limiter, burst = b.writes, writeBurst
	}
	reserve := float64(burst) * float64(p) / float64(2*priorities)
	missing := 1 + reserve - limiter.TokensAt(now)
	if missing > 0 || !limiter.AllowN(now, 1) {
		pause := time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
		return min(max(pause, minPoll), maxPoll)
	}
	if kind == CallWrite {
		b.counts.Writes++
	} else {
		b.counts.Reads++
	}
	return 0
}
