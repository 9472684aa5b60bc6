package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// loadTimeEstimate is added to the cost of an engine that must first load the adapter.
	loadTimeEstimate = 320 * time.Millisecond
	// preferenceStep is the cost added per position in the rendezvous order of the engines
	// without the adapter. Requests for a rare adapter thus go to the same engine, which
	// probably has a local copy, and to the next engine only under load.
	preferenceStep = 150 * time.Millisecond
	// preferredEngines is how many engines without the adapter, the first ones of the
	// rendezvous order, may load it. In a flood of rare adapters, loads at further engines
	// would evict adapters that other requests need.
	preferredEngines = 1
	// preferredEnginesNoDelay is the limit preferredEngines for an engine at which a load
	// would start at once.
	preferredEnginesNoDelay = 2
	// replicateThreshold is a share of the latency objective. If the estimate of the best
	// replica exceeds it, another replica may be loaded. The new engine, once loaded, must
	// cost less than half as much as the best replica.
	replicateThreshold = 0.5
	// preferredEnginesBusy is the limit preferredEngines for an adapter whose best replica
	// exceeds replicateThreshold. Such an adapter is not rare, and the first engines of its
	// rendezvous order may be busy, too.
	preferredEnginesBusy = 8
	// preferenceStepBusy is the value of preferenceStep for an adapter whose best replica
	// exceeds replicateThreshold.
	preferenceStepBusy = 20 * time.Millisecond

	// similarCostRange is the cost difference up to which replicas are equivalent: about
	// the time that an engine takes to read one prompt.
	similarCostRange = 50 * time.Millisecond
	// connectedCostRange is similarCostRange for a replica with an idle connection of this daemon.
	connectedCostRange = 80 * time.Millisecond
	// typicalReplicas is the usual number of replicas of an adapter.
	typicalReplicas = 8

	// minRetryAfter is the minimum Retry-After of a refused request.
	minRetryAfter = 200 * time.Millisecond
	// NoEngineRetryAfter is the Retry-After if no engine can load the adapter: the slots
	// are in use by streams that last for seconds, and callers retry only once or twice.
	NoEngineRetryAfter = 1200 * time.Millisecond
	// maxRetryAfter is the maximum Retry-After, without jitter, if an upstream would start
	// the request too late.
	maxRetryAfter = 4 * time.Second
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	Upstream    *upstreams.Upstream
	Resident    bool          // the adapter is resident or loading, in a version that may serve
	ReadyIn     time.Duration // until the adapter's load ends; zero if none is in progress
	AdapterIdle bool          // no request is known to use the resident adapter
	Loadable    bool          // a load of the adapter can be requested from the engine's lease holder
	AtCapacity  bool          // the engine accepts no further load at present
	LoadDelay   time.Duration // until a new load would start at the engine
	Connected   bool          // this daemon has an idle connection to the engine
}

// Decision is where a request runs, or why it is refused.
type Decision struct {
	Upstream     *upstreams.Upstream // nil if the request is refused
	Load         bool                // the adapter must be loaded first
	ReadyIn      time.Duration       // until the adapter is ready, if it is resident or loading
	AnnounceUse  bool                // notify the lease holder at once, before it evicts the adapter
	Estimate     time.Duration       // to the first event or the response
	ReplicateTo  *upstreams.Upstream // engine that should load another replica, or nil
	RetryAfter   time.Duration       // set if the request is refused
	Reason       string              // set if the request is refused
	Candidates   int                 // number of upstreams that have the adapter or could load it
	AtCapacity   int                 // candidates that accept no load at present
	Replicas     int                 // candidates that have the adapter and could be chosen
	NotPreferred int                 // candidates that may not load the adapter because of their rendezvous position
}

// Limits are the time limits for the choice of an upstream.
type Limits struct {
	LatencyObjective time.Duration // latency objective
	MaxStartDelay    time.Duration // a request is refused if its estimated delay is longer
}

