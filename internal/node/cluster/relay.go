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
	minFeedInterval       = 500 * time.Millisecond
	maxFeedInterval       = time.Second
	feedIntervalPerDaemon = 10 * time.Millisecond
)

// feedInterval returns the pause between the feeds of a relay, which increases with the
// number of daemons.
func (c *Cluster) feedInterval() time.Duration {
	return min(max(minFeedInterval, time.Duration(c.DaemonCount())*feedIntervalPerDaemon), maxFeedInterval)
}

// feed is the state that a relay sends. A feed that is not forwarded describes the relay's
// own zone and is sent to the relays of other zones. A forwarded feed describes the other
// zones and is sent to the daemons of the relay's own zone.
type feed struct {
	forwarded      bool
	members        *membership.ChangeLog // live daemons
	statuses       *membership.ChangeLog // upstreams, without their load
	loads          *membership.ChangeLog
	ackedSequences map[state.DaemonID]uint64 // sequence number of the state that each receiver has confirmed
}

// newFeed returns a feed without content.
func newFeed(forwarded bool) *feed {
	return &feed{
		forwarded:      forwarded,
		members:        membership.NewChangeLog(),
		statuses:       membership.NewChangeLog(),
		loads:          membership.NewChangeLog(),
		ackedSequences: make(map[state.DaemonID]uint64),
	}
}

// receivedFeed is the state that this daemon has received in a feed of a relay.
type receivedFeed struct {
	incarnation state.Incarnation // of the relay
	members     membership.ReceivedState
	statuses    membership.ReceivedState
	loads       membership.ReceivedState
	alive       map[state.DaemonID]protocol.FeedMember
	upstreams   map[state.UpstreamID]bool
}

// reset discards the received state, so that the relay sends its whole state.
func (r *receivedFeed) reset() { *r = receivedFeed{incarnation: r.incarnation} }

// feedKey identifies a feed by its relay and whether it is forwarded.
type feedKey struct {
	from      state.DaemonID
	forwarded bool
}

// relayFeeds sends both feeds if this daemon is the relay of its zone.
func (c *Cluster) relayFeeds(ctx context.Context) {
	if !c.IsRelay() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	c.sendFeed(ctx, &wg, c.zoneFeed, c.otherRelays())
	c.sendFeed(ctx, &wg, c.forwardedFeed, c.ZonePeers())
	wg.Wait()
}

// announceRelease sends the feed of this zone to the relays of the other zones, so that they
// receive which upstreams this daemon has released. If this daemon is the last of its zone,
// no other daemon remains to send the feed.
func (c *Cluster) announceRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	c.sendFeed(ctx, &wg, c.zoneFeed, c.otherRelays())
	wg.Wait()
}

