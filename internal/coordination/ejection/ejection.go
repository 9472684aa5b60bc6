// Package ejection takes upstreams that fail, hang or are much slower than their
// peers out of the choice for a while, and tests them with single requests
// before they serve again.
package ejection

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Options are the limits of a Detector.
type Options struct {
	// Failures in a row that eject an upstream.
	Failures int
	// FailedShare of the recent results that ejects an upstream.
	FailedShare float64
	// SlowFactor is the pace, as a multiple of the median of the peers, that
	// ejects an upstream.
	SlowFactor float64
	// SlowFloor is a pace that is never too slow.
	SlowFloor time.Duration
	// Samples needed before shares and paces count.
	Samples int
	// FirstTerm is the length of the first ejection. It doubles each time that an
	// upstream fails its probe or its probation, up to LongestTerm.
	FirstTerm   time.Duration
	LongestTerm time.Duration
	// ProbeTimeout is how long the result of a probe may take.
	ProbeTimeout time.Duration
	// Probation is the number of good results after a probe in which a single
	// failure ejects the upstream again.
	Probation int
	// MaxShare of the upstreams may be ejected at a time.
	MaxShare float64
	// Forget drops what is known of an upstream without results.
	Forget time.Duration
}

// DefaultOptions returns the limits of the daemon.
func DefaultOptions() Options {
	return Options{
		Failures:     3,
		FailedShare:  0.5,
		SlowFactor:   4,
		SlowFloor:    100 * time.Millisecond,
		Samples:      8,
		FirstTerm:    2 * time.Second,
		LongestTerm:  time.Minute,
		ProbeTimeout: 15 * time.Second,
		Probation:    5,
		MaxShare:     0.34,
		Forget:       10 * time.Minute,
	}
}

// Event is an input of a Detector.
type Event interface{ event() }

// Events of a Detector.
type (
	// Result reports the end of a request.
	Result struct {
		Upstream state.UpstreamID
		Failed   bool
		// Pace is the time per unit of work: between tokens for engines, of the
		// whole call for plain services. It is 0 when not measured.
		Pace time.Duration
		// Probe marks the request of the last ProbeSent.
		Probe bool
	}
	// ProbeSent reports that a request went to an upstream as its probe.
	ProbeSent struct{ Upstream state.UpstreamID }
	// ProbeLost reports that the probe ended without telling anything.
	ProbeLost struct{ Upstream state.UpstreamID }
	// Restarted reports that an upstream has started anew.
	Restarted struct{ Upstream state.UpstreamID }
	// Gone reports that an upstream is no longer listed.
	Gone struct{ Upstream state.UpstreamID }
	// Members sets the number of upstreams in the group.
	Members struct{ Count int }
	// Tick lets time pass.
	Tick struct{}
)

func (Result) event()    {}
func (ProbeSent) event() {}
func (ProbeLost) event() {}
func (Restarted) event() {}
func (Gone) event()      {}
func (Members) event()   {}
func (Tick) event()      {}

// Reason says why a gate changed.
type Reason string

// Reasons for changes of a gate.
const (
	ReasonFailures  Reason = "failures in a row"
	ReasonShare     Reason = "share of failures"
	ReasonSlow      Reason = "slower than its peers"
	ReasonProbe     Reason = "probe failed"
	ReasonProbation Reason = "failed on probation"
	ReasonTermOver  Reason = "term is over"
	ReasonProbeLost Reason = "probe was lost"
	ReasonPassed    Reason = "probe passed"
	ReasonRestarted Reason = "upstream restarted"
	ReasonShrunk    Reason = "too few upstreams left"
)

// SetGate is the action of a Detector: it changes who may choose an upstream.
type SetGate struct {
	Upstream state.UpstreamID
	Gate     state.Gate
	Reason   Reason
	Term     time.Duration // of an ejection
}
