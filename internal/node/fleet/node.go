package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/loadwindow"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	upstreamInterval = 1200 * time.Millisecond // an announced leaving is in effect within two seconds
	recordInterval   = 1500 * time.Millisecond
	// watchWait bounds how long a watch that has gone deaf hides a change: its connection
	// may be silent, or the store may have dropped the history under it.
	watchWait       = 2 * time.Second
	gossipInterval  = 200 * time.Millisecond
	gossipTimeout   = 600 * time.Millisecond
	wantTimeout     = 2 * time.Second // the answer comes when the load has been ordered
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 800 * time.Millisecond
	dropAfter       = 3 // unanswered messages after which a connection is replaced
	memberGoneAfter = 30 * time.Second
)

// Options sets up a Node.
type Options struct {
	Self    Member
	View    *View
	Store   Store
	Engines Engines
	Pool    *peer.Pool
	Pins    *peer.Pins
	Log     *decisionlog.Log
	Clock   func() time.Time
	// BootClock counts while the machine is suspended.
	BootClock func() time.Duration
	// Turns is the least time between the orders of two holders.
	Turns time.Duration
	// LapseReturn is how long after an outage of the store lapsed entries come back.
	LapseReturn time.Duration
	LoadWindow  time.Duration
	LoadBurst   float64
}

type member struct {
	Member
	heard   time.Time // last message, or when it was first listed
	failed  int       // unanswered messages in a row
	sending bool
	spoke   bool // a message of this run came
	away    bool // it does not reach the store
}

// Node follows the store, exchanges state with the peers and orders loads at the
// engines that the daemon holds. It is safe for concurrent use.
type Node struct {
	opts   Options
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ctx    context.Context
	window sharedWindow

	mu      sync.Mutex
	members map[string]*member // by VM, without this daemon
	holders map[state.UpstreamID]Holder
	workers map[state.UpstreamID]*worker
	gone    map[state.UpstreamID]time.Time
	listed  bool      // the list of upstreams was read
	reached bool      // the store answered the last list of upstreams
	known   bool      // records were read
	back    time.Time // end of the last outage of the store
	leaving bool
	// modelLoads are the times of recent orders to load weights.
	modelLoads []time.Time
	versionsAt uint64 // revision of the store of the last announcement
	rereads    map[string]context.CancelFunc
	lastList   map[state.UpstreamID]upstreams.Upstream
}

// New returns a node that is not started.
func New(opts Options) *Node {
	return &Node{
		opts:    opts,
		window:  sharedWindow{window: loadwindow.New()},
		members: make(map[string]*member),
		holders: make(map[state.UpstreamID]Holder),
		workers: make(map[state.UpstreamID]*worker),
		gone:    make(map[state.UpstreamID]time.Time),
		rereads: make(map[string]context.CancelFunc),
	}
}

// Start begins to follow the store and the peers.
func (n *Node) Start() {
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, loop := range []func(){n.followConfig, n.followVersions, n.followUpstreams, n.followRecords, n.gossip} {
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			loop()
		}()
	}
}

// Close stops the node.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
}

// Ready reports whether the daemon knows enough to serve.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed && n.opts.View.Table() != nil
}

// SetLeaving tells the peers that this daemon shuts down.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// backoff paces the calls of one loop to a store that fails, and logs its loss and return.
type backoff struct {
	log   *decisionlog.Log
	what  string
	pause time.Duration
	since time.Time
}

func (b *backoff) failed(now time.Time, err error) time.Duration {
	if b.pause == 0 {
		b.since = now
		b.log.Event("store lost", slog.String("call", b.what), slog.String("err", err.Error()))
	}
	b.pause = min(max(minBackoff, b.pause*2), maxBackoff)
	return b.pause/2 + time.Duration(rand.Int64N(int64(b.pause)))
}

func (b *backoff) ok(now time.Time) {
	if b.pause > 0 {
		b.log.Event("store regained", slog.String("call", b.what), slog.Duration("after", now.Sub(b.since)))
	}
	b.pause = 0
}

func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

// What the watches follow.
const (
	watchConfig   = "configuration"
	watchVersions = "adapter versions"
)

// follow calls next with the revision to go on from, zero to read anew, until the
// node is closed. Reread makes it read anew.
func (n *Node) follow(what string, next func(ctx context.Context, at uint64) (uint64, error)) {
	b := backoff{log: n.opts.Log, what: what}
	var at uint64
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(n.ctx)
		n.mu.Lock()
		n.rereads[what] = cancel
		n.mu.Unlock()
		revision, err := next(ctx, at)
		reread := ctx.Err() != nil
		cancel()
		switch {
		case reread:
			at = 0
		case err != nil:
			at = 0 // what was missed is read anew
			n.sleep(b.failed(n.opts.Clock(), err))
		default:
			b.ok(n.opts.Clock())
			at = revision
		}
	}
}

