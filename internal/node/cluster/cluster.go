// Package cluster keeps a daemon's view of the other daemons, of the upstreams
// and of the configuration up to date.
package cluster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	minHeartbeat     = 200 * time.Millisecond
	maxHeartbeat     = time.Second
	heartbeatPerPeer = 50 * time.Millisecond
	heartbeatTimeout = time.Second
	aliveFor         = 3 * time.Second
	minListInterval  = 500 * time.Millisecond
	listRate         = 200 // reads of the list a second by the whole fleet
	goneAfter        = 15 * time.Second
	// lostAfter is the silence after which callers no longer wait for a call that a
	// daemon runs: docs/API.md states the bound.
	lostAfter = 6 * time.Second
)

// Owner is told what this daemon owns.
type Owner interface {
	SetLeaving(id state.UpstreamID)
	ClearLeaving(id state.UpstreamID)
	Owned() []protocol.UpstreamStatus
}

// Ownership acquires and releases the upstreams of this zone.
type Ownership interface {
	SetAssigned(u *state.Upstream, mine bool)
	Forget(id state.UpstreamID)
	// Epoch returns the epoch under which this daemon owns an upstream.
	Epoch(id state.UpstreamID) (state.Epoch, bool)
	// WaitReleased waits until this daemon owns nothing.
	WaitReleased(ctx context.Context)
}

// Config is the configuration whose revision the heartbeats carry.
type Config interface {
	Revision() uint64
	NotePeer(id state.DaemonID, revision uint64)
}

// Options sets up a Cluster.
type Options struct {
	Self        peer.Peer
	Incarnation state.Incarnation
	Zone        state.Zone
	Region      state.Region
	Platform    *platform.Client
	Pool        *peer.Pool
	Fleet       *state.Fleet
	Owner       Owner
	Ownership   Ownership
	Config      Config
	Clock       func() time.Time
	// Drained reports whether operators drain an upstream; nil for none.
	Drained func(id state.UpstreamID) bool
}

type member struct {
	peer     peer.Peer
	zone     state.Zone
	run      state.Incarnation // empty before the first heartbeat
	lastSeen time.Time
	draining bool
	revision uint64
	acked    uint64 // state of this daemon that the member has confirmed
	replica  membership.ReceivedState
	loads    membership.ReceivedState
}

// Cluster runs the loops that keep the view up to date.
type Cluster struct {
	opts Options
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	members  map[state.DaemonID]*member
	listAt   time.Time // when the list was read last
	listing  *membership.VMList
	startAt  time.Time
	draining bool
	log      *membership.ChangeLog // what this daemon owns, without the load
	loads    *membership.ChangeLog
	ownFeed  *feed // this zone, to other relays
	farFeed  *feed // the other zones, to this one
	feeds    map[feedKey]*replica
}

// New returns a cluster that is not running.
func New(opts Options) *Cluster {
	return &Cluster{
		opts:    opts,
		members: make(map[state.DaemonID]*member),
		startAt: opts.Clock(),
		listing: membership.NewVMList(goneAfter),
		log:     membership.NewChangeLog(),
		loads:   membership.NewChangeLog(),
		ownFeed: newFeed(false),
		farFeed: newFeed(true),
		feeds:   make(map[feedKey]*replica),
	}
}

// Start runs the loops until Close.
func (c *Cluster) Start() {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.loop(ctx, c.listInterval, c.syncList)
	c.loop(ctx, c.heartbeatInterval, c.heartbeat)
	c.loop(ctx, c.feedInterval, c.relay)
}

// Close stops the loops.
func (c *Cluster) Close() {
	c.stop()
	c.wg.Wait()
}

// ZonePeers returns the live daemons of the own availability zone without self.
func (c *Cluster) ZonePeers() []peer.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []peer.Peer
	now := c.opts.Clock()
	for _, m := range c.members {
		if m.zone == c.opts.Zone && now.Sub(m.lastSeen) < aliveFor {
			peers = append(peers, m.peer)
		}
	}
	return peers
}

// AllPeers returns all known daemons without self.
func (c *Cluster) AllPeers() []peer.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := make([]peer.Peer, 0, len(c.members))
	for _, m := range c.members {
		peers = append(peers, m.peer)
	}
	return peers
}

// IsRelay reports whether this daemon reads the platform for its zone.
func (c *Cluster) IsRelay() bool {
	return state.RendezvousOwner("relay/"+string(c.opts.Zone), c.liveDaemons()) == c.opts.Self.ID
}

// Drain announces that this daemon leaves and gives up its upstreams.
func (c *Cluster) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.assign()
	c.opts.Ownership.WaitReleased(ctx)
	c.heartbeat(ctx)
	c.announce(ctx)
}

