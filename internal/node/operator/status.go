package operator

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Status returns the status of this daemon, with the state changes since
// q.ChangesSince.
func (n *Node) Status(q protocol.StatusQuery) protocol.DaemonStatus {
	now := n.opts.Clock()
	status := protocol.DaemonStatus{
		Daemon:      n.opts.Self,
		Incarnation: n.opts.Incarnation,
		Zone:        n.opts.Zone,
		Region:      n.opts.Region,
		At:          now.UTC(),
		Started:     n.started.UTC(),
		Upstreams:   n.ownedUpstreams(),
		Ranks:       []protocol.RankStatus{},
		Conditions:  []protocol.Condition{},
	}
	if catalog := n.opts.Catalog(); catalog != nil {
		status.Revision, status.Digest = catalog.Revision, catalog.Digest
		status.Ranks = n.opts.Stats.Ranks(now, catalog.Ranks())
		status.Classes = n.opts.Stats.Classes(now, catalog.Ranks())
	}
	for _, r := range n.opts.Reporters {
		for _, c := range r.Conditions(now) {
			c.Daemon = n.opts.Self
			status.Conditions = append(status.Conditions, c)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	status.Conditions = append(status.Conditions, n.outageConditions(now)...)
	status.Draining = n.draining
	status.Changes = n.changes.since(q.ChangesSince)
	for i := range status.Upstreams {
		status.Upstreams[i].Restarts = len(n.restarts[status.Upstreams[i].ID])
	}
	return status
}

// ownedUpstreams returns the status of this daemon's upstreams, ordered by ID.
func (n *Node) ownedUpstreams() []protocol.OwnedUpstream {
	list := []protocol.OwnedUpstream{}
	for _, s := range n.opts.Owned() {
		var u protocol.OwnedUpstream
		if listed := n.opts.Fleet.Get(s.ID); listed != nil {
			u = upstreamFromFleet(listed)
		}
		u.ID, u.Owner = s.ID, n.opts.Self
		u.Epoch = max(u.Epoch, s.Epoch)
		u.Boot = s.Boot
		u.Healthy = s.Healthy
		u.Running, u.Queued = s.Running, s.Queued
		u.Slots, u.Batch = s.Slots, s.Batch
		u.Resident = adapterNames(s.Resident)
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b protocol.OwnedUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// upstreamFromFleet returns the status of an upstream in this daemon's view of the
// fleet.
func upstreamFromFleet(u *state.Upstream) protocol.OwnedUpstream {
	kind := protocol.UpstreamEngine
	if u.Kind == state.KindPlain {
		kind = protocol.UpstreamPlain
	}
	return protocol.OwnedUpstream{
		ID: u.ID, Zone: u.Zone, Region: u.Region, Kind: kind, Service: u.Service, Base: u.Base,
		SupportsFencing: u.SupportsFencing, Owner: u.Owner, Epoch: u.Epoch, Boot: u.Boot, Healthy: u.Healthy, Leaving: u.Leaving,
		Running: u.Running, Queued: u.Queued, Slots: u.Slots, Batch: u.Batch,
	}
}

// Collect requests the status of all known daemons and adds the drains and the
// upstreams that no daemon reports as owned. Daemons that do not answer in time are
// listed as missing.
func (n *Node) Collect(ctx context.Context, q protocol.StatusQuery) protocol.FleetView {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	view := protocol.FleetView{
		At:        n.opts.Clock().UTC(),
		Collector: n.opts.Self,
		Daemons:   []protocol.DaemonStatus{n.Status(q)},
		Missing:   []protocol.MissingDaemon{},
		Unowned:   []protocol.OwnedUpstream{},
		Drains:    n.Drains(),
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for _, to := range n.opts.Members.AllPeers() {
		group.Go(func() error {
			var status protocol.DaemonStatus
			err := n.opts.Peers.Exchange(ctx, to, protocol.MsgStatusQuery, q, &status)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing := protocol.MissingDaemon{Daemon: to.ID, Zone: n.opts.Members.ZoneOf(to.ID), Reason: err.Message}
				view.Missing = append(view.Missing, missing)
				return nil
			}
			view.Daemons = append(view.Daemons, status)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(view.Daemons, func(a, b protocol.DaemonStatus) int { return cmp.Compare(a.Daemon, b.Daemon) })
	slices.SortFunc(view.Missing, func(a, b protocol.MissingDaemon) int { return cmp.Compare(a.Daemon, b.Daemon) })
	n.addUnowned(&view)
	return view
}

// addUnowned adds the upstreams that this daemon's view of the fleet contains but that
// no daemon in the collected status owns.
func (n *Node) addUnowned(view *protocol.FleetView) {
	owned := make(map[state.UpstreamID]bool)
	for _, d := range view.Daemons {
		for _, u := range d.Upstreams {
			owned[u.ID] = true
		}
	}
	for _, u := range n.opts.Fleet.All() {
		if !owned[u.ID] {
			view.Unowned = append(view.Unowned, upstreamFromFleet(u))
		}
	}
}
