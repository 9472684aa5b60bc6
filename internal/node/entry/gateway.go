// Package entry takes the requests of callers, chooses an upstream and brings
// back the answer from the upstream's owner.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/answer"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxAttempts    = 6
	noUpstreamGap  = 50 * time.Millisecond
	ownerChangeGap = 100 * time.Millisecond
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
	Clock    func() time.Time
}

// Gateway serves requests from end to end. It is safe for concurrent use.
type Gateway struct {
	opts Options
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// Serve runs a call and delivers the whole answer to sink in order and once. An
// error means that the answer is not whole; its outcome says what is known.
func (g *Gateway) Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	deadline := g.opts.Clock().Add(call.Budget)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	out := &ordered{sink: sink}
	route := &routing.Request{
		Base:    base,
		Service: call.Service,
		Rank:    call.Rank,
		Zone:    g.opts.Zone,
		Region:  g.opts.Region,

		Repeatable: call.Repeatable,
	}
	if call.Model != nil {
		route.Adapter = call.Model.Adapter
		route.Prefix = call.Model.Prefix
		route.PromptTokens = call.Model.PromptLen
	}
	var last *protocol.Error
	for attempt := uint32(1); attempt <= maxAttempts; attempt++ {
		choice := g.pick(ctx, route)
		if choice.Upstream == nil {
			return g.noUpstream(last)
		}
		try := *call
		try.Attempt = attempt
		try.Upstream = choice.Upstream.ID
		try.Budget = deadline.Sub(g.opts.Clock())
		if call.Model != nil {
			model := *call.Model
			model.Resume = out.next()
			try.Model = &model
		}
		tracked := g.track(route, choice)
		err := g.attempt(ctx, choice.Upstream.Owner, &try, out, tracked)
		tracked.end(err)
		if err == nil {
			return nil
		}
		last = err
		if !g.retryable(ctx, call, err, out) {
			return err
		}
		if err.Kind == protocol.KindNotOwner {
			sleep(ctx, ownerChangeGap)
			continue
		}
		route.Exclude = append(route.Exclude, choice.Upstream.ID)
	}
	return last
}

// pick waits a little for an upstream to appear, as after a start.
func (g *Gateway) pick(ctx context.Context, route *routing.Request) routing.Choice {
	const tries = 20
	for range tries {
		choice := g.opts.Router.Pick(g.opts.Clock(), route)
		if choice.Upstream != nil || len(route.Exclude) > 0 {
			return choice
		}
		sleep(ctx, noUpstreamGap)
	}
	return routing.Choice{}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (g *Gateway) noUpstream(last *protocol.Error) *protocol.Error {
	if last != nil {
		return last
	}
	err := protocol.Errorf(protocol.KindUnavailable, "choose upstream", protocol.OutcomeNotRun, "no upstream can serve the request")
	err.RetryAfter = time.Second
	return err
}

func (g *Gateway) attempt(ctx context.Context, owner state.DaemonID, call *protocol.Call, out *ordered, tracked *tracking) *protocol.Error {
	a := &attemptSink{out: out, call: call, tracked: tracked}
	var err *protocol.Error
	if owner == g.opts.Self {
		err = g.opts.Owner.Submit(ctx, call, a)
	} else {
		err = g.opts.Peers.Call(ctx, owner, call, a)
	}
	if a.failure != nil {
		return a.failure
	}
	if err == nil && !out.isDone() {
		return protocol.Errorf(protocol.KindInterrupted, "read answer", protocol.OutcomeUnknown, "answer is not whole").WithPeer(string(owner))
	}
	return err
}

func (g *Gateway) retryable(ctx context.Context, call *protocol.Call, err *protocol.Error, out *ordered) bool {
	if ctx.Err() != nil || err.Kind == protocol.KindBadRequest || err.Kind == protocol.KindCanceled {
		return false
	}
	if err.Outcome == protocol.OutcomeNotRun {
		return true
	}
	if call.Model == nil {
		return call.Repeatable && !out.started()
	}
	return call.Repeatable
}

// ordered delivers the answer of all attempts in order to one sink.
type ordered struct {
	mu     sync.Mutex
	sink   protocol.Sink
	asm    answer.Assembler
	headed bool
	done   bool
}

func (o *ordered) next() uint32 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asm.Next()
}

func (o *ordered) isDone() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.done
}

func (o *ordered) started() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.headed
}

// attemptSink checks the parts of one attempt and hands them on.
type attemptSink struct {
	out     *ordered
	call    *protocol.Call
	tracked *tracking
	failure *protocol.Error
}

func (a *attemptSink) Head(h protocol.Head) error {
	if a.call.Model != nil && h.Adapter != a.call.Model.Adapter {
		a.failure = protocol.Errorf(protocol.KindWrongAdapter, "check answer", protocol.OutcomeUnknown,
			"answered by %s instead of %s", h.Adapter, a.call.Model.Adapter).WithPeer(string(h.Upstream))
		return a.failure
	}
	a.out.mu.Lock()
	defer a.out.mu.Unlock()
	if a.out.headed {
		return nil
	}
	a.out.headed = true
	return a.out.sink.Head(h)
}

func (a *attemptSink) Chunk(c protocol.Chunk) error {
	a.tracked.part()
	a.out.mu.Lock()
	defer a.out.mu.Unlock()
	ready, err := a.out.asm.Add(answer.Piece{Offset: c.Offset, Count: c.Count, Data: c.Data})
	if err != nil {
		return err
	}
	for _, p := range ready {
		part := protocol.Chunk{Attempt: c.Attempt, Offset: p.Offset, Count: p.Count, Data: p.Data}
		if err := a.out.sink.Chunk(part); err != nil {
			return err
		}
	}
	return nil
}

func (a *attemptSink) End(e protocol.End) error {
	if e.Err != nil {
		a.failure = e.Err
		return nil
	}
	a.out.mu.Lock()
	defer a.out.mu.Unlock()
	if err := a.out.asm.End(e.Total); err != nil {
		a.failure = protocol.Errorf(protocol.KindInterrupted, "read answer", protocol.OutcomeUnknown, "%v", err)
		return nil
	}
	a.out.done = true
	return a.out.sink.End(e)
}
