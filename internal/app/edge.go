package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sys/unix"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
	"github.com/celerydeck/celerydeck/internal/coordination/quota"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/node/gateway"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/frontconn"
	"github.com/celerydeck/celerydeck/internal/transport/httpabort"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
	"github.com/celerydeck/celerydeck/internal/transport/idleconn"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/platform"
)

const (
	// exitMargin is the time between the end of the shutdown and the end of the platform's
	// grace period, when the platform kills the process.
	exitMargin = 700 * time.Millisecond
	// idleCloseDelay is the time from the start of the shutdown until idle connections
	// close. The balancer needs two failed checks, a second apart, before it sends
	// callers to other daemons.
	idleCloseDelay = 2500 * time.Millisecond
	// longRequestRefusalDelay is the time from the start of the shutdown until the daemon
	// refuses requests that might not end within the grace period.
	longRequestRefusalDelay = 3 * time.Second
	// minShutdownTime is the shortest time for which a daemon that shuts down still
	// answers requests.
	minShutdownTime = 4 * time.Second
	// outdatedGraceShare is the part of platform.Bounds.AdapterVersion in which new
	// requests may still use an older version of an adapter. The rest of the bound is for
	// requests in flight.
	outdatedGraceShare     = 0.6
	incarnationBytes       = 6
	sweepInterval          = time.Second
	settingsReloadInterval = 2 * time.Second
	edgeIdleTimeout        = 75 * time.Second // longer than callers keep idle connections
	edgeHeaderTimeout      = 10 * time.Second
	edgeReadTimeout        = 15 * time.Second // of a whole request for metrics or readiness
	edgeHeaderBytes        = 64 << 10
	shutdownPollInterval   = 50 * time.Millisecond
	// lastResponseTimeout limits the wait for the responses of the requests that the shutdown ends.
	lastResponseTimeout = 200 * time.Millisecond
)

// Edge is a running daemon on the users' platform.
type Edge struct {
	settings platform.Settings
	log      *decisionlog.Log
	node     atomic.Pointer[fleet.Node] // nil until all parts are constructed
	gateway  *gateway.Gateway
	front    *idleconn.Listener // for callers
	app      *fx.App
	leaving  atomic.Bool
}

// MainOnPlatform runs a daemon with a settings file of the platform until a signal ends
// it, and returns the exit code. SIGHUP reloads the settings.
func MainOnPlatform(path string) int {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	options, err := ParseEdgeOptions(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	debug.SetMemoryLimit(clientbudget.HeapLimit(int64(settings.MemoryMB) << 20))
	log := decisionlog.New(os.Stdout, settings.VM)
	defer log.Close()
	e, err := StartEdge(settings, options, log)
	if err != nil {
		log.Event("not started", slog.String("err", err.Error()))
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	log.Event("started", slog.String("zone", settings.Zone), slog.String("front", settings.FrontAddr), slog.Int("pid", os.Getpid()),
		slog.Float64("hedge_share", options.Hedge.Share), slog.Float64("hedge_max_fill", options.Hedge.MaxFill))
	recheck := time.NewTicker(settingsReloadInterval)
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			e.reload(path, false)
		case s := <-signals:
			switch s {
			case syscall.SIGPIPE:
			case syscall.SIGHUP:
				e.reload(path, true)
			default:
				e.Shutdown()
				return ExitOK
			}
		}
	}
}

// reload reads the settings file again and logs the result.
func (e *Edge) reload(path string, signaled bool) {
	s, err := platform.ReadSettings(path)
	switch {
	case err != nil:
		e.log.Event("settings not reloaded", slog.String("err", err.Error()))
	case s != e.settings:
		e.log.Event("settings changed", slog.Any("settings", s), slog.Bool("signal", signaled))
		e.settings = s
	case signaled:
		e.log.Event("settings reloaded without a change")
	}
}

type edgeParts struct {
	fx.In
	Node    *fleet.Node
	Gateway *gateway.Gateway
	Front   *idleconn.Listener
}

// StartEdge starts a daemon on the users' platform.
func StartEdge(settings platform.Settings, options EdgeOptions, log *decisionlog.Log) (*Edge, error) {
	e := &Edge{settings: settings, log: log}
	var parts edgeParts
	e.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, options, log, e, new(peer.Pins)),
		fx.Provide(newEdgeMember, newEdgeView, newEdgeKeys, newEdgePeerPool, newEdgeNode, newEdgeGateway, newEdgeMetrics, newEdgeGuards, newEdgeFront, httpconn.NewPool),
		fx.Populate(&parts),
		fx.Invoke(serveEdgePeers, serveEdgeMetrics, serveEdgeReady, serveEdgeFront, countBarredUpstreams, superviseEdgeClients),
	)
	if err := e.app.Err(); err != nil {
		return nil, err
	}
	e.gateway, e.front = parts.Gateway, parts.Front
	e.node.Store(parts.Node)
	return e, e.app.Start(context.Background())
}

