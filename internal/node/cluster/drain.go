package cluster

import "github.com/celerydeck/celerydeck/internal/state"

// SetDraining announces with the next heartbeats whether this daemon gives up its
// upstreams for operators.
func (c *Cluster) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = draining
}

// ZoneOf returns the availability zone of a known daemon, empty for others.
func (c *Cluster) ZoneOf(id state.DaemonID) state.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		return m.zone
	}
	return ""
}

// setLeaving records whether an upstream takes new work: not while the platform
// lists it as leaving, nor while operators drain it.
func (c *Cluster) setLeaving(id state.UpstreamID, listed bool) {
	leaving := listed || c.opts.Drained != nil && c.opts.Drained(id)
	was := false
	c.opts.Fleet.Update(id, func(u *state.Upstream) {
		was = u.Leaving
		u.Leaving = leaving
	})
	if leaving {
		c.opts.Owner.SetLeaving(id)
	} else if was {
		c.opts.Owner.ClearLeaving(id)
	}
}
