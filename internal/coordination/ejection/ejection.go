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
	// ConsecutiveFailures in a row that eject an upstream.
	ConsecutiveFailures int
	// FailureRate of the recent results that ejects an upstream.
	FailureRate float64
	// SlowFactor is the pace, as a multiple of the median of the peers, that
	// ejects an upstream.
	SlowFactor float64
	// SlowFloor is a pace that is never too slow.
	SlowFloor time.Duration
	// MinSamples needed before shares and paces count.
	MinSamples int
	// BaseEjectionTime is the length of the first ejection. It doubles each time that an
	// upstream fails its probe or its probation, up to LongestTerm.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// ProbeTimeout is how long the result of a probe may take.
	ProbeTimeout time.Duration
	// ProbationResults is the number of good results after a probe in which a single
	// failure ejects the upstream again.
	ProbationResults int
	// MaxEjectedShare of the upstreams may be ejected at a time.
	MaxEjectedShare float64
	// IdleTTL drops what is known of an upstream without results.
	IdleTTL time.Duration
}

// DefaultOptions returns the limits of the daemon.
func DefaultOptions() Options {
	return Options{
		ConsecutiveFailures: 3,
		FailureRate:         0.5,
		SlowFactor:          4,
		SlowFloor:           100 * time.Millisecond,
		MinSamples:          8,
		BaseEjectionTime:    2 * time.Second,
		MaxEjectionTime:     time.Minute,
		ProbeTimeout:        15 * time.Second,
		ProbationResults:    5,
		MaxEjectedShare:     0.34,
		IdleTTL:             10 * time.Minute,
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
		// UnitLatency is the time per unit of work: between tokens for engines, of the
		// whole call for plain services. It is 0 when not measured.
		UnitLatency time.Duration
		// Probe marks the request of the last ProbeSent.
		Probe bool
	}
	// ProbeSent reports that a request went to an upstream as its probe.
	ProbeSent struct{ Upstream state.UpstreamID }
	// ProbeInconclusive reports that the probe ended without telling anything.
	ProbeInconclusive struct{ Upstream state.UpstreamID }
	// Restarted reports that an upstream has started anew.
	Restarted struct{ Upstream state.UpstreamID }
	// Removed reports that an upstream is no longer listed.
	Removed struct{ Upstream state.UpstreamID }
	// GroupSize sets the number of upstreams in the group.
	GroupSize struct{ Count int }
	// Tick lets time pass.
	Tick struct{}
)

func (Result) event()            {}
func (ProbeSent) event()         {}
func (ProbeInconclusive) event() {}
func (Restarted) event()         {}
func (Removed) event()           {}
func (GroupSize) event()         {}
func (Tick) event()              {}

// Reason says why a gate changed.
type Reason string

// Reasons for changes of a gate.
const (
	ReasonConsecutiveFailures Reason = "failures in a row"
	ReasonFailureRate         Reason = "share of failures"
	ReasonSlow                Reason = "slower than its peers"
	ReasonProbeFailed         Reason = "probe failed"
	ReasonProbationFailed     Reason = "failed on probation"
	ReasonEjectionTimeOver    Reason = "term is over"
	ReasonProbeInconclusive   Reason = "probe was lost"
	ReasonProbePassed         Reason = "probe passed"
	ReasonRestarted           Reason = "upstream restarted"
	ReasonGroupShrank         Reason = "too few upstreams left"
)

// SetGate is the action of a Detector: it changes who may choose an upstream.
type SetGate struct {
	Upstream     state.UpstreamID
	Gate         state.Gate
	Reason       Reason
	EjectionTime time.Duration // of an ejection
}