// otherRelays returns the relay of each other zone. The relay is chosen by rendezvous hashing
// among the live daemons of the zone that are not draining, or among the listed daemons of
// the zone if there is no such daemon.
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
		if now.Sub(m.lastSeen) < aliveTimeout && !m.draining {
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

// sendFeed updates a feed and sends each peer the changes that the peer has not confirmed. It
// returns without waiting; wg counts the messages in flight.
func (c *Cluster) sendFeed(ctx context.Context, wg *sync.WaitGroup, f *feed, to []peer.Peer) {
	members, upstreams := c.feedContent(f.forwarded)
	memberItems, statusItems, loadItems := feedItems(members, upstreams)
	c.mu.Lock()
	defer c.mu.Unlock()
	f.members.Update(memberItems)
	f.statuses.Update(statusItems)
	f.loads.Update(loadItems)
	for _, p := range to {
		msg := c.feedMessage(f, f.ackedSequences[p.ID], members, upstreams)
		wg.Go(func() {
			var ack protocol.ZoneFeedAck
			if err := c.opts.Pool.Exchange(ctx, p, protocol.MsgZoneFeed, msg, &ack); err != nil {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			f.ackedSequences[p.ID] = ack.Sequence
		})
	}
}

// feedItems returns the items of the three parts of a feed.
func feedItems(members map[state.DaemonID]protocol.FeedMember, upstreams map[state.UpstreamID]feedUpstream) (memberItems, statusItems, loadItems []membership.Item) {
	for id, m := range members {
		memberItems = append(memberItems, membership.Item{ID: state.UpstreamID(id), Hash: hashOf(m)})
	}
	for id, u := range upstreams {
		statusItems = append(statusItems, membership.Item{ID: id, Hash: hashOf(u.upstream)})
		loadItems = append(loadItems, membership.Item{ID: id, Hash: hashOf(u.load)})
	}
	return memberItems, statusItems, loadItems
}

// feedUpstream is an upstream in a feed, with its load separate from the rest of its status.
type feedUpstream struct {
	upstream protocol.FeedUpstream
	load     protocol.UpstreamLoad
}

// feedContent returns the live members and the owned upstreams that a feed describes. A
// forwarded feed omits upstreams of other regions, since no request is sent to other regions.
func (c *Cluster) feedContent(forwarded bool) (map[state.DaemonID]protocol.FeedMember, map[state.UpstreamID]feedUpstream) {
	members := make(map[state.DaemonID]protocol.FeedMember)
	upstreams := make(map[state.UpstreamID]feedUpstream)
	c.mu.Lock()
	now := c.opts.Clock()
	for id, m := range c.members {
		if (m.zone != c.opts.Zone) == forwarded && now.Sub(m.lastSeen) < aliveTimeout {
			members[id] = protocol.FeedMember{ID: id, Incarnation: m.incarnation, Revision: m.revision, Draining: m.draining}
		}
	}
	if !forwarded {
		members[c.opts.Self.ID] = protocol.FeedMember{
			ID: c.opts.Self.ID, Incarnation: c.opts.Incarnation, Revision: c.opts.Config.Revision(), Draining: c.draining,
		}
	}
	c.mu.Unlock()
	for _, u := range c.opts.Fleet.All() {
		if u.Owner == "" || (u.Zone != c.opts.Zone) != forwarded || forwarded && u.Region != c.opts.Region {
			continue
		}
		status, load := splitLoad(statusOf(u))
		load = roundLoad(load, u.Batch)
		upstreams[u.ID] = feedUpstream{upstream: protocol.FeedUpstream{Owner: u.Owner, Status: status}, load: load}
	}
	return members, upstreams
}

// roundLoad rounds a load that is sent to other zones, so that it seldom changes. Running
// requests are rounded up to a multiple of a quarter of the batch, and queued requests up to
// a power of two.
func roundLoad(l protocol.UpstreamLoad, batch int) protocol.UpstreamLoad {
	step := max(1, batch/4)
	l.Running = (l.Running + step - 1) / step * step
	l.Queued = ceilPowerOfTwo(l.Queued)
	byRank := make([]int, len(l.QueuedByRank))
	for i, n := range l.QueuedByRank {
		byRank[i] = ceilPowerOfTwo(n)
	}
	if len(byRank) > 0 {
		l.QueuedByRank = byRank
	}
	return l
}

// ceilPowerOfTwo returns the least power of two that is not below n, or 0 for 0.
func ceilPowerOfTwo(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

// statusOf returns the status of an upstream in the form used in messages.
func statusOf(u *state.Upstream) protocol.UpstreamStatus {
	return protocol.UpstreamStatus{
		ID: u.ID, Epoch: u.Epoch, Boot: u.Boot, Healthy: u.Healthy, Running: u.Running, Queued: u.Queued,
		Slots: u.Slots, Batch: u.Batch, Resident: u.Resident, Loading: u.Loading, Role: u.Role, QueuedByRank: u.QueuedByRank,
	}
}

// feedMessage returns a message with the changes of a feed since a confirmed state. The
// caller must hold mu.
func (c *Cluster) feedMessage(f *feed, confirmed uint64, members map[state.DaemonID]protocol.FeedMember, upstreams map[state.UpstreamID]feedUpstream) protocol.ZoneFeed {
	memberDelta, statusDelta, loadDelta := f.members.DeltaSince(confirmed), f.statuses.DeltaSince(confirmed), f.loads.DeltaSince(confirmed)
	msg := protocol.ZoneFeed{
		Daemon:       c.opts.Self.ID,
		Incarnation:  c.opts.Incarnation,
		Base:         statusDelta.Base,
		Sequence:     statusDelta.Sequence,
		GoneMembers:  memberDelta.Removed,
		Removed:      statusDelta.Removed,
		MemberDigest: memberDelta.Digest,
		Digest:       statusDelta.Digest,
		LoadDigest:   loadDelta.Digest,
		Forwarded:    f.forwarded,
	}
	for _, id := range memberDelta.Changed {
		msg.Members = append(msg.Members, members[state.DaemonID(id)])
	}
	for _, id := range statusDelta.Changed {
		msg.Upstreams = append(msg.Upstreams, upstreams[id].upstream)
	}
	for _, id := range loadDelta.Changed {
		msg.Loads = append(msg.Loads, upstreams[id].load)
	}
	return msg
}

// HandleFeed applies a message of a relay's feed to the members and the fleet, and returns
// the sequence number of the state that this daemon now has.
func (c *Cluster) HandleFeed(from state.DaemonID, msg *protocol.ZoneFeed) (protocol.ZoneFeedAck, error) {
	if from != msg.Daemon {
		return protocol.ZoneFeedAck{}, errors.New("cluster: feed names a daemon other than its sender")
	}
	c.mu.Lock()
	key := feedKey{from: from, forwarded: msg.Forwarded}
	r := c.receivedFeeds[key]
	if r == nil {
		r = &receivedFeed{}
		c.receivedFeeds[key] = r
	}
	changed := r.apply(msg)
	sequence := r.statuses.Sequence()
	c.recordAlive(r)
	var reported []state.UpstreamID
	for id := range r.upstreams {
		reported = append(reported, id)
	}
	c.mu.Unlock()
	if changed {
		c.applyFeed(msg)
	}
	for _, m := range msg.Members {
		c.opts.Config.ObservePeerRevision(m.ID, m.Revision)
	}
	now := c.opts.Clock()
	for _, id := range reported {
		c.opts.Fleet.Update(id, func(u *state.Upstream) { u.ReportedAt = now })
	}
	return protocol.ZoneFeedAck{Sequence: sequence}, nil
}

// apply applies a message of the feed and reports whether the state is newer as a result. If
// a message was lost or a digest differs, it resets the state.
func (r *receivedFeed) apply(msg *protocol.ZoneFeed) bool {
	if r.incarnation != msg.Incarnation {
		*r = receivedFeed{incarnation: msg.Incarnation}
	}
	if msg.Base != 0 && msg.Sequence <= r.statuses.Sequence() {
		return false
	}
	if msg.Base == 0 || r.alive == nil {
		r.alive = make(map[state.DaemonID]protocol.FeedMember)
		r.upstreams = make(map[state.UpstreamID]bool)
	}
	var memberItems, statusItems, loadItems []membership.Item
	for _, m := range msg.Members {
		r.alive[m.ID] = m
		memberItems = append(memberItems, membership.Item{ID: state.UpstreamID(m.ID), Hash: hashOf(m)})
	}
	for _, u := range msg.Upstreams {
		r.upstreams[u.Status.ID] = true
		statusItems = append(statusItems, membership.Item{ID: u.Status.ID, Hash: hashOf(u)})
	}
	for _, l := range msg.Loads {
		loadItems = append(loadItems, membership.Item{ID: l.ID, Hash: hashOf(l)})
	}
	for _, id := range msg.GoneMembers {
		delete(r.alive, state.DaemonID(id))
	}
	for _, id := range msg.Removed {
		delete(r.upstreams, id)
	}
	delta := membership.Delta{Base: msg.Base, Sequence: msg.Sequence, Removed: msg.Removed, Digest: msg.Digest}
	ok := r.statuses.Apply(delta, statusItems)
	delta.Digest = msg.LoadDigest
	ok = r.loads.Apply(delta, loadItems) && ok
	delta.Removed, delta.Digest = msg.GoneMembers, msg.MemberDigest
	if ok = r.members.Apply(delta, memberItems) && ok; !ok {
		r.reset()
	}
	return ok
}

// recordAlive records the members of a feed as heard. The caller must hold mu.
func (c *Cluster) recordAlive(r *receivedFeed) {
	now := c.opts.Clock()
	for id, f := range r.alive {
		m := c.members[id]
		if m == nil || m.zone == c.opts.Zone {
			continue
		}
		m.lastSeen, m.incarnation, m.draining, m.revision = now, f.Incarnation, f.Draining, f.Revision
	}
}

// applyFeed applies the upstreams of other zones in a feed to the fleet.
func (c *Cluster) applyFeed(msg *protocol.ZoneFeed) {
	owners := make(map[state.UpstreamID]state.DaemonID, len(msg.Upstreams))
	for _, u := range msg.Upstreams {
		if c.inOtherZone(u.Status.ID) {
			owners[u.Status.ID] = u.Owner
			c.applyStatus(u.Owner, u.Status)
		}
	}
	if msg.Base == 0 {
		c.clearOmitted(msg, owners)
	}
	for _, l := range msg.Loads {
		if u := c.opts.Fleet.Get(l.ID); u != nil && c.inOtherZone(l.ID) {
			c.applyLoad(u.Owner, l)
		}
	}
	for _, id := range msg.Removed {
		if u := c.opts.Fleet.Get(id); u != nil && c.inOtherZone(id) {
			c.clearOwner(id, u.Owner)
		}
	}
}

// clearOmitted clears the owners of the upstreams that the feed covers but msg does not name.
// msg must hold the whole state of the feed.
func (c *Cluster) clearOmitted(msg *protocol.ZoneFeed, named map[state.UpstreamID]state.DaemonID) {
	zone := c.ZoneOf(msg.Daemon)
	for _, u := range c.opts.Fleet.All() {
		covered := u.Zone == zone
		if msg.Forwarded {
			covered = u.Region == c.opts.Region
		}
		if covered && u.Zone != c.opts.Zone && u.Owner != "" && named[u.ID] == "" {
			c.clearOwner(u.ID, u.Owner)
		}
	}
}

// inOtherZone reports whether an upstream is known and of another zone.
func (c *Cluster) inOtherZone(id state.UpstreamID) bool {
	u := c.opts.Fleet.Get(id)
	return u != nil && u.Zone != c.opts.Zone
}
