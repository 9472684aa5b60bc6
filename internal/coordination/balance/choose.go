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
	// loadCost is what a load adds to the estimate of an engine without the adapter.
	loadCost = 320 * time.Millisecond
	// homeStep separates the engines of a rare adapter, so that its requests meet at
	// the one that probably has a copy, and move on only under load.
	homeStep = 150 * time.Millisecond
	// spareHomes is how many engines without a copy may take one. Further ones would
	// drop what others need, in a flood of rare adapters.
	spareHomes = 1
	// idleSpareHomes holds for engines at which a load would begin at once.
	idleSpareHomes = 2
	// replicateShare of the latency objective is the estimate at the best holder from
	// which on another copy is loaded, if that engine would begin in half the time.
	replicateShare = 0.5
	// busySpareHomes and busyHomeStep hold for an adapter whose copies are that busy:
	// it is not rare, and the first engines without a copy may be busy as well.
	busySpareHomes = 8
	busyHomeStep   = 20 * time.Millisecond

	// alikeCost is the difference of costs within which engines count as alike: about
	// one prompt to read.
	alikeCost = 50 * time.Millisecond
	// maxAlike is the usual number of engines that hold an adapter.
	maxAlike = 8

	minRetryAfter = 200 * time.Millisecond
	// NoEngineRetryAfter is when to come back if no engine takes a load of the adapter: the
	// places are in use by streams that last for seconds, and a caller comes back only
	// once or twice.
	NoEngineRetryAfter = 1200 * time.Millisecond
	maxRetryAfter      = 4 * time.Second
)

// Candidate is an upstream that may take a request.
type Candidate struct {
	Upstream   *upstreams.Upstream
	Resident   bool          // the adapter, in a version that may serve
	ReadyIn    time.Duration // until a load in progress is done
	Idle       bool          // its owner knows no request that uses the adapter
	Loadable   bool          // its owner can be asked for a load
	AtCapacity bool          // it takes no load at present
	LoadDelay  time.Duration // until a load would begin
}

// Decision says where a request runs.
type Decision struct {
	Upstream     *upstreams.Upstream // nil: refused
	Load         bool                // the adapter must be loaded first
	ReadyIn      time.Duration
	AnnounceUse  bool                // the owner is to be told of the use at once, before it unloads the adapter
	Estimate     time.Duration       // to the first event or the answer
	ReplicateTo  *upstreams.Upstream // where the adapter is worth another copy
	RetryAfter   time.Duration
	Reason       string
	Candidates   int // upstreams that hold the adapter or could load it
	AtCapacity   int // of them, those that take no load at present
	NotPreferred int // of them, those that may not take a copy as others come first
}

// Limits of a request, from its arrival.
type Limits struct {
	Goal          time.Duration // latency objective
	MaxStartDelay time.Duration // until it is not worth starting
}

// ChooseEngine picks the engine with the earliest first event. It answers floods:
// what no engine could begin in time is refused at once, with the time after which
// there should be room.
func (t *Tracker) ChooseEngine(now time.Time, r Request, adapter upstreams.Adapter, list []Candidate, kvTokens int, lim Limits, draw float64) Decision {
	costs := t.holderCosts(now, r, list, kvTokens)
	busy := costs.found && float64(costs.estimate) > replicateShare*float64(lim.Goal)
	var best, bestOther *Candidate
	bestCost, otherCost := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	var bestEstimate time.Duration
	home := homes(adapter, list)
	holders := make([]holder, 0, maxAlike)
	full, far := 0, 0
	for pass := 0; pass < 2 && best == nil; pass++ {
		for i := range list {
			c := &list[i]
			if pass == 0 && t.IsEjected(now, c.Upstream.ID) || !c.Resident && !c.Loadable {
				continue
			}
			if pass == 0 && c.AtCapacity && !c.Resident {
				full++
			}
			if !c.Resident && c.AtCapacity {
				continue
			}
			if !c.Resident && home[i] >= spare(c, busy) {
				if pass == 0 {
					far++
				}
				continue
			}
			estimate := t.EstimateFirstEvent(now, c.Upstream, kvTokens, r)
			cost := estimate + t.Penalty(c.Upstream, r.Zone)
			if c.Resident {
				estimate = max(estimate, c.ReadyIn+baseFirst)
				cost = max(cost, c.ReadyIn+baseFirst)
				holders = append(holders, holder{c, cost, estimate})
			} else {
				if cost < otherCost {
					bestOther, otherCost = c, cost
				}
				step := homeStep
				if busy {
					step = busyHomeStep
				}
				estimate = max(estimate, loadCost+c.LoadDelay) + baseFirst
				cost += loadCost + c.LoadDelay + step*time.Duration(home[i])
			}
			if cost < bestCost {
				best, bestCost, bestEstimate = c, cost, estimate
			}
		}
	}
	if best == nil {
		return Decision{RetryAfter: spread(NoEngineRetryAfter, draw), Reason: "no engine", Candidates: len(list), AtCapacity: full, NotPreferred: far}
	}
	if best.Resident {
		if h := alike(holders, bestCost, draw); h != nil {
			best, bestEstimate = h.candidate, h.estimate
		}
	}
	d := Decision{Upstream: best.Upstream, Load: !best.Resident, ReadyIn: best.ReadyIn, AnnounceUse: best.Resident && best.Idle, Estimate: bestEstimate, Candidates: len(list), AtCapacity: full, NotPreferred: far}
	if best.Resident && bestOther != nil && busy && otherCost < costs.cost/2 {
		d.ReplicateTo = bestOther.Upstream
	}
	if bestEstimate > lim.MaxStartDelay {
		wait := min(max(bestEstimate-lim.Goal/2, minRetryAfter), maxRetryAfter)
		return Decision{Estimate: bestEstimate, RetryAfter: spread(wait, draw), Reason: "no room in time", ReplicateTo: d.ReplicateTo, Candidates: len(list), AtCapacity: full, NotPreferred: far}
	}
	t.chosen(now, d.Upstream.ID)
	return d
}

