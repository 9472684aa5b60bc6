package fleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/loadwindow"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	wantTimeout     = 2 * time.Second // the answer comes when the load has been ordered
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
	// MinHandoverInterval is the least time between the orders of two holders.
	MinHandoverInterval time.Duration
	// LapsedGracePeriod is how long after an outage of the store lapsed entries come back.
	LapsedGracePeriod time.Duration
	ModelLoadWindow   time.Duration
	ModelLoadBurst    float64
	// FirstStart says that all daemons start for the first time, at about this moment.
	FirstStart bool
}

// member is a peer as this daemon knows it.
type member struct {
	Member
	heard   time.Time // when it spoke last, to whatever daemon; at first, when it was listed
	direct  time.Time // when it told this daemon its state
	spoke   bool      // it has spoken in this run
	failed  int       // unanswered messages in a row
	calling bool
	lost    bool   // it is silent, and a line said so
	lastErr string // of the last call that failed
	state   protocol.DaemonState
	known   protocol.Known // what it knew when it spoke to this daemon last
}

// Node follows the store, exchanges state with the peers and orders loads at the
// engines that the daemon holds. It is safe for concurrent use.
type Node struct {
	opts   Options
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ctx    context.Context
	window sharedWindow

	started time.Time

	mu        sync.Mutex         // not held across I/O; taken before the locks of workers and of the view
	listed    Member             // this daemon as the store lists it
	members   map[string]*member // by VM, without this daemon
	holders   map[state.UpstreamID]Holder
	workers   map[state.UpstreamID]*worker
	gone      map[state.UpstreamID]time.Time // engines of own records that are not listed
	known     protocol.Known                 // StoreAge unused, see storeAt
	storeAt   time.Time                      // when the list of upstreams was asked for, by whatever daemon
	list      []upstreams.Upstream           // as of known.Upstreams
	versions  map[upstreams.Adapter]int
	reached   bool      // the last call of the store was answered
	back      time.Time // end of the last outage of the store
	leaving   bool
	seq       uint64 // of the last own state that was told
	rounds    uint64 // of gossip
	published bool
	// The last records that this daemon read itself, and when it asked for them.
	ownRecords map[state.UpstreamID]Holder
	ownAsked   time.Duration
	recordsNow chan struct{} // asks for the records at once
	rereads    map[string]context.CancelFunc
	demand     map[string]*pendingDemand // not yet told, by holder
	strikes    []timedStrike
	// modelLoads are the times of recent orders to load weights.
	modelLoads []time.Time
}

// New returns a node that is not started.
func New(opts Options) *Node {
	return &Node{
		opts:     opts,
		listed:   opts.Self,
		window:   sharedWindow{window: loadwindow.New()},
		members:  make(map[string]*member),
		holders:  make(map[state.UpstreamID]Holder),
		workers:  make(map[state.UpstreamID]*worker),
		gone:     make(map[state.UpstreamID]time.Time),
		versions: make(map[upstreams.Adapter]int),
		rereads:  make(map[string]context.CancelFunc),
		demand:   make(map[string]*pendingDemand),

		recordsNow: make(chan struct{}, 1),
	}
}

// Start begins to follow the store and the peers.
func (n *Node) Start() {
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.started = n.opts.Clock()
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
	return n.known.Upstreams > 0 && n.opts.View.Table() != nil
}

// SetLeaving tells the peers that this daemon shuts down.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// RefreshRecords asks for the records soon: a peer showed a certificate that they do not
// name, so it has probably started anew.
func (n *Node) RefreshRecords() {
	select {
	case n.recordsNow <- struct{}{}:
	default:
	}
}

// relayView returns this daemon and its peers for the choice of relays. The caller
// holds the lock.
func (n *Node) relayView(now time.Time) []relays.Daemon {
	list := []relays.Daemon{{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone, CPU: n.opts.Self.CPU}}
	for _, m := range n.members {
		silent := now.Sub(m.heard)
		if m.state.Leaving || m.failed >= dropAfter {
			silent = relays.SilentAfter
		}
		list = append(list, relays.Daemon{VM: m.VM, Zone: m.Zone, CPU: m.CPU, Silence: silent})
	}
	return list
}

// claimView returns this daemon and its peers for the choice of holders: those that
// are relays may claim engines. The caller holds the lock.
func (n *Node) claimView(now time.Time) []holders.Daemon {
	view := n.relayView(now)
	isRelay := make(map[string]bool)
	for _, d := range view {
		if isRelay[d.VM] {
			continue
		}
		for _, vm := range relays.Of(d.Zone, view) {
			isRelay[vm] = true
		}
	}
	list := []holders.Daemon{{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone, CannotClaim: !isRelay[n.opts.Self.VM]}}
	for _, m := range n.members {
		list = append(list, holders.Daemon{VM: m.VM, Zone: m.Zone, Silence: now.Sub(m.heard), CannotClaim: m.state.StoreAway || !isRelay[m.VM]})
	}
	return list
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

// RequestLoad asks the holder of an engine to load an adapter.
func (n *Node) RequestLoad(ctx context.Context, msg protocol.WantAdapter) protocol.WantReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	var to *peer.Peer
	if m := n.members[n.holders[msg.Upstream].VM]; m != nil {
		to = &peer.Peer{ID: m.ID(), Addr: m.Addr}
	}
	n.mu.Unlock()
	if w != nil {
		return w.want(ctx, msg)
	}
	if to == nil {
		return protocol.WantReply{Reason: "holder unknown"}
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	var reply protocol.WantReply
	if err := n.opts.Pool.Exchange(ctx, *to, protocol.MsgWantAdapter, msg, &reply); err != nil {
		return protocol.WantReply{Reason: err.Error()}
	}
	return reply
}

// ServeLoadRequest answers a peer that asks for a load at an engine of this daemon.
func (n *Node) ServeLoadRequest(ctx context.Context, msg protocol.WantAdapter) protocol.WantReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	n.mu.Unlock()
	if w == nil {
		return protocol.WantReply{Reason: "not the holder"}
	}
	return w.want(ctx, msg)
}

// logErr writes a line about a call of the store that failed.
func (n *Node) logErr(event string, err error, attrs ...slog.Attr) {
	n.opts.Log.Event(event, append(attrs, slog.String("err", err.Error()))...)
}
