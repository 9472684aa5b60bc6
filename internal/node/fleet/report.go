package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Report returns this daemon's view of the fleet.
func (n *Node) Report() protocol.FleetReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	r := protocol.FleetReport{
		VM: n.opts.Self.VM, Zone: n.opts.Self.Zone, At: now, UpstreamListAge: now.Sub(n.reads.Last), StoreReachable: n.storeReachable,
	}
	for _, m := range n.members {
		r.Peers = append(r.Peers, protocol.PeerReport{VM: m.VM, Zone: m.Zone, MessageAge: now.Sub(m.lastHeard), Lost: m.lost})
	}
	slices.SortFunc(r.Peers, func(a, b protocol.PeerReport) int { return cmp.Compare(a.VM, b.VM) })
	if t := n.opts.View.Table(); t != nil {
		reportConfig(&r, t.Config)
		n.opts.View.reportAccounts(now, t.Config.Accounts, &r)
	}
	n.opts.View.report(now, &r)
	for i := range r.Upstreams {
		r.Upstreams[i].LeaseHolder = n.holders[r.Upstreams[i].ID].VM
	}
	return r
}

// reportConfig adds the configuration to a report.
func reportConfig(r *protocol.FleetReport, c *routes.Config) {
	r.ConfigVersion = c.Version
	for _, route := range c.Routes {
		e := protocol.RouteReport{
			Name: route.Name, Host: route.Host, Prefix: route.Prefix, Kind: route.Kind.String(), Rank: route.Rank,
			Target: route.Goal, Timeout: route.Timeout, Attempts: route.Attempts,
		}
		for _, t := range route.Targets {
			e.Services = append(e.Services, t.Service)
		}
		r.Routes = append(r.Routes, e)
	}
	for _, s := range c.Services {
		e := protocol.ServiceReport{Name: s.Name}
		if s.Engine != nil {
			for _, m := range s.Engine.Models {
				e.Models = append(e.Models, m.Name)
				e.AdapterSlots = max(e.AdapterSlots, s.Engine.MaxAdapters([]string{m.Name}))
			}
		}
		r.Services = append(r.Services, e)
	}
	slices.SortFunc(r.Services, func(a, b protocol.ServiceReport) int { return cmp.Compare(a.Name, b.Name) })
}

// report adds the upstreams, the adapters and what is quarantined to a report.
func (v *View) report(now time.Time, r *protocol.FleetReport) {
	v.mu.Lock()
	defer v.mu.Unlock()
	byVersion := make(map[upstreams.Adapter]map[int][]state.UpstreamID)
	for a := range v.versions {
		byVersion[a] = make(map[int][]state.UpstreamID)
	}
	for id, u := range v.byID {
		e := protocol.UpstreamReport{
			ID: id, Service: u.Service, Zone: u.Zone, Addr: u.Addr, Draining: u.Draining, CanOrder: v.engineStates[id].canOrder,
			Adapters: len(v.engineStates[id].adapters), LoadCapacity: v.engineStates[id].loadCapacity, Requests: v.tracker.InFlight(now, id).Requests,
		}
		if limit, ok := v.tracker.RateLimit(id); ok {
			e.RequestLimit = &limit
		}
		if d := v.standing(now, u); d.Reason != eligibility.None {
			e.Barred = &protocol.BarredReport{Reason: d.Reason.String(), TimeLeft: d.Wait, Age: d.Age}
		}
		r.Upstreams = append(r.Upstreams, e)
		for a, item := range v.engineStates[id].adapters {
			if byVersion[a] == nil {
				byVersion[a] = make(map[int][]state.UpstreamID)
			}
			byVersion[a][item.Version] = append(byVersion[a][item.Version], id)
		}
		for i := range r.Services {
			if r.Services[i].Name == u.Service {
				r.Services[i].Upstreams++
				if u.Draining {
					r.Services[i].Draining++
				}
			}
		}
	}
	for _, trait := range v.crashes.Refused(now) {
		r.Quarantined = append(r.Quarantined, protocol.QuarantineReport{
			Kind: trait.Kind.String(), ID: strconv.FormatUint(trait.ID, 16), EndsIn: v.crashes.RefusalTime(now, []quarantine.Trait{trait}),
		})
	}
	for a, versions := range byVersion {
		for _, ids := range versions {
			slices.Sort(ids)
		}
		r.Adapters = append(r.Adapters, protocol.AdapterReport{Adapter: a.String(), Newest: v.newestVersion(a), Replicas: versions})
	}
	slices.SortFunc(r.Upstreams, func(a, b protocol.UpstreamReport) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(r.Adapters, func(a, b protocol.AdapterReport) int { return cmp.Compare(a.Adapter, b.Adapter) })
}