// holder is an engine that holds an adapter, with what it costs to use it.
type holder struct {
	candidate *Candidate
	cost      time.Duration
	estimate  time.Duration
}

// alike draws one of the holders whose costs hardly differ from the best. What daemons
// know of each other's requests is some tenths of a second old: if all took the best
// one, it would be full before they knew.
func alike(list []holder, best time.Duration, draw float64) *holder {
	kept := list[:0]
	for _, h := range list {
		if h.cost <= best+alikeCost {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		return nil
	}
	return &kept[min(int(draw*float64(len(kept))), len(kept)-1)]
}

// holderCosts is the best of the engines that hold an adapter.
type holderCosts struct {
	found    bool
	cost     time.Duration
	estimate time.Duration
}

func (t *Tracker) holderCosts(now time.Time, r Request, list []Candidate, kvTokens int) holderCosts {
	var best holderCosts
	for i := range list {
		c := &list[i]
		if !c.Resident || t.IsEjected(now, c.Upstream.ID) {
			continue
		}
		estimate := max(t.EstimateFirstEvent(now, c.Upstream, kvTokens, r), c.ReadyIn+baseFirst)
		cost := max(estimate+t.Penalty(c.Upstream, r.Zone), c.ReadyIn+baseFirst)
		if !best.found || cost < best.cost {
			best = holderCosts{found: true, cost: cost, estimate: estimate}
		}
	}
	return best
}

// spare returns the number of engines without a copy among which an engine must be, in
// the order of their weights, to take one.
func spare(c *Candidate, busy bool) int {
	switch {
	case busy:
		return busySpareHomes
	case c.LoadDelay == 0:
		return idleSpareHomes
	}
	return spareHomes
}

// ChoosePlain picks the upstream of a plain service with the earliest answer.
func (t *Tracker) ChoosePlain(now time.Time, r Request, list []Candidate, lim Limits, draw float64) Decision {
	var best *Candidate
	bestCost := time.Duration(math.MaxInt64)
	var bestEstimate time.Duration
	for pass := 0; pass < 2 && best == nil; pass++ {
		for i := range list {
			c := &list[i]
			if pass == 0 && t.IsEjected(now, c.Upstream.ID) {
				continue
			}
			estimate := t.EstimateAnswer(now, c.Upstream)
			if cost := estimate + t.Penalty(c.Upstream, r.Zone); cost < bestCost {
				best, bestCost, bestEstimate = c, cost, estimate
			}
		}
	}
	if best == nil {
		return Decision{RetryAfter: spread(minRetryAfter, draw), Reason: "no upstream"}
	}
	if bestEstimate > lim.MaxStartDelay {
		wait := min(max(bestEstimate-lim.Goal, minRetryAfter), maxRetryAfter)
		return Decision{Estimate: bestEstimate, RetryAfter: spread(wait, draw), Reason: "no room in time"}
	}
	t.chosen(now, best.Upstream.ID)
	return Decision{Upstream: best.Upstream, Estimate: bestEstimate}
}

// spread lengthens a time by up to half, so that callers do not return together.
func spread(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(draw*0.5*float64(d))
}

// homes numbers the engines that do not hold an adapter by their rendezvous weight for
// it, in the order of the list.
func homes(a upstreams.Adapter, list []Candidate) []int {
	type weighed struct {
		weight uint64
		index  int
	}
	key := a.String()
	order := make([]weighed, 0, len(list))
	for i := range list {
		if !list[i].Resident {
			order = append(order, weighed{state.RendezvousWeight(key, string(list[i].Upstream.ID)), i})
		}
	}
	slices.SortFunc(order, func(x, y weighed) int { return cmp.Compare(y.weight, x.weight) })
	places := make([]int, len(list))
	for place, w := range order {
		places[w.index] = place
	}
	return places
}
