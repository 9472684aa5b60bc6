// Package gateway serves callers' requests: it finds the route, has a place chosen,
// sends the request there and brings the whole answer back.
package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

const (
	defaultBody   = 4 << 20  // bytes, before a configuration names the limit
	memoryForBody = 48 << 20 // bytes of all bodies that are held at a time
	// minLeft is the least time worth sending a request for.
	minLeft = 15 * time.Millisecond
	// noConfigWait is when to come back while the daemon has no configuration.
	noConfigWait = 500 * time.Millisecond
	// leavingWait is when to come back, to another daemon.
	leavingWait = 10 * time.Millisecond
)

// Metadata is what a caller says about a request.
type Metadata struct {
	RequestID string
	Deadline  time.Duration // how long the caller waits, zero if not told
	Adapter   upstreams.Adapter
	TokensIn  int
	TokensOut int
	Prompt    string
	LastEvent int // resumes after this event, -1 for a new stream
}

// UpstreamMetadata is what the system tells an upstream beside the caller's request.
type UpstreamMetadata struct {
	Upstream  state.UpstreamID
	TimeLeft  time.Duration
	Priority  int // -1 for none
	Version   int // of the adapter, 0 for any
	LastEvent int // -1 for none
}

// ResponseMetadata is what an upstream says about its answer.
type ResponseMetadata struct {
	RequestID string
	Signed    bool
	NotRun    bool // the upstream did not run the request
	Misrouted bool // it is another upstream, or lacks the adapter or its version
	Load      balance.ReportedLoad
	HasLoad   bool
	KeepAlive time.Duration
}

// Dialect translates headers between callers, the product and upstreams.
type Dialect interface {
	DecodeRequest(h http.Header) Metadata
	EncodeRequest(h http.Header, s UpstreamMetadata)
	DecodeResponse(status int, h http.Header) ResponseMetadata
	EncodeRefusal(h http.Header, wait time.Duration)
}

// Loader has adapters loaded.
type Loader interface {
	RequestLoad(ctx context.Context, msg protocol.WantAdapter) protocol.WantReply
}

// Options sets up a Gateway.
type Options struct {
	View    *fleet.View
	Loader  Loader
	Pool    *httpconn.Pool
	Dialect Dialect
	Log     *decisionlog.Log
	Metrics Metrics
	Clock   func() time.Time
}

// Metrics counts and times requests.
type Metrics interface {
	Request(route, outcome string, took time.Duration)
}

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	bodies  atomic.Int64 // bytes held
	active  atomic.Int64
	leaving atomic.Bool
	endBy   atomic.Int64 // Unix nanoseconds; zero while all requests are taken
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// SetLeaving asks callers to use other connections from now on.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// RefuseLongRequests refuses requests that come from now on and may not end by a time: all
// streams, and others whose deadline is later.
func (g *Gateway) RefuseLongRequests(endBy time.Time) { g.endBy.Store(endBy.UnixNano()) }

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{g: g, w: w, r: r, ctx: r.Context(), arrival: g.opts.Clock(), lastEvent: -1}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	table := g.opts.View.Table()
	if table == nil {
		c.refuse(decisionlog.NoConfiguration, noConfigWait)
		return
	}
	c.meta = g.opts.Dialect.DecodeRequest(r.Header)
	c.route = table.Lookup(r.Host, r.URL.Path)
	if c.route == nil {
		c.finish(http.StatusNotFound, decisionlog.NoRoute)
		return
	}
	if !c.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	defer g.bodies.Add(-int64(len(c.body)))
	c.plan(table)
	if by := g.endBy.Load(); by != 0 && (c.route.Kind == routes.Stream || c.deadline.UnixNano() > by) {
		c.refuse(decisionlog.DaemonLeaving, leavingWait)
		return
	}
	c.serve()
}

