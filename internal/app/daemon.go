package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"k8s.io/klog/v2"

	ownercore "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/node/once"
	"github.com/celerydeck/celerydeck/internal/node/operator"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/ownership"
	"github.com/celerydeck/celerydeck/internal/node/storebudget"
	"github.com/celerydeck/celerydeck/internal/node/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/inflight"
	"github.com/celerydeck/celerydeck/internal/transport/callers"
	"github.com/celerydeck/celerydeck/internal/transport/httpabort"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

const (
	idBytes           = 12
	acceptedConnGrace = 500 * time.Millisecond // for requests on connections accepted before the port closed
	announceTimeout   = 2 * time.Second
	cancelTimeout     = time.Second // for the answers of canceled requests
	readHeaderTimeout = 10 * time.Second
)

// Daemon is a running daemon of a deployment in which each upstream has an owner: daemons
// pass requests to the owner.
type Daemon struct {
	settings          Settings
	app               *fx.App
	parts             parts
	shuttingDown      atomic.Bool
	drainedByOperator atomic.Bool

	requestsEnded context.Context // done when the requests in flight are canceled
	endRequests   context.CancelFunc
}

type parts struct {
	fx.In
	Fleet   *state.Fleet
	Cluster *cluster.Cluster
	Config  *config.Node
	Owner   *owner.Manager
	Server  *http.Server
	Caller  net.Listener
	Peers   *peer.Server
	Admin   adminServer
	Once    *once.Gateway

	Requests *inflight.Counter
}

// Start starts a daemon. It proves its identity id on connections to its peers.
func Start(ctx context.Context, settings Settings, id peer.Identity) (*Daemon, error) {
	d := &Daemon{settings: settings}
	d.requestsEnded, d.endRequests = context.WithCancel(context.Background())
	d.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, id),
		fx.Supply(d, fx.Annotate(d, fx.As(new(readiness)), fx.As(new(drainer)))),
		fx.Provide(
			state.NewFleet, newSockets, newKeyring, newRecorderRef, newPool, newOwner, newCluster, newOwnership, newOwnershipPeers, newConfig, newMembersRef, newSuspects, newGateway, newWeightStoreBudget, newCallers, newPlatform,
			newRecorder, newDrainsRef, newOperator, newAdmin, newRouter,
			newIncarnation, newOnce, inflight.New, upstream.NewClient, newCallerListener, newPeerServer,
		),
		fx.Populate(&d.parts),
	)
	if err := d.app.Start(ctx); err != nil {
		return nil, err
	}
	return d, nil
}

// CallerAddr returns the TCP address for callers.
func (d *Daemon) CallerAddr() string { return d.parts.Caller.Addr().String() }

// Owns reports whether the daemon owns an upstream.
func (d *Daemon) Owns(id state.UpstreamID) bool {
	return slices.ContainsFunc(d.parts.Owner.Owned(), func(s protocol.UpstreamStatus) bool { return s.ID == id })
}

// Ready reports whether the daemon accepts new requests.
func (d *Daemon) Ready() bool {
	return !d.shuttingDown.Load() && !d.drainedByOperator.Load() && d.parts.Config != nil && d.parts.Config.Ready()
}

// Shutdown stops the daemon gracefully: it refuses new requests, hands its upstreams over
// and waits for requests in flight. For the drain grace period it keeps refusing requests,
// so that callers get an answer and not a closed connection. Then it stops. If ctx is
// done, it cancels the requests in flight, so that they too get an answer, and stops.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.shuttingDown.Store(true)
	klog.InfoS("Draining", "daemon", d.settings.ID)
	announce, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	d.parts.Cluster.Drain(announce)
	err := d.parts.Requests.Wait(ctx)
	if err != nil {
		d.cancelRequests()
	}
	pause(ctx, d.settings.DrainGrace)
	// net/http drops requests that it reads after the call of http.Server.Shutdown. The
	// port therefore closes earlier, so that requests on accepted connections still get a
	// refusal.
	_ = d.parts.Caller.Close()
	pause(ctx, acceptedConnGrace)
	err = errors.Join(err, d.parts.Server.Shutdown(ctx), d.parts.Owner.Wait(ctx), d.parts.Peers.Drain(ctx), d.parts.Once.Wait(ctx))
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancelStop()
	return errors.Join(err, d.app.Stop(stop))
}

// cancelRequests cancels the requests in flight and waits until their answers are written,
// for at most cancelTimeout.
func (d *Daemon) cancelRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	d.endRequests()
	_ = d.parts.Requests.Wait(ctx)   // Shutdown returns the error of the wait before
	_ = d.parts.Server.Shutdown(ctx) // the last bytes are written after the handlers return
}

// pause sleeps for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

type readiness interface{ Ready() bool }

type sockets struct {
	fx.Out
	Listen net.PacketConn `name:"peer-listen"`
	Dial   net.PacketConn `name:"peer-dial"`
}

