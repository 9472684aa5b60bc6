package cluster

import (
	"context"
	"errors"
	"math/bits"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	minFeed     = 500 * time.Millisecond
	maxFeed     = time.Second
	feedPerPeer = 10 * time.Millisecond
)

// feedInterval returns the pause between the feeds of a relay, which grows with the
// fleet.
func (c *Cluster) feedInterval() time.Duration {
	return min(max(minFeed, time.Duration(c.DaemonCount())*feedPerPeer), maxFeed)
}

// feed is what a relay tells: its own zone to other relays, or the other zones to
// its own.
type feed struct {
	forwarded bool
	members   *membership.ChangeLog
	rest      *membership.ChangeLog
	loads     *membership.ChangeLog
	acked     map[state.DaemonID]uint64
}

func newFeed(forwarded bool) *feed {
	return &feed{
		forwarded: forwarded,
		members:   membership.NewChangeLog(),
		rest:      membership.NewChangeLog(),
		loads:     membership.NewChangeLog(),
		acked:     make(map[state.DaemonID]uint64),
	}
}

// replica is what this daemon has taken from the feeds of a relay.
type replica struct {
	run     state.Incarnation
	members membership.ReceivedState
	rest    membership.ReceivedState
	loads   membership.ReceivedState
	alive   map[state.DaemonID]protocol.FeedMember
	known   map[state.UpstreamID]bool
}

func (r *replica) reset() { *r = replica{run: r.run} }

// feedKey tells the two feeds of a relay apart.
type feedKey struct {
	from      state.DaemonID
	forwarded bool
}

// relay sends the feeds of this daemon if it is the relay of its zone.
func (c *Cluster) relay(ctx context.Context) {
	if !c.IsRelay() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	c.sendFeed(ctx, &wg, c.ownFeed, c.otherRelays())
	c.sendFeed(ctx, &wg, c.farFeed, c.ZonePeers())
	wg.Wait()
}

// announce tells the other zones what this daemon gave up, also if it was the only
// daemon of its zone.
func (c *Cluster) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	c.sendFeed(ctx, &wg, c.ownFeed, c.otherRelays())
	wg.Wait()
}

// otherRelays returns the relay of each other zone: by rendezvous over its live
// daemons, or over its listed ones while none is known to live.
func (c *Cluster) otherRelays() []peer.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := make(map[state.Zone][]state.DaemonID)
	listed := make(map[state.Zone][]state.DaemonID)
	now := c.opts.Clock()
	for id, m := range c.members {
		if m.zone == c.opts.Zone {
			continue
		}
		listed[m.zone] = append(listed[m.zone], id)
		if now.Sub(m.lastSeen) < aliveFor && !m.draining {
			live[m.zone] = append(live[m.zone], id)
		}
	}
	var relays []peer.Peer
	for zone, all := range listed {
		candidates := live[zone]
		if len(candidates) == 0 {
			candidates = all
		}
		relays = append(relays, c.members[state.RendezvousOwner("relay/"+string(zone), candidates)].peer)
	}
	return relays
}

