package entry

import (
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// attemptTracker measures one attempt and reports its start and end to the trackers.
type attemptTracker struct {
	g         *Gateway
	route     routing.Request
	choice    routing.Choice
	started   time.Time
	firstPart atomic.Int64 // nanoseconds from started to the first part; 0 if none arrived
	tokens    atomic.Int64
}

// startTracking reports the start of an attempt to the trackers. The caller must call
// end when the attempt has ended.
func (g *Gateway) startTracking(route *routing.Request, choice routing.Choice) *attemptTracker {
	t := &attemptTracker{g: g, route: *route, choice: choice, started: g.opts.Clock()}
	for _, tracker := range g.opts.Trackers {
		tracker.Sent(t.started, &t.route, choice)
	}
	return t
}

// observePart counts the tokens of a part of the answer.
func (t *attemptTracker) observePart(tokens uint32) {
	t.tokens.Add(int64(tokens))
	if t.firstPart.Load() == 0 {
		elapsed := t.g.opts.Clock().Sub(t.started)
		t.firstPart.CompareAndSwap(0, max(int64(elapsed), 1))
	}
}

// end reports the result of the attempt to the trackers.
func (t *attemptTracker) end(err *protocol.Error) {
	now := t.g.opts.Clock()
	result := routing.Result{
		Outcome:    outcomeOf(err),
		FirstToken: time.Duration(t.firstPart.Load()),
		Total:      now.Sub(t.started),
		Tokens:     int(t.tokens.Load()),
	}
	for _, tracker := range t.g.opts.Trackers {
		tracker.Ended(now, &t.route, t.choice, result)
	}
}

// outcomeOf classifies the result of an attempt by what it shows about the upstream.
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