// Ready reports whether the daemon accepts new connections.
func (e *Edge) Ready() bool {
	n := e.node.Load()
	return n != nil && !e.leaving.Load() && n.Ready()
}

// Shutdown stops the daemon gracefully. It waits for requests in flight within the
// platform's grace period. It then answers those that are left, and stops.
func (e *Edge) Shutdown() {
	begin := time.Now()
	e.log.Event("leaving", slog.Int64("active", e.gateway.ActiveRequests()))
	e.leaving.Store(true)
	e.gateway.SetLeaving()
	e.node.Load().SetLeaving()
	time.AfterFunc(idleCloseDelay, e.front.CloseIdle)
	endBy := begin.Add(e.settings.Bounds.Grace - exitMargin)
	time.AfterFunc(longRequestRefusalDelay, func() { e.gateway.RefuseLongRequests(endBy) })
	pollUntil(endBy, func() bool { return e.gateway.ActiveRequests() == 0 && time.Since(begin) >= minShutdownTime })
	e.gateway.RefuseAll()
	pollUntil(endBy, func() bool { return e.gateway.ActiveRequests() == 0 }) // a request may have arrived before RefuseAll
	left := e.gateway.ActiveRequests()
	e.gateway.EndAll()
	pollUntil(time.Now().Add(lastResponseTimeout), func() bool { return e.front.Active() == 0 })
	e.log.Event("stopped", slog.Int64("active", left), slog.Duration("after", time.Since(begin)))
	e.Stop()
}

// pollUntil waits until a condition holds, or until the given time.
func pollUntil(end time.Time, isDone func() bool) {
	for !isDone() && time.Now().Before(end) {
		time.Sleep(shutdownPollInterval)
	}
}

// Stop stops the daemon without waiting for requests.
func (e *Edge) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	if err := e.app.Stop(ctx); err != nil {
		e.log.Event("stopped late", slog.String("err", err.Error()))
	}
}

func newEdgeMember(s platform.Settings) fleet.Member {
	var incarnation [incarnationBytes]byte
	_, _ = rand.Read(incarnation[:])
	return fleet.Member{
		VM: s.VM, Incarnation: hex.EncodeToString(incarnation[:]), Zone: state.Zone(s.Zone),
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), CPU: s.CPU,
	}
}

func newEdgeView(s platform.Settings, pool *httpconn.Pool, log *decisionlog.Log) *fleet.View {
	return fleet.NewView(fleet.ViewOptions{
		Zone:                state.Zone(s.Zone),
		Retries:             fleet.RetryLimits{Ratio: s.Bounds.RetryRatio, Burst: s.Bounds.RetryBurst, Window: s.Bounds.RetryWindow},
		OutdatedGracePeriod: time.Duration(float64(s.Bounds.AdapterVersion) * outdatedGraceShare),
		ConfigApplyTime:     s.Bounds.ConfigApply,
		IsConnected:         pool.HasIdle,
		Quotas:              quota.Options{Window: s.Bounds.QuotaWindow, Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack},
		Log:                 log,
		Clock:               time.Now,
		BootClock:           bootClock,
	})
}

type edgeKeys struct {
	fx.Out
	Keys *peer.Keyring
	Hash string `name:"certificate-hash"`
}

func newEdgeKeys(self fleet.Member, pins *peer.Pins, log *decisionlog.Log, e *Edge) (edgeKeys, error) {
	id, hash, err := peer.NewPinnedIdentity(self.ID(), pins, time.Now())
	if err != nil {
		return edgeKeys{}, fmt.Errorf("create identity: %w", err)
	}
	refused := func(r peer.Refusal) {
		log.Event("peer refused", slog.String("reason", string(r)))
		if n := e.node.Load(); n != nil {
			n.RefreshRecords()
		}
	}
	return edgeKeys{Keys: peer.NewKeyring(id, refused), Hash: hash}, nil
}

func newEdgePeerPool(lc fx.Lifecycle, s platform.Settings, keys *peer.Keyring) (*peer.Pool, error) {
	conn, err := net.ListenPacket("udp", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort+1)))
	if err != nil {
		return nil, fmt.Errorf("open socket to daemons: %w", err)
	}
	pool := peer.NewPool(conn, keys)
	lc.Append(fx.StopHook(pool.Close))
	return pool, nil
}

type edgeNodeParams struct {
	fx.In
	Self     fleet.Member
	Settings platform.Settings
	View     *fleet.View
	Pool     *peer.Pool
	Pins     *peer.Pins
	Log      *decisionlog.Log
	Hash     string `name:"certificate-hash"`
}

