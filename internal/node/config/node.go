// Package config keeps the configuration of a daemon up to date. It reads change
// records from the object store and from peers, serves them to peers, submits
// changes, and compacts the stored records.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	tickInterval    = 250 * time.Millisecond
	gossipInterval  = 5 * time.Second
	watchTimeout    = 30 * time.Second // longest duration of one call of ObjectStore.Watch
	watchRetryDelay = time.Second
	exchangeTimeout = 2 * time.Second  // timeout of one exchange with a peer
	asyncTimeout    = 30 * time.Second // timeout of one function that runs in the background
)

// Members returns the known daemons and reports whether this daemon is a relay.
type Members interface {
	// ZonePeers returns the live daemons of the own availability zone without self.
	ZonePeers() []peer.Peer
	// AllPeers returns all known daemons without self.
	AllPeers() []peer.Peer
	// IsRelay reports whether this daemon is the relay of its zone.
	IsRelay() bool
}

// Exchanger sends a message to a peer and decodes its answer.
type Exchanger interface {
	Exchange(ctx context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error
}

// Options configures a Node.
type Options struct {
	Self    state.DaemonID
	Objects platform.ObjectStore
	Peers   Exchanger
	Members Members
	Clock   func() time.Time
	Rand    *rand.Rand
	// Validate checks the whole configuration that a submission would result in.
	Validate func(*deckconfig.Config) error
}

// Node holds the configuration of one daemon. It is safe for concurrent use.
type Node struct {
	opts    Options
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	catalog atomic.Pointer[state.Catalog]

	mu             sync.Mutex // guards the fields below; never held across I/O
	replica        *configsync.Replica
	follower       *configsync.Follower
	recent         recentRecords
	encoded        encodedSnapshot
	diverged       bool // the digest after a record differed from the digest in the record
	closed         bool
	garbageClaimed uint64 // revision of the snapshot whose garbage buckets were deleted
	deletion       deletion
}

// New returns a node that has not been started.
func New(opts Options) *Node {
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		opts:     opts,
		ctx:      ctx,
		stop:     stop,
		replica:  configsync.NewReplica(),
		follower: configsync.NewFollower(opts.Clock(), opts.Rand),
	}
}

// Start starts the loops that read, watch, gossip and compact the configuration. They
// run until Close.
func (n *Node) Start() {
	n.wg.Add(4)
	go n.tickLoop()
	go n.watchLoop()
	go n.gossipLoop()
	go n.compactLoop()
}

// Close stops the loops and waits for them.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.stop()
	n.wg.Wait()
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (n *Node) Catalog() *state.Catalog { return n.catalog.Load() }

// Ready reports whether the daemon has a configuration that it may serve.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.Ready(n.opts.Clock())
}

// Diverged reports whether this daemon rejected a record because the digest after the
// record would differ from the digest that the record's author computed. The daemon then
// stays at the preceding revision.
func (n *Node) Diverged() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.diverged
}

// ObservePeerRevision processes the revision that a peer reports in a heartbeat.
func (n *Node) ObservePeerRevision(id state.DaemonID, revision uint64) {
	n.handle(configsync.PeerRevisionReported{Peer: id, Revision: revision})
}

// handle passes an event to the follower and starts the resulting actions.
func (n *Node) handle(event configsync.FollowerEvent) {
	n.mu.Lock()
	actions := n.follower.Handle(n.opts.Clock(), event)
	n.mu.Unlock()
	for _, a := range actions {
		n.run(a)
	}
}

// run starts an action of the follower in the background. When a read ends, run passes
// the result to the follower.
func (n *Node) run(action configsync.FollowerAction) {
	switch a := action.(type) {
	case configsync.ReadObjectStore:
		n.runAsync(func(ctx context.Context) {
			err := n.readObjectStore(ctx)
			n.handle(configsync.ObjectStoreRead{OK: err == nil, Revision: n.Revision()})
		})
	case configsync.ReadPeer:
		n.runAsync(func(ctx context.Context) {
			err := n.readPeer(ctx, a.Peer)
			n.handle(configsync.PeerRead{Peer: a.Peer, OK: err == nil, Revision: n.Revision()})
		})
	case configsync.AnnounceRevision:
		n.runAsync(n.announce)
	}
}

// runAsync runs work in a goroutine. Close cancels the goroutine and waits for it to
// end. After Close, runAsync does nothing.
func (n *Node) runAsync(work func(context.Context)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, asyncTimeout)
		defer cancel()
		work(ctx)
	})
}

// Revision returns the revision in force.
func (n *Node) Revision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Revision()
}

