package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/state"
)

// attemptTimeout returns how long the gateway waits for the response headers before it seeks
// another upstream. It is zero if only the deadline limits the wait.
func (x *exchange) attemptTimeout() time.Duration {
	c := x.c
	if !c.route.Repeatable() || c.runs+x.hedged.otherRuns(c)+1 >= c.route.Attempts {
		return 0
	}
	if c.route.Kind == routes.Stream {
		return max(3*c.placement.Estimate, c.route.Goal*2)
	}
	return max(minAttemptTimeout, 2*c.route.Goal)
}

// watchResponse resets the connection of a request whose response head, or whose body if it is
// not a stream, takes longer than the attempt timeout, if another upstream would start the
// request within the latency objective. At an engine that is merely busy, the request's place in
// the queue is worth more than a new place in the queue of another engine. watchResponse returns
// a function that ends the watch, which may be called more than once.
func (x *exchange) watchResponse() (stop func()) {
	wait := x.attemptTimeout()
	if wait == 0 {
		return func() {}
	}
	req := x.placementElsewhere()
	done := make(chan struct{})
	go func() {
		t := time.NewTimer(wait)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			if x.tryMove(req) {
				x.resetFor("no answer in time")
				return
			}
			t.Reset(headCheckInterval)
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// placementElsewhere returns a request for a placement at another upstream, for use on any
// goroutine.
func (x *exchange) placementElsewhere() fleet.PlacementRequest {
	req := x.c.placementRequest()
	excluded := maps.Clone(x.c.excluded) // the call's goroutine may change the original
	req.Excluded = func(id state.UpstreamID) bool { return id == x.u.ID || excluded[id] }
	return req
}

// tryMove reports whether another upstream, without a load, would start the request within the
// latency objective and a retry is left in the budget. If so, it takes the retry.
func (x *exchange) tryMove(req fleet.PlacementRequest) bool {
	c := x.c
	if !x.hedged.mayMove(c) {
		return false
	}
	req.Limits = balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: min(c.route.Goal, c.timeLeft())}
	placement := c.g.opts.View.Choose(req)
	if placement.Upstream == nil || placement.Load || !c.g.opts.View.TakeRetry(c.service) || !x.hedged.move(c) {
		return false
	}
	c.retryTaken.Store(true)
	return true
}
