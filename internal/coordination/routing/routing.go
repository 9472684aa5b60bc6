// Package routing chooses the upstream that answers a request.
package routing

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Adapter          state.AdapterRef // zero for plain services
	Base             string           // base model, for model services
	Service          state.ServiceID
	Rank             state.Rank
	Zone             state.Zone // zone of the entry daemon
	Region           state.Region
	Prefix           uint64 // hash of the prompt's prefix; 0 for none
	PromptTokens     uint32
	Repeatable       bool               // safe to run more than once
	Exclude          []state.UpstreamID // upstreams that must not be chosen
	Excess           bool               // beyond the usual rate of its class
	FirstTokenTarget time.Duration      // first-token target of the rank
}

// Choice is the upstream chosen for an attempt.
type Choice struct {
	Upstream *state.Upstream // nil when no upstream is eligible
	Resident bool            // the adapter is resident
	Probe    bool            // the attempt is the single probe of an ejected upstream
}

// Router chooses the upstream for an attempt of a request.
type Router interface {
	Pick(now time.Time, req *Request) Choice
}

// Tracker observes attempts. Each call of Sent is followed by exactly one call of Ended
// with the same request and choice.
type Tracker interface {
	Sent(now time.Time, req *Request, c Choice)
	Ended(now time.Time, req *Request, c Choice, result Result)
}

// Result describes the end of an attempt.
type Result struct {
	Outcome    Outcome
	FirstToken time.Duration // from sending to the first part of the answer; 0 if none arrived
	Total      time.Duration
	Tokens     int // received in this attempt, for model calls
}

// Outcome classifies the end of an attempt by what it shows about the upstream.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeOK       Outcome = iota
	OutcomeRejected         // not run: the owner did not accept the request
	OutcomeFailed           // error or lack of progress of the upstream
	OutcomeNeutral          // canceled, or an error of the caller
)
