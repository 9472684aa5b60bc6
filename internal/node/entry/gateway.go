// Package entry takes the requests of callers, chooses an upstream and brings
// back the answer from the upstream's owner.
package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/retry"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	noUpstreamTries = 20
	noUpstreamGap   = 50 * time.Millisecond
	noUpstreamRetry = time.Second
)

// Owner runs calls on the upstreams of this daemon.
type Owner interface {
	Submit(ctx context.Context, call *protocol.Call, sink protocol.Sink) *protocol.Error
}

// Peers runs calls on the upstreams of other daemons.
type Peers interface {
	Call(ctx context.Context, owner state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error
}

// Options sets up a Gateway.
type Options struct {
	Self   state.DaemonID
	Zone   state.Zone
	Region state.Region
	Router routing.Router
	// Trackers learn from the attempts. A Router that is a Tracker is one of them.
	Trackers []routing.Tracker
	Owner    Owner
	Peers    Peers
	Suspects Suspects
	// Catalog returns the configuration in force, or nil before the first one.
	Catalog func() *state.Catalog
	Clock   func() time.Time
}

// Gateway serves requests from end to end. It is safe for concurrent use.
type Gateway struct {
	opts   Options
	budget *retry.Budget
	marks  *marks
}

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{opts: opts, budget: retry.NewBudget(), marks: newMarks(opts.Catalog)}
}

// session is one request with its attempts.
type session struct {
	g        *Gateway
	call     *protocol.Call
	route    *routing.Request
	out      *delivery
	plan     *retry.Retrier
	deadline time.Time
	attempt  uint32
	last     *protocol.Error
	excluded []state.UpstreamID // failed or refused
	avoided  []state.UpstreamID // had another owner a moment ago
}

// Serve runs a call and delivers the whole answer to sink in order and once. An
// error means that the answer is not whole; its outcome says what is known.
func (g *Gateway) Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	deadline := g.opts.Clock().Add(call.TimeLeft)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s := &session{
		g:        g,
		call:     call,
		route:    g.route(call, base),
		out:      newDelivery(call, sink),
		plan:     retry.NewRetrier(g.budget, call.Repeatable, call.Model != nil),
		deadline: deadline,
	}
	return s.run(ctx)
}

func (g *Gateway) route(call *protocol.Call, base string) *routing.Request {
	route := &routing.Request{
		Base:    base,
		Service: call.Service,
		Rank:    call.Rank,
		Zone:    g.opts.Zone,
		Region:  g.opts.Region,

		Repeatable: call.Repeatable,
	}
	route.Excess, route.FirstTokenTarget = g.marks.mark(g.opts.Clock(), call)
	if call.Model != nil {
		route.Adapter = call.Model.Adapter
		route.Prefix = call.Model.FirstMessageHash
		route.PromptTokens = call.Model.PromptTokens
	}
	return route
}

func (s *session) run(ctx context.Context) *protocol.Error {
	for {
		alone, err := s.admit(ctx)
		if err != nil {
			return s.final(ctx, err)
		}
		choice := s.pick(ctx)
		if choice.Upstream == nil || s.notWorthLoad(choice) {
			s.finish(ctx, alone, false)
			return s.noUpstream(ctx)
		}
		s.attempt++
		tracked := s.g.track(s.route, choice)
		err = s.try(ctx, choice.Upstream, alone, tracked)
		tracked.end(err)
		s.finish(ctx, alone, err == nil)
		if err == nil {
			return nil
		}
		s.last = err
		decision := s.plan.Handle(s.g.opts.Clock(), failure(err, s.out.started()))
		if !decision.Retry || ctx.Err() != nil {
			return s.final(ctx, err)
		}
		s.leaveOut(choice.Upstream.ID, decision)
		sleep(ctx, decision.Backoff)
	}
}

// notWorthLoad reports whether a request that was refused in overload would need a
// load at its next choice.
func (s *session) notWorthLoad(choice routing.Choice) bool {
	overloaded := s.last != nil && s.last.Kind == protocol.KindOverloaded
	return overloaded && s.call.Model != nil && !choice.Resident
}

