// Package gateway serves callers' requests. It finds the route of a request, chooses an
// upstream, sends the request there and forwards the whole response.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

const (
	defaultMaxBody = 4 << 20 // bytes of a request body, if the configuration sets no limit
	// minTimeLeft is the minimum time until the deadline with which a request is still sent.
	minTimeLeft = 15 * time.Millisecond
	// noConfigRetryAfter is the Retry-After while the daemon has no configuration, or no
	// memory for request bodies.
	noConfigRetryAfter = 500 * time.Millisecond
)

// Metadata is what the headers of a caller's request contain.
type Metadata struct {
	RequestID string
	Deadline  time.Duration // time allowed from the arrival of the request; zero for no limit
	Adapter   upstreams.Adapter
	TokensIn  int
	TokensOut int
	// SharedParts identifies the parts of the prompt, in order, that other requests may share:
	// all but the last one.
	SharedParts []uint64
	LastEvent   int // last event that the caller has received; -1 for a new stream
}

// UpstreamMetadata is what the gateway adds to the headers of a request to an upstream.
type UpstreamMetadata struct {
	Upstream  state.UpstreamID
	TimeLeft  time.Duration // until the caller's deadline
	Priority  int           // at a model engine; -1 for none
	Version   int           // of the adapter, 0 for any
	LastEvent int           // last event that the caller has received; -1 for none
}

// ResponseMetadata is what the headers of an upstream's response contain.
type ResponseMetadata struct {
	RequestID string
	Signed    bool
	NotRun    bool // the upstream did not run the request
	Misrouted bool // the address is another upstream's, or the adapter or its version is missing
	Load      balance.ReportedLoad
	HasLoad   bool
	LoadErr   error // the upstream reported a malformed load
	// RateLimit is how many requests per second the upstream accepts from all daemons together,
	// valid if HasRateLimit.
	RateLimit    float64
	HasRateLimit bool
	RateLimitErr error // the upstream named a malformed limit
	KeepAlive    time.Duration
}

// HeaderCodec decodes metadata from headers, and encodes metadata and refusals in headers.
type HeaderCodec interface {
	DecodeRequest(h http.Header) Metadata
	EncodeRequest(h http.Header, s UpstreamMetadata)
	DecodeResponse(status int, h http.Header) ResponseMetadata
	EncodeRefusal(h http.Header, retryAfter time.Duration)
}

// Loader requests adapter loads from lease holders, and notifies them of uses.
type Loader interface {
	RequestLoad(ctx context.Context, msg protocol.LoadRequest) protocol.LoadReply
}

// Options configures a Gateway.
type Options struct {
	View        *fleet.View
	Loader      Loader
	Pool        *httpconn.Pool
	HeaderCodec HeaderCodec
	Log         *decisionlog.Log
	Metrics     Metrics
	Clock       func() time.Time
}

// Metrics counts and times completed requests.
type Metrics interface {
	Request(route, outcome string, took time.Duration)
	LongestPause(route string, pause time.Duration)
}

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	opts       Options
	bodies     bodyMemory
	active     atomic.Int64
	tickets    atomic.Uint64 // of the last request
	leaving    atomic.Bool
	mustEndBy  atomic.Int64 // Unix nanoseconds, see RefuseLongRequests; zero for no limit
	refusesAll atomic.Bool
	ended      context.Context // done once EndAll was called
	end        context.CancelFunc
}

// New returns a gateway.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts}
	g.ended, g.end = context.WithCancel(context.Background())
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	ctx, release := g.withEnd(r.Context())
	defer release()
	c := &call{g: g, w: w, r: r, ctx: ctx, arrival: g.opts.Clock(), lastEvent: -1}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if g.refusesAll.Load() {
		c.refuse(decisionlog.DaemonLeaving, leavingRetryAfter)
		return
	}
	table := g.opts.View.Table()
	if table == nil {
		c.refuse(decisionlog.NoConfiguration, noConfigRetryAfter)
		return
	}
	c.meta = g.opts.HeaderCodec.DecodeRequest(r.Header)
	c.route = table.Lookup(r.Host, r.URL.Path)
	if c.route == nil {
		c.respond(http.StatusNotFound, decisionlog.NoRoute)
		return
	}
	c.setDeadline()
	if !c.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	defer func() { g.bodies.release(c.body) }()
	c.prepare(table)
	if c.refuseNewWhileLeaving() {
		return
	}
	c.serve()
}

