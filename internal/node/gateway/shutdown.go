package gateway

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

// leavingRetryAfter is the Retry-After of a daemon that is shutting down. It is short
// because the retry goes to another daemon.
const leavingRetryAfter = 10 * time.Millisecond

// SetLeaving makes the gateway close the connection to the caller after each response, so that
// callers use other daemons.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// RefuseLongRequests makes the gateway refuse new requests that may not end by the given
// time: all streams, and requests with a later deadline. It also refuses the requests that still
// wait when they can no longer be expected to end by then, so that their callers have time left
// for another daemon.
func (g *Gateway) RefuseLongRequests(endBy time.Time) { g.mustEndBy.Store(endBy.UnixNano()) }

// RefuseAll makes the gateway refuse all new requests. Requests that it has not refused are
// counted by ActiveRequests when RefuseAll returns.
func (g *Gateway) RefuseAll() { g.refusesAll.Store(true) }

// EndAll ends the requests in progress. It refuses those that have not run. The others get a
// failure that leaves open whether they ran, or their response breaks off if it has started.
func (g *Gateway) EndAll() { g.end() }

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// refuseNewWhileLeaving refuses a new request that the daemon cannot be expected to complete
// before it exits, and reports whether it did.
func (c *call) refuseNewWhileLeaving() bool {
	endBy, isLeaving := c.g.endBy()
	if !isLeaving || c.route.Kind != routes.Stream && !c.deadline.After(endBy) {
		return false
	}
	c.refuse(decisionlog.DaemonLeaving, leavingRetryAfter)
	return true
}

// refuseWaitingWhileLeaving refuses a request that waits and has not run, if it could not be
// expected to end before the daemon exits even if it was sent now. It reports whether it did.
func (c *call) refuseWaitingWhileLeaving() bool {
	endBy, isLeaving := c.g.endBy()
	if !isLeaving || c.runs > 0 || c.responseStarted {
		return false
	}
	end := c.deadline
	if c.route.Kind == routes.Stream {
		c.g.opts.View.WithTracker(func(t *balance.Tracker) {
			mean := t.MeanStreamTime()
			if c.engine == nil {
				mean = t.MeanPlainStreamTime()
			}
			end = c.g.opts.Clock().Add(mean)
		})
	}
	if !end.After(endBy) {
		return false
	}
	c.refuse(decisionlog.DaemonLeaving, leavingRetryAfter)
	return true
}

// endWithDaemon ends a request because of EndAll.
func (c *call) endWithDaemon() {
	reason := decisionlog.DaemonLeaving
	if c.runs > 0 || c.responseStarted {
		reason = decisionlog.DaemonStopped
	}
	c.failWithRetryAfter(reason, leavingRetryAfter)
}

// endBy returns the time by which requests must end, if the daemon is shutting down.
func (g *Gateway) endBy() (time.Time, bool) {
	nanos := g.mustEndBy.Load()
	return time.Unix(0, nanos), nanos != 0
}

// withEnd returns a context that also ends with EndAll, and a function that releases it.
func (g *Gateway) withEnd(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(g.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// hasCallerLeft reports whether the caller has closed its connection.
func (c *call) hasCallerLeft() bool { return c.r.Context().Err() != nil }
