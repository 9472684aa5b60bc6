package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

// outcome is the result of a call.
type outcome uint8

const (
	outcomePending outcome = iota
	outcomeCompleted
	outcomeRefused
	outcomeTimedOut
)

// call is a request with the state of its attempts.
type call struct {
	id           int
	arrival      *Arrival
	adapter      state.AdapterRef
	customer     state.CustomerID
	prefix       uint64
	promptTokens int
	tokensLeft   int
	deadline     time.Time
	attempt      int
	exclude      []state.UpstreamID
	upstream     state.UpstreamID

	choice routing.Choice // of the current attempt
	sentAt time.Time
	routed *routing.Request // the request as passed to the router

	excess         bool // the call exceeds the usual rate of its class
	dispatched     bool
	waitingForLoad bool
	waitStart      time.Time

	outcome    outcome
	overloaded bool // an engine rejected the call because of overload
	retryAfter time.Duration
	arrivedAt  time.Time
	firstToken time.Time
	lastToken  time.Time
	stall      time.Duration
}

// recordToken records an output token.
func (c *call) recordToken(now time.Time) {
	if c.firstToken.IsZero() {
		c.firstToken = now
	}
	c.lastToken = now
	c.tokensLeft--
}

func (c *call) class() state.Class {
	return state.Class{Customer: c.customer, Service: service, Rank: c.arrival.Rank}
}

// ownerRequest returns the request in the form that the owner core queues.
func (c *call) ownerRequest(id string) owner.Request {
	return owner.Request{
		ID:           id,
		Class:        c.class(),
		Adapter:      c.adapter,
		Source:       c.adapter.Adapter,
		Deadline:     c.deadline,
		PromptTokens: uint32(c.promptTokens),
		MaxTokens:    uint32(c.tokensLeft),
		Prefix:       c.prefix,
		Repeatable:   true,
		Excess:       c.excess,
	}
}

// routingRequest returns the request in the form that is passed to the router.
func (c *call) routingRequest(zone state.Zone, target time.Duration) *routing.Request {
	return &routing.Request{
		Adapter:          c.adapter,
		Base:             baseModel,
		Service:          service,
		Rank:             c.arrival.Rank,
		Zone:             zone,
		Region:           region,
		Prefix:           c.prefix,
		PromptTokens:     uint32(c.promptTokens),
		Exclude:          c.exclude,
		Excess:           c.excess,
		FirstTokenTarget: target,
	}
}

// routingOutcome returns the outcome that is reported to the router for an attempt that
// ran. A failed attempt of a call that has ended already is neutral.
func (c *call) routingOutcome(failed bool) routing.Outcome {
	switch {
	case !failed:
		return routing.OutcomeOK
	case c.outcome != outcomePending:
		return routing.OutcomeNeutral
	}
	return routing.OutcomeFailed
}

// metTargets reports whether the call met both latency targets of its rank.
func (c *call) metTargets(rank state.RankInfo) bool {
	if c.outcome != outcomeCompleted || c.firstToken.Sub(c.arrivedAt) > rank.FirstToken {
		return false
	}
	intervals := c.arrival.Output - 1
	return intervals < 1 || c.lastToken.Sub(c.firstToken)/time.Duration(intervals) <= rank.BetweenTokens
}
