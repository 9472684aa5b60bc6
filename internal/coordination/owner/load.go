package owner

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/coordination/queue"
	"github.com/celerydeck/celerydeck/internal/state"
)

// unloadBackoff is the time after a failed unload before the same adapter may be
// evicted again.
const unloadBackoff = time.Second

// pendingLoad is a load that queued requests need and that is not ordered yet.
type pendingLoad struct {
	ref          state.AdapterRef
	excess       bool       // the most urgent request is beyond the usual rate of its class
	rank         state.Rank // of the most urgent request
	due          time.Time  // of the most urgent request
	stallCost    float64    // relative cost of letting all requests for the adapter wait longer
	waitFraction float64    // largest ratio of the wait of a request to the first-token target of its rank
}

// before reports whether l is more urgent than other.
func (l *pendingLoad) before(other *pendingLoad) bool {
	if l.excess != other.excess {
		return other.excess
	}
	if l.rank != other.rank {
		return l.rank < other.rank
	}
	if !l.due.Equal(other.due) {
		return l.due.Before(other.due)
	}
	return compareRefs(l.ref, other.ref) < 0
}

// load orders pending loads, most urgent first, as far as the budget and the free slots
// allow. If no slot is free, it evicts or drains an adapter. If no load is pending, it
// may order a preload.
func (s *Scheduler) load(now time.Time) {
	if !s.perms.MayLoad || s.slots == 0 {
		return
	}
	for {
		best, ok := s.mostUrgentLoad(now)
		if !ok {
			s.preload(now)
			return
		}
		if !s.admits(now, &best) {
			return
		}
		if !s.freeSlot(now, best.stallCost, best.waitFraction >= s.opts.DrainAfterFraction) {
			return
		}
		s.orderLoad(now, best.ref, s.sources[best.ref])
	}
}

// admits reports whether the budget allows a pending load to start. A load for the most
// urgent rank may overdraw the budget.
func (s *Scheduler) admits(now time.Time, l *pendingLoad) bool {
	return s.budget.Admits(now, s.loadsInFlight(), l.rank == 0 && !l.excess)
}

func (s *Scheduler) loadsInFlight() int {
	n := 0
	for _, slot := range s.adapters {
		if slot.state == slotLoading {
			n++
		}
	}
	return n
}

// mostUrgentLoad returns the most urgent pending load that is not backed off.
func (s *Scheduler) mostUrgentLoad(now time.Time) (pendingLoad, bool) {
	var best pendingLoad
	found := false
	for _, g := range s.queue.BlockedGroups() {
		if s.adapters[g.Adapter] != nil || s.backoff.Remaining(now, g.Adapter) > 0 {
			continue
		}
		l := s.pendingLoadOf(now, g)
		if !found || l.before(&best) {
			best, found = l, true
		}
	}
	return best, found
}

// pendingLoadOf summarizes the requests that wait for one adapter.
func (s *Scheduler) pendingLoadOf(now time.Time, g *queue.Group) pendingLoad {
	best := pendingLoad{ref: g.Adapter}
	for i, it := range g.Items() {
		next := pendingLoad{ref: g.Adapter, excess: it.Excess, rank: it.Class.Rank, due: it.Due}
		waited := now.Sub(it.Arrived).Seconds() / s.firstTokenTarget(it.Class.Rank).Seconds()
		next.stallCost = best.stallCost + s.stallCost(it.Class.Rank, it.Excess)*(1+s.opts.WaitWeight*waited)
		next.waitFraction = max(best.waitFraction, waited)
		if i > 0 && best.before(&next) {
			best.stallCost, best.waitFraction = next.stallCost, next.waitFraction
			continue
		}
		best = next
	}
	return best
}