// reread makes a watch read anew, as it may have missed changes. The caller holds the lock.
func (n *Node) reread(what, reason string) {
	if cancel := n.rereads[what]; cancel != nil {
		n.opts.Log.Event("reading anew", slog.String("call", what), slog.String("reason", reason))
		cancel()
		delete(n.rereads, what)
	}
}

func (n *Node) followConfig() {
	n.follow(watchConfig, func(ctx context.Context, at uint64) (uint64, error) {
		read := n.opts.Store.Config
		if at > 0 {
			read = func(ctx context.Context) (*routes.Config, uint64, error) {
				return n.opts.Store.WatchConfig(ctx, at, watchWait)
			}
		}
		c, revision, err := read(ctx)
		if err == nil && c != nil {
			n.opts.View.SetConfig(c)
		}
		return revision, err
	})
}

func (n *Node) followVersions() {
	n.follow(watchVersions, func(ctx context.Context, at uint64) (uint64, error) {
		read := n.opts.Store.AdapterVersions
		if at > 0 {
			read = func(ctx context.Context) ([]upstreams.Version, uint64, error) {
				return n.opts.Store.WatchAdapterVersions(ctx, at, watchWait)
			}
		}
		list, revision, err := read(ctx)
		if err != nil {
			return 0, err
		}
		for _, v := range list {
			if n.opts.View.Announce(v.Adapter, v.Version) {
				n.opts.Log.Event("adapter version announced", slog.String("adapter", v.Adapter.String()), slog.Int("version", v.Version))
				n.announce(v, revision)
			}
		}
		return revision, nil
	})
}

func (n *Node) followUpstreams() {
	b := backoff{log: n.opts.Log, what: "upstreams"}
	for n.ctx.Err() == nil {
		list, unusable, err := n.opts.Store.Upstreams(n.ctx)
		now := n.opts.Clock()
		if err != nil {
			n.noteReached(now, false)
			n.sleep(b.failed(now, err))
			continue
		}
		b.ok(now)
		n.noteReached(now, true)
		if len(unusable) > 0 {
			n.opts.Log.Event("unusable upstream entries", slog.Any("names", unusable))
		}
		n.opts.View.SetUpstreams(n.keepLapsed(now, list))
		n.mu.Lock()
		n.listed = true
		n.mu.Unlock()
		n.reconcile()
		n.sleep(upstreamInterval)
	}
}

func (n *Node) noteReached(now time.Time, reached bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reached && !n.reached {
		n.back = now
		n.reread(watchConfig, "store regained")
		n.reread(watchVersions, "store regained")
	}
	n.reached = reached
}

// keepLapsed adds the upstreams that vanished during an outage of the store and may
// still come back.
func (n *Node) keepLapsed(now time.Time, list []upstreams.Upstream) []upstreams.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := make(map[state.UpstreamID]upstreams.Upstream, len(list))
	addrs := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = u
		addrs[u.Addr] = true
	}
	if now.Sub(n.back) < n.opts.LapseReturn {
		for id, u := range n.lastList {
			if _, ok := listed[id]; !ok && !addrs[u.Addr] && !u.Draining {
				listed[id] = u
				list = append(list, u)
			}
		}
	}
	n.lastList = listed
	return list
}

func (n *Node) followRecords() {
	b := backoff{log: n.opts.Log, what: "records"}
	published := false
	for n.ctx.Err() == nil {
		if !published {
			if err := n.opts.Store.PutMember(n.ctx, n.opts.Self); err != nil {
				n.sleep(b.failed(n.opts.Clock(), err))
				continue
			}
			published = true
		}
		asked := n.opts.BootClock()
		r, err := n.opts.Store.Records(n.ctx)
		now := n.opts.Clock()
		if err != nil {
			n.sleep(b.failed(now, err))
			continue
		}
		b.ok(now)
		published = n.takeRecords(now, asked, r)
		n.reconcile()
		n.claim()
		n.sweep()
		n.sleep(recordInterval)
	}
}

// takeRecords updates peers and holders. It reports whether this run is listed.
func (n *Node) takeRecords(now time.Time, asked time.Duration, r Records) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := false
	pins := make(map[state.DaemonID]string, len(r.Members))
	seen := make(map[string]bool, len(r.Members))
	for _, m := range r.Members {
		pins[m.ID()] = m.Hash
		if m.VM == n.opts.Self.VM {
			listed = m.Run == n.opts.Self.Run
			continue
		}
		seen[m.VM] = true
		old := n.members[m.VM]
		if old == nil || old.Run != m.Run {
			n.members[m.VM] = &member{Member: m, heard: now}
			n.opts.Log.Event("peer", slog.String("peer", m.VM), slog.String("addr", m.Addr), slog.String("run", m.Run))
		} else {
			old.Member = m
		}
	}
	for vm := range n.members {
		if !seen[vm] {
			delete(n.members, vm)
		}
	}
	n.opts.Pins.Set(pins)
	n.opts.View.SetDaemons(len(r.Members))
	n.holders = r.Holders
	n.known = true
	for id, w := range n.workers {
		h, ok := r.Holders[id]
		if ok && h.VM == n.opts.Self.VM {
			w.confirm(asked, h)
		}
	}
	return listed
}

