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

func (g *Gateway) serveTicket(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	ticket, err := core.ParseTicket(call.Ticket)
	if err != nil {
		return protocol.Errorf(protocol.KindBadRequest, stepTicket, protocol.OutcomeNotRun, "%v", err)
	}
	if ticket.Daemon != g.opts.Self {
		return g.forward(ctx, ticket, call, base, sink)
	}
	deadline := g.opts.Clock().Add(call.Budget)
	use := core.TicketUse{Ticket: ticket, Customer: call.Customer, Service: call.Service, Digest: digest(call)}
	verdict, perr := g.use(ctx, use)
	switch {
	case perr != nil:
		return perr
	case verdict.Reason != "":
		return g.refusal(stepTicket, verdict.Reason)
	case verdict.Replay != nil:
		if err := replay(verdict.Replay, sink); err != nil {
			return protocol.Errorf(protocol.KindCanceled, stepTicket, protocol.OutcomeRan, "%v", err)
		}
		return nil
	}
	result, perr := g.run(ctx, call, base, sink, deadline)
	g.finish(ticket, result)
	return perr
}

// use asks for a verdict and waits while an earlier use of the ticket runs.
func (g *Gateway) use(ctx context.Context, use core.TicketUse) (core.TicketDecision, *protocol.Error) {
	for {
		g.mu.Lock()
		verdict := g.tickets.Use(g.opts.Clock(), use)
		ended := g.ended
		g.mu.Unlock()
		if !verdict.Wait {
			return verdict, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return verdict, g.refusal(stepTicket, core.ReasonInProgress)
		}
	}
}

func (g *Gateway) finish(ticket core.Ticket, result core.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets.Finish(ticket, result)
	close(g.ended)
	g.ended = make(chan struct{})
}

// forward asks the daemon that issued the ticket to run the call. When that
// daemon can't be asked, an earlier use may have run there, so the outcome is
// unknown.
func (g *Gateway) forward(ctx context.Context, ticket core.Ticket, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	try := *call
	try.Upstream = ""
	try.Base = base
	end := &endSink{Sink: sink}
	err := g.opts.Peers.Call(ctx, ticket.Daemon, &try, end)
	if err != nil {
		lost := *err
		lost.Outcome = protocol.OutcomeUnknown
		return &lost
	}
	if end.err == nil && !end.whole {
		return protocol.Errorf(protocol.KindInterrupted, stepTicket, protocol.OutcomeUnknown, "the answer is not whole").WithPeer(string(ticket.Daemon))
	}
	return end.err
}

// endSink keeps the error of an End from the caller's sink.
type endSink struct {
	protocol.Sink
	err   *protocol.Error
	whole bool
}

// End implements protocol.Sink.
func (e *endSink) End(end protocol.End) error {
	if end.Err != nil {
		e.err = end.Err
		return nil
	}
	e.whole = true
	return e.Sink.End(end)
}