// freeSlot reports whether a slot is free. If no slot is free, it evicts the unused
// adapter with the least demand, provided that the demand is worth less than value. If
// force is true, it evicts the adapter regardless of the demand, and drains the busy
// adapter with the least demand if no adapter is unused.
func (s *Scheduler) freeSlot(now time.Time, value float64, force bool) bool {
	if len(s.adapters) < s.slots {
		return true
	}
	if !s.perms.MayUnload || s.unloading() {
		return false
	}
	busy, victim := s.evictionCandidates(now)
	if victim != nil && (force || s.demand.Rate(now, victim.ref)*s.opts.EvictHorizon.Seconds() < value) {
		s.unload(victim)
		return false
	}
	if victim == nil && force && busy != nil && !s.draining() {
		s.drain(busy)
	}
	return false
}

// evictionCandidates returns the resident adapter with the least demand, and the unused
// adapter with the least demand. No request runs on an unused adapter, and no queued
// request waits for it unless it is being drained. Either result may be nil.
func (s *Scheduler) evictionCandidates(now time.Time) (least, unused *adapterSlot) {
	var leastRate, unusedRate float64
	for _, slot := range s.adapters {
		if slot.state != slotReady || now.Before(slot.keepUntil) {
			continue
		}
		rate := s.demand.Rate(now, slot.ref)
		evictable := slot.running == 0 && (s.queue.Waiting(slot.ref) == 0 || slot.draining)
		if evictable && lessDemand(slot, rate, unused, unusedRate) {
			unused, unusedRate = slot, rate
		}
		if lessDemand(slot, rate, least, leastRate) {
			least, leastRate = slot, rate
		}
	}
	return least, unused
}

// lessDemand reports whether the adapter of slot has less demand than the adapter of
// best, which may be nil. Adapters with equal demand are ordered by name.
func lessDemand(slot *adapterSlot, rate float64, best *adapterSlot, bestRate float64) bool {
	if best == nil || rate != bestRate {
		return best == nil || rate < bestRate
	}
	return compareRefs(slot.ref, best.ref) < 0
}

// unloading reports whether an unload order is in flight.
func (s *Scheduler) unloading() bool {
	for _, slot := range s.adapters {
		if slot.state == slotUnloading {
			return true
		}
	}
	return false
}

// draining reports whether an adapter that is being drained still has running requests.
func (s *Scheduler) draining() bool {
	for _, slot := range s.adapters {
		if slot.draining && slot.running > 0 {
			return true
		}
	}
	return false
}

// drain stops dispatches to an adapter, and unloads the adapter at once if no request
// runs on it.
func (s *Scheduler) drain(slot *adapterSlot) {
	slot.draining = true
	s.queue.Block(slot.ref)
	if slot.running == 0 {
		s.unload(slot)
	}
}

// unload orders the unload of an adapter without running requests.
func (s *Scheduler) unload(slot *adapterSlot) {
	if slot.running != 0 || slot.state != slotReady {
		panic(fmt.Sprintf("owner: unload of adapter %s, which is not ready or has requests running (%d)", slot.ref, slot.running))
	}
	slot.state = slotUnloading
	s.queue.Block(slot.ref)
	s.emit(Unload{Adapter: slot.ref, Epoch: s.perms.Epoch})
}

func (s *Scheduler) orderLoad(now time.Time, ref state.AdapterRef, source string) {
	s.budget.Consume(now)
	s.loadsOrdered++
	s.adapters[ref] = &adapterSlot{ref: ref, state: slotLoading, order: s.loadsOrdered}
	s.emit(Load{Adapter: ref, Order: s.loadsOrdered, Source: source, Epoch: s.perms.Epoch})
}

// preloadCandidate returns the adapter with the most demand among those without a slot.
// It reports whether loading the adapter before a request needs it is worthwhile, which
// is never so while another load is in flight.
func (s *Scheduler) preloadCandidate(now time.Time) (ref state.AdapterRef, source string, worthwhile bool) {
	if s.loadsInFlight() > 0 || !s.perms.MayLoad {
		return ref, "", false
	}
	ref, source, rate := s.demand.Top(now, func(ref state.AdapterRef) bool {
		return s.adapters[ref] == nil && s.backoff.Remaining(now, ref) == 0
	})
	worth := rate * s.opts.EvictHorizon.Seconds()
	if worth < s.opts.PreloadMargin {
		return ref, "", false
	}
	if len(s.adapters) < s.slots {
		return ref, source, true
	}
	_, unused := s.evictionCandidates(now)
	return ref, source, unused != nil && s.demand.Rate(now, unused.ref)*s.opts.PreloadMargin < rate
}

