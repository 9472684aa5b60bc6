package owner

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/coordination/queue"
	"github.com/celerydeck/celerydeck/internal/state"
)

// unloadBackoff is the time after a failed unload in which the adapter is kept.
const unloadBackoff = time.Second

// claim is what speaks for loading an adapter that requests wait for.
type claim struct {
	ref    state.AdapterRef
	excess bool // of the most pressing request, as are rank and due
	rank   state.Rank
	due    time.Time
	value  float64 // cost of letting its requests wait on
	late   float64 // longest wait as a part of the target
}

// before reports whether c goes before o.
func (c *claim) before(o *claim) bool {
	if c.excess != o.excess {
		return o.excess
	}
	if c.rank != o.rank {
		return c.rank < o.rank
	}
	if !c.due.Equal(o.due) {
		return c.due.Before(o.due)
	}
	return compareRefs(c.ref, o.ref) < 0
}

// load starts the loads that the budget and the slots allow.
func (s *Scheduler) load(now time.Time) {
	if !s.auth.MayLoad || s.slots == 0 {
		return
	}
	for {
		best, ok := s.bestClaim(now)
		if !ok {
			s.loadAhead(now)
			return
		}
		if !s.admits(now, &best) {
			return
		}
		if !s.makeRoom(now, best.value, best.late >= s.opts.DrainAfterFraction) {
			return
		}
		s.order(now, best.ref, s.sources[best.ref])
	}
}

// admits reports whether the budget allows a load.
func (s *Scheduler) admits(now time.Time, c *claim) bool {
	return s.budget.Admits(now, s.loading(), c.rank == 0 && !c.excess)
}

func (s *Scheduler) loading() int {
	n := 0
	for _, h := range s.table {
		if h.state == slotLoading {
			n++
		}
	}
	return n
}

// bestClaim returns the most pressing adapter that is not held or backed off.
func (s *Scheduler) bestClaim(now time.Time) (claim, bool) {
	var best claim
	found := false
	for _, g := range s.queue.BlockedGroups() {
		if s.table[g.Adapter] != nil || s.backoff.Remaining(now, g.Adapter) > 0 {
			continue
		}
		c := s.claim(now, g)
		if !found || c.before(&best) {
			best, found = c, true
		}
	}
	return best, found
}

func (s *Scheduler) claim(now time.Time, g *queue.Group) claim {
	best := claim{ref: g.Adapter}
	for i, it := range g.Items() {
		one := claim{ref: g.Adapter, excess: it.Excess, rank: it.Class.Rank, due: it.Due}
		late := now.Sub(it.Arrived).Seconds() / s.target(it.Class.Rank).Seconds()
		one.value = best.value + s.stallWeight(it.Class.Rank, it.Excess)*(1+s.opts.WaitWeight*late)
		one.late = max(best.late, late)
		if i > 0 && best.before(&one) {
			best.value, best.late = one.value, one.late
			continue
		}
		best = one
	}
	return best
}

// makeRoom reports whether a slot is free. When none is, it evicts an idle adapter
// whose demand is worth less than value; force drains a busy one.
func (s *Scheduler) makeRoom(now time.Time, value float64, force bool) bool {
	if len(s.table) < s.slots {
		return true
	}
	if !s.auth.MayUnload || s.unloading() {
		return false
	}
	busy, victim := s.victim(now)
	if victim != nil && (force || s.demand.Rate(now, victim.ref)*s.opts.EvictHorizon.Seconds() < value) {
		s.unload(victim)
		return false
	}
	if victim == nil && force && busy != nil && !s.draining() {
		s.drain(busy)
	}
	return false
}

// victim returns the adapters with the least demand of all and of those that
// serve nothing. Either may be nil.
func (s *Scheduler) victim(now time.Time) (least, idle *held) {
	var leastRate, idleRate float64
	for _, h := range s.table {
		if h.state != slotReady || now.Before(h.keepUntil) {
			continue
		}
		rate := s.demand.Rate(now, h.ref)
		unused := h.running == 0 && (s.queue.Waiting(h.ref) == 0 || h.draining)
		if unused && lower(h, rate, idle, idleRate) {
			idle, idleRate = h, rate
		}
		if lower(h, rate, least, leastRate) {
			least, leastRate = h, rate
		}
	}
	return least, idle
}

func lower(h *held, rate float64, than *held, thanRate float64) bool {
	if than == nil || rate != thanRate {
		return than == nil || rate < thanRate
	}
	return compareRefs(h.ref, than.ref) < 0
}

// unloading reports whether an adapter is being unloaded.
func (s *Scheduler) unloading() bool {
	for _, h := range s.table {
		if h.state == slotUnloading {
			return true
		}
	}
	return false
}