// ChooseEngine picks the engine with the lowest cost: the estimated time to the first event
// plus penalties. Among replicas of similar cost it draws one. It may also name an engine
// that should load another replica. A request that no engine can start within the limits
// is refused, with the estimated time until there is capacity as Retry-After. If the chosen
// engine has failed recently, ChooseEngine records the request as its probe. An engine whose
// request limit delays the request by more than a load loads the adapter only if no other
// engine can. draw is a random number in [0, 1).
func (t *Tracker) ChooseEngine(now time.Time, r Request, adapter upstreams.Adapter, list []Candidate, kvTokens int, lim Limits, draw float64) Decision {
	preferred := t.withoutDelayedLoads(now, r, list)
	d := t.chooseEngine(now, r, adapter, preferred, kvTokens, lim, draw)
	if d.Upstream == nil && len(preferred) < len(list) {
		d = t.chooseEngine(now, r, adapter, list, kvTokens, lim, draw)
	}
	return d
}

// withoutDelayedLoads returns the candidates without those that would have to load the adapter and
// whose request limit delays the request by more than that.
func (t *Tracker) withoutDelayedLoads(now time.Time, r Request, list []Candidate) []Candidate {
	isDelayed := func(c Candidate) bool {
		return !c.Resident && t.rateWait(now, c.Upstream.ID, &r) > loadTimeEstimate+c.LoadDelay
	}
	if !slices.ContainsFunc(list, isDelayed) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isDelayed)
}