// Address returns the address of a daemon.
func (c *Cluster) Address(id state.DaemonID) (peer.Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil {
		return peer.Peer{}, false
	}
	return m.peer, true
}

// DaemonCount returns the number of known daemons, this one included.
func (c *Cluster) DaemonCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) + 1
}

func (c *Cluster) loop(ctx context.Context, every func() time.Duration, step func(context.Context)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for {
			step(ctx)
			timer := time.NewTimer(every())
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	}()
}

// heartbeatInterval returns the pause between heartbeats, which grows with the zone.
func (c *Cluster) heartbeatInterval() time.Duration {
	return min(max(minHeartbeat, time.Duration(len(c.ZonePeers()))*heartbeatPerPeer), maxHeartbeat)
}

// listInterval returns the pause between reads of the list. All daemons together
// read it listRate times a second.
func (c *Cluster) listInterval() time.Duration {
	return max(minListInterval, time.Duration(c.DaemonCount())*time.Second/listRate)
}

func newUpstream(vm platform.VM) state.Upstream {
	kind := state.KindEngine
	if vm.Kind == platform.VMPlain {
		kind = state.KindPlain
	}
	return state.Upstream{
		ID:      state.UpstreamID(vm.ID),
		VM:      vm.ID,
		Zone:    vm.Zone,
		Region:  vm.Region,
		Addr:    vm.Address,
		Kind:    kind,
		Service: state.ServiceID(vm.Service),
		Base:    vm.Base,
		Fenced:  vm.Fenced,
	}
}

// assign recomputes which upstreams of this zone this daemon should own, and
// forgets the owners that are silent.
func (c *Cluster) assign() {
	daemons := c.liveDaemons()
	for _, u := range c.opts.Fleet.All() {
		if u.Owner != "" && u.Owner != c.opts.Self.ID && !c.alive(u.Owner) {
			c.askAll(u.Owner)
			c.clearOwner(u.ID, u.Owner)
		}
		if u.Zone == c.opts.Zone {
			owner := state.RendezvousOwner(string(u.ID), daemons)
			c.opts.Ownership.SetAssigned(u, owner == c.opts.Self.ID)
		}
	}
}

// askAll makes a member, or all of them, send their whole state again: what they
// sent before was dropped here.
func (c *Cluster) askAll(id state.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, m := range c.members {
		if id == "" || id == name {
			m.replica.Reset()
			m.loads.Reset()
		}
	}
	if id == "" || c.members[id] != nil && c.members[id].zone != c.opts.Zone {
		for _, r := range c.feeds {
			r.reset()
		}
	}
}

func (c *Cluster) alive(id state.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	return m != nil && c.opts.Clock().Sub(m.lastSeen) < aliveFor
}

// clearOwner notes that a daemon no longer owns an upstream.
func (c *Cluster) clearOwner(id state.UpstreamID, was state.DaemonID) {
	c.opts.Fleet.Update(id, func(u *state.Upstream) {
		if u.Owner == was {
			u.Owner = ""
		}
	})
}

// LiveIncarnations returns the runs of the live daemons of this zone without self.
func (c *Cluster) LiveIncarnations() []lease.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []lease.Session
	now := c.opts.Clock()
	for id, m := range c.members {
		if m.zone == c.opts.Zone && m.run != "" && now.Sub(m.lastSeen) < aliveFor {
			runs = append(runs, lease.Session{Daemon: id, Incarnation: m.run})
		}
	}
	slices.SortFunc(runs, func(a, b lease.Session) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return runs
}

// Gone reports that a daemon has neither been listed nor heard for a while, though
// the list can be read.
func (c *Cluster) Gone(id state.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	if now.Sub(c.listAt) > goneAfter || now.Sub(c.startAt) < goneAfter {
		return false
	}
	m := c.members[id]
	return c.listing.Missing(now, string(id)) && (m == nil || now.Sub(m.lastSeen) > goneAfter)
}

// IncarnationLost reports that a run of a daemon was heard before and has ended, or been silent
// for lostAfter.
func (c *Cluster) IncarnationLost(id state.DaemonID, run state.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil || m.run == "" {
		return false
	}
	return m.run != run || c.opts.Clock().Sub(m.lastSeen) > lostAfter
}

// liveDaemons returns the daemons of this zone that may own upstreams.
func (c *Cluster) liveDaemons() []state.DaemonID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var daemons []state.DaemonID
	if !c.draining {
		daemons = append(daemons, c.opts.Self.ID)
	}
	now := c.opts.Clock()
	for id, m := range c.members {
		alive := now.Sub(m.lastSeen) < aliveFor
		if m.zone == c.opts.Zone && alive && !m.draining {
			daemons = append(daemons, id)
		}
	}
	slices.Sort(daemons)
	return daemons
}
