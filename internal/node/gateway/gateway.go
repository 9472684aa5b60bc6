// Package gateway serves callers' requests. It finds the route of a request, chooses an
// upstream, sends the request there and forwards the whole response.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/hedge"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/frontconn"
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
	HasTokens bool // the request names both numbers of tokens
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
	Account   string        // name of the caller's client account
	// HasAccounts is whether the configuration has client accounts. If so, the headers that name
	// the caller's key or account are the daemon's to set.
	HasAccounts bool
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
	eligibility.Signals
	KeepAlive time.Duration
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

// Pacer schedules prompts with the lease holders of engines. It returns false if no lease holder
// has answered.
type Pacer interface {
	ReservePrompt(ctx context.Context, msg protocol.PromptReservation) (protocol.PromptReservationReply, bool)
}

// Options configures a Gateway.
type Options struct {
	View        *fleet.View
	Loader      Loader
	Pacer       Pacer // nil if prompts are not scheduled
	Pool        *httpconn.Pool
	HeaderCodec HeaderCodec
	Log         *decisionlog.Log
	Metrics     Metrics
	Accounts    AccountMetrics // nil for none
	Clock       func() time.Time
	// Probe asks the engine at an address for a short answer. Nil if engines can't be probed.
	Probe func(ctx context.Context, addr string) error
	// StrictRevoke is whether requests end whose key is removed while they run, within RevokeTime.
	StrictRevoke bool
	RevokeTime   time.Duration
	// Hedge limits hedges. The zero value turns them off, and HedgeMetrics is not used then.
	Hedge        hedge.Limits
	HedgeMetrics HedgeMetrics
	// Bodies and Responses are the memory for the bodies of requests and of responses. If they are nil,
	// both share maxBodyMemory.
	Bodies, Responses *frontconn.Memory
}

// Metrics counts and times completed requests.
type Metrics interface {
	Request(route, outcome string, took time.Duration)
	LongestPause(route string, pause time.Duration)
	AccountRefused(account, outcome string) // account is empty if it is not known
}

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	opts       Options
	probes     prober
	active     atomic.Int64
	tickets    atomic.Uint64 // of the last request
	leaving    atomic.Bool
	mustEndBy  atomic.Int64 // Unix nanoseconds, see RefuseLongRequests; zero for no limit
	refusesAll atomic.Bool
	keyed      keyedCalls
	hedger     *hedger         // nil if requests are not hedged
	ended      context.Context // done once EndAll was called
	end        context.CancelFunc
}

// New returns a gateway.
func New(opts Options) *Gateway {
	if opts.Bodies == nil {
		opts.Bodies = frontconn.NewMemory(maxBodyMemory)
		opts.Responses = opts.Bodies
	}
	g := &Gateway{opts: opts, hedger: newHedger(opts.Hedge, opts.Clock)}
	g.ended, g.end = context.WithCancel(context.Background())
	if opts.StrictRevoke {
		opts.View.OnConfig(g.endRevoked)
	}
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
	c.config = g.opts.View.ConfigInForce()
	if c.config == nil {
		c.refuse(decisionlog.NoConfiguration, noConfigRetryAfter)
		return
	}
	table := c.config.Table
	c.meta = g.opts.HeaderCodec.DecodeRequest(r.Header)
	c.route = table.Lookup(r.Host, r.URL.Path)
	if c.route == nil {
		c.refuseUnknownRoute()
		return
	}
	if !c.authenticate(table) {
		return
	}
	defer c.trackKey()()
	c.setDeadline()
	if !c.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	defer func() { c.memoryFor(g.opts.Bodies).release(c.body) }()
	c.prepare(table)
	if c.refuseNewWhileLeaving() {
		return
	}
	c.serve()
}