// sendFeed sends a feed to each peer, with what the peer has not confirmed.
func (c *Cluster) sendFeed(ctx context.Context, wg *sync.WaitGroup, f *feed, to []peer.Peer) {
	members, upstreams := c.feedContent(f.forwarded)
	who, rest, loads := itemsOf(members, upstreams)
	c.mu.Lock()
	defer c.mu.Unlock()
	f.members.Update(who)
	f.rest.Update(rest)
	f.loads.Update(loads)
	for _, p := range to {
		msg := c.feedMessage(f, f.acked[p.ID], members, upstreams)
		wg.Go(func() {
			var ack protocol.ZoneFeedAck
			if err := c.opts.Pool.Exchange(ctx, p, protocol.MsgZoneFeed, msg, &ack); err != nil {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			f.acked[p.ID] = ack.Sequence
		})
	}
}

// itemsOf returns the items of the three parts of a feed.
func itemsOf(members map[state.DaemonID]protocol.FeedMember, upstreams map[state.UpstreamID]feedUpstream) (who, rest, loads []membership.Item) {
	for id, m := range members {
		who = append(who, membership.Item{ID: state.UpstreamID(id), Hash: hashOf(m)})
	}
	for id, u := range upstreams {
		rest = append(rest, membership.Item{ID: id, Hash: hashOf(u.upstream)})
		loads = append(loads, membership.Item{ID: id, Hash: hashOf(u.load)})
	}
	return who, rest, loads
}

type feedUpstream struct {
	upstream protocol.FeedUpstream
	load     protocol.UpstreamLoad
}

// feedContent returns the live members and the owned upstreams of a feed. Upstreams
// of other regions are left out: no request is sent there.
func (c *Cluster) feedContent(forwarded bool) (map[state.DaemonID]protocol.FeedMember, map[state.UpstreamID]feedUpstream) {
	members := make(map[state.DaemonID]protocol.FeedMember)
	upstreams := make(map[state.UpstreamID]feedUpstream)
	c.mu.Lock()
	now := c.opts.Clock()
	for id, m := range c.members {
		if (m.zone != c.opts.Zone) == forwarded && now.Sub(m.lastSeen) < aliveFor {
			members[id] = protocol.FeedMember{ID: id, Run: m.run, Revision: m.revision, Draining: m.draining}
		}
	}
	if !forwarded {
		members[c.opts.Self.ID] = protocol.FeedMember{
			ID: c.opts.Self.ID, Run: c.opts.Incarnation, Revision: c.opts.Config.Revision(), Draining: c.draining,
		}
	}
	c.mu.Unlock()
	for _, u := range c.opts.Fleet.All() {
		if u.Owner == "" || (u.Zone != c.opts.Zone) != forwarded || forwarded && u.Region != c.opts.Region {
			continue
		}
		rest, load := split(statusOf(u))
		load = coarse(load, u.Batch)
		upstreams[u.ID] = feedUpstream{upstream: protocol.FeedUpstream{Owner: u.Owner, Status: rest}, load: load}
	}
	return members, upstreams
}

// coarse rounds the load that other zones are told, so that it seldom changes: what
// runs up to a quarter of the batch, what waits up to a power of two.
func coarse(l protocol.UpstreamLoad, batch int) protocol.UpstreamLoad {
	step := max(1, batch/4)
	l.Running = (l.Running + step - 1) / step * step
	l.Queued = ceilPower(l.Queued)
	byRank := make([]int, len(l.QueuedByRank))
	for i, n := range l.QueuedByRank {
		byRank[i] = ceilPower(n)
	}
	if len(byRank) > 0 {
		l.QueuedByRank = byRank
	}
	return l
}

// ceilPower returns the least power of two that is not below n, or 0 for 0.
func ceilPower(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

func statusOf(u *state.Upstream) protocol.UpstreamStatus {
	return protocol.UpstreamStatus{
		ID: u.ID, Epoch: u.Epoch, Boot: u.Boot, Healthy: u.Healthy, Running: u.Running, Queued: u.Queued,
		Slots: u.Slots, Batch: u.Batch, Resident: u.Resident, Loading: u.Loading, Role: u.Role, QueuedByRank: u.QueuedByRank,
	}
}

func (c *Cluster) feedMessage(f *feed, confirmed uint64, members map[state.DaemonID]protocol.FeedMember, upstreams map[state.UpstreamID]feedUpstream) protocol.ZoneFeed {
	who, rest, loads := f.members.DeltaSince(confirmed), f.rest.DeltaSince(confirmed), f.loads.DeltaSince(confirmed)
	msg := protocol.ZoneFeed{
		Daemon:        c.opts.Self.ID,
		Incarnation:   c.opts.Incarnation,
		Base:          rest.Base,
		Sequence:      rest.Sequence,
		GoneMembers:   who.Removed,
		Removed:       rest.Removed,
		MemberDigest:  who.Digest,
		Digest:        rest.Digest,
		LoadDigest:    loads.Digest,
		ForwardedFrom: f.forwarded,
	}
	for _, id := range who.Changed {
		msg.Members = append(msg.Members, members[state.DaemonID(id)])
	}
	for _, id := range rest.Changed {
		msg.Upstreams = append(msg.Upstreams, upstreams[id].upstream)
	}
	for _, id := range loads.Changed {
		msg.Loads = append(msg.Loads, upstreams[id].load)
	}
	return msg
}

// HandleFeed takes the feed of a relay.
func (c *Cluster) HandleFeed(from state.DaemonID, msg *protocol.ZoneFeed) (protocol.ZoneFeedAck, error) {
	if from != msg.Daemon {
		return protocol.ZoneFeedAck{}, errors.New("cluster: feed names another daemon")
	}
	c.mu.Lock()
	key := feedKey{from: from, forwarded: msg.ForwardedFrom}
	r := c.feeds[key]
	if r == nil {
		r = &replica{}
		c.feeds[key] = r
	}
	fresh := r.apply(msg)
	sequence := r.rest.Sequence()
	c.noteAlive(r)
	var known []state.UpstreamID
	for id := range r.known {
		known = append(known, id)
	}
	c.mu.Unlock()
	if fresh {
		c.applyFeed(msg)
	}
	for _, m := range msg.Members {
		c.opts.Config.NotePeer(m.ID, m.Revision)
	}
	now := c.opts.Clock()
	for _, id := range known {
		c.opts.Fleet.Update(id, func(u *state.Upstream) { u.ReportedAt = now })
	}
	return protocol.ZoneFeedAck{Sequence: sequence}, nil
}

// apply takes a message. It reports whether the message led to a newer state.
func (r *replica) apply(msg *protocol.ZoneFeed) bool {
	if r.run != msg.Incarnation {
		*r = replica{run: msg.Incarnation}
	}
	if msg.Base != 0 && msg.Sequence <= r.rest.Sequence() {
		return false
	}
	if msg.Base == 0 || r.alive == nil {
		r.alive = make(map[state.DaemonID]protocol.FeedMember)
		r.known = make(map[state.UpstreamID]bool)
	}
	var who, rest, loads []membership.Item
	for _, m := range msg.Members {
		r.alive[m.ID] = m
		who = append(who, membership.Item{ID: state.UpstreamID(m.ID), Hash: hashOf(m)})
	}
	for _, u := range msg.Upstreams {
		r.known[u.Status.ID] = true
		rest = append(rest, membership.Item{ID: u.Status.ID, Hash: hashOf(u)})
	}
	for _, l := range msg.Loads {
		loads = append(loads, membership.Item{ID: l.ID, Hash: hashOf(l)})
	}
	for _, id := range msg.GoneMembers {
		delete(r.alive, state.DaemonID(id))
	}
	for _, id := range msg.Removed {
		delete(r.known, id)
	}
	delta := membership.Delta{Base: msg.Base, Sequence: msg.Sequence, Removed: msg.Removed, Digest: msg.Digest}
	ok := r.rest.Apply(delta, rest)
	delta.Digest = msg.LoadDigest
	ok = r.loads.Apply(delta, loads) && ok
	delta.Removed, delta.Digest = msg.GoneMembers, msg.MemberDigest
	if ok = r.members.Apply(delta, who) && ok; !ok {
		r.reset()
	}
	return ok
}

// noteAlive notes the members of a feed as heard. The caller must hold mu.
func (c *Cluster) noteAlive(r *replica) {
	now := c.opts.Clock()
	for id, f := range r.alive {
		m := c.members[id]
		if m == nil || m.zone == c.opts.Zone {
			continue
		}
		m.lastSeen, m.run, m.draining, m.revision = now, f.Run, f.Draining, f.Revision
	}
}

// applyFeed takes what a feed says of upstreams of other zones into the fleet.
func (c *Cluster) applyFeed(msg *protocol.ZoneFeed) {
	owners := make(map[state.UpstreamID]state.DaemonID, len(msg.Upstreams))
	for _, u := range msg.Upstreams {
		if c.far(u.Status.ID) {
			owners[u.Status.ID] = u.Owner
			c.applyStatus(u.Owner, u.Status)
		}
	}
	if msg.Base == 0 {
		c.clearOmitted(msg, owners)
	}
	for _, l := range msg.Loads {
		if u := c.opts.Fleet.Get(l.ID); u != nil && c.far(l.ID) {
			c.applyLoad(u.Owner, l)
		}
	}
	for _, id := range msg.Removed {
		if u := c.opts.Fleet.Get(id); u != nil && c.far(id) {
			c.clearOwner(id, u.Owner)
		}
	}
}

// clearOmitted forgets the owners of the upstreams that a whole feed should name
// and does not.
func (c *Cluster) clearOmitted(msg *protocol.ZoneFeed, named map[state.UpstreamID]state.DaemonID) {
	zone := c.ZoneOf(msg.Daemon)
	for _, u := range c.opts.Fleet.All() {
		covered := u.Zone == zone
		if msg.ForwardedFrom {
			covered = u.Region == c.opts.Region
		}
		if covered && u.Zone != c.opts.Zone && u.Owner != "" && named[u.ID] == "" {
			c.clearOwner(u.ID, u.Owner)
		}
	}
}

// far reports whether an upstream is of another zone.
func (c *Cluster) far(id state.UpstreamID) bool {
	u := c.opts.Fleet.Get(id)
	return u != nil && u.Zone != c.opts.Zone
}