// draining reports whether a busy adapter is being drained.
func (s *Scheduler) draining() bool {
	for _, h := range s.table {
		if h.draining && h.running > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) drain(h *held) {
	h.draining = true
	s.queue.Block(h.ref)
	if h.running == 0 {
		s.unload(h)
	}
}

func (s *Scheduler) unload(h *held) {
	if h.running != 0 || h.state != slotReady {
		panic(fmt.Sprintf("owner: unload of adapter %s with %d requests running", h.ref, h.running))
	}
	h.state = slotUnloading
	s.queue.Block(h.ref)
	s.do(Unload{Adapter: h.ref, Epoch: s.auth.Epoch})
}

func (s *Scheduler) order(now time.Time, ref state.AdapterRef, source string) {
	s.budget.Consume(now)
	s.orders++
	s.table[ref] = &held{ref: ref, state: slotLoading, order: s.orders}
	s.do(Load{Adapter: ref, Order: s.orders, Source: source, Epoch: s.auth.Epoch})
}

// ahead returns the adapter with the most demand that is not held, when loading it
// before a request asks for it would pay.
func (s *Scheduler) ahead(now time.Time) (ref state.AdapterRef, source string, pays bool) {
	if s.loading() > 0 || !s.auth.MayLoad {
		return ref, "", false
	}
	ref, source, rate := s.demand.Top(now, func(ref state.AdapterRef) bool {
		return s.table[ref] == nil && s.backoff.Remaining(now, ref) == 0
	})
	worth := rate * s.opts.EvictHorizon.Seconds()
	if worth < s.opts.PreloadMargin {
		return ref, "", false
	}
	if len(s.table) < s.slots {
		return ref, source, true
	}
	_, least := s.victim(now)
	return ref, source, least != nil && s.demand.Rate(now, least.ref)*s.opts.PreloadMargin < rate
}

// loadAhead loads an adapter when no request waits for one.
func (s *Scheduler) loadAhead(now time.Time) {
	if !s.budget.Admits(now, s.loading(), false) {
		return
	}
	ref, source, pays := s.ahead(now)
	if pays && s.makeRoom(now, s.demand.Rate(now, ref)*s.opts.EvictHorizon.Seconds()/s.opts.PreloadMargin, false) {
		s.order(now, ref, source)
	}
}

func (s *Scheduler) loadDone(now time.Time, e LoadDone) {
	h := s.table[e.Adapter]
	if h == nil || h.state != slotLoading || h.order != e.Order {
		return
	}
	if !e.Failed && (s.boot == "" || e.Boot == s.boot) {
		h.state = slotReady
		s.backoff.RecordSuccess(e.Adapter)
		s.queue.Unblock(e.Adapter)
		return
	}
	delete(s.table, e.Adapter)
	if !e.Failed {
		// The engine has restarted. What it holds is known with its next report;
		// until then an order would be answered at once and repeated without end.
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
	h := s.table[e.Adapter]
	if h == nil || h.state != slotUnloading {
		return
	}
	if !e.Failed {
		delete(s.table, e.Adapter)
		return
	}
	h.state = slotReady
	h.draining = false
	h.keepUntil = now.Add(unloadBackoff)
	s.queue.Unblock(e.Adapter)
}

func (s *Scheduler) loadKind(it *queue.Item) loading.Kind {
	switch {
	case it.Excess:
		return loading.KindExcess
	case s.leastUrgent(it.Class.Rank):
		return loading.KindDeferrable
	}
	return loading.KindUrgent
}

// loadDemand returns the number of loads that have not started, and the urgency of
// the most pressing, and its kind. Urgency grows faster with the rank than the cost of a stall.
func (s *Scheduler) loadDemand(now time.Time) (loads int, urgency float64, kind loading.Kind) {
	kind = loading.KindExcess
	for _, g := range s.queue.BlockedGroups() {
		if s.table[g.Adapter] != nil || s.backoff.Remaining(now, g.Adapter) > 0 {
			continue
		}
		loads++
		most := 0.0
		for _, it := range g.Items() {
			most = max(most, s.stallWeight(it.Class.Rank, it.Excess))
			kind = min(kind, s.loadKind(it))
		}
		urgency = max(urgency, most*most)
	}
	return loads, urgency, kind
}

// expectedLoad returns the wait for a further load behind those that are at least
// as urgent.
func (s *Scheduler) expectedLoad(now time.Time, it *queue.Item) time.Duration {
	mine := claim{excess: it.Excess, rank: it.Class.Rank}
	ahead := 0
	for _, g := range s.queue.BlockedGroups() {
		if s.table[g.Adapter] != nil {
			continue
		}
		if c := s.claim(now, g); !mine.before(&c) || c.rank == mine.rank && c.excess == mine.excess {
			ahead++
		}
	}
	return s.budget.StartDelay(ahead)
}
