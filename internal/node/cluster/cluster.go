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
	minHeartbeatInterval     = 200 * time.Millisecond
	maxHeartbeatInterval     = time.Second
	heartbeatIntervalPerPeer = 50 * time.Millisecond // within the two limits
	heartbeatTimeout         = time.Second
	aliveTimeout             = 3 * time.Second // silence after which a daemon is no longer considered alive

	minListInterval         = 500 * time.Millisecond
	fleetListReadsPerSecond = 200 // reads of the list of VMs by all daemons together

	goneTimeout = 15 * time.Second // time after which a VM that is silent and missing from the list is gone

	// lostTimeout is the silence of a daemon after which callers no longer wait for the
	// calls that the daemon runs. docs/API.md states this bound.
	lostTimeout = 6 * time.Second
)

// Owner dispatches requests and sends orders to the upstreams that this daemon owns.
type Owner interface {
	// SetLeaving starts to drain an upstream: queued and new requests are refused.
	SetLeaving(id state.UpstreamID)
	// ClearLeaving ends the draining of an upstream.
	ClearLeaving(id state.UpstreamID)
	// Owned returns the status of the owned upstreams.
	Owned() []protocol.UpstreamStatus
}

// Ownership acquires and releases the upstreams of this zone.
type Ownership interface {
	// SetAssigned sets whether this daemon should own an upstream.
	SetAssigned(u *state.Upstream, assigned bool)
	// Forget removes an upstream that is no longer listed.
	Forget(id state.UpstreamID)
	// Epoch returns the epoch in which this daemon owns an upstream, and whether it owns
	// the upstream.
	Epoch(id state.UpstreamID) (state.Epoch, bool)
	// WaitReleased waits until this daemon owns nothing or ctx is done.
	WaitReleased(ctx context.Context)
}

// Config is the configuration in force, whose revision the heartbeats carry.
type Config interface {
	Revision() uint64
	// ObservePeerRevision records the configuration revision of another daemon.
	ObservePeerRevision(id state.DaemonID, revision uint64)
}

// Options are the settings and dependencies of a Cluster.
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
	// Drained reports whether operators drain an upstream. If nil, none is drained.
	Drained func(id state.UpstreamID) bool
}

// member is the state of another daemon.
type member struct {
	peer          peer.Peer
	zone          state.Zone
	incarnation   state.Incarnation // empty before the first heartbeat
	lastSeen      time.Time
	draining      bool
	revision      uint64                   // of the configuration
	ackedSequence uint64                   // sequence number of the state of this daemon that the member has confirmed
	statuses      membership.ReceivedState // upstreams of the member, without their load
	loads         membership.ReceivedState
}

// Cluster runs the loops that exchange heartbeats and feeds with other daemons and read
// the platform's list of VMs.
type Cluster struct {
	opts Options
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu            sync.Mutex
	members       map[state.DaemonID]*member
	listReadAt    time.Time // last read of a list that was not empty
	vmList        *membership.VMList
	startedAt     time.Time
	draining      bool
	ownStatuses   *membership.ChangeLog // owned upstreams, without their load
	ownLoads      *membership.ChangeLog
	zoneFeed      *feed // describes this zone; sent to the relays of other zones
	forwardedFeed *feed // describes the other zones; sent to the daemons of this zone
	receivedFeeds map[feedKey]*receivedFeed
}

// New returns a cluster that is not running.
func New(opts Options) *Cluster {
	return &Cluster{
		opts:          opts,
		members:       make(map[state.DaemonID]*member),
		startedAt:     opts.Clock(),
		vmList:        membership.NewVMList(goneTimeout),
		ownStatuses:   membership.NewChangeLog(),
		ownLoads:      membership.NewChangeLog(),
		zoneFeed:      newFeed(false),
		forwardedFeed: newFeed(true),
		receivedFeeds: make(map[feedKey]*receivedFeed),
	}
}

// Start runs the loops until Close.
func (c *Cluster) Start() {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.loop(ctx, c.listInterval, c.syncVMList)
	c.loop(ctx, c.heartbeatInterval, c.sendHeartbeats)
	c.loop(ctx, c.feedInterval, c.relayFeeds)
}

// Close stops the loops and waits for them.
func (c *Cluster) Close() {
	c.stop()
	c.wg.Wait()
}

// ZonePeers returns the other live daemons of the availability zone.
func (c *Cluster) ZonePeers() []peer.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []peer.Peer
	now := c.opts.Clock()
	for _, m := range c.members {
		if m.zone == c.opts.Zone && now.Sub(m.lastSeen) < aliveTimeout {
			peers = append(peers, m.peer)
		}
	}
	return peers
}

// AllPeers returns all other known daemons.
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
	return state.RendezvousOwner("relay/"+string(c.opts.Zone), c.assignableDaemons()) == c.opts.Self.ID
}

// Drain releases the upstreams of this daemon, waits for the release and announces it to the
// other daemons.
func (c *Cluster) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.assign()
	c.opts.Ownership.WaitReleased(ctx)
	c.sendHeartbeats(ctx)
	c.announceRelease(ctx)
}

// Address returns the address of a daemon, and whether the daemon is known.
func (c *Cluster) Address(id state.DaemonID) (peer.Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil {
		return peer.Peer{}, false
	}
	return m.peer, true
}

