// Package eligibility decides whether a daemon may send to an upstream now, and if not, why not.
// It keeps what upstreams said in their responses: that they leave, and that they want nothing for
// a named time. Both hold for one run of an upstream only.
package eligibility

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Run identifies one run of an upstream. An upstream that starts again under the same ID has
// another start time.
type Run struct {
	ID        state.UpstreamID
	StartTime int64 // Unix milliseconds; zero if not reported
}

// Signals are what the headers of a response say about the upstream that sent it.
type Signals struct {
	Leaving bool // the upstream ends and wants nothing new
	// RetryAfter is how long the upstream wants nothing from this daemon, valid if HasRetryAfter.
	RetryAfter    time.Duration
	HasRetryAfter bool
	SignalErr     error // a header has a malformed value, which was ignored
}

// Outcome is how a sender treats an upstream.
type Outcome uint8

// Outcomes of a decision.
const (
	Send       Outcome = iota // may be sent to
	Delay                     // may be sent to after Decision.Wait
	LastResort                // only if no other upstream can serve the request
	Bar                       // must not be sent to
)

// Reason is why an upstream is not simply sent to.
type Reason uint8

// Reasons, in the order in which Decide examines them.
const (
	None         Reason = iota
	Leaving             // the upstream said that it leaves
	Removed             // its entry is no longer in the store, or belongs to another run
	NamedWait           // it answered 503 with a Retry-After
	Draining            // its entry in the store says that it drains
	Returning           // its Retry-After has ended and a few requests try it first
	Excluded            // by the request, which failed there
	Ejected             // its connections broke
	RequestLimit        // it named a limit of requests per second
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "leaving", "removed", "retry-after", "draining", "returning", "excluded", "ejected", "request limit",
}

// String returns the name of a reason in logs, metrics and reports.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Input is what Decide needs to know of an upstream besides the signals of its responses.
type Input struct {
	Run      Run
	Unlisted bool // the store does not list the run
	Draining bool // in the store
	Excluded bool // by the request
	Ejected  bool
	// LimitWait is the time until the upstream's request limit admits the request.
	LimitWait time.Duration
	// ListAge is the time since the list of upstreams agreed with the store.
	ListAge time.Duration
	// Counted is set if Begin has already counted the request.
	Counted bool
}

// Decision is whether an upstream may be sent to.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	Wait    time.Duration // until the reason ends; zero if it is not known
	Age     time.Duration // of the information that the reason is based on; zero if it is current
}

// IsBarred reports whether the upstream must not be sent to.
func (d Decision) IsBarred() bool { return d.Outcome == Bar }

// Decide decides whether a request may be sent to an upstream now. What an upstream said itself
// takes precedence over its entry in the store.
func (t *Table) Decide(now time.Time, in Input) Decision {
	b := t.runs[in.Run]
	switch {
	case b != nil && b.leaving:
		return Decision{Outcome: Bar, Reason: Leaving, Age: now.Sub(b.leavingAt)}
	case in.Unlisted:
		return Decision{Outcome: Bar, Reason: Removed, Age: in.ListAge}
	case b != nil && b.wait != nil && now.Before(b.wait.until):
		return Decision{Outcome: Bar, Reason: NamedWait, Wait: b.wait.until.Sub(now), Age: now.Sub(b.wait.at)}
	case in.Draining:
		return Decision{Outcome: Bar, Reason: Draining, Age: in.ListAge}
	case b != nil && b.wait != nil && !in.Counted && !b.wait.admits(now):
		return Decision{Outcome: Bar, Reason: Returning, Wait: b.wait.untilProbe(now), Age: now.Sub(b.wait.at)}
	case in.Excluded:
		return Decision{Outcome: Bar, Reason: Excluded}
	case in.Ejected:
		return Decision{Outcome: LastResort, Reason: Ejected}
	case in.LimitWait > 0:
		return Decision{Outcome: Delay, Reason: RequestLimit, Wait: in.LimitWait}
	}
	return Decision{}
}

const (
	// minRetryAfter is the minimum Retry-After of a request that all upstreams bar.
	minRetryAfter = 200 * time.Millisecond
	// noEndRetryAfter is the Retry-After if no upstream named an end: another run of one of them
	// is seldom ready earlier.
	noEndRetryAfter = 1200 * time.Millisecond
	// callerShare is the share of their time left up to which callers honor a Retry-After.
	callerShare = 3
	// jitterShare is the part of a Retry-After by which it is spread.
	jitterShare = 0.5
)

// RetryAfter returns the Retry-After of a request that no upstream may be sent. earliest is the time
// until the first of them may be, or zero if that is not known. Callers ignore a Retry-After that is
// longer than a third of their time left. draw is a random number in [0, 1).
func RetryAfter(earliest, timeLeft time.Duration, draw float64) time.Duration {
	if earliest <= 0 {
		earliest = noEndRetryAfter
	}
	earliest = max(earliest, minRetryAfter)
	limit := timeLeft / callerShare
	if limit <= 0 {
		return minRetryAfter
	}
	spread := time.Duration(draw * jitterShare * float64(min(earliest, limit)))
	if earliest >= limit {
		return limit - spread
	}
	return min(earliest+spread, limit)
}
