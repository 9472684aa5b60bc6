package cluster

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// syncVMList reads the platform's list of VMs, updates the daemons and upstreams and assigns
// the upstreams. If the read fails, it only assigns the upstreams.
func (c *Cluster) syncVMList(ctx context.Context) {
	vms, err := c.opts.Platform.VMs(ctx)
	if err != nil {
		c.assign()
		return
	}
	list := make([]membership.ListedVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, membership.ListedVM{ID: vm.ID, Addr: vm.Address})
	}
	c.mu.Lock()
	if len(vms) > 0 {
		c.listReadAt = c.opts.Clock()
	}
	changes := c.vmList.Update(c.opts.Clock(), list, c.recentlyHeard)
	c.mu.Unlock()
	for _, id := range append(changes.Replaced, changes.Dropped...) {
		c.removeVM(id)
	}
	for _, vm := range vms {
		if vm.Kind == platform.VMEntry {
			c.updateDaemon(vm)
		} else {
			c.updateUpstream(vm)
		}
	}
	c.assign()
	c.opts.Platform.Budget().SetDaemons(c.DaemonCount())
}

// recentlyHeard reports whether a daemon was heard, or a healthy upstream was reported by
// its owner, within goneTimeout. The caller must hold mu.
func (c *Cluster) recentlyHeard(id string) bool {
	now := c.opts.Clock()
	if m := c.members[state.DaemonID(id)]; m != nil {
		return now.Sub(m.lastSeen) < goneTimeout
	}
	u := c.opts.Fleet.Get(state.UpstreamID(id))
	return u != nil && u.Owner != "" && u.Healthy && now.Sub(u.ReportedAt) < goneTimeout
}

// removeVM removes the daemon or upstream of a VM that is gone or has a new address.
func (c *Cluster) removeVM(id string) {
	statelog.Info("VM is gone or has a new address", "vm", id)
	c.mu.Lock()
	delete(c.members, state.DaemonID(id))
	c.mu.Unlock()
	if upstream := state.UpstreamID(id); c.opts.Fleet.Get(upstream) != nil {
		c.opts.Fleet.Delete(upstream)
		c.opts.Ownership.Forget(upstream)
	}
}

// updateDaemon adds a listed daemon, or updates its address and zone.
func (c *Cluster) updateDaemon(vm platform.VM) {
	id := state.DaemonID(vm.ID)
	if id == c.opts.Self.ID {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members[id] == nil {
		c.members[id] = &member{}
	}
	m := c.members[id]
	m.peer, m.zone = peer.Peer{ID: id, Addr: vm.Address}, vm.Zone
}

// updateUpstream adds a listed upstream if it is new, and updates whether it is leaving.
// For a new upstream it requests the whole state of all members, since their earlier
// statuses of the upstream were discarded.
func (c *Cluster) updateUpstream(vm platform.VM) {
	id := state.UpstreamID(vm.ID)
	if c.opts.Fleet.Get(id) == nil {
		c.opts.Fleet.Put(newUpstream(vm))
		c.requestFullState("")
	}
	c.updateLeaving(id, vm.State == platform.VMLeaving)
}