// call is a caller's request with the state of its processing.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context // ends when the caller leaves or with EndAll
	arrival time.Time

	meta     Metadata
	route    *routes.Route
	service  string
	engine   *routes.EngineSpec
	body     []byte
	traits   []quarantine.Trait
	deadline time.Time
	request  balance.Request

	isTrial bool // admitted as a trial of refused prompt parts
	sends   int  // attempts that got a connection to an upstream
	runs    int  // attempts in which the request may have run
	// usedConns are the connections that carried an attempt. A response is matched by the request
	// ID, so on these connections a delayed copy of the response to that attempt could be taken
	// for the response to another attempt.
	usedConns       []*httpconn.Conn
	excluded        map[state.UpstreamID]bool // upstreams that are not to be chosen again
	failedLoads     int                       // load requests that were refused
	retryTaken      atomic.Bool               // the next retry was already taken from the budget
	responseStarted bool                      // the response headers were written
	lastWrite       time.Time                 // when an event was last written to the caller
	longestPause    time.Duration             // between two events written to the caller
	longestPauseAt  state.UpstreamID          // the upstream that sent the event after the longest pause
	lastEvent       int                       // last event that the caller has, -1 for none
	placement       fleet.Placement           // the last choice of an upstream
	configVersion   uint64                    // of the configuration in force at the arrival
	upstream        state.UpstreamID          // of the last attempt
	loadingAt       state.UpstreamID          // where the request waited for a load
	earlyRejections int                       // rejections by the engine loadingAt
	firstEventDelay time.Duration             // from the arrival to the first event
	loadWait        time.Duration             // total wait for loads
	hold            time.Duration             // wait for room for the prompt at an engine
	holdTime        time.Duration             // sum of these waits
}

// setDeadline computes the deadline from the route's timeout and the time that the caller
// allows.
func (c *call) setDeadline() {
	wait := c.route.Timeout
	if c.meta.Deadline > 0 && (wait <= 0 || c.meta.Deadline < wait) {
		wait = c.meta.Deadline
	}
	c.deadline = c.arrival.Add(wait)
}

// readBody reads the whole body, so that the body can be sent more than once. It returns false
// if it has refused the request. It closes the connection if the body breaks off or does not
// arrive by the deadline.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline) // a closed connection fails the read
	body, err := c.g.bodies.read(c.r.Body, c.r.ContentLength, limit)
	switch {
	case errors.Is(err, errBodyTooLong):
		c.respond(http.StatusRequestEntityTooLarge, decisionlog.BodyTooLarge)
		return false
	case errors.Is(err, errBodyMemory):
		c.refuse(decisionlog.BodyMemoryExhausted, noConfigRetryAfter)
		return false
	case err != nil:
		c.g.opts.Log.Event("request body broke off", slog.String("request", c.meta.RequestID), slog.String("err", err.Error()))
		panic(http.ErrAbortHandler)
	}
	// After a failure the read deadline stays, as net/http reads the rest of the body.
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return true
}

// prepare chooses the service and its engine specification, and computes the traits and the
// description of the request for the balancer.
func (c *call) prepare(table *routes.Table) {
	h := xxhash.New()
	_, _ = h.WriteString(c.r.Host)
	_, _ = h.WriteString(c.r.RequestURI)
	_, _ = h.Write(c.body)
	c.traits = append(c.traits, quarantine.Trait{Kind: quarantine.Content, ID: h.Sum64()})
	for _, id := range c.meta.SharedParts {
		c.traits = append(c.traits, quarantine.Trait{Kind: quarantine.PromptPart, ID: id})
	}
	c.service = c.route.Pick(float64(xxhash.Sum64String(c.meta.RequestID)>>11) / (1 << 53))
	c.engine = table.Config.Services[c.service].Engine
	c.configVersion = table.Config.Version
	c.lastEvent = c.meta.LastEvent
	c.request = balance.Request{Rank: c.route.Rank, TokensIn: c.meta.TokensIn, TokensOut: c.meta.TokensOut, Ticket: c.g.tickets.Add(1)}
	// Less urgent ranks yield to more urgent ones that arrive somewhat later.
	c.request.StartBy = c.arrival.Add(c.route.Goal * time.Duration(2+c.route.Rank) / 2)
	c.excluded = make(map[state.UpstreamID]bool)
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return c.deadline.Sub(c.g.opts.Clock()) }

