// Package entry serves the requests that callers send to this daemon: it chooses an
// upstream, sends the call to the upstream's owner, retries failed attempts and
// delivers one complete answer.
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
	maxPickAttempts      = 20
	pickInterval         = 50 * time.Millisecond
	noUpstreamRetryAfter = time.Second
)

// Owner runs calls on the upstreams that this daemon owns.
type Owner interface {
	Submit(ctx context.Context, call *protocol.Call, sink protocol.Sink) *protocol.Error
}

// Peers runs calls on the upstreams that other daemons own.
type Peers interface {
	Call(ctx context.Context, owner state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error
}

// Options holds the settings and dependencies of a Gateway.
type Options struct {
	Self   state.DaemonID
	Zone   state.Zone
	Region state.Region
	Router routing.Router
	// Trackers observe all attempts. They include Router if it is a Tracker.
	Trackers []routing.Tracker
	Owner    Owner
	Peers    Peers
	Suspects Suspects // optional
	// Catalog returns the configuration in force, or nil before the first
	// configuration. It is optional.
	Catalog func() *state.Catalog
	Clock   func() time.Time
}

// Gateway serves requests from their arrival to the end of the answer. It is safe for
// concurrent use.
type Gateway struct {
	opts   Options
	budget *retry.Budget
	marker *excessMarker
}

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{opts: opts, budget: retry.NewBudget(), marker: newExcessMarker(opts.Catalog)}
}

// session is one request with its attempts.
type session struct {
	g        *Gateway
	call     *protocol.Call
	route    *routing.Request
	delivery *delivery
	retries  *retry.Retrier
	deadline time.Time
	attempt  uint32
	lastErr  *protocol.Error
	excluded []state.UpstreamID // upstreams that rejected the request; not chosen again
	avoided  []state.UpstreamID // upstreams that failed or had changed owner; chosen again if no other upstream is eligible
}

// Serve runs a call and delivers the complete answer to sink, in order and exactly
// once. An error means that the answer is incomplete; the outcome of the error states
// whether the request ran.
func (g *Gateway) Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	deadline := g.opts.Clock().Add(call.TimeLeft)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s := &session{
		g:        g,
		call:     call,
		route:    g.route(call, base),
		delivery: newDelivery(call, sink),
		retries:  retry.NewRetrier(g.budget, call.Repeatable, call.Model != nil),
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
	route.Excess, route.FirstTokenTarget = g.marker.mark(g.opts.Clock(), call)
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
			return s.finalError(ctx, err)
		}
		choice := s.pick(ctx)
		if choice.Upstream == nil || s.needsLoadInOverload(choice) {
			s.reportEnd(ctx, alone, false)
			return s.noUpstreamError(ctx)
		}
		s.attempt++
		tracked := s.g.startTracking(s.route, choice)
		err = s.runAttempt(ctx, choice.Upstream, alone, tracked)
		tracked.end(err)
		s.reportEnd(ctx, alone, err == nil)
		if err == nil {
			return nil
		}
		s.lastErr = err
		decision := s.retries.Handle(s.g.opts.Clock(), retryFailure(err, s.delivery.started()))
		if !decision.Retry || ctx.Err() != nil {
			return s.finalError(ctx, err)
		}
		s.exclude(choice.Upstream.ID, decision)
		sleep(ctx, decision.Backoff)
	}
}

// needsLoadInOverload reports whether the last attempt was refused for overload and the next
// choice would cause a load. A request is not retried in this case.
func (s *session) needsLoadInOverload(choice routing.Choice) bool {
	overloaded := s.lastErr != nil && s.lastErr.Kind == protocol.KindOverloaded
	return overloaded && s.call.Model != nil && !choice.Resident
}

func (s *session) exclude(id state.UpstreamID, d retry.Decision) {
	if d.Exclude {
		s.excluded = append(s.excluded, id)
	}
	if d.Avoid {
		s.avoided = append(s.avoided, id)
	}
	s.route.Exclude = slices.Concat(s.excluded, s.avoided)
}

// pick chooses an upstream. If no upstream is eligible, for example just after the start of
// the daemon, it retries up to maxPickAttempts times. It chooses an avoided upstream only if
// no other upstream is eligible.
func (s *session) pick(ctx context.Context) routing.Choice {
	for range maxPickAttempts {
		choice := s.g.opts.Router.Pick(s.g.opts.Clock(), s.route)
		if choice.Upstream != nil || len(s.excluded) > 0 && len(s.avoided) == 0 || ctx.Err() != nil {
			return choice
		}
		s.avoided = nil
		s.route.Exclude = s.excluded
		sleep(ctx, pickInterval)
	}
	return routing.Choice{}
}

// runAttempt sends one attempt to the owner of an upstream and waits for its end.
func (s *session) runAttempt(ctx context.Context, u *state.Upstream, alone bool, tracked *attemptTracker) *protocol.Error {
	call := *s.call
	call.Attempt = s.attempt
	call.Upstream = u.ID
	call.Exclusive = alone
	call.AboveUsualRate = s.route.Excess
	call.TimeLeft = s.deadline.Sub(s.g.opts.Clock())
	if call.Model != nil {
		model := *call.Model
		model.ResumeOffset = s.delivery.nextOffset()
		call.Model = &model
	}
	sink := s.delivery.newAttempt(&call, tracked)
	defer sink.close()
	var err *protocol.Error
	if u.Owner == s.g.opts.Self {
		err = s.g.opts.Owner.Submit(ctx, &call, sink)
	} else {
		err = s.g.opts.Peers.Call(ctx, u.Owner, &call, sink)
	}
	if failed := sink.firstFailure(); failed != nil {
		return failed
	}
	if err == nil && !s.delivery.ended() {
		return protocol.Errorf(protocol.KindInterrupted, stepRead, protocol.OutcomeUnknown, "the answer is not whole").WithPeer(string(u.Owner))
	}
	if err != nil && s.delivery.ended() {
		// The complete answer was delivered; a later error does not matter.
		return nil
	}
	return err
}

func (s *session) noUpstreamError(ctx context.Context) *protocol.Error {
	if s.lastErr != nil {
		return s.finalError(ctx, s.lastErr)
	}
	err := protocol.Errorf(protocol.KindUnavailable, "choose upstream", protocol.OutcomeNotRun, "no upstream can serve the request").
		WithPeer(string(s.g.opts.Self))
	err.RetryAfter = noUpstreamRetryAfter
	return s.finalError(ctx, err)
}

// finalError returns the error for the caller. Its outcome covers all attempts.
func (s *session) finalError(ctx context.Context, err *protocol.Error) *protocol.Error {
	e := *err
	if s.retries.MaybeRan() && e.Outcome == protocol.OutcomeNotRun {
		e.Outcome = protocol.OutcomeUnknown
		e.RetryAfter = 0
	}
	if e.Outcome == protocol.OutcomeNotRun && s.delivery.started() {
		panic("entry: a request with a partly delivered answer counts as not run: " + s.call.RequestID)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Kind = protocol.KindDeadline
	case ctx.Err() != nil:
		e.Kind = protocol.KindCanceled
	}
	return &e
}

// retryFailure converts the error of an attempt to the input of the retry decision.
func retryFailure(err *protocol.Error, begun bool) retry.Failure {
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