// daemons returns this daemon and its peers.
func (n *Node) daemons(now time.Time) []holders.Daemon {
	list := []holders.Daemon{{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone}}
	for _, m := range n.members {
		list = append(list, holders.Daemon{VM: m.VM, Zone: m.Zone, Silent: now.Sub(m.heard), Away: m.away})
	}
	return list
}

// claim makes this daemon the holder of engines that need one.
func (n *Node) claim() {
	now := n.opts.Clock()
	n.mu.Lock()
	if !n.known || n.leaving || !n.reached || now.Sub(n.back) < holders.SettleTime {
		n.mu.Unlock()
		return
	}
	self := holders.Daemon{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone}
	daemons := n.daemons(now)
	var wanted []Holder
	for _, u := range n.engines() {
		h := n.holders[u.ID]
		switch w := n.workers[u.ID]; {
		case holders.Claims(self, u.ID, u.Zone, h.VM, daemons):
			wanted = append(wanted, Holder{Engine: u.ID, VM: self.VM, From: h.VM, Revision: h.Revision})
		case w != nil && h.From != "" && w.canOrder():
			// The takeover is over: a restart need not wait again.
			wanted = append(wanted, Holder{Engine: u.ID, VM: self.VM, Revision: h.Revision})
		}
	}
	n.mu.Unlock()
	for _, h := range wanted {
		asked := n.opts.BootClock()
		got, err := n.opts.Store.PutHolder(n.ctx, h)
		if err != nil {
			n.opts.Log.Event("engine not claimed", slog.String("upstream", string(h.Engine)), slog.String("from", h.From), slog.String("err", err.Error()))
			continue
		}
		n.opts.Log.Event("engine claimed", slog.String("upstream", string(h.Engine)), slog.String("from", h.From), slog.Uint64("fence", got.Revision))
		lease := holders.Lease{Confirmed: asked}
		if h.From != "" {
			lease = holders.AfterTakeover(n.opts.BootClock(), n.opts.Turns)
		}
		n.mu.Lock()
		n.holders[h.Engine] = got
		if w := n.workers[h.Engine]; w != nil && h.From == "" {
			w.confirm(asked, got)
		} else {
			n.startWorker(got, lease)
		}
		n.mu.Unlock()
	}
}

// engines returns the listed model engines. The caller holds the lock.
func (n *Node) engines() []*upstreams.Upstream {
	table := n.opts.View.Table()
	if table == nil {
		return nil
	}
	var list []*upstreams.Upstream
	for _, u := range n.opts.View.Upstreams() {
		if table.Config.Services[u.Service].Engine != nil {
			list = append(list, u)
		}
	}
	return list
}

// reconcile starts and stops the workers of engines.
func (n *Node) reconcile() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.known {
		return
	}
	boot := n.opts.BootClock()
	for _, u := range n.engines() {
		h, ok := n.holders[u.ID]
		if ok && h.VM == n.opts.Self.VM && n.workers[u.ID] == nil {
			lease := holders.Lease{Confirmed: boot}
			if h.From != "" {
				lease = holders.AfterTakeover(boot, n.opts.Turns)
			}
			n.startWorker(h, lease)
		}
	}
	for id, w := range n.workers {
		h, ok := n.holders[id]
		if u := n.opts.View.Upstream(id); u != nil && ok && h.VM == n.opts.Self.VM {
			continue
		}
		w.stop()
		delete(n.workers, id)
		n.opts.Log.Event("engine released", slog.String("upstream", string(id)))
	}
}

// sweep deletes the records of engines and daemons that are gone.
func (n *Node) sweep() {
	now := n.opts.Clock()
	n.mu.Lock()
	var engines []Holder
	var daemons []Member
	for id, h := range n.holders {
		if n.opts.View.Upstream(id) != nil || h.VM != n.opts.Self.VM {
			delete(n.gone, id)
			continue
		}
		if n.gone[id].IsZero() {
			n.gone[id] = now
		} else if now.Sub(n.gone[id]) > memberGoneAfter {
			engines = append(engines, h)
		}
	}
	for _, m := range n.members {
		if now.Sub(m.heard) > memberGoneAfter {
			daemons = append(daemons, m.Member)
		}
	}
	n.mu.Unlock()
	for _, h := range engines {
		if err := n.opts.Store.DeleteHolder(n.ctx, h); err != nil {
			n.opts.Log.Event("record not deleted", slog.String("upstream", string(h.Engine)), slog.String("err", err.Error()))
		}
	}
	for _, m := range daemons {
		if err := n.opts.Store.DeleteMember(n.ctx, m); err != nil {
			n.opts.Log.Event("record not deleted", slog.String("peer", m.VM), slog.String("err", err.Error()))
		}
	}
}