// chooseEngine picks an engine for ChooseEngine from a list of candidates.
func (t *Tracker) chooseEngine(now time.Time, r Request, adapter upstreams.Adapter, list []Candidate, kvTokens int, lim Limits, draw float64) Decision {
	bestResident := t.bestReplica(now, r, list, kvTokens)
	busy := bestResident.found && float64(bestResident.estimate) > replicateThreshold*float64(lim.LatencyObjective)
	var best, bestWithout *Candidate
	bestCost, costWithout := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	var bestEstimate time.Duration
	positions := rendezvousPositions(adapter, list)
	replicas := make([]replica, 0, typicalReplicas)
	atCapacity, notPreferred, overfilled := 0, 0, 0
	// The second pass includes ejected upstreams, the third one engines behind the preferred ones. In a
	// small fleet, where the preferred engines are a large part of all, there is no third pass.
	passes := 2
	if t.reportRecent {
		passes = 3
	}
	for pass := 0; pass < passes && best == nil; pass++ {
		for i := range list {
			c := &list[i]
			if pass != 1 && t.IsEjected(now, c.Upstream.ID) || !c.Resident && !c.Loadable {
				continue
			}
			if pass == 0 && c.AtCapacity && !c.Resident {
				atCapacity++
			}
			if !c.Resident && c.AtCapacity {
				continue
			}
			if !c.Resident && positions[i] >= preferredCount(c, busy) && (pass < 2 || c.LoadDelay > 0) {
				if pass == 0 {
					notPreferred++
				}
				continue
			}
			if t.overfills(now, c.Upstream, kvTokens, &r) {
				overfilled++
				continue
			}
			estimate := t.EstimateFirstEvent(now, c.Upstream, kvTokens, r) + t.startDelay(now, c.Upstream, &r)
			cost := estimate + t.Penalty(c.Upstream, r.Zone)
			if c.Resident {
				estimate = max(estimate, c.ReadyIn+minFirstEventDelay)
				cost = max(cost, c.ReadyIn+minFirstEventDelay)
				crowding := t.readTime(c.Upstream.ID, t.RecentTokens(now, c.Upstream.ID))
				replicas = append(replicas, replica{c, cost + crowding, estimate})
			} else {
				if cost < costWithout {
					bestWithout, costWithout = c, cost
				}
				step := preferenceStep
				if busy {
					step = preferenceStepBusy
				}
				estimate = max(estimate, loadTimeEstimate+c.LoadDelay) + minFirstEventDelay
				cost += loadTimeEstimate + c.LoadDelay + step*time.Duration(positions[i])
			}
			if cost < bestCost {
				best, bestCost, bestEstimate = c, cost, estimate
			}
		}
	}
	if best == nil && overfilled > 0 {
		return Decision{RetryAfter: addJitter(NoEngineRetryAfter, draw), Reason: "no memory at engines", Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	}
	if best == nil {
		return Decision{RetryAfter: addJitter(NoEngineRetryAfter, draw), Reason: "no engine", Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	}
	if best.Resident {
		if drawn := pickSimilar(replicas, draw); drawn != nil {
			best, bestEstimate = drawn.candidate, drawn.estimate
		}
	}
	d := Decision{Upstream: best.Upstream, Replicas: len(replicas), Load: !best.Resident, ReadyIn: best.ReadyIn, AnnounceUse: best.Resident && best.AdapterIdle, Estimate: bestEstimate, Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	if best.Resident && bestWithout != nil && busy && costWithout < bestResident.cost/2 {
		d.ReplicateTo = bestWithout.Upstream
	}
	if best.Resident && d.ReplicateTo == nil {
		d.ReplicateTo = t.replicaTarget(now, r.ReplicaRatio, list, positions, draw)
	}
	if bestEstimate > lim.MaxStartDelay {
		wait := min(max(bestEstimate-lim.LatencyObjective/2, minRetryAfter), maxRetryAfter)
		return Decision{Estimate: bestEstimate, RetryAfter: addJitter(wait, draw), Reason: "no room in time", ReplicateTo: d.ReplicateTo, Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	}
	t.beginProbe(now, d.Upstream.ID) // keeps other requests away until the outcome, if it has failed recently
	return d
}

// replica is an engine that has the adapter resident or loading, with the estimated time to
// the first event of a request there. The cost also counts the prompts that were sent there
// recently, so that prompts are spread evenly over the replicas.
type replica struct {
	candidate *Candidate
	cost      time.Duration
	estimate  time.Duration
}

// pickSimilar draws one of the replicas whose cost is within similarCostRange of the lowest
// cost, or returns nil if there is none. The daemons' view of each other's requests is some tenths
// of a second old: if all daemons chose the best replica, it would be overloaded before their views
// showed that. Replicas with an idle connection come first, within connectedCostRange: in a large
// fleet a daemon would otherwise open a connection for nearly each request. pickSimilar overwrites
// the list.
func pickSimilar(list []replica, draw float64) *replica {
	lowest := time.Duration(math.MaxInt64)
	for _, r := range list {
		lowest = min(lowest, r.cost)
	}
	limit := lowest + similarCostRange
	if slices.ContainsFunc(list, func(r replica) bool { return r.candidate.Connected && r.cost <= lowest+connectedCostRange }) {
		list = slices.DeleteFunc(list, func(r replica) bool { return !r.candidate.Connected })
		limit = lowest + connectedCostRange
	}
	kept := list[:0]
	for _, r := range list {
		if r.cost <= limit {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		return nil
	}
	return &kept[min(int(draw*float64(len(kept))), len(kept)-1)]
}

// replicaCost is the cost and the estimated time to the first event of a request at the
// best replica of its adapter.
type replicaCost struct {
	found    bool // false if no replica is available
	cost     time.Duration
	estimate time.Duration
}

// bestReplica returns the cost and the estimate of the best replica that is not ejected.
func (t *Tracker) bestReplica(now time.Time, r Request, list []Candidate, kvTokens int) replicaCost {
	var best replicaCost
	for i := range list {
		c := &list[i]
		if !c.Resident || t.IsEjected(now, c.Upstream.ID) {
			continue
		}
		estimate := max(t.EstimateFirstEvent(now, c.Upstream, kvTokens, r)+t.startDelay(now, c.Upstream, &r), c.ReadyIn+minFirstEventDelay)
		cost := max(estimate+t.Penalty(c.Upstream, r.Zone), c.ReadyIn+minFirstEventDelay)
		if !best.found || cost < best.cost {
			best = replicaCost{found: true, cost: cost, estimate: estimate}
		}
	}
	return best
}

// preferredCount returns how many engines, in rendezvous order, may load an adapter that
// they do not have, as far as candidate c is concerned. busy is whether the best replica of
// the adapter exceeds replicateThreshold.
func preferredCount(c *Candidate, busy bool) int {
	switch {
	case busy:
		return preferredEnginesBusy
	case c.LoadDelay == 0:
		return preferredEnginesNoDelay
	}
	return preferredEngines
}

// ChoosePlain picks the upstream of a plain service with the lowest cost: the estimated
// time to the response plus penalties. A request that no upstream can answer within the
// limits is refused with a Retry-After. If the chosen upstream has failed recently,
// ChoosePlain records the request as its probe. draw is a random number in [0, 1).
func (t *Tracker) ChoosePlain(now time.Time, r Request, list []Candidate, lim Limits, draw float64) Decision {
	var best *Candidate
	bestCost := time.Duration(math.MaxInt64)
	var bestEstimate time.Duration
	for pass := 0; pass < 2 && best == nil; pass++ { // the second pass includes ejected upstreams
		for i := range list {
			c := &list[i]
			if pass == 0 && t.IsEjected(now, c.Upstream.ID) {
				continue
			}
			estimate := t.rateWait(now, c.Upstream.ID, &r)
			if r.IsStream {
				estimate += t.EstimatePlainFirstEvent(now, c.Upstream)
			} else {
				estimate += t.EstimateResponse(now, c.Upstream)
			}
			if cost := estimate + t.Penalty(c.Upstream, r.Zone); cost < bestCost {
				best, bestCost, bestEstimate = c, cost, estimate
			}
		}
	}
	if best == nil {
		return Decision{RetryAfter: addJitter(minRetryAfter, draw), Reason: "no upstream"}
	}
	if bestEstimate > lim.MaxStartDelay {
		wait := min(max(bestEstimate-lim.LatencyObjective, minRetryAfter), maxRetryAfter)
		return Decision{Estimate: bestEstimate, RetryAfter: addJitter(wait, draw), Reason: "no room in time"}
	}
	t.beginProbe(now, best.Upstream.ID) // keeps other requests away until the outcome, if it has failed recently
	return Decision{Upstream: best.Upstream, Estimate: bestEstimate}
}

// RetryAfter returns the Retry-After of a request that could start only after a delay, within the
// limits for all refusals and with jitter. draw is a random number in [0, 1).
func RetryAfter(delay time.Duration, draw float64) time.Duration {
	return addJitter(min(max(delay, minRetryAfter), maxRetryAfter), draw)
}

// addJitter lengthens a Retry-After by up to half, so that callers do not retry in sync.
// draw is a random number in [0, 1).
func addJitter(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(draw*0.5*float64(d))
}

// rendezvousPositions returns the positions of the candidates without an adapter in the
// rendezvous order for it, from 0. The result is indexed like the list; its values for
// candidates that have the adapter are zero and without meaning.
func rendezvousPositions(a upstreams.Adapter, list []Candidate) []int {
	type weightedIndex struct {
		weight uint64
		index  int
	}
	key := a.String()
	order := make([]weightedIndex, 0, len(list))
	for i := range list {
		if !list[i].Resident {
			order = append(order, weightedIndex{state.RendezvousWeight(key, string(list[i].Upstream.ID)), i})
		}
	}
	slices.SortFunc(order, func(x, y weightedIndex) int { return cmp.Compare(y.weight, x.weight) })
	positions := make([]int, len(list))
	for position, w := range order {
		positions[w.index] = position
	}
	return positions
}
