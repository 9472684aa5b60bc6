// Package retry decides whether a request is retried after an attempt has failed, and
// keeps track of whether any attempt may have run it.
package retry

import (
	"sync"
	"time"
)

// Limits of retries.
const (
	// MaxAttempts bounds the attempts of one request. Attempts that fail with NotOwner
	// do not count.
	MaxAttempts = 4
	// ownerTimeout is how long a request is retried after its first attempt that failed
	// with NotOwner. A change of ownership takes time to reach all daemons.
	ownerTimeout     = 5 * time.Second
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = 200 * time.Millisecond
	tokensPerRequest = 0.2 // retries earned by each request
	maxTokens        = 200
)

// Cause is the reason why an attempt failed.
type Cause uint8

// Causes of failed attempts.
const (
	// Permanent means that the request would fail at any upstream.
	Permanent Cause = iota
	// Rejected means that the upstream or its owner did not accept the request.
	Rejected
	// NotOwner means that the request was sent to a daemon that does not own the
	// upstream.
	NotOwner
	// Failed means that the attempt failed for any other reason.
	Failed
)

// Failure describes an attempt that ended without a complete answer.
type Failure struct {
	Cause         Cause
	MaybeRan      bool // the upstream may have run the request
	AnswerStarted bool // part of the answer was delivered to the caller
}

// Decision is the decision on a retry.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	Exclude bool // do not choose the failed upstream again
	Avoid   bool // choose the failed upstream again only if there is no other
}

// Retrier decides on the retries of one request. It is not safe for concurrent use.
//
// Invariants: a request that is not repeatable is not retried once it may have run,
// and MaybeRan never returns to false.
type Retrier struct {
	budget        *Budget
	repeatable    bool
	resumable     bool
	attempts      int // failed attempts, without those that ended with NotOwner
	backoff       time.Duration
	notOwnerSince time.Time // first failure with NotOwner
	maybeRan      bool
}

// NewRetrier returns the retrier of a request and credits the request to the budget. A
// request is resumable if another attempt can continue an answer that has started.
func NewRetrier(budget *Budget, repeatable, resumable bool) *Retrier {
	budget.deposit()
	return &Retrier{budget: budget, repeatable: repeatable, resumable: resumable, backoff: minBackoff}
}

// MaybeRan reports whether an upstream may have run the request in any attempt.
func (r *Retrier) MaybeRan() bool { return r.maybeRan }

// Handle records the failure of an attempt and decides whether and how the request is
// retried. A retry, except after NotOwner, withdraws a token from the budget.
func (r *Retrier) Handle(now time.Time, f Failure) Decision {
	r.maybeRan = r.maybeRan || f.MaybeRan
	switch {
	case f.Cause == Permanent:
		return Decision{}
	case r.maybeRan && !r.repeatable:
		return Decision{}
	case f.AnswerStarted && !r.resumable:
		return Decision{}
	case f.Cause == NotOwner:
		return r.waitForOwner(now)
	}
	r.attempts++
	if r.attempts >= MaxAttempts || !r.budget.withdraw() {
		return Decision{}
	}
	if f.Cause == Rejected {
		return Decision{Retry: true, Exclude: true}
	}
	return Decision{Retry: true, Avoid: true}
}

// waitForOwner decides on a retry after an attempt that failed with NotOwner. It retries
// with backoff until ownerTimeout has passed since the first of these failures.
func (r *Retrier) waitForOwner(now time.Time) Decision {
	if r.notOwnerSince.IsZero() {
		r.notOwnerSince = now
	}
	if now.Sub(r.notOwnerSince) >= ownerTimeout {
		return Decision{}
	}
	d := Decision{Retry: true, Backoff: r.backoff, Avoid: true}
	r.backoff = min(2*r.backoff, maxBackoff)
	return d
}

// Budget limits the retries of a daemon to a fraction of its requests, so that retries
// do not add much load to a failing fleet. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// deposit credits the tokens that a request earns.
func (b *Budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// withdraw takes the token for one retry and reports whether there was one.
func (b *Budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