func newSockets(s Settings) (sockets, error) {
	listen, err := net.ListenPacket("udp", s.PeerAddr)
	if err != nil {
		return sockets{}, fmt.Errorf("listen for daemons: %w", err)
	}
	host, _, _ := net.SplitHostPort(s.PeerAddr)
	dial, err := net.ListenPacket("udp", net.JoinHostPort(host, "0"))
	if err != nil {
		return sockets{}, fmt.Errorf("open socket to daemons: %w", err)
	}
	return sockets{Listen: listen, Dial: dial}, nil
}

type poolParams struct {
	fx.In
	Dial net.PacketConn `name:"peer-dial"`
	Keys *peer.Keyring
}

func newPool(lc fx.Lifecycle, p poolParams) *peer.Pool {
	pool := peer.NewPool(p.Dial, p.Keys)
	lc.Append(fx.StopHook(pool.Close))
	return pool
}

func newPlatform(lc fx.Lifecycle, s Settings) *platform.Client {
	client := platform.NewClient(s.PlatformURL)
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newOwner(lc fx.Lifecycle, s Settings, fleet *state.Fleet, client *upstream.Client, n *config.Node, crashes *suspects.Node, r *metrics.Recorder) *owner.Manager {
	m := owner.New(owner.Options{
		Self:    state.DaemonID(s.ID),
		Fleet:   fleet,
		Client:  client,
		NewCore: func(*state.Upstream) ownercore.Core { return ownercore.NewScheduler(ownercore.DefaultOptions()) },
		Catalog: n.Catalog,
		Crashes: crashes,
		Clock:   time.Now,

		Observer: r,
	})
	lc.Append(fx.StopHook(func() { m.Close(); client.Close() }))
	return m
}

func newCluster(lc fx.Lifecycle, s Settings, incarnation state.Incarnation, client *platform.Client, pool *peer.Pool, fleet *state.Fleet, m *owner.Manager, members *membersRef, peers *ownershipPeers, o *ownership.Node, n *config.Node, drains *drainsRef) *cluster.Cluster {
	c := cluster.New(cluster.Options{
		Self:        peer.Peer{ID: state.DaemonID(s.ID), Addr: s.PeerAddr},
		Incarnation: incarnation,
		Zone:        state.Zone(s.Zone),
		Region:      state.Region(s.Region),
		Platform:    client,
		Pool:        pool,
		Fleet:       fleet,
		Owner:       m,
		Ownership:   o,
		Config:      n,
		Clock:       time.Now,
		Drained:     drains.Drained,
	})
	members.set(c)
	peers.cluster.Store(c)
	lc.Append(fx.StartStopHook(o.Start, o.Close))
	lc.Append(fx.StartStopHook(c.Start, c.Close))
	lc.Append(fx.StartStopHook(n.Start, n.Close))
	return c
}

func newCallerListener(s Settings) (net.Listener, error) {
	l, err := net.Listen("tcp", s.CallerAddr)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return l, nil
}

func newCallers(lc fx.Lifecycle, l net.Listener, d *Daemon, g *once.Gateway, n *config.Node, r readiness, rec *metrics.Recorder, requests *inflight.Counter) *http.Server {
	api := callers.New(callers.Options{
		Gateway: metrics.Instrument(g, rec),
		Tickets: g,
		Catalog: n.Catalog,
		Ready:   r.Ready,
		NewID:   newID,
	})
	server := &http.Server{Handler: countRequests(d.requestsEnded, requests, r, api.Handler()), ReadHeaderTimeout: readHeaderTimeout}
	httpabort.Attach(server)
	lc.Append(fx.StartStopHook(
		func() { go func() { _ = server.Serve(l) }() },
		func() { _ = server.Close() },
	))
	return server
}

type serverParams struct {
	fx.In
	Listen    net.PacketConn `name:"peer-listen"`
	Keys      *peer.Keyring
	Owner     *owner.Manager
	Cluster   *cluster.Cluster
	Operator  *operator.Node
	Once      *once.Gateway
	Config    *config.Node
	Suspects  *suspects.Node
	Store     *storebudget.Node
	Ownership *ownership.Node
}

func newPeerServer(lc fx.Lifecycle, p serverParams) (*peer.Server, error) {
	handler := peerHandler{owner: p.Owner, ownership: p.Ownership, cluster: p.Cluster, suspects: p.Suspects, config: p.Config, once: p.Once, operator: p.Operator, store: p.Store}
	server, err := peer.Listen(p.Listen, p.Keys, handler)
	if err != nil {
		return nil, fmt.Errorf("serve daemons: %w", err)
	}
	lc.Append(fx.StopHook(func() {
		server.Close()
		_ = p.Listen.Close()
	}))
	return server, nil
}

// ownerCaller sends calls to the daemons that own upstreams.
type ownerCaller struct {
	pool    *peer.Pool
	cluster *cluster.Cluster
}

// Call implements entry.Peers.
func (p ownerCaller) Call(ctx context.Context, id state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	to, ok := p.cluster.Address(id)
	if !ok {
		return protocol.Errorf(protocol.KindUnavailable, "find owner", protocol.OutcomeNotRun, "daemon is not known").WithPeer(string(id))
	}
	return p.pool.Call(ctx, to, call, sink)
}

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