// call is one request of a caller.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrival time.Time

	meta        Metadata
	route       *routes.Route
	service     string
	engine      *routes.EngineSpec
	body        []byte
	fingerprint uint64
	deadline    time.Time
	request     balance.Request

	sends     int // arrivals at upstreams
	runs      int // sends after which the request may have run
	excluded  map[state.UpstreamID]bool
	loads     int
	reserved  atomic.Bool // the next retry was taken from the budget already
	begun     bool        // the head of the answer was written
	lastWrite time.Time
	lastEvent int              // last event that the caller has, -1 for none
	facts     fleet.Placement  // the last choice of an upstream
	config    uint64           // version of the configuration
	upstream  state.UpstreamID // of the last send
	loading   state.UpstreamID // where a load was waited for
	early     int              // rejections where a load was waited for
	first     time.Duration    // from the arrival to the first event
	waited    time.Duration    // for loads
}

// readBody reads the caller's whole body, so that it can be sent again.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > limit {
		c.finish(http.StatusRequestEntityTooLarge, decisionlog.BodyTooLarge)
		return false
	}
	if c.g.bodies.Load()+max(c.r.ContentLength, 0) > memoryForBody {
		c.refuse(decisionlog.BodyMemory, noConfigWait)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err != nil {
		c.g.opts.Log.Event("request body broke off", slog.String("request", c.meta.RequestID), slog.String("err", err.Error()))
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > limit {
		c.finish(http.StatusRequestEntityTooLarge, decisionlog.BodyTooLarge)
		return false
	}
	c.body = body
	c.g.bodies.Add(int64(len(body)))
	return true
}

func (c *call) plan(table *routes.Table) {
	h := xxhash.New()
	_, _ = h.WriteString(c.r.Host)
	_, _ = h.WriteString(c.r.RequestURI)
	_, _ = h.Write(c.body)
	c.fingerprint = h.Sum64()
	c.service = c.route.Pick(float64(xxhash.Sum64String(c.meta.RequestID)>>11) / (1 << 53))
	c.engine = table.Config.Services[c.service].Engine
	wait := c.route.Timeout
	if c.meta.Deadline > 0 && (wait <= 0 || c.meta.Deadline < wait) {
		wait = c.meta.Deadline
	}
	c.deadline = c.arrival.Add(wait)
	c.config = table.Config.Version
	c.lastEvent = c.meta.LastEvent
	c.request = balance.Request{Rank: c.route.Rank, TokensIn: c.meta.TokensIn, TokensOut: c.meta.TokensOut}
	c.excluded = make(map[state.UpstreamID]bool)
}

func (c *call) left() time.Duration { return c.deadline.Sub(c.g.opts.Clock()) }

// abandonment is the pause after which callers give a stream up.
func (c *call) abandonment() time.Duration {
	return max(2*time.Second, 4*c.route.Goal, 8*c.route.GapGoal)
}

// goalLeft is the time until the request is late, negative if it is.
func (c *call) goalLeft() time.Duration {
	return c.route.Goal - c.g.opts.Clock().Sub(c.arrival)
}

// firstAfterLoad is about how long after a load the first event comes.
const firstAfterLoad = 100 * time.Millisecond

// pauseLeft is the time until the caller gives up a stream that has paused.
func (c *call) pauseLeft() time.Duration {
	return c.abandonment()*9/10 - c.g.opts.Clock().Sub(c.lastWrite)
}

// limits returns how late the request may still begin.
func (c *call) limits() balance.Limits {
	elapsed := c.g.opts.Clock().Sub(c.arrival)
	if c.route.Kind != routes.Stream {
		return balance.Limits{Goal: c.route.Goal, MaxStartDelay: c.left() * 7 / 10}
	}
	if c.begun { // a stream that goes on is late after a pause, not after its first event
		return balance.Limits{Goal: c.route.Goal, MaxStartDelay: min(max(c.pauseLeft(), c.route.Goal), c.left()*7/10)}
	}
	latest := max(c.route.Goal, c.abandonment()*6/10)
	return balance.Limits{Goal: c.route.Goal, MaxStartDelay: min(latest-elapsed, c.left()*7/10)}
}

func (c *call) ask() fleet.PlacementRequest {
	return fleet.PlacementRequest{
		Service: c.service, Engine: c.engine, Request: c.request, Adapter: c.meta.Adapter, Limits: c.limits(),
		Excluded: func(id state.UpstreamID) bool { return c.excluded[id] },
	}
}

// serve sends the request until one answer has been brought back whole, or nothing
// more can be done.
func (c *call) serve() {
	if c.g.opts.View.IsQuarantined(c.fingerprint) {
		c.refuse(decisionlog.Quarantined, c.left())
		return
	}
	for {
		if c.ctx.Err() != nil {
			c.done(decisionlog.CallerLeft, 0)
			return
		}
		if c.left() < minLeft {
			c.giveUp(decisionlog.Deadline)
			return
		}
		place := c.g.opts.View.Choose(c.ask())
		c.facts = place
		if place.ReplicateTo != nil && c.g.opts.View.AllowReplication(c.meta.Adapter) {
			go c.g.replicate(place.ReplicateTo.ID, c.meta.Adapter, place.Version)
		}
		if place.Upstream == nil && c.begun {
			clear(c.excluded)
			c.pause(resumeRetry)
			continue
		}
		if place.Upstream == nil {
			c.giveUpWith(place.Reason, place.RetryAfter)
			return
		}
		if c.sends > 0 && !c.reserved.Swap(false) && !c.g.opts.View.TakeRetry(c.service) {
			if c.begun {
				c.pause(resumeRetry)
				continue
			}
			c.giveUp(decisionlog.RetryBudget)
			return
		}
		if place.AnnounceUse {
			go c.g.touch(place.Upstream.ID, c.meta.Adapter)
		}
		if !c.await(place) {
			if c.loads >= maxLoads && !c.begun {
				c.giveUpWith(decisionlog.NoLoad, balance.NoEngineRetryAfter)
				return
			}
			continue
		}
		switch c.send(place) {
		case delivered:
			return
		case notRun:
			if c.sends >= maxSends {
				c.giveUp(decisionlog.Rejected)
				return
			}
		case broken:
			if !c.route.Repeatable() || c.runs >= c.route.Attempts {
				c.giveUp(decisionlog.BrokeOff)
				return
			}
		}
	}
}

// maxSends bounds the upstreams that may reject a request before it is refused.
const maxSends = 4

// resumeRetry is the pause before a place for a broken stream is looked for again, up
// to the deadline: the caller decides when it has waited for long enough.
const resumeRetry = 100 * time.Millisecond

// maxLoads bounds the engines that are asked to load an adapter for one request.
const maxLoads = 4

const (
	// minOrderWait is the least time for a load to be ordered before another engine is asked.
	minOrderWait = 200 * time.Millisecond
	// loadAndFirst is about the time from the order of a load to the first event.
	loadAndFirst = 400 * time.Millisecond
)

// orderWait is how long a load may stay unordered. A request whose load is ordered
// later would not begin in time.
func (c *call) orderWait() time.Duration {
	return max(c.limits().MaxStartDelay-loadAndFirst, minOrderWait)
}

// await has the adapter loaded if it must be, and waits until it is there.
func (c *call) await(place fleet.Placement) bool {
	wait := place.ReadyIn
	if place.Load {
		ctx, cancel := context.WithTimeout(c.ctx, c.orderWait())
		reply := c.g.opts.Loader.RequestLoad(ctx, protocol.WantAdapter{
			Upstream: place.Upstream.ID, Adapter: c.meta.Adapter, Version: place.Version, Rank: c.route.Rank, Slack: c.goalLeft() - firstAfterLoad,
			Wait: c.orderWait(),
		})
		cancel()
		c.g.opts.Log.Event("load wanted", slog.String("request", c.meta.RequestID), slog.String("upstream", string(place.Upstream.ID)),
			slog.String("adapter", c.meta.Adapter.String()), slog.Int("version", place.Version), slog.Bool("ok", reply.OK),
			slog.Duration("ready_in", reply.ReadyIn), slog.String("reason", reply.Reason))
		if !reply.OK {
			c.loads++
			c.excluded[place.Upstream.ID] = true
			return false
		}
		wait = reply.ReadyIn
		c.loading = place.Upstream.ID
	} else if wait > 0 {
		c.loading = place.Upstream.ID
	}
	c.pause(min(wait, max(0, c.left()-minLeft)))
	c.waited += wait
	return true
}

func (c *call) pause(d time.Duration) {
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

func (g *Gateway) replicate(id state.UpstreamID, a upstreams.Adapter, version int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := g.opts.Loader.RequestLoad(ctx, protocol.WantAdapter{Upstream: id, Adapter: a, Version: version, Rank: balance.RankCount})
	g.opts.Log.Event("adapter replicated", slog.String("upstream", string(id)), slog.String("adapter", a.String()),
		slog.Bool("ok", reply.OK), slog.String("reason", reply.Reason))
}

// touchTimeout bounds a message of a use, whose loss costs a rejected request at most.
const touchTimeout = 300 * time.Millisecond

// touch tells the owner of an engine that an idle adapter is used from now on. The
// exchange of states between daemons would be too late: what has been idle for longest
// is unloaded next, and the engine rejects all orders until the runs on it have ended.
func (g *Gateway) touch(id state.UpstreamID, a upstreams.Adapter) {
	ctx, cancel := context.WithTimeout(context.Background(), touchTimeout)
	defer cancel()
	if reply := g.opts.Loader.RequestLoad(ctx, protocol.WantAdapter{Upstream: id, Adapter: a, Use: true}); !reply.OK {
		g.opts.Log.Event("use not told", slog.String("upstream", string(id)), slog.String("adapter", a.String()), slog.String("reason", reply.Reason))
	}
}

// giveUp ends a request that has no good answer, with the truth about whether it ran.
func (c *call) giveUp(reason string) { c.giveUpWith(reason, retrySoon) }

// retrySoon is when to come back if nothing better is known.
const retrySoon = 250 * time.Millisecond

func (c *call) giveUpWith(reason string, wait time.Duration) {
	switch {
	case c.begun:
		c.done(reason, -1)
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(reason, wait)
	case c.left() < minLeft:
		c.finish(http.StatusGatewayTimeout, reason)
	default:
		c.finish(http.StatusBadGateway, reason)
	}
}

// refuse answers a request that has not run and will not run.
func (c *call) refuse(reason string, wait time.Duration) {
	c.g.opts.Dialect.EncodeRefusal(c.w.Header(), wait)
	c.finish(http.StatusServiceUnavailable, reason)
}

// finish answers for the system itself.
func (c *call) finish(status int, reason string) {
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.Header().Set("X-Celerydeck-Reason", reason)
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // the caller may have left
	c.done(reason, status)
}

// done writes the line that explains a request. Status 0 means that no answer was
// owed, -1 that an answer broke off.
func (c *call) done(outcome string, status int) {
	now := c.g.opts.Clock()
	took := now.Sub(c.arrival)
	var pause time.Duration
	if !c.lastWrite.IsZero() {
		pause = now.Sub(c.lastWrite)
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.g.opts.Metrics.Request(name, outcome, took)
	c.g.opts.Log.Request(
		decisionlog.End{Request: c.meta.RequestID, Route: name, Outcome: outcome, Answered: status >= 200 && status < 300},
		slog.String("service", c.service), slog.String("adapter", c.meta.Adapter.String()), slog.Int("status", status),
		slog.Int("sends", c.sends), slog.Int("runs", c.runs), slog.String("upstream", string(c.upstream)),
		slog.Duration("took", took), slog.Duration("first", c.first), slog.Duration("load_wait", c.waited),
		slog.Duration("estimate", c.facts.Estimate), slog.Uint64("config", c.config), slog.Duration("list_age", c.facts.ListAge),
		slog.Duration("held_age", c.facts.ResidencyAge),
		slog.Int("candidates", c.facts.Candidates), slog.Int("full", c.facts.AtCapacity), slog.Int("far", c.facts.NotPreferred), slog.Int("last_event", c.lastEvent), slog.Duration("pause", pause), slog.Int("tokens", c.meta.TokensIn),
	)
}