// abandonAfter returns the estimated pause after which callers abandon a stream.
func (c *call) abandonAfter() time.Duration {
	return max(2*time.Second, 4*c.route.Goal, 8*c.route.GapGoal)
}

// timeToObjective returns the time until the request misses its latency objective. It is
// negative if the request has missed the objective.
func (c *call) timeToObjective() time.Duration {
	return c.route.Goal - c.g.opts.Clock().Sub(c.arrival)
}

// firstEventAfterLoad estimates the time from the end of a load to the first event.
const firstEventAfterLoad = 100 * time.Millisecond

// timeToAbandon returns the estimated time until the caller abandons a paused stream, less a
// margin.
func (c *call) timeToAbandon() time.Duration {
	return c.abandonAfter()*9/10 - c.g.opts.Clock().Sub(c.lastWrite)
}

// limits returns the limits for the next placement of the request.
func (c *call) limits() balance.Limits {
	elapsed := c.g.opts.Clock().Sub(c.arrival)
	if c.route.Kind != routes.Stream {
		return balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: c.timeLeft() * 7 / 10}
	}
	if c.responseStarted { // a resumed stream must continue before the caller abandons it
		return balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: min(max(c.timeToAbandon(), c.route.Goal), c.timeLeft()*7/10)}
	}
	latest := max(c.route.Goal, c.abandonAfter()*6/10)
	return balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: min(latest-elapsed, c.timeLeft()*7/10)}
}

// placementRequest returns the description of the request for the next placement.
func (c *call) placementRequest() fleet.PlacementRequest {
	return fleet.PlacementRequest{
		Service: c.service, Engine: c.engine, Request: c.request, Adapter: c.meta.Adapter, Limits: c.limits(),
		Excluded: func(id state.UpstreamID) bool { return c.excluded[id] },
	}
}

// serve sends the request to upstreams until a complete response has been forwarded, no further
// attempt is possible, or the caller has left. It also starts replications and notices of use
// that the choice of an upstream asks for.
func (c *call) serve() {
	defer c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.Withdraw(c.request) })
	for {
		if c.hasCallerLeft() {
			c.logOutcome(decisionlog.CallerLeft, 0)
			return
		}
		if c.ctx.Err() != nil {
			c.endWithDaemon()
			return
		}
		if c.refuseWaitingWhileLeaving() {
			return
		}
		if c.timeLeft() < minTimeLeft {
			c.fail(decisionlog.Deadline)
			return
		}
		// The request may have waited since the last check, or may itself have crashed an upstream.
		if c.refuseQuarantined() {
			return
		}
		placement := c.g.opts.View.Choose(c.placementRequest())
		c.placement = placement
		if placement.ReplicateTo != nil && c.g.opts.View.AllowReplication(c.meta.Adapter) {
			go c.g.replicate(placement.ReplicateTo.ID, c.meta.Adapter, placement.Version)
		}
		if placement.Upstream == nil && c.responseStarted {
			clear(c.excluded)
			c.sleep(resumeRetryInterval)
			continue
		}
		if placement.Upstream == nil {
			c.failWithRetryAfter(placement.Reason, placement.RetryAfter)
			return
		}
		if c.sends > 0 && !c.retryTaken.Swap(false) && !c.g.opts.View.TakeRetry(c.service) {
			if c.responseStarted {
				c.sleep(resumeRetryInterval)
				continue
			}
			c.fail(decisionlog.RetryBudget)
			return
		}
		if placement.AnnounceUse {
			go c.g.announceUse(placement.Upstream.ID, c.meta.Adapter)
		}
		if !c.awaitLoad(placement) {
			if c.failedLoads >= maxLoadRequests && !c.responseStarted {
				c.failWithRetryAfter(decisionlog.LoadNotOrdered, balance.NoEngineRetryAfter)
				return
			}
			continue
		}
		if c.refuseQuarantined() { // the request may have waited for a load
			return
		}
		if c.hasLeft(placement) {
			c.retryTaken.Store(c.sends > 0)
			continue
		}
		switch c.send(placement) {
		case delivered:
			return
		case held:
			c.retryTaken.Store(c.sends > 0)
			c.holdTime += c.hold
			c.sleep(min(c.hold, max(0, c.timeLeft()-minTimeLeft)))
		case notRun:
			if c.ctx.Err() == nil && c.sends >= maxSends {
				c.fail(decisionlog.Rejected)
				return
			}
		case broken:
			if c.ctx.Err() == nil && (!c.route.Repeatable() || c.runs >= c.route.Attempts) {
				c.fail(decisionlog.UpstreamDisconnected)
				return
			}
			c.isTrial = false // the trial has ended
		}
	}
}

