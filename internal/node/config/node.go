// Package config keeps the configuration of a daemon up to date: it reads records
// from the platform and from peers, serves them to peers, and submits changes.
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
	watchWait       = 30 * time.Second
	watchPause      = time.Second
	exchangeTimeout = 2 * time.Second
	readTimeout     = 30 * time.Second
)

// Members tells which daemons there are.
type Members interface {
	// ZonePeers returns the live daemons of the own availability zone without self.
	ZonePeers() []peer.Peer
	// AllPeers returns all known daemons without self.
	AllPeers() []peer.Peer
	// IsRelay reports whether this daemon reads the platform for its zone.
	IsRelay() bool
}

// Exchanger sends a message to a peer and decodes its answer.
type Exchanger interface {
	Exchange(ctx context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error
}

// Options sets up a Node.
type Options struct {
	Self    state.DaemonID
	Objects platform.ObjectStore
	Peers   Exchanger
	Members Members
	Clock   func() time.Time
	Rand    *rand.Rand
	// Validate checks a whole configuration before it is accepted.
	Validate func(*deckconfig.Config) error
}

// Node is the configuration of one daemon. It is safe for concurrent use.
type Node struct {
	opts    Options
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	catalog atomic.Pointer[state.Catalog]

	mu       sync.Mutex // guards all below; never held across I/O
	replica  *configsync.Replica
	follower *configsync.Follower
	log      recordLog
	snapshot encodedSnapshot
	diverged bool
	closed   bool
	cleaned  uint64 // snapshot whose garbage was deleted
}

// New returns a node that is not running.
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

// Start runs the loops until Close.
func (n *Node) Start() {
	n.wg.Add(4)
	go n.tick()
	go n.watch()
	go n.gossip()
	go n.compaction()
}

// Close stops the loops and waits for them.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.stop()
	n.wg.Wait()
}

// Catalog returns the configuration in force, or nil before the first one.
func (n *Node) Catalog() *state.Catalog { return n.catalog.Load() }

// Ready reports whether the daemon knows a configuration that it may serve.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.Ready(n.opts.Clock())
}

// Diverged reports that a record did not lead to the state that its author
// computed. The daemon then stays at the revision before it.
func (n *Node) Diverged() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.diverged
}

// NotePeer takes the revision that a peer reports in its heartbeats.
func (n *Node) NotePeer(id state.DaemonID, revision uint64) {
	n.handle(configsync.PeerRevisionReported{Peer: id, Revision: revision})
}

func (n *Node) handle(event configsync.FollowerEvent) {
	n.mu.Lock()
	actions := n.follower.Handle(n.opts.Clock(), event)
	n.mu.Unlock()
	for _, a := range actions {
		n.run(a)
	}
}

func (n *Node) run(action configsync.FollowerAction) {
	switch a := action.(type) {
	case configsync.ReadObjectStore:
		n.spawn(func(ctx context.Context) {
			err := n.readPlatform(ctx)
			n.handle(configsync.ObjectStoreRead{OK: err == nil, Revision: n.Revision()})
		})
	case configsync.ReadPeer:
		n.spawn(func(ctx context.Context) {
			err := n.readPeer(ctx, a.Peer)
			n.handle(configsync.PeerRead{Peer: a.Peer, OK: err == nil, Revision: n.Revision()})
		})
	case configsync.AnnounceRevision:
		n.spawn(n.announce)
	}
}

// spawn runs work until Close. After Close it does nothing.
func (n *Node) spawn(work func(context.Context)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, readTimeout)
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

// tick lets the follower see time pass.
func (n *Node) tick() {
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

// watch waits for new records at the platform while this daemon is the relay.
func (n *Node) watch() {
	defer n.wg.Done()
	var seen platform.Version
	for n.ctx.Err() == nil {
		if !n.opts.Members.IsRelay() {
			seen = 0
			n.pause(watchPause)
			continue
		}
		if seen == 0 {
			seen = n.watchStart()
		}
		if seen == 0 {
			n.pause(watchPause)
			continue
		}
		page, err := n.opts.Objects.Watch(n.ctx, changePrefix, seen, watchWait)
		if err != nil {
			n.pause(watchPause)
			continue
		}
		seen = max(seen, page.Revision)
		if len(page.Objects) > 0 {
			n.handle(configsync.ObjectStoreChanged{})
		}
	}
}

// watchStart returns the platform's current revision and has everything before it
// read. It returns 0 when the platform does not answer.
func (n *Node) watchStart() platform.Version {
	page, err := n.opts.Objects.List(n.ctx, headKey)
	if err != nil {
		return 0
	}
	n.handle(configsync.ObjectStoreChanged{})
	return page.Revision
}

// gossip asks one random peer now and then, so that a daemon that hears neither
// the platform nor its relay learns of newer revisions.
func (n *Node) gossip() {
	defer n.wg.Done()
	for n.ctx.Err() == nil {
		n.pause(gossipInterval)
		peers := n.opts.Members.AllPeers()
		if len(peers) == 0 {
			continue
		}
		n.mu.Lock()
		p := peers[n.opts.Rand.IntN(len(peers))]
		n.mu.Unlock()
		_, _ = n.askState(n.ctx, p)
	}
}

func (n *Node) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// apply brings records into force, in order.
func (n *Node) apply(records []*configsync.ChangeRecord) error {
	for _, rec := range records {
		if err := n.applyOne(rec); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) applyOne(rec *configsync.ChangeRecord) error {
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
		n.noteDivergence(rec.Revision, err)
		return err
	}
	n.log.add(rec)
	n.publish(edits)
	return nil
}

// noteDivergence logs the first divergence. The caller must hold mu.
func (n *Node) noteDivergence(revision uint64, err error) {
	if err != configsync.ErrDiverged || n.diverged {
		return
	}
	n.diverged = true
	klog.ErrorS(err, "Configuration frozen", "daemon", n.opts.Self, "revision", revision)
}

// publish derives the next catalog. The caller must hold mu.
func (n *Node) publish(edits []state.Edit) {
	base := n.catalog.Load()
	if base == nil {
		base = state.EmptyCatalog()
	}
	revision := n.replica.Revision()
	n.catalog.Store(base.With(revision, n.replica.Digest().String(), edits))
	klog.V(1).InfoS("Configuration in force", "daemon", n.opts.Self, "revision", revision)
}

// restore replaces the state by a newer snapshot.
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
	n.log.reset()
	n.catalog.Store(state.EmptyCatalog())
	n.publish(edits)
	return nil
}
