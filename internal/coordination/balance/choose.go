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
	// loadTimeEstimate is added to the estimate of an engine that must load the adapter.
	loadTimeEstimate = 320 * time.Millisecond
	// preferenceStep is the cost between engines of successive rendezvous rank for an
	// adapter. Requests for a rare adapter so go to the same engine, which probably has a
	// local copy, and to the next one only under load.
	preferenceStep = 150 * time.Millisecond
	// preferredEngines is how many engines without the adapter may load it. In a flood of
	// rare adapters, further engines would evict adapters that other requests need.
	preferredEngines = 1
	// preferredEnginesIdle applies to engines at which a load would start at once.
	preferredEnginesIdle = 2
	// replicateThreshold is the share of the latency objective above which the estimate at
	// the best replica causes another replica to be loaded, if the new engine would start
	// in half the time.
	replicateThreshold = 0.5
	// preferredEnginesBusy and preferenceStepBusy apply to an adapter whose replicas are
	// above that threshold: it is not rare, and the first engines without it may be busy too.
	preferredEnginesBusy = 8
	preferenceStepBusy   = 20 * time.Millisecond

	// similarCostRange is the cost difference up to which replicas are equivalent: about
	// the time to read one prompt.
	similarCostRange = 50 * time.Millisecond
	// typicalReplicas is the usual number of replicas of an adapter.
	typicalReplicas = 8

	minRetryAfter = 200 * time.Millisecond
	// NoEngineRetryAfter is the Retry-After if no engine can load the adapter: the slots
	// are in use by streams that last for seconds, and callers retry only once or twice.
	NoEngineRetryAfter = 1200 * time.Millisecond
	maxRetryAfter      = 4 * time.Second
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	Upstream   *upstreams.Upstream
	Resident   bool          // the adapter is resident or loading, in a version that may serve
	ReadyIn    time.Duration // until a load in progress ends
	Idle       bool          // the lease holder is not aware of a request that uses the adapter
	Loadable   bool          // the lease holder can be asked to load the adapter
	AtCapacity bool          // no further load is accepted at present
	LoadDelay  time.Duration // until a new load would start
}

// Decision is where a request runs, or why it is refused.
type Decision struct {
	Upstream     *upstreams.Upstream // nil if the request is refused
	Load         bool                // the adapter must be loaded first
	ReadyIn      time.Duration
	AnnounceUse  bool                // notify the lease holder at once, before it evicts the adapter
	Estimate     time.Duration       // to the first event or the response
	ReplicateTo  *upstreams.Upstream // engine that should load another replica, or nil
	RetryAfter   time.Duration
	Reason       string
	Candidates   int // number of upstreams that have the adapter or could load it
	AtCapacity   int // candidates that accept no load at present
	NotPreferred int // candidates that may not load the adapter because of their rendezvous rank
}

// Limits are the time limits of a request.
type Limits struct {
	Goal          time.Duration // latency objective
	MaxStartDelay time.Duration // a request that would start later is refused
}

