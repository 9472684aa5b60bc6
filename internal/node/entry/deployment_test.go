package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	ownercore "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/node/entry"
	"github.com/celerydeck/celerydeck/internal/node/once"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/standin/booking"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
	"github.com/celerydeck/celerydeck/internal/standin/weightstore"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

const (
	numDaemons        = 3
	numEngines        = 4
	numBookings       = 2
	zone              = "cascadia-a"
	deploymentRegion  = "cascadia"
	baseModel         = "base-7b"
	heartbeatInterval = 100 * time.Millisecond
	platformAddr      = "platform"
)

// memoryNet is an in-memory network between HTTP servers and clients. It works in the
// virtual time of package synctest.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var errRefused = errors.New("connection refused")

func (n *memoryNet) listen(addr string) *memoryListener {
	l := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (n *memoryNet) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[host]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error { l.once.Do(func() { close(l.closed) }); return nil }

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// deployment runs daemons against stand-ins for the engines, the plain service, the
// weight store and the object store, over an in-memory network. The daemons use the
// production code for entry, ownership of requests and once-only execution.
type deployment struct {
	net      *memoryNet
	servers  []*http.Server
	objects  *objectapi.Server
	engines  []*engine.Engine
	booking  *booking.Server
	client   *upstream.Client
	platform *platform.Client
	catalog  *state.Catalog
	nonces   atomic.Int64
	seed     uint64

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	breakPerMille int // probability that a link breaks at a part of an answer
	owners        map[state.UpstreamID]int
	daemons       []*daemon
	epoch         state.Epoch
}

// daemon is one incarnation of a daemon.
type daemon struct {
	w       *deployment
	number  int
	id      state.DaemonID
	fleet   *state.Fleet
	owner   *owner.Manager
	gateway *once.Gateway
	ctx     context.Context // ends when the daemon crashes
	crash   context.CancelFunc
	drained atomic.Bool
}

func newDeployment(seed uint64) *deployment {
	w := &deployment{
		net:     &memoryNet{listeners: make(map[string]*memoryListener)},
		objects: objectapi.New(),
		booking: booking.New(),
		catalog: state.NewCatalog(1, "", demo.DefaultConfig()),
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		owners:  make(map[state.UpstreamID]int),
	}
	w.client = upstream.NewClientWithDial(w.net.dial)
	w.platform = platform.NewClientWithDial("http://"+platformAddr, w.net.dial)
	w.serve(platformAddr, w.objects.Handler())
	store := weightstore.New(20*time.Millisecond, 8)
	for i := range numEngines {
		id := engineID(i)
		e := engine.New(engine.Options{ID: string(id), Slots: 16, Batch: 8, TokenTime: 5 * time.Millisecond, WeightStore: store})
		w.engines = append(w.engines, e)
		w.serve(string(id), e.Handler())
	}
	for i := range numBookings {
		w.serve(string(bookingID(i)), w.booking.Handler())
	}
	w.daemons = make([]*daemon, numDaemons)
	for i := range numDaemons {
		w.start(i)
	}
	for i, id := range w.upstreams() {
		w.assign(id, i%numDaemons)
	}
	return w
}

func engineID(i int) state.UpstreamID  { return state.UpstreamID(fmt.Sprintf("engine-%d", i)) }
func bookingID(i int) state.UpstreamID { return state.UpstreamID(fmt.Sprintf("booking-%d", i)) }

func (w *deployment) upstreams() []state.UpstreamID {
	var ids []state.UpstreamID
	for i := range numEngines {
		ids = append(ids, engineID(i))
	}
	for i := range numBookings {
		ids = append(ids, bookingID(i))
	}
	return ids
}

func (w *deployment) serve(addr string, h http.Handler) {
	server := &http.Server{Handler: h}
	w.servers = append(w.servers, server)
	l := w.net.listen(addr)
	go func() { _ = server.Serve(l) }()
}

// start replaces a daemon with a new incarnation that owns no upstream.
func (w *deployment) start(i int) {
	d := &daemon{w: w, number: i, id: state.DaemonID(fmt.Sprintf("daemon-%d", i)), fleet: state.NewFleet()}
	d.ctx, d.crash = context.WithCancel(context.Background())
	run := fmt.Sprintf("run-%d", w.nonces.Add(1))
	for _, id := range w.upstreams() {
		u := state.Upstream{ID: id, VM: string(id), Zone: zone, Region: deploymentRegion, Addr: string(id), Kind: state.KindPlain, Service: "booking"}
		if id[0] == 'e' {
			u.Kind, u.Service, u.Base = state.KindEngine, "", baseModel
		}
		d.fleet.Put(u)
	}
	d.owner = owner.New(owner.Options{
		Self:    d.id,
		Fleet:   d.fleet,
		Client:  w.client,
		NewCore: func(*state.Upstream) ownercore.Core { return ownercore.NewScheduler(ownercore.DefaultOptions()) },
		Catalog: func() *state.Catalog { return w.catalog },
		Clock:   time.Now,
	})
	router := routing.NewScored(routing.Options{Fleet: d.fleet, Weights: routing.DefaultWeights(), Rand: rand.New(rand.NewPCG(w.seed, uint64(i)))})
	ejector := entry.NewEjector(d.fleet, deploymentRegion)
	go ejector.Run(d.ctx)
	next := entry.New(entry.Options{
		Self:     d.id,
		Zone:     zone,
		Region:   deploymentRegion,
		Router:   router,
		Trackers: []routing.Tracker{router, ejector},
		Owner:    d.owner,
		Peers:    d,
		Clock:    time.Now,
	})
	d.gateway = once.New(once.Options{
		Self:        d.id,
		Incarnation: state.Incarnation(run),
		Next:        next,
		Peers:       d,
		Objects:     w.platform,
		Clock:       time.Now,
		Secret:      []byte(run),
		NewNonce:    func() string { return fmt.Sprintf("nonce-%d", w.nonces.Add(1)) },
		DaemonCount: func() int { return numDaemons },
		DaemonLost:  func(state.DaemonID, state.Incarnation) bool { return false },
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons[i] = d
}

func (w *deployment) daemon(i int) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[i]
}

// assign transfers the ownership of an upstream to a daemon.
func (w *deployment) assign(id state.UpstreamID, to int) {
	w.mu.Lock()
	from, owned := w.owners[id]
	w.owners[id] = to
	w.epoch++
	epoch := w.epoch
	old, next := w.daemons[from], w.daemons[to]
	w.mu.Unlock()
	if owned {
		old.owner.Disown(id)
	}
	auth := ownercore.Permissions{Epoch: epoch, MayDispatch: true, MayLoad: true, MayUnload: true}
	next.owner.Own(next.fleet.Get(id), auth)
	w.gossip()
}

// gossip copies the status of every owned upstream to all daemons, as heartbeats do.
func (w *deployment) gossip() {
	for i := range numDaemons {
		d := w.daemon(i)
		for _, s := range d.owner.Owned() {
			for j := range numDaemons {
				w.daemon(j).fleet.Update(s.ID, func(u *state.Upstream) { applyStatus(u, d.id, &s) })
			}
		}
	}
}

func applyStatus(u *state.Upstream, owner state.DaemonID, s *protocol.UpstreamStatus) {
	u.Owner, u.Boot, u.Healthy = owner, s.Boot, s.Healthy
	u.Running, u.Queued, u.Slots, u.Batch = s.Running, s.Queued, s.Slots, s.Batch
	u.Resident, u.Loading = s.Resident, s.Loading
}

// chance reports whether an event of probability n in 1000 occurs.
func (w *deployment) chance(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(1000) < n
}

func (w *deployment) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// closeManagers stops the polling of upstreams at all daemons.
func (w *deployment) closeManagers() {
	for i := range numDaemons {
		w.daemon(i).owner.Close()
	}
}

func (w *deployment) close() {
	for i := range numDaemons {
		w.daemon(i).crash()
	}
	w.client.Close()
	w.platform.Close()
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// Call sends a call to another daemon. The link may break at any part of the answer. After
// a break the other daemon continues for a while, so that parts arrive at an attempt that is
// already closed.
func (d *daemon) Call(ctx context.Context, to state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	var peer *daemon
	for i := range numDaemons {
		if p := d.w.daemon(i); p.id == to {
			peer = p
		}
	}
	if peer == nil || peer.ctx.Err() != nil {
		return protocol.Errorf(protocol.KindUnavailable, "call owner", protocol.OutcomeNotRun, "no connection").WithPeer(string(to))
	}
	sent := &protocol.Call{}
	if err := roundTrip(protocol.MsgCall, call, sent); err != nil {
		panic(err)
	}
	remote, cancel := context.WithCancel(peer.ctx)
	l := &link{w: d.w, sink: sink, broken: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		peer.serve(remote, sent, l)
	}()
	select {
	case <-done:
		return l.result()
	case <-l.broken:
	case <-peer.ctx.Done():
	case <-ctx.Done():
	}
	time.AfterFunc(time.Duration(d.w.intn(50))*time.Millisecond, cancel)
	return protocol.Errorf(protocol.KindUnavailable, "read answer of owner", protocol.OutcomeUnknown, "connection broke").WithPeer(string(to))
}

func (d *daemon) serve(ctx context.Context, call *protocol.Call, sink protocol.Sink) {
	var err *protocol.Error
	if call.Ticket != "" {
		err = d.gateway.Serve(ctx, call, call.Base, sink)
	} else {
		err = d.owner.Submit(ctx, call, sink)
	}
	if err != nil {
		_ = sink.End(protocol.End{Attempt: call.Attempt, Err: err})
	}
}

func roundTrip(kind protocol.MessageKind, in, out any) error {
	var buf bytes.Buffer
	if err := protocol.WriteMessage(&buf, kind, in); err != nil {
		return err
	}
	frame, err := protocol.ReadFrame(&buf)
	if err != nil {
		return err
	}
	return frame.Decode(out)
}

// link carries an answer back from one daemon to another.
type link struct {
	w      *deployment
	sink   protocol.Sink
	once   sync.Once
	broken chan struct{}
	ended  atomic.Bool
}

var errBroken = errors.New("link broke")

// pass delivers a part, and breaks the link with the probability breakPerMille. Parts after
// the break are still delivered, as parts in flight would be.
func (l *link) pass(deliver func() error) error {
	l.w.mu.Lock()
	breaks := l.w.rng.IntN(1000) < l.w.breakPerMille
	l.w.mu.Unlock()
	if breaks {
		l.once.Do(func() { close(l.broken) })
	}
	return deliver()
}

func (l *link) Head(h protocol.Head) error {
	var m protocol.Head
	if err := roundTrip(protocol.MsgHead, h, &m); err != nil {
		return err
	}
	return l.pass(func() error { return l.sink.Head(m) })
}

func (l *link) Chunk(c protocol.Chunk) error {
	var m protocol.Chunk
	if err := roundTrip(protocol.MsgChunk, c, &m); err != nil {
		return err
	}
	return l.pass(func() error { return l.sink.Chunk(m) })
}

func (l *link) End(e protocol.End) error {
	var m protocol.End
	if err := roundTrip(protocol.MsgEnd, e, &m); err != nil {
		return err
	}
	return l.pass(func() error {
		l.ended.Store(true)
		return l.sink.End(m)
	})
}

func (l *link) result() *protocol.Error {
	if l.ended.Load() {
		return nil
	}
	return protocol.Errorf(protocol.KindUnavailable, "read answer of owner", protocol.OutcomeUnknown, "%v", errBroken)
}