// maxSends is the number of attempts after which a request that an upstream rejects is not
// sent again.
const maxSends = 4

// resumeRetryInterval is the pause between attempts to resume a broken stream. The attempts
// continue until the deadline: the caller decides how long it waits for the stream.
const resumeRetryInterval = 100 * time.Millisecond

// maxLoadRequests is the maximum number of refused load requests for one request of a caller.
const maxLoadRequests = 4

const (
	// minOrderWait is the minimum time that a load may wait for its order before another
	// engine is asked.
	minOrderWait = 200 * time.Millisecond
	// loadAndFirstEvent estimates the time from the order of a load to the first event.
	loadAndFirstEvent = 400 * time.Millisecond
)

// orderWait returns how long a load may wait for its order. If it were ordered later, the
// request would not start in time.
func (c *call) orderWait() time.Duration {
	return max(c.limits().MaxStartDelay-loadAndFirstEvent, minOrderWait)
}

// awaitLoad requests a load of the adapter if necessary, and waits until the estimated end of
// the load. If the load was refused, it excludes the engine and returns false.
func (c *call) awaitLoad(placement fleet.Placement) bool {
	wait := placement.ReadyIn
	if placement.Load {
		ctx, cancel := context.WithTimeout(c.ctx, c.orderWait())
		reply := c.g.opts.Loader.RequestLoad(ctx, protocol.LoadRequest{
			Upstream: placement.Upstream.ID, Adapter: c.meta.Adapter, Version: placement.Version, Rank: c.route.Rank, Slack: c.timeToObjective() - firstEventAfterLoad,
			OrderTimeout: c.orderWait(),
		})
		cancel()
		c.g.opts.Log.Event("load wanted", slog.String("request", c.meta.RequestID), slog.String("upstream", string(placement.Upstream.ID)),
			slog.String("adapter", c.meta.Adapter.String()), slog.Int("version", placement.Version), slog.Bool("ok", reply.Accepted),
			slog.Duration("ready_in", reply.ReadyIn), slog.String("reason", reply.Reason))
		if !reply.Accepted {
			c.failedLoads++
			c.excluded[placement.Upstream.ID] = true
			return false
		}
		wait = reply.ReadyIn
		c.loadingAt = placement.Upstream.ID
	} else if wait > 0 {
		c.loadingAt = placement.Upstream.ID
	}
	c.sleep(min(wait, max(0, c.timeLeft()-minTimeLeft)))
	c.loadWait += wait
	return true
}

// hasLeft reports whether the upstream of a placement began to leave, or left, while the request
// waited for a load there.
func (c *call) hasLeft(placement fleet.Placement) bool {
	if !placement.Load && placement.ReadyIn == 0 {
		return false
	}
	if u := c.g.opts.View.Upstream(placement.Upstream.ID); u != nil && !u.Draining {
		return false
	}
	c.logStep("upstream left during a load", placement.Upstream, nil)
	return true
}

// sleep waits for d, or until the call ends.
func (c *call) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// replicate requests a load of an adapter at an engine that is to become a further replica.
func (g *Gateway) replicate(id state.UpstreamID, a upstreams.Adapter, version int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := g.opts.Loader.RequestLoad(ctx, protocol.LoadRequest{Upstream: id, Adapter: a, Version: version, Rank: balance.RankCount})
	g.opts.Log.Event("adapter replicated", slog.String("upstream", string(id)), slog.String("adapter", a.String()),
		slog.Bool("ok", reply.Accepted), slog.String("reason", reply.Reason))
}

// useNoticeTimeout limits the time for a notice of a use to a lease holder. A lost notice costs
// at most a rejected request.
const useNoticeTimeout = 300 * time.Millisecond