// ChooseEngine picks the engine with the earliest first event. If no engine could start
// the request in time, it is refused at once with a Retry-After after which there should
// be capacity. draw is a random number in [0, 1).
func (t *Tracker) ChooseEngine(now time.Time, r Request, adapter upstreams.Adapter, list []Candidate, kvTokens int, lim Limits, draw float64) Decision {
	bestResident := t.bestReplica(now, r, list, kvTokens)
	busy := bestResident.found && float64(bestResident.estimate) > replicateThreshold*float64(lim.Goal)
	var best, bestOther *Candidate
	bestCost, otherCost := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	var bestEstimate time.Duration
	ranks := rendezvousRanks(adapter, list)
	replicas := make([]replica, 0, typicalReplicas)
	atCapacity, notPreferred := 0, 0
	for pass := 0; pass < 2 && best == nil; pass++ { // the second pass includes ejected upstreams
		for i := range list {
			c := &list[i]
			if pass == 0 && t.IsEjected(now, c.Upstream.ID) || !c.Resident && !c.Loadable {
				continue
			}
			if pass == 0 && c.AtCapacity && !c.Resident {
				atCapacity++
			}
			if !c.Resident && c.AtCapacity {
				continue
			}
			if !c.Resident && ranks[i] >= preferredCount(c, busy) {
				if pass == 0 {
					notPreferred++
				}
				continue
			}
			estimate := t.EstimateFirstEvent(now, c.Upstream, kvTokens, r)
			cost := estimate + t.Penalty(c.Upstream, r.Zone)
			if c.Resident {
				estimate = max(estimate, c.ReadyIn+minFirstEventDelay)
				cost = max(cost, c.ReadyIn+minFirstEventDelay)
				replicas = append(replicas, replica{c, cost, estimate})
			} else {
				if cost < otherCost {
					bestOther, otherCost = c, cost
				}
				step := preferenceStep
				if busy {
					step = preferenceStepBusy
				}
				estimate = max(estimate, loadTimeEstimate+c.LoadDelay) + minFirstEventDelay
				cost += loadTimeEstimate + c.LoadDelay + step*time.Duration(ranks[i])
			}
			if cost < bestCost {
				best, bestCost, bestEstimate = c, cost, estimate
			}
		}
	}
	if best == nil {
		return Decision{RetryAfter: addJitter(NoEngineRetryAfter, draw), Reason: "no engine", Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	}
	if best.Resident {
		if h := pickSimilar(replicas, bestCost, draw); h != nil {
			best, bestEstimate = h.candidate, h.estimate
		}
	}
	d := Decision{Upstream: best.Upstream, Load: !best.Resident, ReadyIn: best.ReadyIn, AnnounceUse: best.Resident && best.Idle, Estimate: bestEstimate, Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	if best.Resident && bestOther != nil && busy && otherCost < bestResident.cost/2 {
		d.ReplicateTo = bestOther.Upstream
	}
	if bestEstimate > lim.MaxStartDelay {
		wait := min(max(bestEstimate-lim.Goal/2, minRetryAfter), maxRetryAfter)
		return Decision{Estimate: bestEstimate, RetryAfter: addJitter(wait, draw), Reason: "no room in time", ReplicateTo: d.ReplicateTo, Candidates: len(list), AtCapacity: atCapacity, NotPreferred: notPreferred}
	}
	t.beginProbe(now, d.Upstream.ID)
	return d
}

// replica is an engine that has the adapter, with the cost of using it.
type replica struct {
	candidate *Candidate
	cost      time.Duration
	estimate  time.Duration
}

// pickSimilar draws one of the replicas whose cost is close to the best. The daemons' view
// of each other's requests is some tenths of a second old: if all chose the best replica,
// it would be overloaded before they noticed.
func pickSimilar(list []replica, best time.Duration, draw float64) *replica {
	kept := list[:0]
	for _, h := range list {
		if h.cost <= best+similarCostRange {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		return nil
	}
	return &kept[min(int(draw*float64(len(kept))), len(kept)-1)]
}

// replicaCost is the cost of the best replica of an adapter.
type replicaCost struct {
	found    bool
	cost     time.Duration
	estimate time.Duration
}

// bestReplica returns the cost of the best replica that is not ejected.
func (t *Tracker) bestReplica(now time.Time, r Request, list []Candidate, kvTokens int) replicaCost {
	var best replicaCost
	for i := range list {
		c := &list[i]
		if !c.Resident || t.IsEjected(now, c.Upstream.ID) {
			continue
		}
		estimate := max(t.EstimateFirstEvent(now, c.Upstream, kvTokens, r), c.ReadyIn+minFirstEventDelay)
		cost := max(estimate+t.Penalty(c.Upstream, r.Zone), c.ReadyIn+minFirstEventDelay)
		if !best.found || cost < best.cost {
			best = replicaCost{found: true, cost: cost, estimate: estimate}
		}
	}
	return best
}

// preferredCount returns the rendezvous rank below which an engine may load an adapter that
// it does not have.
func preferredCount(c *Candidate, busy bool) int {
	switch {
	case busy:
		return preferredEnginesBusy
	case c.LoadDelay == 0:
		return preferredEnginesIdle
	}
	return preferredEngines
}

// ChoosePlain picks the upstream of a plain service with the earliest response.
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
			estimate := t.EstimateResponse(now, c.Upstream)
			if cost := estimate + t.Penalty(c.Upstream, r.Zone); cost < bestCost {
				best, bestCost, bestEstimate = c, cost, estimate
			}
		}
	}
	if best == nil {
		return Decision{RetryAfter: addJitter(minRetryAfter, draw), Reason: "no upstream"}
	}
	if bestEstimate > lim.MaxStartDelay {
		wait := min(max(bestEstimate-lim.Goal, minRetryAfter), maxRetryAfter)
		return Decision{Estimate: bestEstimate, RetryAfter: addJitter(wait, draw), Reason: "no room in time"}
	}
	t.beginProbe(now, best.Upstream.ID)
	return Decision{Upstream: best.Upstream, Estimate: bestEstimate}
}

// addJitter lengthens a time by up to half, so that callers do not retry in sync.
func addJitter(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(draw*0.5*float64(d))
}

// rendezvousRanks ranks the engines that do not have an adapter by their rendezvous weight
// for it, the first with 0. The result is indexed like the list.
func rendezvousRanks(a upstreams.Adapter, list []Candidate) []int {
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
	ranks := make([]int, len(list))
	for rank, w := range order {
		ranks[w.index] = rank
	}
	return ranks
}
