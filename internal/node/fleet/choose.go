package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// PlacementRequest describes a request to be placed at an upstream.
type PlacementRequest struct {
	Service  string
	Engine   *routes.EngineSpec // nil for a plain service
	Request  balance.Request
	Adapter  upstreams.Adapter
	Limits   balance.Limits
	TimeLeft time.Duration               // until the caller's deadline
	Excluded func(state.UpstreamID) bool // reports whether an upstream must not be chosen
}

// Placement is a decision with the version that the adapter must have at the upstream.
type Placement struct {
	balance.Decision
	Version int // 0 for any
	// RunsVersion is the version on which the request will run, as far as known.
	RunsVersion int
	// ListAge is the age of the list of upstreams.
	ListAge time.Duration
	// ResidencyAge is the age of the lease holder's report on the engine, zero without a report.
	ResidencyAge time.Duration
	// Basis is what the daemon knew of the versions of the adapter.
	Basis VersionBasis
}

// Choose decides which upstream serves a request to a service. It prefers engines with the
// newest version of the adapter. Engines with an older version that may still begin a run are
// chosen if no other engine can serve the request. Each call also counts as a request for the
// model.
func (v *View) Choose(req PlacementRequest) Placement {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	req.Request.Zone = v.opts.Zone
	req.Request.ReplicaRatio = v.replicaRatio(now, req.Adapter)
	newest, oldest := v.newestVersion(req.Adapter), v.oldestVersion(req.Adapter)
	var list, outdated []balance.Candidate
	var barred barred
	for _, u := range v.byService[req.Service] {
		in := eligibility.Input{Run: runOf(u), Draining: u.Draining, Excluded: req.Excluded(u.ID), ListAge: now.Sub(v.listConfirmedAt)}
		if d := v.signals.Decide(now, in); d.IsBarred() {
			if barred.concerns(d) && (req.Engine == nil || v.mayServe(now, u, req.Adapter)) {
				barred.add(d)
			}
			continue
		}
		if req.Engine == nil {
			list = append(list, balance.Candidate{Upstream: u, Resident: true})
			continue
		}
		c, version := v.candidate(now, u, req.Adapter)
		if c.Resident && version < newest {
			if version >= oldest {
				outdated = append(outdated, c)
			}
			c.Resident = false
			c.Loadable = false // a replacement would wait for the requests on the older version
		}
		if c.Resident && !v.promptNotices && v.opts.IsConnected != nil {
			c.Connected = v.opts.IsConnected(u.Addr)
		}
		if c.Resident || c.Loadable {
			list = append(list, c)
		}
	}
	if req.Engine != nil {
		v.modelRequests[req.Adapter.Model]++
	}
	draw := rand.Float64()
	if d, ok := barred.decision(req.TimeLeft, draw); ok && len(list)+len(outdated) == 0 {
		return v.placement(now, req.Adapter, d, 0)
	}
	if req.Engine == nil {
		return v.placement(now, req.Adapter, v.tracker.ChoosePlain(now, req.Request, list, req.Limits, draw), 0)
	}
	d := v.tracker.ChooseEngine(now, req.Request, req.Adapter, list, req.Engine.KVTokens, req.Limits, draw)
	if d.Upstream == nil && len(outdated) > 0 {
		refusal := d
		d = v.tracker.ChooseEngine(now, req.Request, req.Adapter, outdated, req.Engine.KVTokens, req.Limits, draw)
		if p := v.placement(now, req.Adapter, d, 0); d.Upstream == nil || v.beginsInTime(req.Adapter, p) {
			return p
		}
		d = refusal
	}
	return v.placement(now, req.Adapter, d, newest)
}

// placement completes a decision with the version and the ages of the data that the decision
// is based on. If the lease holder is to be notified of a use, it records the time.
func (v *View) placement(now time.Time, a upstreams.Adapter, d balance.Decision, version int) Placement {
	p := Placement{Decision: d, Version: version, RunsVersion: version, ListAge: now.Sub(v.listConfirmedAt)}
	if h := v.versions[a]; h != nil {
		p.Basis.Newest, p.Basis.NewestAge = h.Newest(), h.Age(v.opts.BootClock())
	}
	if d.Upstream != nil && a.Name != "" {
		_, p.Basis.Resident = v.candidate(now, d.Upstream, a)
		p.Basis.CanLoad = v.loadable[d.Upstream.ID]
		if version == 0 {
			p.RunsVersion = p.Basis.Resident
		}
	}
	if d.AnnounceUse {
		v.useNotifiedAt[engineAdapter{d.Upstream.ID, a}] = now
	}
	if d.Upstream != nil {
		if h, ok := v.engineStates[d.Upstream.ID]; ok {
			p.ResidencyAge = now.Sub(h.at)
		}
	}
	return p
}

// mayServe reports whether an engine has an adapter or can load it. The caller holds the lock.
func (v *View) mayServe(now time.Time, u *upstreams.Upstream, a upstreams.Adapter) bool {
	c, _ := v.candidate(now, u, a)
	return c.Resident || c.Loadable
}

// candidate returns whether an engine has an adapter or can load it, and the version of the
// adapter there. The lease holder's report is used while it is younger than engineStateTTL,
// otherwise the engine's entry in the store.
func (v *View) candidate(now time.Time, u *upstreams.Upstream, a upstreams.Adapter) (balance.Candidate, int) {
	c := balance.Candidate{Upstream: u}
	isMissing := now.Sub(v.missedAt[engineAdapter{u.ID, a}]) < missTTL
	h, hasReport := v.engineStates[u.ID]
	if hasReport && now.Sub(h.at) < engineStateTTL {
		if !slices.Contains(h.models, a.Model) {
			return c, 0
		}
		if a.Name == "" {
			c.Resident = !isMissing
			return c, u.Residency.Models[a.Model]
		}
		item, ok := h.adapters[a]
		c.Resident = ok && !isMissing
		c.ReadyIn = max(0, item.ReadyIn-now.Sub(h.at))
		key := engineAdapter{u.ID, a}
		c.AdapterIdle = item.Idle && v.adapterRequests[key] == 0 && now.Sub(v.useNotifiedAt[key]) >= minUseNoticeInterval
		c.Loadable = !c.Resident && h.canOrder && v.loadable[u.ID]
		c.AtCapacity = h.loadCapacity <= 0
		c.LoadDelay = h.loadDelay
		return c, item.Version
	}
	if _, ok := u.Residency.Models[a.Model]; !ok {
		return c, 0
	}
	c.Resident = u.Residency.Contains(a) && !isMissing
	c.Loadable = a.Name != "" && !c.Resident && v.loadable[u.ID]
	if a.Name == "" {
		return c, u.Residency.Models[a.Model]
	}
	return c, u.Residency.Adapters[a]
}

// LeastCoveredModel returns the model with the most requests per engine that has the model
// resident. An engine without any model loads the returned model.
func (v *View) LeastCoveredModel(service string, models []routes.Model) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	engines := make(map[string]int)
	for _, u := range v.byService[service] {
		for _, name := range v.engineStates[u.ID].models {
			engines[name]++
		}
	}
	best, highest := "", -1.0
	for _, m := range models {
		// Adding 1 to both counts spreads models evenly while there are no requests.
		if load := (v.modelRequests[m.Name] + 1) / float64(engines[m.Name]+1); load > highest {
			best, highest = m.Name, load
		}
	}
	return best
}
