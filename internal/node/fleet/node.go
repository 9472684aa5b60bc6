package fleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/continuity"
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
	// loadRequestTimeout limits the wait for a peer's reply to a load request. The peer replies
	// when the load has been ordered or refused.
	loadRequestTimeout = 2 * time.Second
	// recordGracePeriod is how long an engine must have been unlisted, or a daemon silent,
	// before the record of the engine or daemon is deleted.
	recordGracePeriod = 30 * time.Second
)

// Options configures a Node.
type Options struct {
	Self    Member
	View    *View
	Store   Store
	Engines Engines
	Pool    *peer.Pool
	Pins    *peer.Pins
	Log     *decisionlog.Log
	Clock   func() time.Time
	// BootClock also counts while the machine is suspended.
	BootClock func() time.Duration
	// MinHandoverInterval is the minimum time between the orders of two lease holders of an
	// engine.
	MinHandoverInterval time.Duration
	// UpstreamHeartbeat is the interval at which upstreams renew their entries in the store.
	UpstreamHeartbeat time.Duration
	// LapsedGracePeriod is how long upstreams whose entries expired during an outage of the
	// store stay listed after the outage.
	LapsedGracePeriod time.Duration
	// ModelLoadWindow is the time for which loads of model weights are counted. All daemons
	// together may order EngineSpec.LoadsPerSec times ModelLoadWindow times ModelLoadBurst
	// loads in it.
	ModelLoadWindow time.Duration
	// ModelLoadBurst is a factor of the number of loads allowed in a ModelLoadWindow.
	ModelLoadBurst float64
	// FirstStart is set if all daemons start for the first time, at about the same time.
	FirstStart bool
}

// member is a peer as seen by this daemon.
type member struct {
	Member
	knownSince   time.Time // when this incarnation was first listed here
	lastHeard    time.Time // when the peer last sent to any daemon, as far as known; initially when it was listed
	lastDirect   time.Time // when the peer's state was last received directly, see markDirect
	contacted    bool      // a message of this incarnation of the peer was received
	failures     int       // consecutive unanswered messages
	callInFlight bool
	reports      reportProgress
	// needsVersionsUntil is until when messages to the peer contain recent versions.
	needsVersionsUntil time.Time
	lost               bool      // silent, and logged as lost
	keptUntil          time.Time // see isKept
	lastErr            string    // of the last failed call
	state              protocol.DaemonState
	revisions          protocol.StoreRevisions // as of its last message to this daemon
}

// Node reads the store, exchanges state with the peers and orders loads at the engines
// whose leases this daemon holds. It is safe for concurrent use.
type Node struct {
	opts   Options
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ctx    context.Context
	window sharedWindow

	started time.Time

	mu              sync.Mutex         // not held across I/O; taken before the locks of workers and of the view
	listed          Member             // this daemon's record in the store
	members         map[string]*member // by VM, without this daemon
	holders         map[state.UpstreamID]Holder
	workers         map[state.UpstreamID]*worker
	unlistedSince   map[state.UpstreamID]time.Time // engines of own records that are not listed
	revisions       protocol.StoreRevisions        // of the copies of the store's objects; reads replaces StoreAge and ReadFor
	unusableConfig  string                         // the last reason why a configuration was unusable
	reads           continuity.Reads               // of the list of upstreams, by any daemon
	lastRead        readID                         // of reads.Last
	ownReads        uint64                         // number of reads of the list by this daemon
	heardReads      map[state.DaemonID]uint64      // newest read of each daemon that is known here
	era             eraClock
	listEraAt       time.Time // of the first read of the list in its era
	isLapsedByEra   bool      // lapsed is kept because of a new era, whoever read the store meanwhile
	departures      map[state.UpstreamID]departure
	isUnlisted      bool                 // the records lack this daemon's
	list            []upstreams.Upstream // the store's list at revisions.Upstreams
	lapsed          []upstreams.Upstream // listed before the last outage of the store, and not since
	versions        map[upstreams.Adapter]int
	recentVersions  []recentVersion
	storeReachable  bool      // the last call of the store succeeded, or this daemon stopped calling it
	storeRegainedAt time.Time // when a call of this daemon succeeded again after a failed one
	leaving         bool
	checkedAt       time.Time     // when noticeStall last ran
	checkedBoot     time.Duration // the same by BootClock
	stall, stallEnd time.Duration // length and end of the last stall of this daemon, by BootClock
	hasVersions     bool          // the store's versions were read, or received from a peer, since the start
	seq             uint64        // of this daemon's last state
	rounds          uint64        // of gossip
	isPublished     bool          // this incarnation's record is in the store
	publishedAt     time.Time     // used by pollRecords only
	// lastReadHolders are the holder records that this daemon, not a peer, last read.
	lastReadHolders  map[state.UpstreamID]Holder
	lastReadAt       time.Duration // when this daemon requested lastReadHolders, by BootClock
	refreshRequested chan struct{}
	watchCancels     map[string]context.CancelFunc
	demand           map[string]*pendingDemand // by VM of the lease holder
	reports          reportQueue
	repeated         repeatedCrashes
	appliedRefusals  map[string]uint64 // revision of each applied record by prompt part; used by pollRecords only
	// modelLoads are the times of recent orders to load model weights.
	modelLoads []time.Time
	accounts   accountSums
}

