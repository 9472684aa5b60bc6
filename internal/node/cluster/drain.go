package cluster

import "github.com/celerydeck/celerydeck/internal/state"

// SetDraining sets whether operators drain this daemon. A draining daemon releases its
// upstreams and announces in its heartbeats that it is draining.
func (c *Cluster) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = draining
}

// ZoneOf returns the availability zone of a daemon, empty if the daemon is unknown.
func (c *Cluster) ZoneOf(id state.DaemonID) state.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		return m.zone
	}
	return ""
}

// updateLeaving stores whether an upstream is leaving, and passes the result to the Owner. An
// upstream is leaving if the platform lists it as leaving or operators drain it. A leaving
// upstream accepts no new requests.
func (c *Cluster) updateLeaving(id state.UpstreamID, listed bool) {
	leaving := listed || c.opts.Drained != nil && c.opts.Drained(id)
	wasLeaving := false
	c.opts.Fleet.Update(id, func(u *state.Upstream) {
		wasLeaving = u.Leaving
		u.Leaving = leaving
	})
	if leaving {
		c.opts.Owner.SetLeaving(id)
	} else if wasLeaving {
		c.opts.Owner.ClearLeaving(id)
	}
}