// preload orders a load of the adapter with the most demand if the budget allows it and
// the load is worthwhile. It may evict an adapter first. The caller has found no pending
// load.
func (s *Scheduler) preload(now time.Time) {
	if !s.budget.Admits(now, s.loadsInFlight(), false) {
		return
	}
	ref, source, worthwhile := s.preloadCandidate(now)
	if worthwhile && s.freeSlot(now, s.demand.Rate(now, ref)*s.opts.EvictHorizon.Seconds()/s.opts.PreloadMargin, false) {
		s.orderLoad(now, ref, source)
	}
}

func (s *Scheduler) loadDone(now time.Time, e LoadDone) {
	slot := s.adapters[e.Adapter]
	if slot == nil || slot.state != slotLoading || slot.order != e.Order {
		return
	}
	if !e.Failed && (s.boot == "" || e.Boot == s.boot) {
		slot.state = slotReady
		s.backoff.RecordSuccess(e.Adapter)
		s.queue.Unblock(e.Adapter)
		return
	}
	delete(s.adapters, e.Adapter)
	if !e.Failed {
		// The engine has restarted, and its resident adapters are unknown until its next
		// report. Until then, every load would complete on an unexpected boot and be
		// ordered again without end. An unhealthy upstream gets no orders.
		s.healthy = false
		return
	}
	failures := s.backoff.RecordFailure(now, e.Adapter)
	wait := s.backoff.Remaining(now, e.Adapter)
	for _, it := range s.queue.All() {
		if it.Adapter != e.Adapter {
			continue
		}
		if failures >= s.opts.MaxLoadFailures || now.Add(wait).After(it.Due) {
			s.refuse(it, RefuseLoad, wait)
		}
	}
}

func (s *Scheduler) unloadDone(now time.Time, e UnloadDone) {
	slot := s.adapters[e.Adapter]
	if slot == nil || slot.state != slotUnloading {
		return
	}
	if !e.Failed {
		delete(s.adapters, e.Adapter)
		return
	}
	slot.state = slotReady
	slot.draining = false
	slot.keepUntil = now.Add(unloadBackoff)
	s.queue.Unblock(e.Adapter)
}

// loadKind returns the kind of the load that a request needs.
func (s *Scheduler) loadKind(it *queue.Item) loading.Kind {
	switch {
	case it.Excess:
		return loading.KindExcess
	case s.leastUrgent(it.Class.Rank):
		return loading.KindDeferrable
	}
	return loading.KindUrgent
}

// pendingLoads returns the number of pending loads that are not backed off, their highest
// urgency and their most urgent kind. Urgency is the square of the stall cost, so that it
// grows faster from rank to rank than the stall cost.
func (s *Scheduler) pendingLoads(now time.Time) (loads int, urgency float64, kind loading.Kind) {
	kind = loading.KindExcess
	for _, g := range s.queue.BlockedGroups() {
		if s.adapters[g.Adapter] != nil || s.backoff.Remaining(now, g.Adapter) > 0 {
			continue
		}
		loads++
		highest := 0.0
		for _, it := range g.Items() {
			highest = max(highest, s.stallCost(it.Class.Rank, it.Excess))
			kind = min(kind, s.loadKind(it))
		}
		urgency = max(urgency, highest*highest)
	}
	return loads, urgency, kind
}

// loadStartDelay estimates the time until the load for a request could start, behind the
// pending loads that are at least as urgent.
func (s *Scheduler) loadStartDelay(now time.Time, it *queue.Item) time.Duration {
	own := pendingLoad{excess: it.Excess, rank: it.Class.Rank}
	ahead := 0
	for _, g := range s.queue.BlockedGroups() {
		if s.adapters[g.Adapter] != nil {
			continue
		}
		if l := s.pendingLoadOf(now, g); !own.before(&l) || l.rank == own.rank && l.excess == own.excess {
			ahead++
		}
	}
	return s.budget.StartDelay(ahead)
}
