package entry

import (
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// tracking follows one attempt for the parts that learn from its result.
type tracking struct {
	g       *Gateway
	route   routing.Request
	choice  routing.Choice
	started time.Time
	first   atomic.Int64 // nanoseconds from started until the first part
	tokens  atomic.Int64
}

// track tells the trackers that an attempt starts. The caller must call end.
func (g *Gateway) track(route *routing.Request, choice routing.Choice) *tracking {
	t := &tracking{g: g, route: *route, choice: choice, started: g.opts.Clock()}
	for _, tracker := range g.opts.Trackers {
		tracker.Sent(t.started, &t.route, choice)
	}
	return t
}

// part notes a part of the answer with its number of tokens.
func (t *tracking) part(tokens uint32) {
	t.tokens.Add(int64(tokens))
	if t.first.Load() == 0 {
		elapsed := t.g.opts.Clock().Sub(t.started)
		t.first.CompareAndSwap(0, max(int64(elapsed), 1))
	}
}

// end tells the trackers how the attempt ended.
func (t *tracking) end(err *protocol.Error) {
	now := t.g.opts.Clock()
	result := routing.Result{
		Outcome:    outcomeOf(err),
		FirstToken: time.Duration(t.first.Load()),
		Total:      now.Sub(t.started),
		Tokens:     int(t.tokens.Load()),
	}
	for _, tracker := range t.g.opts.Trackers {
		tracker.Ended(now, &t.route, t.choice, result)
	}
}

// outcomeOf says what the result of an attempt tells about the upstream.
func outcomeOf(err *protocol.Error) routing.Outcome {
	if err == nil {
		return routing.OutcomeOK
	}
	switch err.Kind {
	case protocol.KindInterrupted, protocol.KindWrongAdapter, protocol.KindInternal:
		return routing.OutcomeFailed
	case protocol.KindUnavailable:
		if err.Outcome != protocol.OutcomeNotRun {
			return routing.OutcomeFailed
		}
		return routing.OutcomeRejected
	case protocol.KindDeadline:
		if err.Outcome != protocol.OutcomeNotRun {
			return routing.OutcomeFailed
		}
		return routing.OutcomeNeutral
	case protocol.KindOverloaded, protocol.KindNotOwner:
		return routing.OutcomeRejected
	}
	return routing.OutcomeNeutral
}
