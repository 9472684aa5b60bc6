package cluster

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// outgoing is a heartbeat to one peer.
type outgoing struct {
	to   peer.Peer
	beat protocol.Heartbeat
}

// heartbeat tells every peer of the zone what has changed since the state it has confirmed.
func (c *Cluster) heartbeat(ctx context.Context) {
	statuses := c.Owned()
	c.applyOwn(statuses)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, o := range c.outgoing(statuses) {
		wg.Go(func() {
			var ack protocol.HeartbeatAck
			if err := c.opts.Pool.Exchange(ctx, o.to, protocol.MsgHeartbeat, o.beat, &ack); err != nil {
				return
			}
			c.confirmed(o.to.ID, ack.Sequence)
		})
	}
	wg.Wait()
}

func (c *Cluster) confirmed(id state.DaemonID, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		m.acked = sequence
	}
}

// outgoing returns the heartbeats to the peers of the zone.
func (c *Cluster) outgoing(statuses []protocol.UpstreamStatus) []outgoing {
	byID := make(map[state.UpstreamID]protocol.UpstreamStatus, len(statuses))
	var items, loads []membership.Item
	for _, s := range statuses {
		byID[s.ID] = s
		rest, load := split(s)
		items = append(items, membership.Item{ID: s.ID, Hash: hashOf(rest)})
		loads = append(loads, membership.Item{ID: s.ID, Hash: hashOf(load)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Update(items)
	c.loads.Update(loads)
	var due []outgoing
	for _, m := range c.members {
		if m.zone != c.opts.Zone {
			continue // told by the relay
		}
		due = append(due, outgoing{to: m.peer, beat: c.beat(byID, m.acked)})
	}
	return due
}

// beat returns a heartbeat that builds on a confirmed state. The caller must hold mu.
func (c *Cluster) beat(statuses map[state.UpstreamID]protocol.UpstreamStatus, confirmed uint64) protocol.Heartbeat {
	delta, loads := c.log.DeltaSince(confirmed), c.loads.DeltaSince(confirmed)
	beat := protocol.Heartbeat{
		Daemon:      c.opts.Self.ID,
		Incarnation: c.opts.Incarnation,
		Zone:        c.opts.Zone,
		Sequence:    delta.Sequence,
		Revision:    c.opts.Config.Revision(),
		Draining:    c.draining,
		Removed:     delta.Removed,
		Base:        delta.Base,
		Digest:      delta.Digest,
		LoadDigest:  loads.Digest,
	}
	for _, id := range delta.Changed {
		rest, _ := split(statuses[id])
		beat.Upstreams = append(beat.Upstreams, rest)
	}
	for _, id := range loads.Changed {
		_, load := split(statuses[id])
		beat.Loads = append(beat.Loads, load)
	}
	return beat
}

// split separates the load of an upstream from the rest of its status.
func split(s protocol.UpstreamStatus) (protocol.UpstreamStatus, protocol.UpstreamLoad) {
	load := protocol.UpstreamLoad{ID: s.ID, Running: s.Running, Queued: s.Queued, QueuedByRank: s.QueuedByRank}
	s.Running, s.Queued, s.QueuedByRank = 0, 0, nil
	return s, load
}

// hashOf returns the hash of the wire form of a value.
func hashOf(v any) uint64 {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	return xxhash.Sum64(data)
}

// Owned returns the status of the upstreams that this daemon owns by the record.
func (c *Cluster) Owned() []protocol.UpstreamStatus {
	var statuses []protocol.UpstreamStatus
	for _, s := range c.opts.Owner.Owned() {
		epoch, ok := c.opts.Ownership.Epoch(s.ID)
		if ok {
			s.Epoch = epoch
			statuses = append(statuses, s)
		}
	}
	return statuses
}

// applyOwn takes what this daemon owns.
func (c *Cluster) applyOwn(statuses []protocol.UpstreamStatus) {
	owns := make(map[state.UpstreamID]bool, len(statuses))
	for _, s := range statuses {
		owns[s.ID] = true
		rest, load := split(s)
		c.applyStatus(c.opts.Self.ID, rest)
		c.applyLoad(c.opts.Self.ID, load)
	}
	c.clearOthers(c.opts.Self.ID, owns)
}

// clearOthers notes that a daemon owns nothing but the given upstreams.
func (c *Cluster) clearOthers(owner state.DaemonID, owns map[state.UpstreamID]bool) {
	for _, u := range c.opts.Fleet.All() {
		if u.Owner == owner && !owns[u.ID] {
			c.clearOwner(u.ID, owner)
		}
	}
}

// HandleHeartbeat takes the heartbeat of a peer.
func (c *Cluster) HandleHeartbeat(from state.DaemonID, beat *protocol.Heartbeat) (protocol.HeartbeatAck, error) {
	if from != beat.Daemon {
		return protocol.HeartbeatAck{}, errors.New("cluster: heartbeat names another daemon")
	}
	sequence, fresh := c.noteBeat(from, beat)
	if fresh {
		c.applyBeat(from, beat)
	}
	c.opts.Config.NotePeer(from, beat.Revision)
	return protocol.HeartbeatAck{Sequence: sequence, Revision: c.opts.Config.Revision()}, nil
}

// noteBeat records that a member is alive. It returns the state of the member that
// this daemon now has, and whether the heartbeat brought it there.
func (c *Cluster) noteBeat(from state.DaemonID, beat *protocol.Heartbeat) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[from]
	if m == nil {
		return 0, false
	}
	if m.run != beat.Incarnation {
		m.run, m.acked = beat.Incarnation, 0
		m.replica.Reset()
		m.loads.Reset()
	}
	m.lastSeen = c.opts.Clock()
	m.draining, m.revision = beat.Draining, beat.Revision
	if beat.Base != 0 && beat.Sequence <= m.replica.Sequence() {
		return m.replica.Sequence(), false
	}
	delta := membership.Delta{Base: beat.Base, Sequence: beat.Sequence, Removed: beat.Removed, Digest: beat.Digest}
	var items, loads []membership.Item
	for _, s := range beat.Upstreams {
		items = append(items, membership.Item{ID: s.ID, Hash: hashOf(s)})
	}
	for _, l := range beat.Loads {
		loads = append(loads, membership.Item{ID: l.ID, Hash: hashOf(l)})
	}
	ok := m.replica.Apply(delta, items)
	delta.Digest = beat.LoadDigest
	if !m.loads.Apply(delta, loads) || !ok {
		m.replica.Reset()
		m.loads.Reset()
		return 0, false
	}
	return m.replica.Sequence(), true
}

// applyBeat takes what a heartbeat says of upstreams into the fleet.
func (c *Cluster) applyBeat(from state.DaemonID, beat *protocol.Heartbeat) {
	owns := make(map[state.UpstreamID]bool, len(beat.Upstreams))
	for _, s := range beat.Upstreams {
		owns[s.ID] = true
		c.applyStatus(from, s)
	}
	for _, l := range beat.Loads {
		c.applyLoad(from, l)
	}
	for _, id := range beat.Removed {
		c.clearOwner(id, from)
	}
	if beat.Base == 0 {
		c.clearOthers(from, owns)
	}
	c.confirmReports(from)
}

// confirmReports notes that the known load of what a daemon owns is fresh.
func (c *Cluster) confirmReports(owner state.DaemonID) {
	now := c.opts.Clock()
	for _, u := range c.opts.Fleet.All() {
		if u.Owner == owner {
			c.opts.Fleet.Update(u.ID, func(u *state.Upstream) { u.ReportedAt = now })
		}
	}
}

func (c *Cluster) applyStatus(owner state.DaemonID, s protocol.UpstreamStatus) {
	c.opts.Fleet.Update(s.ID, func(u *state.Upstream) {
		if s.Epoch < u.Epoch {
			return
		}
		u.Owner, u.Epoch = owner, s.Epoch
		u.Boot = s.Boot
		u.Healthy = s.Healthy
		u.Slots = s.Slots
		u.Batch = s.Batch
		u.Resident = s.Resident
		u.Loading = s.Loading
		u.Role = s.Role
		u.ReportedAt = c.opts.Clock()
	})
}

func (c *Cluster) applyLoad(owner state.DaemonID, l protocol.UpstreamLoad) {
	c.opts.Fleet.Update(l.ID, func(u *state.Upstream) {
		if u.Owner != owner {
			return
		}
		u.Running = l.Running
		u.Queued = l.Queued
		u.QueuedByRank = l.QueuedByRank
		u.ReportedAt = c.opts.Clock()
	})
}