// tickLoop regularly reports to the follower whether this daemon is the relay. Each
// report also makes the follower start the reads that are due.
func (n *Node) tickLoop() {
	defer n.wg.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		n.handle(configsync.RelayChanged{Relay: n.opts.Members.IsRelay()})
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

// watchLoop watches the object store for new records while this daemon is the relay of
// its zone, and has the follower read them.
func (n *Node) watchLoop() {
	defer n.wg.Done()
	var watched platform.Version // version up to which changes were seen; 0 if no watch is established
	for n.ctx.Err() == nil {
		if !n.opts.Members.IsRelay() {
			watched = 0
			n.sleep(watchRetryDelay)
			continue
		}
		if watched == 0 {
			watched = n.startWatch()
		}
		if watched == 0 {
			n.sleep(watchRetryDelay)
			continue
		}
		page, err := n.opts.Objects.Watch(n.ctx, recordPrefix, watched, watchTimeout)
		if err != nil {
			n.sleep(watchRetryDelay)
			continue
		}
		watched = max(watched, page.Revision)
		if len(page.Objects) > 0 {
			n.handle(configsync.ObjectStoreChanged{})
		}
	}
}

// startWatch returns the object store's current version, from which a watch can start,
// and has the follower read the records up to that version. It returns 0 if the object
// store does not answer.
func (n *Node) startWatch() platform.Version {
	page, err := n.opts.Objects.List(n.ctx, manifestKey)
	if err != nil {
		return 0
	}
	n.handle(configsync.ObjectStoreChanged{})
	return page.Revision
}

// gossipLoop regularly exchanges the revisions in force with a random peer. Through this
// exchange, a daemon that can reach neither the object store nor its relay receives
// newer revisions.
func (n *Node) gossipLoop() {
	defer n.wg.Done()
	for n.ctx.Err() == nil {
		n.sleep(gossipInterval)
		peers := n.opts.Members.AllPeers()
		if len(peers) == 0 {
			continue
		}
		n.mu.Lock()
		p := peers[n.opts.Rand.IntN(len(peers))]
		n.mu.Unlock()
		_, _ = n.exchangeState(n.ctx, p)
	}
}

// sleep waits for d or until Close.
func (n *Node) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// apply applies records in order until one of them fails.
func (n *Node) apply(records []*configsync.ChangeRecord) error {
	for _, rec := range records {
		if err := n.applyRecord(rec); err != nil {
			return err
		}
	}
	return nil
}

// applyRecord applies a record, adds it to the recent records and publishes the
// resulting catalog. It does nothing if the revision in force is at or above the record's
// revision.
func (n *Node) applyRecord(rec *configsync.ChangeRecord) error {
	edits, err := configsync.CatalogEdits(rec.Submission.Changes)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if rec.Revision <= n.replica.Revision() {
		return nil
	}
	if err := n.replica.Apply(rec); err != nil {
		n.reportDivergence(rec.Revision, err)
		return err
	}
	n.recent.add(rec)
	n.publish(edits)
	return nil
}

// reportDivergence sets diverged if err is configsync.ErrDiverged, and logs the first
// divergence. It ignores all other errors. The caller must hold mu.
func (n *Node) reportDivergence(revision uint64, err error) {
	if err != configsync.ErrDiverged || n.diverged {
		return
	}
	n.diverged = true
	klog.ErrorS(err, "Configuration frozen", "daemon", n.opts.Self, "revision", revision)
}

// publish derives a new catalog from the current catalog by edits and publishes it with
// the revision and digest of the replica. The caller must hold mu.
func (n *Node) publish(edits []state.Edit) {
	base := n.catalog.Load()
	if base == nil {
		base = state.EmptyCatalog()
	}
	revision := n.replica.Revision()
	n.catalog.Store(base.With(revision, n.replica.Digest().String(), edits))
	klog.V(1).InfoS("Configuration in force", "daemon", n.opts.Self, "revision", revision)
}

// restore replaces the configuration with that of a snapshot, publishes the resulting
// catalog and drops the recent records. It ignores a snapshot whose revision is not above
// the revision in force.
func (n *Node) restore(s *configsync.Snapshot) error {
	changes := make([]configsync.Change, 0, len(s.Objects))
	for _, o := range s.Objects {
		changes = append(changes, configsync.Change{Key: o.Key, Value: o.Value})
	}
	edits, err := configsync.CatalogEdits(changes)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Revision <= n.replica.Revision() {
		return nil
	}
	if err := n.replica.Restore(s); err != nil {
		return err
	}
	n.recent.reset()
	n.catalog.Store(state.EmptyCatalog())
	n.publish(edits)
	return nil
}
