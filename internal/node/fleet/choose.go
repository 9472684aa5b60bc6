package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// PlacementRequest is a request for a place.
type PlacementRequest struct {
	Service  string
	Engine   *routes.EngineSpec // nil for a plain service
	Request  balance.Request
	Adapter  upstreams.Adapter
	Limits   balance.Limits
	Excluded func(state.UpstreamID) bool
}

// Placement is a decision with the version of the adapter that the upstream must have,
// zero if any will do.
type Placement struct {
	balance.Decision
	Version int
	// ListAge is the age of the list of upstreams, and HeldAge of the holder's word on
	// what the upstream holds, zero if there was none.
	ListAge      time.Duration
	ResidencyAge time.Duration
}

// Choose decides where a request runs.
func (v *View) Choose(ask PlacementRequest) Placement {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	ask.Request.Zone = v.opts.Zone
	newest := v.versions[ask.Adapter]
	outdatedOK := now.Sub(newest.at) < v.opts.OutdatedGracePeriod
	var list, outdated []balance.Candidate
	for _, u := range v.byService[ask.Service] {
		if u.Draining || ask.Excluded(u.ID) {
			continue
		}
		if ask.Engine == nil {
			list = append(list, balance.Candidate{Upstream: u, Resident: true})
			continue
		}
		c, version := v.candidate(now, u, ask.Adapter)
		if c.Resident && version < newest.version {
			if outdatedOK {
				outdated = append(outdated, c)
			}
			c.Resident = false
			c.Loadable = false // a replacement would wait for the runs on the older version
		}
		if c.Resident || c.Loadable {
			list = append(list, c)
		}
	}
	if ask.Engine != nil {
		v.modelUse[ask.Adapter.Model]++
	}
	draw := rand.Float64()
	if ask.Engine == nil {
		return v.place(now, ask.Adapter, v.tracker.ChoosePlain(now, ask.Request, list, ask.Limits, draw), 0)
	}
	d := v.tracker.ChooseEngine(now, ask.Request, ask.Adapter, list, ask.Engine.KVTokens, ask.Limits, draw)
	if d.Upstream == nil && len(outdated) > 0 {
		d = v.tracker.ChooseEngine(now, ask.Request, ask.Adapter, outdated, ask.Engine.KVTokens, ask.Limits, draw)
		return v.place(now, ask.Adapter, d, 0)
	}
	return v.place(now, ask.Adapter, d, newest.version)
}

// place adds to a decision how old its inputs are.
func (v *View) place(now time.Time, a upstreams.Adapter, d balance.Decision, version int) Placement {
	p := Placement{Decision: d, Version: version, ListAge: now.Sub(v.listAt)}
	if d.AnnounceUse {
		v.touched[absence{d.Upstream.ID, a}] = now
	}
	if d.Upstream != nil {
		if h, ok := v.held[d.Upstream.ID]; ok {
			p.ResidencyAge = now.Sub(h.at)
		}
	}
	return p
}

// candidate says what an engine can do for an adapter, and in which version it holds it.
func (v *View) candidate(now time.Time, u *upstreams.Upstream, a upstreams.Adapter) (balance.Candidate, int) {
	c := balance.Candidate{Upstream: u}
	missing := now.Sub(v.absent[absence{u.ID, a}]) < absentFor
	h, told := v.held[u.ID]
	if told && now.Sub(h.at) < heldFresh {
		if !slices.Contains(h.models, a.Model) {
			return c, 0
		}
		if a.Name == "" {
			c.Resident = !missing
			return c, 0
		}
		item, ok := h.list[a]
		c.Resident = ok && !missing
		c.ReadyIn = max(0, item.ReadyIn-now.Sub(h.at))
		key := absence{u.ID, a}
		c.Idle = item.Idle && v.inFlight[key] == 0 && now.Sub(v.touched[key]) >= touchEvery
		c.Loadable = !c.Resident && h.canOrder && v.loadable[u.ID]
		c.AtCapacity = h.room <= 0
		c.LoadDelay = h.queue
		return c, item.Version
	}
	if _, ok := u.Holding.Models[a.Model]; !ok {
		return c, 0
	}
	c.Resident = u.Holding.Holds(a) && !missing
	c.Loadable = a.Name != "" && !c.Resident && v.loadable[u.ID]
	return c, u.Holding.Adapters[a]
}

// LeastCoveredModel returns the model with the most requests for each engine that holds it,
// for an engine that holds none.
func (v *View) LeastCoveredModel(service string, models []routes.Model) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	holders := make(map[string]int)
	for _, u := range v.byService[service] {
		for _, name := range v.held[u.ID].models {
			holders[name]++
		}
	}
	best, most := "", -1.0
	for _, m := range models {
		// Without requests, the models are covered alike.
		if share := (v.modelUse[m.Name] + 1) / float64(holders[m.Name]+1); share > most {
			best, most = m.Name, share
		}
	}
	return best
}
