package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	region            = "region"
	entriesPerZone    = 2
	heartbeatInterval = 200 * time.Millisecond
	heartbeatLag      = 5 * time.Millisecond
	shareInterval     = 200 * time.Millisecond
	sampleInterval    = 500 * time.Millisecond
	maxAttempts       = 4
	noUpstreamWait    = 50 * time.Millisecond
)

type entry struct {
	zone   state.Zone
	fleet  *state.Fleet
	router routing.Router
	marker *admission.Marker
}

type run struct {
	clock    *clock
	size     Size
	scenario Scenario
	policy   Policy
	store    *store
	hosts    []*host
	byID     map[state.UpstreamID]*host
	entries  []*entry
	calls    []*call
	broken   map[state.AdapterRef]bool
	samples  []sample
	open     int // calls not yet answered
}

// sample is the state of the fleet at one moment.
type sample struct {
	at     time.Duration
	queued int
}

// Run measures a policy in a scenario.
func Run(size Size, scenario Scenario, policy Policy, seed uint64) Result {
	r := &run{
		clock:    newClock(),
		size:     size,
		scenario: scenario,
		policy:   policy,
		byID:     make(map[state.UpstreamID]*host),
		broken:   make(map[state.AdapterRef]bool),
	}
	r.store = &store{clock: r.clock, spec: size.Store, slow: 1}
	r.addEngines(seed)
	r.addEntries(seed)
	r.schedule(seed)
	arrivals := scenario.Arrivals(size, seed)
	for i := range arrivals {
		r.clock.after(arrivals[i].At, func() { r.arrive(i, &arrivals[i]) })
	}
	r.clock.runUntil(runEnd)
	return r.result(seed)
}

func (r *run) addEngines(seed uint64) {
	for i := range r.size.Engines {
		u := state.Upstream{
			ID:     state.UpstreamID(fmt.Sprintf("engine-%02d", i)),
			Zone:   r.zone(i),
			Region: region,
			Kind:   state.KindEngine,
			Base:   baseModel,
			Owner:  "daemon",
			Epoch:  1,
		}
		h := &host{
			run:      r,
			upstream: u,
			core:     r.policy.NewCore(&u),
			engine: &engine{
				clock:    r.clock,
				id:       u.ID,
				slots:    r.size.Slots,
				batch:    r.size.Batch,
				adapters: make(map[state.AdapterRef]bool),
			},
			calls:   make(map[string]*call),
			loadRNG: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}
		r.hosts = append(r.hosts, h)
		r.byID[u.ID] = h
		h.handle(owner.Ranks{Ranks: r.size.Ranks})
		h.handle(owner.Permissions{Epoch: 1, MayDispatch: true, MayLoad: true, MayUnload: true})
	}
}

func (r *run) addEntries(seed uint64) {
	for i := range r.size.Zones * entriesPerZone {
		fleet := state.NewFleet()
		for _, h := range r.hosts {
			fleet.Put(h.upstream)
		}
		env := Env{
			Fleet:   fleet,
			Zone:    r.zone(i),
			Seed:    seed + uint64(i),
			Ranks:   r.size.Ranks,
			Daemons: r.size.Zones * entriesPerZone,
		}
		marker := admission.NewMarker(admission.DefaultMarkerOptions())
		marker.SetRanks(r.size.Ranks)
		r.entries = append(r.entries, &entry{zone: env.Zone, fleet: fleet, router: r.policy.NewRouter(env), marker: marker})
	}
}

func (r *run) zone(i int) state.Zone { return state.Zone(fmt.Sprintf("zone-%d", i%r.size.Zones)) }

func (r *run) schedule(seed uint64) {
	for i, h := range r.hosts {
		phase := time.Duration(i) * time.Millisecond
		r.clock.after(phase, func() { r.clock.every(reportInterval, h.report) })
		r.clock.after(phase, func() { r.clock.every(tickInterval, func() { h.handle(owner.Tick{}) }) })
		r.clock.after(phase, func() { r.clock.every(heartbeatInterval, func() { r.heartbeat(h) }) })
	}
	if r.policy.NewShares != nil {
		shares := r.policy.NewShares(r.size.Store)
		r.clock.every(shareInterval, func() { r.divide(shares) })
	}
	r.clock.every(sampleInterval, r.sample)
	r.clock.after(disturbStart, r.disturb)
	r.clock.after(disturbEnd, func() { r.store.slow = 1 })
	if r.scenario.Restarts {
		rng := rand.New(rand.NewPCG(seed, 4))
		for at := disturbStart; at < disturbEnd; at += restartEvery {
			r.clock.after(at, func() { r.hosts[rng.IntN(len(r.hosts))].engine.restart() })
		}
	}
}

func (r *run) disturb() {
	if r.scenario.StoreIsSlow {
		r.store.slow = slowFactor
	}
	if r.scenario.LoadsFail {
		for i := 0; i < r.size.Adapters; i += brokenAdapters {
			r.broken[adapterRef(i)] = true
		}
	}
}

func (r *run) disturbed() bool {
	at := r.clock.elapsed()
	return at >= disturbStart && at < disturbEnd
}