func (s *session) leaveOut(id state.UpstreamID, d retry.Decision) {
	if d.Exclude {
		s.excluded = append(s.excluded, id)
	}
	if d.Avoid {
		s.avoided = append(s.avoided, id)
	}
	s.route.Exclude = slices.Concat(s.excluded, s.avoided)
}

// pick waits a little for an upstream to appear, as after a start. Upstreams that
// are only avoided are tried again when there is no other.
func (s *session) pick(ctx context.Context) routing.Choice {
	for range noUpstreamTries {
		choice := s.g.opts.Router.Pick(s.g.opts.Clock(), s.route)
		if choice.Upstream != nil || len(s.excluded) > 0 && len(s.avoided) == 0 || ctx.Err() != nil {
			return choice
		}
		s.avoided = nil
		s.route.Exclude = s.excluded
		sleep(ctx, noUpstreamGap)
	}
	return routing.Choice{}
}

// try runs one attempt at the owner of an upstream.
func (s *session) try(ctx context.Context, u *state.Upstream, alone bool, tracked *tracking) *protocol.Error {
	call := *s.call
	call.Attempt = s.attempt
	call.Upstream = u.ID
	call.Exclusive = alone
	call.AboveUsualRate = s.route.Excess
	call.TimeLeft = s.deadline.Sub(s.g.opts.Clock())
	if call.Model != nil {
		model := *call.Model
		model.ResumeOffset = s.out.next()
		call.Model = &model
	}
	sink := s.out.open(&call, tracked)
	defer sink.close()
	var err *protocol.Error
	if u.Owner == s.g.opts.Self {
		err = s.g.opts.Owner.Submit(ctx, &call, sink)
	} else {
		err = s.g.opts.Peers.Call(ctx, u.Owner, &call, sink)
	}
	if failed := sink.failed(); failed != nil {
		return failed
	}
	if err == nil && !s.out.ended() {
		return protocol.Errorf(protocol.KindInterrupted, stepRead, protocol.OutcomeUnknown, "the answer is not whole").WithPeer(string(u.Owner))
	}
	if err != nil && s.out.ended() {
		// The answer was delivered whole; what broke afterwards does not matter.
		return nil
	}
	return err
}

func (s *session) noUpstream(ctx context.Context) *protocol.Error {
	if s.last != nil {
		return s.final(ctx, s.last)
	}
	err := protocol.Errorf(protocol.KindUnavailable, "choose upstream", protocol.OutcomeNotRun, "no upstream can serve the request").
		WithPeer(string(s.g.opts.Self))
	err.RetryAfter = noUpstreamRetry
	return s.final(ctx, err)
}

// final returns the error that the caller sees. Its outcome covers all attempts.
func (s *session) final(ctx context.Context, err *protocol.Error) *protocol.Error {
	e := *err
	if s.plan.MaybeRan() && e.Outcome == protocol.OutcomeNotRun {
		e.Outcome = protocol.OutcomeUnknown
		e.RetryAfter = 0
	}
	if e.Outcome == protocol.OutcomeNotRun && s.out.started() {
		panic("entry: a request whose answer has begun counts as not run: " + s.call.RequestID)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Kind = protocol.KindDeadline
	case ctx.Err() != nil:
		e.Kind = protocol.KindCanceled
	}
	return &e
}

// failure translates an error for the decision about a retry.
func failure(err *protocol.Error, begun bool) retry.Failure {
	f := retry.Failure{Cause: retry.Failed, MaybeRan: err.Outcome != protocol.OutcomeNotRun || begun, AnswerStarted: begun}
	switch err.Kind {
	case protocol.KindBadRequest, protocol.KindCanceled, protocol.KindDeadline, protocol.KindTooLarge, protocol.KindRefusedFingerprint:
		f.Cause = retry.Permanent
	case protocol.KindNotOwner:
		f.Cause = retry.NotOwner
	case protocol.KindOverloaded:
		f.Cause = retry.Rejected
	}
	return f
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