func (n *Node) announce(v upstreams.Version, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versionsAt = max(n.versionsAt, revision)
	for _, w := range n.workers {
		w.announce(v)
	}
}

func (n *Node) gossip() {
	for n.ctx.Err() == nil {
		n.sleep(gossipInterval)
		n.sendState()
	}
}

func (n *Node) sendState() {
	out := n.opts.View.TakeOutgoing()
	msg := protocol.FleetState{Works: out.Works, Strikes: out.Strikes, Uses: out.Uses, Missing: out.Missing}
	if t := n.opts.View.Table(); t != nil {
		msg.ConfigVersion = t.Config.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	msg.Leaving, msg.VersionsAt, msg.StoreAway = n.leaving, n.versionsAt, !n.reached
	for id, w := range n.workers {
		w.use(out.Uses[id], out.Missing[id])
		state := w.state()
		n.opts.View.SetHeld(state)
		msg.Engines = append(msg.Engines, state)
	}
	n.opts.View.SetLoadable(n.loadable(n.opts.Clock()))
	for _, m := range n.members {
		if m.sending {
			continue
		}
		m.sending = true
		n.wg.Add(1)
		go n.tell(m, &msg)
	}
}

func (n *Node) tell(m *member, msg *protocol.FleetState) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
	defer cancel()
	to := peer.Peer{ID: m.ID(), Addr: m.Addr}
	var ack protocol.FleetAck
	err := n.opts.Pool.Exchange(ctx, to, protocol.MsgFleet, msg, &ack)
	n.mu.Lock()
	m.sending = false
	drop := false
	if err == nil {
		m.failed = 0
	} else {
		m.failed++
		drop = m.failed%dropAfter == 0
	}
	n.mu.Unlock()
	if drop {
		n.opts.Pool.Drop(to)
	}
}

// TakeState takes the state of a peer.
func (n *Node) TakeState(from state.DaemonID, msg *protocol.FleetState) {
	n.mu.Lock()
	now := n.opts.Clock()
	for _, m := range n.members {
		if m.ID() == from {
			m.heard, m.spoke, m.away = now, true, msg.StoreAway
		}
	}
	for id, w := range n.workers {
		w.use(msg.Uses[id], msg.Missing[id])
	}
	if t := n.opts.View.Table(); t != nil && msg.ConfigVersion > t.Config.Version {
		n.reread(watchConfig, "a peer has a newer one")
	}
	if msg.VersionsAt > n.versionsAt {
		n.versionsAt = msg.VersionsAt // read once for each announcement
		n.reread(watchVersions, "a peer has newer ones")
	}
	n.mu.Unlock()
	n.opts.View.SetPeerWork(from, msg.Works, msg.Strikes)
	for _, e := range msg.Engines {
		n.opts.View.SetHeld(e)
	}
}

// loadable lists the engines whose holders can be asked for loads. The caller holds the lock.
func (n *Node) loadable(now time.Time) map[state.UpstreamID]bool {
	list := make(map[state.UpstreamID]bool, len(n.holders))
	for id, h := range n.holders {
		if w := n.workers[id]; w != nil {
			list[id] = w.canOrder()
			continue
		}
		m := n.members[h.VM]
		list[id] = m != nil && m.spoke && now.Sub(m.heard) < ownerFresh
	}
	return list
}

// Want asks the holder of an engine to load an adapter.
func (n *Node) Want(ctx context.Context, msg protocol.WantAdapter) protocol.WantReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	m := n.members[n.holders[msg.Upstream].VM]
	n.mu.Unlock()
	if w != nil {
		return w.want(ctx, msg)
	}
	if m == nil {
		return protocol.WantReply{Reason: "holder unknown"}
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	var reply protocol.WantReply
	if err := n.opts.Pool.Exchange(ctx, peer.Peer{ID: m.ID(), Addr: m.Addr}, protocol.MsgWantAdapter, msg, &reply); err != nil {
		return protocol.WantReply{Reason: err.Error()}
	}
	return reply
}

// ServeWant answers a peer that asks for a load at an engine of this daemon.
func (n *Node) ServeWant(ctx context.Context, msg protocol.WantAdapter) protocol.WantReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	n.mu.Unlock()
	if w == nil {
		return protocol.WantReply{Reason: "not the holder"}
	}
	return w.want(ctx, msg)
}
