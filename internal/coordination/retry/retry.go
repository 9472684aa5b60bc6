// Package retry decides whether a request that failed at one upstream is tried
// again, and keeps what is known about its execution.
package retry

import (
	"sync"
	"time"
)

// Limits of retries.
const (
	// MaxAttempts bounds the attempts of one request at upstreams that refused it or
	// failed. Attempts that only missed the owner do not count.
	MaxAttempts = 4
	// ownerChange is how long a request waits for a change of owner to be known.
	ownerChange  = 5 * time.Second
	firstGap     = 20 * time.Millisecond
	longestGap   = 200 * time.Millisecond
	budgetEarned = 0.2 // retries per request
	budgetMax    = 200
)

// Cause says why an attempt failed.
type Cause uint8

// Causes of failed attempts.
const (
	// Permanent failures are the same at every upstream.
	Permanent Cause = iota
	// Rejected means that the upstream or its owner did not take the request.
	Rejected
	// NotOwner means that the request went to a daemon that is not the owner.
	NotOwner
	// Failed means that the attempt broke.
	Failed
)

// Failure is the end of an attempt that brought no whole answer.
type Failure struct {
	Cause         Cause
	MaybeRan      bool // the upstream may have run the request
	AnswerStarted bool // a part of the answer was delivered to the caller
}

// Decision is what follows a failure.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	Exclude bool // leave out the upstream that failed
	Avoid   bool // leave it out while there is another one
}

// Retrier holds the attempts of one request. It is not safe for concurrent use.
//
// Invariant: a request that may not repeat is not tried again once it may have
// run, and a request that may have run never counts as not run later.
type Retrier struct {
	budget     *Budget
	repeatable bool
	resumable  bool
	tries      int
	gap        time.Duration
	ownerSince time.Time
	maybeRan   bool
}

// NewRetrier returns the plan of a request. Answers of resumable requests can be
// continued by another attempt.
func NewRetrier(budget *Budget, repeatable, resumable bool) *Retrier {
	budget.earn()
	return &Retrier{budget: budget, repeatable: repeatable, resumable: resumable, gap: firstGap}
}

// MaybeRan reports whether an attempt may have run the request.
func (p *Retrier) MaybeRan() bool { return p.maybeRan }

// Handle takes the failure of an attempt.
func (p *Retrier) Handle(now time.Time, f Failure) Decision {
	p.maybeRan = p.maybeRan || f.MaybeRan
	switch {
	case f.Cause == Permanent:
		return Decision{}
	case p.maybeRan && !p.repeatable:
		return Decision{}
	case f.AnswerStarted && !p.resumable:
		return Decision{}
	case f.Cause == NotOwner:
		return p.waitForOwner(now)
	}
	p.tries++
	if p.tries >= MaxAttempts || !p.budget.spend() {
		return Decision{}
	}
	if f.Cause == Rejected {
		return Decision{Retry: true, Exclude: true}
	}
	return Decision{Retry: true, Avoid: true}
}

func (p *Retrier) waitForOwner(now time.Time) Decision {
	if p.ownerSince.IsZero() {
		p.ownerSince = now
	}
	if now.Sub(p.ownerSince) >= ownerChange {
		return Decision{}
	}
	d := Decision{Retry: true, Backoff: p.gap, Avoid: true}
	p.gap = min(2*p.gap, longestGap)
	return d
}

// Budget bounds the retries of a daemon to a part of its requests, so that a
// failing fleet is not loaded further by retries. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetMax} }

func (b *Budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetEarned, budgetMax)
}

func (b *Budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