func newEdgeNode(lc fx.Lifecycle, p edgeNodeParams) *fleet.Node {
	self := p.Self
	self.CertificateHash = p.Hash
	b := p.Settings.Bounds
	engines := platform.NewEngines()
	engines.OnOrderSignals = p.View.RecordOrderSignals
	n := fleet.New(fleet.Options{
		Self: self, View: p.View, Store: platform.NewStore(p.Settings.StoreAddr), Engines: engines,
		Pool: p.Pool, Pins: p.Pins, Log: p.Log, Clock: time.Now, BootClock: bootClock,
		MinHandoverInterval: b.MinHandoverInterval, LapsedGracePeriod: b.LapsedGracePeriod, UpstreamHeartbeat: b.Heartbeat, ModelLoadWindow: b.LoadWindow, ModelLoadBurst: b.LoadBurst,
		FirstStart: p.Settings.FirstStart,
	})
	lc.Append(fx.StartStopHook(n.Start, n.Close))
	return n
}

// bootClock returns the time since the machine's boot. Unlike the monotonic clock, it
// advances while the machine is suspended.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("app: no boot clock: " + err.Error()) // Linux has had it since 2.6.39
	}
	return time.Duration(ts.Nano())
}

func newEdgeMetrics(lc fx.Lifecycle) *metrics.Recorder {
	r := metrics.New(metrics.Options{MaxClasses: defaultMetricsClasses, RankName: func(r state.Rank) string { return fmt.Sprint(r) }, Clock: time.Now})
	lc.Append(fx.StopHook(r.Close))
	return r
}

func newEdgeGateway(s platform.Settings, options EdgeOptions, view *fleet.View, n *fleet.Node, pool *httpconn.Pool, log *decisionlog.Log, r *metrics.Recorder, guards edgeGuards) *gateway.Gateway {
	engines := platform.NewEngines() // with connections of its own: a probe must not wait for an order
	routes := r.Routes()
	return gateway.New(gateway.Options{
		View: view, Loader: n, Pacer: n, Pool: pool, HeaderCodec: platform.Dialect{}, Log: log, Metrics: routes, Accounts: routes, Clock: time.Now,
		Probe:        func(ctx context.Context, addr string) error { _, err := engines.Report(ctx, addr); return err },
		StrictRevoke: s.Bounds.StrictRevoke, RevokeTime: s.Bounds.Revoke,
		Hedge: options.Hedge, HedgeMetrics: routes,
		Bodies: guards.callers.Memory(clientbudget.Bodies), Responses: guards.callers.Memory(clientbudget.Responses),
	})
}

// serve runs an HTTP server on a TCP address until the daemon stops, within the limits of a
// guard. What names the server in errors.
func serve(lc fx.Lifecycle, what, addr string, guard *frontconn.Guard, server *http.Server) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", what, err)
	}
	frontconn.Attach(server)
	serveOn(lc, frontconn.Listen(l, guard), server)
	return nil
}

// serveOn runs an HTTP server on a listener until the daemon stops.
func serveOn(lc fx.Lifecycle, l net.Listener, server *http.Server) {
	lc.Append(fx.StartStopHook(
		func() { go func() { _ = server.Serve(l) }() },
		func() { _ = server.Close() },
	))
}

func serveEdgeMetrics(lc fx.Lifecycle, s platform.Settings, r *metrics.Recorder, n *fleet.Node, guards edgeGuards) error {
	router := mux.NewRouter()
	router.Handle("/metrics", r.Handler())
	router.HandleFunc("/fleet", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Report()) // the client may have disconnected
	})
	return serve(lc, "metrics", net.JoinHostPort(s.IP, strconv.Itoa(s.MetricPort)), guards.metrics, newEdgeServer(router))
}

// newEdgeServer returns a server for requests without a body.
func newEdgeServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: edgeHeaderTimeout, ReadTimeout: edgeReadTimeout, IdleTimeout: edgeIdleTimeout, MaxHeaderBytes: edgeHeaderBytes,
	}
}

func serveEdgeReady(lc fx.Lifecycle, s platform.Settings, e *Edge, guards edgeGuards) error {
	router := mux.NewRouter()
	router.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(lc, "readiness checks", s.ReadyAddr, guards.ready, newEdgeServer(router))
}

func newEdgeFront(s platform.Settings, guards edgeGuards) (*idleconn.Listener, error) {
	l, err := net.Listen("tcp", s.FrontAddr)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return idleconn.Listen(frontconn.Listen(l, guards.callers)), nil
}

func serveEdgeFront(lc fx.Lifecycle, l *idleconn.Listener, g *gateway.Gateway, pool *httpconn.Pool) {
	done := make(chan struct{})
	lc.Append(fx.StartStopHook(
		func() { go sweepIdleConns(pool, done) },
		func() { close(done) },
	))
	server := &http.Server{
		Handler: g, ConnState: l.State, ReadHeaderTimeout: edgeHeaderTimeout, IdleTimeout: edgeIdleTimeout, MaxHeaderBytes: edgeHeaderBytes,
	}
	frontconn.Attach(server)
	httpabort.Attach(server)
	serveOn(lc, l, server)
}

// sweepIdleConns closes unused connections to upstreams until done is closed.
func sweepIdleConns(pool *httpconn.Pool, done <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			pool.Sweep()
		case <-done:
			return
		}
	}
}
