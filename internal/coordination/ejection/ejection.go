// Package ejection implements outlier ejection: upstreams that fail, hang or are much
// slower than their peers receive no requests for some time. Before an ejected upstream
// is readmitted, a single request probes it.
package ejection

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Options configures a Detector.
type Options struct {
	// ConsecutiveFailures is the number of failures in a row that ejects an upstream.
	ConsecutiveFailures int
	// FailureRate is the share of failures among recent results that ejects an upstream.
	FailureRate float64
	// SlowFactor sets the latency limit of an upstream: it is ejected if its unit latency
	// exceeds SlowFactor times the median unit latency of its peers.
	SlowFactor float64
	// SlowFloor is the lowest latency limit of an upstream.
	SlowFloor time.Duration
	// MinSamples is the number of results that an upstream needs before its failure rate
	// or its unit latency can eject it.
	MinSamples int
	// BaseEjectionTime is the duration of the first ejection. The duration doubles each
	// time the upstream fails its probe or its probation, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the longest duration of an ejection.
	MaxEjectionTime time.Duration
	// ProbeTimeout is how long the result of a probe may take.
	ProbeTimeout time.Duration
	// ProbationResults is the number of successes after a readmission during which a
	// single failure ejects the upstream again.
	ProbationResults int
	// MaxEjectedShare is the fraction of the group that may be ejected at a time.
	MaxEjectedShare float64
	// IdleTTL is how long the statistics of an upstream are kept after its last result.
	IdleTTL time.Duration
}

// DefaultOptions returns the options that the daemon uses.
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
		// UnitLatency is the time per unit of work: the time between tokens for engines,
		// the time of the whole call for plain services. It is 0 if it was not measured.
		UnitLatency time.Duration
		// Probe marks the result of the request that ProbeSent reported last.
		Probe bool
	}
	// ProbeSent reports that a request was sent to an upstream as its probe.
	ProbeSent struct{ Upstream state.UpstreamID }
	// ProbeInconclusive reports that a probe ended without showing whether the upstream
	// works.
	ProbeInconclusive struct{ Upstream state.UpstreamID }
	// Restarted reports a restart of an upstream.
	Restarted struct{ Upstream state.UpstreamID }
	// Removed reports that an upstream has left the group.
	Removed struct{ Upstream state.UpstreamID }
	// GroupSize sets the number of upstreams in the group.
	GroupSize struct{ Count int }
	// Tick triggers the transitions that depend on time.
	Tick struct{}
)

func (Result) event()            {}
func (ProbeSent) event()         {}
func (ProbeInconclusive) event() {}
func (Restarted) event()         {}
func (Removed) event()           {}
func (GroupSize) event()         {}
func (Tick) event()              {}

// Reason is the reason for a change of a gate.
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

// SetGate is the action of a Detector. It sets whether an upstream may be chosen for all
// requests, for a probe only, or for none.
type SetGate struct {
	Upstream     state.UpstreamID
	Gate         state.Gate
	Reason       Reason
	EjectionTime time.Duration // set if the upstream is ejected
}