// announceUse notifies the lease holder of an engine that an idle adapter is now in use.
// Gossip would be too late: the adapter that has been idle for longest is evicted next, and
// the engine rejects all orders until the requests on that adapter have ended.
func (g *Gateway) announceUse(id state.UpstreamID, a upstreams.Adapter) {
	ctx, cancel := context.WithTimeout(context.Background(), useNoticeTimeout)
	defer cancel()
	if reply := g.opts.Loader.RequestLoad(ctx, protocol.LoadRequest{Upstream: id, Adapter: a, UsageOnly: true}); !reply.Accepted {
		g.opts.Log.Event("use not told", slog.String("upstream", string(id)), slog.String("adapter", a.String()), slog.String("reason", reply.Reason))
	}
}

// fail ends a request like failWithRetryAfter, with defaultRetryAfter.
func (c *call) fail(reason string) { c.failWithRetryAfter(reason, defaultRetryAfter) }

// defaultRetryAfter is the Retry-After if there is no better estimate.
const defaultRetryAfter = 250 * time.Millisecond

// failWithRetryAfter ends a request without a complete response. If the response has started,
// it closes the connection to the caller. Otherwise the status shows whether the request may
// have run; the Retry-After is sent only if the request has not run.
func (c *call) failWithRetryAfter(reason string, retryAfter time.Duration) {
	switch {
	case c.responseStarted:
		c.logOutcome(reason, -1)
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(reason, retryAfter)
	case c.timeLeft() < minTimeLeft:
		c.respond(http.StatusGatewayTimeout, reason)
	default:
		c.respond(http.StatusBadGateway, reason)
	}
}

// refuse responds with a Retry-After to a request that has not run and will not run.
func (c *call) refuse(reason string, retryAfter time.Duration) {
	c.g.opts.HeaderCodec.EncodeRefusal(c.w.Header(), retryAfter)
	c.respond(http.StatusServiceUnavailable, reason)
}

// respond sends a response of the gateway itself and logs the outcome.
func (c *call) respond(status int, reason string) {
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.Header().Set("X-Celerydeck-Reason", reason)
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // the caller may have left
	c.logOutcome(reason, status)
}

// isStalled reports whether the stream had a longer pause than its route allows.
func (c *call) isStalled() bool {
	return c.route != nil && c.route.GapGoal > 0 && c.longestPause > c.route.GapGoal
}

// logOutcome logs and counts the outcome of a request. Status 0 means that the caller left without a
// response, -1 that the response broke off.
func (c *call) logOutcome(outcome string, status int) {
	now := c.g.opts.Clock()
	took := now.Sub(c.arrival)
	var pause time.Duration
	if !c.lastWrite.IsZero() {
		pause = now.Sub(c.lastWrite)
	}
	routeName := ""
	if c.route != nil {
		routeName = c.route.Name
	}
	c.g.opts.Metrics.Request(routeName, outcome, took)
	if !c.lastWrite.IsZero() {
		c.g.opts.Metrics.LongestPause(routeName, c.longestPause)
	}
	c.g.opts.Log.Request(
		decisionlog.End{Request: c.meta.RequestID, Route: routeName, Outcome: outcome, Answered: status >= 200 && status < 300},
		slog.String("service", c.service), slog.String("adapter", c.meta.Adapter.String()), slog.Int("status", status),
		slog.Int("sends", c.sends), slog.Int("runs", c.runs), slog.String("upstream", string(c.upstream)),
		slog.Duration("took", took), slog.Duration("first", c.firstEventDelay), slog.Duration("load_wait", c.loadWait),
		slog.Duration("estimate", c.placement.Estimate), slog.Uint64("config", c.configVersion), slog.Duration("list_age", c.placement.ListAge),
		slog.Duration("held_age", c.placement.ResidencyAge),
		slog.Int("candidates", c.placement.Candidates), slog.Int("full", c.placement.AtCapacity), slog.Int("far", c.placement.NotPreferred), slog.Int("last_event", c.lastEvent), slog.Duration("pause", pause),
		slog.Duration("hold", c.holdTime), slog.Duration("longest_pause", c.longestPause), slog.String("longest_pause_at", string(c.longestPauseAt)), slog.Bool("stalled", c.isStalled()), slog.Int("tokens", c.meta.TokensIn),
	)
}
