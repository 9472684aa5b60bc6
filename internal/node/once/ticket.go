package once

import (
	"context"

	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// IssueTicket returns a new ticket for a customer's call of a service.
func (g *Gateway) IssueTicket(customer state.CustomerID, service state.ServiceID) core.Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Clock()
	g.tickets.Expire(now)
	return g.tickets.Issue(now, customer, service)
}

// serveTicket serves a call with a ticket that this daemon issued. It forwards a call with
// a ticket of another daemon to that daemon.
func (g *Gateway) serveTicket(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	ticket, err := core.ParseTicket(call.Ticket)
	if err != nil {
		return protocol.Errorf(protocol.KindBadRequest, stepTicket, protocol.OutcomeNotRun, "%v", err)
	}
	if ticket.Daemon != g.opts.Self {
		return g.forward(ctx, ticket, call, base, sink)
	}
	deadline := g.opts.Clock().Add(call.TimeLeft)
	use := core.TicketUse{Ticket: ticket, Customer: call.Customer, Service: call.Service, Digest: digest(call)}
	decision, perr := g.awaitDecision(ctx, use)
	switch {
	case perr != nil:
		return perr
	case decision.Reason != "":
		return g.refusal(stepTicket, decision.Reason)
	case decision.Replay != nil:
		if err := replay(decision.Replay, sink); err != nil {
			return protocol.Errorf(protocol.KindCanceled, stepTicket, protocol.OutcomeRan, "%v", err)
		}
		return nil
	}
	result, perr := g.run(ctx, call, base, sink, deadline)
	g.finish(ticket, result)
	return perr
}

// awaitDecision returns the decision on the use of a ticket. It waits while an earlier
// use of the ticket runs.
func (g *Gateway) awaitDecision(ctx context.Context, use core.TicketUse) (core.TicketDecision, *protocol.Error) {
	for {
		g.mu.Lock()
		decision := g.tickets.Use(g.opts.Clock(), use)
		useEnded := g.useEnded
		g.mu.Unlock()
		if !decision.Wait {
			return decision, nil
		}
		select {
		case <-useEnded:
		case <-ctx.Done():
			return decision, g.refusal(stepTicket, core.ReasonInProgress)
		}
	}
}

// finish records the result of a call with a ticket and wakes the requests that wait in
// awaitDecision.
func (g *Gateway) finish(ticket core.Ticket, result core.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets.Finish(ticket, result)
	close(g.useEnded)
	g.useEnded = make(chan struct{})
}

// forward forwards a call to the daemon that issued its ticket. If the forwarded call
// fails, the outcome is unknown, because an earlier use of the ticket may have run at the
// issuing daemon.
func (g *Gateway) forward(ctx context.Context, ticket core.Ticket, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	forwarded := *call
	forwarded.Upstream = ""
	forwarded.Base = base
	result := &endSink{Sink: sink}
	err := g.opts.Peers.Call(ctx, ticket.Daemon, &forwarded, result)
	if err != nil {
		unreachable := *err
		unreachable.Outcome = protocol.OutcomeUnknown
		return &unreachable
	}
	if result.err == nil && !result.complete {
		return protocol.Errorf(protocol.KindInterrupted, stepTicket, protocol.OutcomeUnknown, "the answer is not whole").WithPeer(string(ticket.Daemon))
	}
	return result.err
}

// endSink passes an answer on to another sink, except an End with an error. It keeps that
// error for forward to return.
type endSink struct {
	protocol.Sink
	err      *protocol.Error
	complete bool
}

// End implements protocol.Sink.
func (e *endSink) End(end protocol.End) error {
	if end.Err != nil {
		e.err = end.Err
		return nil
	}
	e.complete = true
	return e.Sink.End(end)
}
