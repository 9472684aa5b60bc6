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

// sendHeartbeats applies the statuses of the owned upstreams to the fleet. It then sends
// every peer of the zone what has changed since the state that the peer has confirmed.
func (c *Cluster) sendHeartbeats(ctx context.Context) {
	statuses := c.Owned()
	c.applyOwnStatuses(statuses)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, o := range c.newHeartbeats(statuses) {
		wg.Go(func() {
			var ack protocol.HeartbeatAck
			if err := c.opts.Pool.Exchange(ctx, o.to, protocol.MsgHeartbeat, o.beat, &ack); err != nil {
				return
			}
			c.recordAck(o.to.ID, ack.Sequence)
		})
	}
	wg.Wait()
}

// recordAck stores which state of this daemon a member has confirmed.
func (c *Cluster) recordAck(id state.DaemonID, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		m.ackedSequence = sequence
	}
}

// newHeartbeats updates the change logs with the given statuses and returns a heartbeat for
// each peer of the zone.
func (c *Cluster) newHeartbeats(statuses []protocol.UpstreamStatus) []outgoing {
	byID := make(map[state.UpstreamID]protocol.UpstreamStatus, len(statuses))
	var items, loads []membership.Item
	for _, s := range statuses {
		byID[s.ID] = s
		status, load := splitLoad(s)
		items = append(items, membership.Item{ID: s.ID, Hash: hashOf(status)})
		loads = append(loads, membership.Item{ID: s.ID, Hash: hashOf(load)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownStatuses.Update(items)
	c.ownLoads.Update(loads)
	var due []outgoing
	for _, m := range c.members {
		if m.zone != c.opts.Zone {
			continue // reached by the feeds of the relays
		}
		due = append(due, outgoing{to: m.peer, beat: c.newHeartbeat(byID, m.ackedSequence)})
	}
	return due
}

// newHeartbeat returns a heartbeat with the changes since a confirmed state. The caller
// must hold mu.
func (c *Cluster) newHeartbeat(statuses map[state.UpstreamID]protocol.UpstreamStatus, confirmed uint64) protocol.Heartbeat {
	delta, loads := c.ownStatuses.DeltaSince(confirmed), c.ownLoads.DeltaSince(confirmed)
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
		status, _ := splitLoad(statuses[id])
		beat.Upstreams = append(beat.Upstreams, status)
	}
	for _, id := range loads.Changed {
		_, load := splitLoad(statuses[id])
		beat.Loads = append(beat.Loads, load)
	}
	return beat
}

// splitLoad separates the load of an upstream from the rest of its status.
func splitLoad(s protocol.UpstreamStatus) (protocol.UpstreamStatus, protocol.UpstreamLoad) {
	load := protocol.UpstreamLoad{ID: s.ID, Running: s.Running, Queued: s.Queued, QueuedByRank: s.QueuedByRank}
	s.Running, s.Queued, s.QueuedByRank = 0, 0, nil
	return s, load
}

// hashOf returns the hash of the CBOR encoding of a value.
func hashOf(v any) uint64 {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // structs of plain values can always be encoded
	}
	return xxhash.Sum64(data)
}

// Owned returns the status of the upstreams that this daemon owns according to their
// ownership records.
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

// applyOwnStatuses applies the statuses of the upstreams of this daemon to the fleet.
func (c *Cluster) applyOwnStatuses(statuses []protocol.UpstreamStatus) {
	owns := make(map[state.UpstreamID]bool, len(statuses))
	for _, s := range statuses {
		owns[s.ID] = true
		status, load := splitLoad(s)
		c.applyStatus(c.opts.Self.ID, status)
		c.applyLoad(c.opts.Self.ID, load)
	}
	c.clearOwnerExcept(c.opts.Self.ID, owns)
}

// clearOwnerExcept removes a daemon as the owner of all upstreams that are not in owns.
func (c *Cluster) clearOwnerExcept(owner state.DaemonID, owns map[state.UpstreamID]bool) {
	for _, u := range c.opts.Fleet.All() {
		if u.Owner == owner && !owns[u.ID] {
			c.clearOwner(u.ID, owner)
		}
	}
}

// HandleHeartbeat handles the heartbeat of a peer of the zone.
func (c *Cluster) HandleHeartbeat(from state.DaemonID, beat *protocol.Heartbeat) (protocol.HeartbeatAck, error) {
	if from != beat.Daemon {
		return protocol.HeartbeatAck{}, errors.New("cluster: heartbeat names a daemon other than its sender")
	}
	sequence, changed := c.recordHeartbeat(from, beat)
	if changed {
		c.applyHeartbeat(from, beat)
	}
	c.opts.Config.ObservePeerRevision(from, beat.Revision)
	return protocol.HeartbeatAck{Sequence: sequence, Revision: c.opts.Config.Revision()}, nil
}

// recordHeartbeat records that a member is alive. It returns the sequence number of the
// state of the member that this daemon now has, and whether the heartbeat has changed
// that state.
func (c *Cluster) recordHeartbeat(from state.DaemonID, beat *protocol.Heartbeat) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[from]
	if m == nil {
		return 0, false
	}
	if m.incarnation != beat.Incarnation {
		m.incarnation, m.ackedSequence = beat.Incarnation, 0
		m.statuses.Reset()
		m.loads.Reset()
	}
	m.lastSeen = c.opts.Clock()
	m.draining, m.revision = beat.Draining, beat.Revision
	if beat.Base != 0 && beat.Sequence <= m.statuses.Sequence() {
		return m.statuses.Sequence(), false
	}
	delta := membership.Delta{Base: beat.Base, Sequence: beat.Sequence, Removed: beat.Removed, Digest: beat.Digest}
	var items, loads []membership.Item
	for _, s := range beat.Upstreams {
		items = append(items, membership.Item{ID: s.ID, Hash: hashOf(s)})
	}
	for _, l := range beat.Loads {
		loads = append(loads, membership.Item{ID: l.ID, Hash: hashOf(l)})
	}
	ok := m.statuses.Apply(delta, items)
	delta.Digest = beat.LoadDigest
	if !m.loads.Apply(delta, loads) || !ok {
		m.statuses.Reset()
		m.loads.Reset()
		return 0, false
	}
	return m.statuses.Sequence(), true
}

// applyHeartbeat applies the upstreams of a heartbeat to the fleet.
func (c *Cluster) applyHeartbeat(from state.DaemonID, beat *protocol.Heartbeat) {
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
		c.clearOwnerExcept(from, owns)
	}
	c.refreshReportTimes(from)
}

// refreshReportTimes marks the upstreams of a daemon as reported now. An upstream that the
// heartbeat omits has not changed, so its last reported state is current.
func (c *Cluster) refreshReportTimes(owner state.DaemonID) {
	now := c.opts.Clock()
	for _, u := range c.opts.Fleet.All() {
		if u.Owner == owner {
			c.opts.Fleet.Update(u.ID, func(u *state.Upstream) { u.ReportedAt = now })
		}
	}
}

// applyStatus applies the status of an upstream to the fleet, unless the fleet has a status
// of a later epoch.
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

// applyLoad applies the load of an upstream to the fleet if it is reported by the owner.
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
