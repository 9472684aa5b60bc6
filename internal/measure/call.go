package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

type outcome uint8

const (
	waiting outcome = iota
	completed
	refused
	timedOut
)

// call is a request on its way.
type call struct {
	id       int
	arrival  *Arrival
	adapter  state.AdapterRef
	customer state.CustomerID
	prefix   uint64
	prompt   int
	left     int
	deadline time.Time
	attempt  int
	exclude  []state.UpstreamID
	at       state.UpstreamID

	choice  routing.Choice // of the present attempt
	sent    time.Time
	tracked *routing.Request

	excess     bool // beyond the usual rate of its class
	dispatched bool
	waitsLoad  bool
	waitsSince time.Time

	outcome    outcome
	overloaded bool // refused by an engine for overload
	retryAfter time.Duration
	arrived    time.Time
	first      time.Time
	last       time.Time
	stall      time.Duration
}

func (c *call) token(now time.Time) {
	if c.first.IsZero() {
		c.first = now
	}
	c.last = now
	c.left--
}

func (c *call) class() state.Class {
	return state.Class{Customer: c.customer, Service: service, Rank: c.arrival.Rank}
}

func (c *call) request(id string) owner.Request {
	return owner.Request{
		ID:           id,
		Class:        c.class(),
		Adapter:      c.adapter,
		Source:       c.adapter.Adapter,
		Deadline:     c.deadline,
		PromptTokens: uint32(c.prompt),
		MaxTokens:    uint32(c.left),
		Prefix:       c.prefix,
		Repeatable:   true,
		Excess:       c.excess,
	}
}

func (c *call) route(zone state.Zone, target time.Duration) *routing.Request {
	return &routing.Request{
		Adapter:          c.adapter,
		Base:             baseModel,
		Service:          service,
		Rank:             c.arrival.Rank,
		Zone:             zone,
		Region:           region,
		Prefix:           c.prefix,
		PromptTokens:     uint32(c.prompt),
		Exclude:          c.exclude,
		Excess:           c.excess,
		FirstTokenTarget: target,
	}
}

// routed returns how an attempt that ran ended.
func (c *call) routed(failed bool) routing.Outcome {
	switch {
	case !failed:
		return routing.OutcomeOK
	case c.outcome != waiting:
		return routing.OutcomeNeutral
	}
	return routing.OutcomeFailed
}

// inTime reports whether both targets of the rank were met.
func (c *call) inTime(rank state.RankInfo) bool {
	if c.outcome != completed || c.first.Sub(c.arrived) > rank.FirstToken {
		return false
	}
	gaps := c.arrival.Output - 1
	return gaps < 1 || c.last.Sub(c.first)/time.Duration(gaps) <= rank.BetweenTokens
}