// heartbeat brings the status of an engine to the routers.
func (r *run) heartbeat(h *host) {
	s := h.core.Status()
	r.clock.after(heartbeatLag, func() {
		for _, e := range r.entries {
			e.fleet.Update(h.engine.id, func(u *state.Upstream) {
				u.Boot, u.Healthy = s.Boot, s.Healthy
				u.Slots, u.Batch = s.Slots, s.Batch
				u.Running, u.Queued = s.Running, s.Queued
				u.Resident = s.Resident
				u.Loading = s.Loading
				u.QueuedByRank = s.QueuedByRank
				u.ReportedAt = r.clock.now
			})
		}
	})
}

func (r *run) divide(shares Shares) {
	engines := make([]state.UpstreamID, len(r.hosts))
	statuses := make([]owner.Status, len(r.hosts))
	for i, h := range r.hosts {
		engines[i], statuses[i] = h.engine.id, h.core.Status()
	}
	for i, budget := range shares.Divide(r.clock.now, engines, statuses) {
		r.clock.after(heartbeatLag, func() { r.hosts[i].handle(budget) })
	}
}

func (r *run) sample() {
	queued := 0
	for _, h := range r.hosts {
		queued += h.core.Status().Queued
	}
	r.samples = append(r.samples, sample{at: r.clock.elapsed(), queued: queued})
}

func (r *run) arrive(id int, a *Arrival) {
	c := &call{
		id:       id,
		arrival:  a,
		adapter:  adapterRef(a.Adapter),
		customer: state.CustomerID(fmt.Sprintf("customer-%d", a.Customer)),
		prefix:   a.Prefix,
		prompt:   a.Prompt,
		left:     a.Output,
		arrived:  r.clock.now,
		deadline: r.clock.now.Add(r.size.Work[a.Rank].Timeout),
	}
	r.calls = append(r.calls, c)
	r.open++
	c.excess = r.entry(c).marker.Mark(r.clock.now, c.class())
	r.clock.after(r.size.Work[a.Rank].Timeout, func() { r.expire(c) })
	r.route(c)
}

func (r *run) entry(c *call) *entry {
	return r.entries[c.arrival.Zone+r.size.Zones*(c.id%entriesPerZone)]
}

func (r *run) route(c *call) {
	if c.outcome != waiting {
		return
	}
	e := r.entry(c)
	req := c.route(e.zone, r.size.Ranks[c.arrival.Rank].FirstToken)
	choice := e.router.Pick(r.clock.now, req)
	if choice.Upstream == nil {
		if len(c.exclude) > 0 {
			r.finish(c, refused)
			return
		}
		r.clock.after(noUpstreamWait, func() { r.route(c) })
		return
	}
	if c.overloaded && !choice.Resident {
		r.finish(c, refused)
		return
	}
	c.attempt++
	c.at = choice.Upstream.ID
	c.choice, c.sent, c.tracked = choice, r.clock.now, req
	if t, ok := e.router.(routing.Tracker); ok {
		t.Sent(r.clock.now, req, choice)
	}
	h := r.byID[c.at]
	r.clock.after(hopTime, func() {
		if c.outcome != waiting {
			r.answered(c, routing.OutcomeNeutral)
			return
		}
		h.enqueue(c)
	})
}

// answered tells the router how an attempt ended.
func (r *run) answered(c *call, o routing.Outcome) {
	t, ok := r.entry(c).router.(routing.Tracker)
	if !ok {
		return
	}
	result := routing.Result{Outcome: o, Total: r.clock.now.Sub(c.sent)}
	if c.first.After(c.sent) {
		result.FirstToken = c.first.Sub(c.sent)
	}
	t.Ended(r.clock.now, c.tracked, c.choice, result)
}

// refused is the entry's reaction to a request that was not run.
func (r *run) refused(c *call, from state.UpstreamID, a owner.Refuse) {
	r.answered(c, routing.OutcomeRejected)
	c.retryAfter = a.RetryAfter
	c.overloaded = c.overloaded || a.Reason == owner.RefuseOverload
	if c.outcome != waiting {
		return
	}
	if c.attempt >= maxAttempts {
		r.finish(c, refused)
		return
	}
	if !slices.Contains(c.exclude, from) {
		c.exclude = append(c.exclude, from)
	}
	r.route(c)
}

// ended is the entry's reaction to the end of a request that ran.
func (r *run) ended(c *call, from state.UpstreamID, failed bool) {
	r.answered(c, c.routed(failed))
	if c.outcome != waiting {
		return
	}
	if !failed {
		r.finish(c, completed)
		return
	}
	if c.attempt >= maxAttempts {
		r.finish(c, refused)
		return
	}
	c.exclude = append(c.exclude, from)
	r.route(c)
}

func (r *run) expire(c *call) {
	if c.outcome != waiting {
		return
	}
	r.finish(c, timedOut)
	id := fmt.Sprintf("%d/%d", c.id, c.attempt)
	if h := r.byID[c.at]; h != nil && h.calls[id] == c {
		h.handle(owner.Cancel{ID: id})
	}
}

func (r *run) finish(c *call, o outcome) {
	c.outcome = o
	r.open--
}