// New returns a node. Start starts it.
func New(opts Options) *Node {
	return &Node{
		opts:          opts,
		listed:        opts.Self,
		window:        sharedWindow{window: loadwindow.New()},
		members:       make(map[string]*member),
		holders:       make(map[state.UpstreamID]Holder),
		workers:       make(map[state.UpstreamID]*worker),
		unlistedSince: make(map[state.UpstreamID]time.Time),
		versions:      make(map[upstreams.Adapter]int),
		watchCancels:  make(map[string]context.CancelFunc),
		demand:        make(map[string]*pendingDemand),
		heardReads:    make(map[state.DaemonID]uint64),
		departures:    make(map[state.UpstreamID]departure),

		appliedRefusals: make(map[string]uint64),

		refreshRequested: make(chan struct{}, 1),
	}
}

// Start starts to read the store and to gossip.
func (n *Node) Start() {
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.started = n.opts.Clock()
	for _, loop := range []func(){n.watchConfig, n.watchVersions, n.pollUpstreams, n.pollRecords, n.runGossip, n.runPromptNotices} {
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

// Ready reports whether the daemon has a configuration and a list of upstreams.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisions.Upstreams > 0 && n.opts.View.Table() != nil
}

// SetLeaving announces to the peers that this daemon is shutting down.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// RefreshRecords requests a read of the records soon. It is called when a peer presents a
// certificate that the records do not contain: the peer has probably restarted.
func (n *Node) RefreshRecords() {
	select {
	case n.refreshRequested <- struct{}{}:
	default:
	}
}

// relayView returns this daemon and its peers as input for the choice of relays. The caller
// holds the lock.
func (n *Node) relayView(now time.Time) []relays.Daemon {
	list := []relays.Daemon{{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone, CPU: n.opts.Self.CPU}}
	for _, m := range n.members {
		silence := now.Sub(m.lastHeard)
		if m.state.Leaving || m.failures >= maxUnansweredMessages {
			silence = relays.SilentAfter
		}
		list = append(list, relays.Daemon{VM: m.VM, Zone: m.Zone, CPU: m.CPU, Silence: silence})
	}
	return list
}

// claimView returns this daemon and its peers as input for the choice of lease holders. Only
// relays may claim engines. The caller holds the lock.
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
	isNew := func(since time.Time) bool { return now.Sub(since) < holders.TakeoverAfter }
	list := []holders.Daemon{{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone, CannotClaim: !isRelay[n.opts.Self.VM], IsNew: isNew(n.started)}}
	for _, m := range n.members {
		list = append(list, holders.Daemon{
			VM: m.VM, Zone: m.Zone, Silence: now.Sub(m.lastHeard), CannotClaim: m.state.StoreUnreachable || !isRelay[m.VM], IsNew: isNew(m.knownSince),
		})
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

// loadable returns for each engine with a lease holder whether loads can be requested from the
// lease holder. The caller holds the lock.
func (n *Node) loadable(now time.Time) map[state.UpstreamID]bool {
	list := make(map[state.UpstreamID]bool, len(n.holders))
	for id, h := range n.holders {
		if w := n.workers[id]; w != nil {
			list[id] = w.canOrder()
			continue
		}
		m := n.members[h.VM]
		list[id] = m != nil && m.contacted && now.Sub(m.lastHeard) < holderTTL
	}
	return list
}

// RequestLoad requests a load of an adapter from the lease holder of an engine, which is this
// daemon or a peer, and returns the reply.
func (n *Node) RequestLoad(ctx context.Context, msg protocol.LoadRequest) protocol.LoadReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	var to *peer.Peer
	if m := n.members[n.holders[msg.Upstream].VM]; m != nil {
		to = &peer.Peer{ID: m.ID(), Addr: m.Addr}
	}
	n.mu.Unlock()
	if w != nil {
		return w.requestLoad(ctx, msg)
	}
	if to == nil {
		return protocol.LoadReply{Reason: "holder unknown"}
	}
	ctx, cancel := context.WithTimeout(ctx, loadRequestTimeout)
	defer cancel()
	var reply protocol.LoadReply
	if err := n.opts.Pool.Exchange(ctx, *to, protocol.MsgLoadRequest, msg, &reply); err != nil {
		return protocol.LoadReply{Reason: err.Error()}
	}
	return reply
}

// ServeLoadRequest serves a peer's request for a load at an engine of this daemon.
func (n *Node) ServeLoadRequest(ctx context.Context, msg protocol.LoadRequest) protocol.LoadReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	n.mu.Unlock()
	if w == nil {
		return protocol.LoadReply{Reason: "not the holder"}
	}
	return w.requestLoad(ctx, msg)
}

// logErr logs an event with the error of a failed call of the store.
func (n *Node) logErr(event string, err error, attrs ...slog.Attr) {
	n.opts.Log.Event(event, append(attrs, slog.String("err", err.Error()))...)
}
