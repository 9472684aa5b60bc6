// Package routing chooses the upstream that answers a request.
package routing

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Request is what the choice depends on.
type Request struct {
	Adapter          state.AdapterRef // zero for plain services
	Base             string           // base model, for model services
	Service          state.ServiceID
	Rank             state.Rank
	Zone             state.Zone // zone of the entry daemon
	Region           state.Region
	Prefix           uint64
	PromptTokens     uint32
	Repeatable       bool
	Exclude          []state.UpstreamID
	Excess           bool          // beyond the usual rate of its class
	FirstTokenTarget time.Duration // time to the first token that the rank aims at
}

// Choice is the chosen upstream. Upstream is nil when none can serve.
type Choice struct {
	Upstream *state.Upstream
	Resident bool
	// Probe marks the single request that tests an ejected upstream.
	Probe bool
}

// Router chooses upstreams.
type Router interface {
	Pick(now time.Time, req *Request) Choice
}

// Tracker is a Router that wants to know what became of its choices. Every Sent
// is followed by exactly one Ended.
type Tracker interface {
	Sent(now time.Time, req *Request, c Choice)
	Ended(now time.Time, req *Request, c Choice, result Result)
}

// Result says how an attempt ended.
type Result struct {
	Outcome    Outcome
	FirstToken time.Duration // from sending until the first part; 0 without one
	Total      time.Duration
	Tokens     int // of this attempt, for model calls
}

// Outcome classifies the end of an attempt for the choice of upstreams.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeOK       Outcome = iota
	OutcomeRejected         // not run, by decision of the owner
	OutcomeFailed           // error of the upstream, or no progress
	OutcomeNeutral          // canceled, or the fault of the caller
)
