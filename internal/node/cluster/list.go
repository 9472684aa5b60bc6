package cluster

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// syncList reads the platform's list of VMs.
func (c *Cluster) syncList(ctx context.Context) {
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
		c.listAt = c.opts.Clock()
	}
	changes := c.listing.Update(c.opts.Clock(), list, c.answers)
	c.mu.Unlock()
	for _, id := range append(changes.Replaced, changes.Dropped...) {
		c.drop(id)
	}
	for _, vm := range vms {
		if vm.Kind == platform.VMEntry {
			c.noteDaemon(vm)
		} else {
			c.noteUpstream(vm)
		}
	}
	c.assign()
	c.opts.Platform.Budget().SetDaemons(c.DaemonCount())
}

// answers reports whether a daemon or an upstream was heard lately, by this daemon
// or by its owner. The caller must hold mu.
func (c *Cluster) answers(id string) bool {
	now := c.opts.Clock()
	if m := c.members[state.DaemonID(id)]; m != nil {
		return now.Sub(m.lastSeen) < goneAfter
	}
	u := c.opts.Fleet.Get(state.UpstreamID(id))
	return u != nil && u.Owner != "" && u.Healthy && now.Sub(u.ReportedAt) < goneAfter
}

// drop forgets a VM that is gone or has another address.
func (c *Cluster) drop(id string) {
	statelog.Info("VM is gone or replaced", "vm", id)
	c.mu.Lock()
	delete(c.members, state.DaemonID(id))
	c.mu.Unlock()
	if upstream := state.UpstreamID(id); c.opts.Fleet.Get(upstream) != nil {
		c.opts.Fleet.Delete(upstream)
		c.opts.Ownership.Forget(upstream)
	}
}

// noteDaemon records a listed daemon.
func (c *Cluster) noteDaemon(vm platform.VM) {
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

func (c *Cluster) noteUpstream(vm platform.VM) {
	id := state.UpstreamID(vm.ID)
	if c.opts.Fleet.Get(id) == nil {
		c.opts.Fleet.Put(newUpstream(vm))
		c.askAll("")
	}
	c.setLeaving(id, vm.State == platform.VMLeaving)
}
