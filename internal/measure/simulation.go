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
	region               = "region"
	daemonsPerZone       = 2
	heartbeatInterval    = 200 * time.Millisecond
	heartbeatLag         = 5 * time.Millisecond
	divideInterval       = 200 * time.Millisecond
	sampleInterval       = 500 * time.Millisecond
	maxAttempts          = 4
	noUpstreamRetryDelay = 50 * time.Millisecond
)

// entryDaemon routes the requests that arrive at one daemon.
type entryDaemon struct {
	zone   state.Zone
	fleet  *state.Fleet
	router routing.Router
	marker *admission.Marker
}

// simulation is the state of one run.
type simulation struct {
	clock        *clock
	size         Size
	scenario     Scenario
	policy       Policy
	store        *weightStore
	hosts        []*coreHost
	byID         map[state.UpstreamID]*coreHost // by engine
	entries      []*entryDaemon
	calls        []*call
	unloadable   map[state.AdapterRef]bool // adapters whose loads fail in the disturbance
	samples      []sample
	pendingCalls int // calls that have no outcome yet
}

// sample is the number of queued requests of the fleet at a time since the start.
type sample struct {
	at     time.Duration
	queued int
}

// Run simulates a policy in a scenario and returns its measurements.
func Run(size Size, scenario Scenario, policy Policy, seed uint64) Result {
	r := &simulation{
		clock:      newClock(),
		size:       size,
		scenario:   scenario,
		policy:     policy,
		byID:       make(map[state.UpstreamID]*coreHost),
		unloadable: make(map[state.AdapterRef]bool),
	}
	r.store = &weightStore{clock: r.clock, spec: size.Store, slowdown: 1}
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

func (r *simulation) addEngines(seed uint64) {
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
		h := &coreHost{
			sim:      r,
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

func (r *simulation) addEntries(seed uint64) {
	for i := range r.size.Zones * daemonsPerZone {
		fleet := state.NewFleet()
		for _, h := range r.hosts {
			fleet.Put(h.upstream)
		}
		env := RouterEnv{
			Fleet:   fleet,
			Zone:    r.zone(i),
			Seed:    seed + uint64(i),
			Ranks:   r.size.Ranks,
			Daemons: r.size.Zones * daemonsPerZone,
		}
		marker := admission.NewMarker(admission.DefaultMarkerOptions())
		marker.SetRanks(r.size.Ranks)
		r.entries = append(r.entries, &entryDaemon{zone: env.Zone, fleet: fleet, router: r.policy.NewRouter(env), marker: marker})
	}
}

func (r *simulation) zone(i int) state.Zone {
	return state.Zone(fmt.Sprintf("zone-%d", i%r.size.Zones))
}

// schedule schedules the periodic work, the disturbance and the restarts.
func (r *simulation) schedule(seed uint64) {
	for i, h := range r.hosts {
		phase := time.Duration(i) * time.Millisecond
		r.clock.after(phase, func() { r.clock.every(reportInterval, h.report) })
		r.clock.after(phase, func() { r.clock.every(tickInterval, func() { h.handle(owner.Tick{}) }) })
		r.clock.after(phase, func() { r.clock.every(heartbeatInterval, func() { r.heartbeat(h) }) })
	}
	if r.policy.NewBudgetDivider != nil {
		divider := r.policy.NewBudgetDivider(r.size.Store)
		r.clock.every(divideInterval, func() { r.divide(divider) })
	}
	r.clock.every(sampleInterval, r.sample)
	r.clock.after(disturbanceStart, r.startDisturbance)
	r.clock.after(disturbanceEnd, func() { r.store.slowdown = 1 })
	if r.scenario.Restarts {
		rng := rand.New(rand.NewPCG(seed, 4))
		for at := disturbanceStart; at < disturbanceEnd; at += restartInterval {
			r.clock.after(at, func() { r.hosts[rng.IntN(len(r.hosts))].engine.restart() })
		}
	}
}

// startDisturbance starts the disturbance of the scenario.
func (r *simulation) startDisturbance() {
	if r.scenario.SlowStore {
		r.store.slowdown = slowStoreFactor
	}
	if r.scenario.LoadsFail {
		for i := 0; i < r.size.Adapters; i += unloadableStride {
			r.unloadable[adapterRef(i)] = true
		}
	}
}

// inDisturbance reports whether the current time is within the disturbance.
func (r *simulation) inDisturbance() bool {
	at := r.clock.elapsed()
	return at >= disturbanceStart && at < disturbanceEnd
}

// heartbeat sends the status of an engine to the routers of all entry daemons.
func (r *simulation) heartbeat(h *coreHost) {
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

// divide sends each engine its budget of the weight store's limits.
func (r *simulation) divide(divider BudgetDivider) {
	engines := make([]state.UpstreamID, len(r.hosts))
	statuses := make([]owner.Status, len(r.hosts))
	for i, h := range r.hosts {
		engines[i], statuses[i] = h.engine.id, h.core.Status()
	}
	for i, budget := range divider.Divide(r.clock.now, engines, statuses) {
		r.clock.after(heartbeatLag, func() { r.hosts[i].handle(budget) })
	}
}

// sample records the queue length of the fleet.
func (r *simulation) sample() {
	queued := 0
	for _, h := range r.hosts {
		queued += h.core.Status().Queued
	}
	r.samples = append(r.samples, sample{at: r.clock.elapsed(), queued: queued})
}

// arrive starts a call at its entry daemon.
func (r *simulation) arrive(id int, a *Arrival) {
	c := &call{
		id:           id,
		arrival:      a,
		adapter:      adapterRef(a.Adapter),
		customer:     state.CustomerID(fmt.Sprintf("customer-%d", a.Customer)),
		prefix:       a.Prefix,
		promptTokens: a.Prompt,
		tokensLeft:   a.Output,
		arrivedAt:    r.clock.now,
		deadline:     r.clock.now.Add(r.size.Workloads[a.Rank].Timeout),
	}
	r.calls = append(r.calls, c)
	r.pendingCalls++
	c.excess = r.entry(c).marker.Mark(r.clock.now, c.class())
	r.clock.after(r.size.Workloads[a.Rank].Timeout, func() { r.expire(c) })
	r.route(c)
}

// entry returns the daemon at which a call arrives.
func (r *simulation) entry(c *call) *entryDaemon {
	return r.entries[c.arrival.Zone+r.size.Zones*(c.id%daemonsPerZone)]
}

// route sends the next attempt of a call to an engine. If there is no engine, it retries
// later. It refuses the call if no further engine is left after an earlier attempt, or if
// an engine rejected the call for overload and the next engine would have to load the
// adapter.
func (r *simulation) route(c *call) {
	if c.outcome != outcomePending {
		return
	}
	e := r.entry(c)
	req := c.routingRequest(e.zone, r.size.Ranks[c.arrival.Rank].FirstToken)
	choice := e.router.Pick(r.clock.now, req)
	if choice.Upstream == nil {
		if len(c.exclude) > 0 {
			r.finish(c, outcomeRefused)
			return
		}
		r.clock.after(noUpstreamRetryDelay, func() { r.route(c) })
		return
	}
	if c.overloaded && !choice.Resident {
		r.finish(c, outcomeRefused)
		return
	}
	c.attempt++
	c.upstream = choice.Upstream.ID
	c.choice, c.sentAt, c.routed = choice, r.clock.now, req
	if t, ok := e.router.(routing.Tracker); ok {
		t.Sent(r.clock.now, req, choice)
	}
	h := r.byID[c.upstream]
	r.clock.after(hopTime, func() {
		if c.outcome != outcomePending {
			r.reportOutcome(c, routing.OutcomeNeutral)
			return
		}
		h.enqueue(c)
	})
}

// reportOutcome passes the outcome of an attempt to the router.
func (r *simulation) reportOutcome(c *call, o routing.Outcome) {
	t, ok := r.entry(c).router.(routing.Tracker)
	if !ok {
		return
	}
	result := routing.Result{Outcome: o, Total: r.clock.now.Sub(c.sentAt)}
	if c.firstToken.After(c.sentAt) {
		result.FirstToken = c.firstToken.Sub(c.sentAt)
	}
	t.Ended(r.clock.now, c.routed, c.choice, result)
}

// handleRefusal handles, at the entry daemon of a call, the refusal of an attempt.
func (r *simulation) handleRefusal(c *call, from state.UpstreamID, a owner.Refuse) {
	r.reportOutcome(c, routing.OutcomeRejected)
	c.retryAfter = a.RetryAfter
	c.overloaded = c.overloaded || a.Reason == owner.RefuseOverload
	if c.outcome != outcomePending {
		return
	}
	if c.attempt >= maxAttempts {
		r.finish(c, outcomeRefused)
		return
	}
	if !slices.Contains(c.exclude, from) {
		c.exclude = append(c.exclude, from)
	}
	r.route(c)
}

// handleEnd handles, at the entry daemon of a call, the end of an attempt that ran.
func (r *simulation) handleEnd(c *call, from state.UpstreamID, failed bool) {
	r.reportOutcome(c, c.routingOutcome(failed))
	if c.outcome != outcomePending {
		return
	}
	if !failed {
		r.finish(c, outcomeCompleted)
		return
	}
	if c.attempt >= maxAttempts {
		r.finish(c, outcomeRefused)
		return
	}
	c.exclude = append(c.exclude, from)
	r.route(c)
}

// expire ends a call at its deadline and cancels its attempt.
func (r *simulation) expire(c *call) {
	if c.outcome != outcomePending {
		return
	}
	r.finish(c, outcomeTimedOut)
	id := fmt.Sprintf("%d/%d", c.id, c.attempt)
	if h := r.byID[c.upstream]; h != nil && h.calls[id] == c {
		h.handle(owner.Cancel{ID: id})
	}
}

// finish sets the outcome of a call.
func (r *simulation) finish(c *call, o outcome) {
	c.outcome = o
	r.pendingCalls--
}