// DaemonCount returns the number of known daemons, including this daemon.
func (c *Cluster) DaemonCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) + 1
}

// loop runs step until ctx is done, with a pause of every() after each run.
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

// heartbeatInterval returns the pause between heartbeats, which increases with the
// number of daemons of the zone.
func (c *Cluster) heartbeatInterval() time.Duration {
	return min(max(minHeartbeatInterval, time.Duration(len(c.ZonePeers()))*heartbeatIntervalPerPeer), maxHeartbeatInterval)
}

// listInterval returns the pause between reads of the list of VMs, with which all daemons
// together read the list at most fleetListReadsPerSecond times a second.
func (c *Cluster) listInterval() time.Duration {
	return max(minListInterval, time.Duration(c.DaemonCount())*time.Second/fleetListReadsPerSecond)
}

// newUpstream returns the upstream of a listed VM.
func newUpstream(vm platform.VM) state.Upstream {
	kind := state.KindEngine
	if vm.Kind == platform.VMPlain {
		kind = state.KindPlain
	}
	return state.Upstream{
		ID:              state.UpstreamID(vm.ID),
		VM:              vm.ID,
		Zone:            vm.Zone,
		Region:          vm.Region,
		Addr:            vm.Address,
		Kind:            kind,
		Service:         state.ServiceID(vm.Service),
		Base:            vm.Base,
		SupportsFencing: vm.Fenced,
	}
}

// assign recomputes which upstreams of this zone this daemon should own. It also clears the
// owner of each upstream whose owner is silent, and requests the whole state of that owner.
func (c *Cluster) assign() {
	daemons := c.assignableDaemons()
	for _, u := range c.opts.Fleet.All() {
		if u.Owner != "" && u.Owner != c.opts.Self.ID && !c.alive(u.Owner) {
			c.requestFullState(u.Owner)
			c.clearOwner(u.ID, u.Owner)
		}
		if u.Zone == c.opts.Zone {
			owner := state.RendezvousOwner(string(u.ID), daemons)
			c.opts.Ownership.SetAssigned(u, owner == c.opts.Self.ID)
		}
	}
}

// requestFullState discards the state received from a member, so that the member sends its
// whole state again. For a member of another zone it discards all received feeds. An empty
// ID stands for all members.
func (c *Cluster) requestFullState(id state.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, m := range c.members {
		if id == "" || id == name {
			m.statuses.Reset()
			m.loads.Reset()
		}
	}
	if id == "" || c.members[id] != nil && c.members[id].zone != c.opts.Zone {
		for _, r := range c.receivedFeeds {
			r.reset()
		}
	}
}

// alive reports whether a daemon was heard within aliveTimeout.
func (c *Cluster) alive(id state.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	return m != nil && c.opts.Clock().Sub(m.lastSeen) < aliveTimeout
}

// clearOwner removes the owner of an upstream if it still is the given daemon.
func (c *Cluster) clearOwner(id state.UpstreamID, owner state.DaemonID) {
	c.opts.Fleet.Update(id, func(u *state.Upstream) {
		if u.Owner == owner {
			u.Owner = ""
		}
	})
}

// LiveIncarnations returns the incarnations of the other live daemons of this zone, as
// sessions without a term.
func (c *Cluster) LiveIncarnations() []lease.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []lease.Session
	now := c.opts.Clock()
	for id, m := range c.members {
		if m.zone == c.opts.Zone && m.incarnation != "" && now.Sub(m.lastSeen) < aliveTimeout {
			live = append(live, lease.Session{Daemon: id, Incarnation: m.incarnation})
		}
	}
	slices.SortFunc(live, func(a, b lease.Session) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return live
}

// Gone reports whether a daemon has been neither listed nor heard for goneTimeout. It
// returns false if the list could not be read for goneTimeout, or if this daemon started
// less than goneTimeout ago.
func (c *Cluster) Gone(id state.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	if now.Sub(c.listReadAt) > goneTimeout || now.Sub(c.startedAt) < goneTimeout {
		return false
	}
	m := c.members[id]
	return c.vmList.Missing(now, string(id)) && (m == nil || now.Sub(m.lastSeen) > goneTimeout)
}

// IncarnationLost reports whether an incarnation of a daemon is lost: the daemon was last
// heard as another incarnation, or has been silent for lostTimeout. A daemon that was never
// heard is not lost.
func (c *Cluster) IncarnationLost(id state.DaemonID, incarnation state.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil || m.incarnation == "" {
		return false
	}
	return m.incarnation != incarnation || c.opts.Clock().Sub(m.lastSeen) > lostTimeout
}

// assignableDaemons returns the live daemons of this zone that are not draining, including
// this daemon.
func (c *Cluster) assignableDaemons() []state.DaemonID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var daemons []state.DaemonID
	if !c.draining {
		daemons = append(daemons, c.opts.Self.ID)
	}
	now := c.opts.Clock()
	for id, m := range c.members {
		alive := now.Sub(m.lastSeen) < aliveTimeout
		if m.zone == c.opts.Zone && alive && !m.draining {
			daemons = append(daemons, id)
		}
	}
	slices.Sort(daemons)
	return daemons
}
