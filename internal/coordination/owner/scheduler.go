package owner

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/coordination/queue"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Scheduler is the Core used in production; FIFO is the baseline for comparison.
// Scheduler dispatches requests within the usual rate of their class first, ordered by
// rank and due time. It loads and evicts adapters by demand, and refuses a request early
// when the request cannot be served in time.
//
// Invariant: an adapter with requests in flight is never unloaded.
type Scheduler struct {
	opts       Options
	perms      Permissions
	boot       state.BootID // of the last Report
	slots      int          // adapter slots of the engine
	batch      int          // requests that the upstream runs at once
	healthy    bool         // the upstream is reachable and its resident adapters are known
	leaving    bool         // the upstream is being drained
	ranks      []state.RankInfo
	stallCosts []float64 // relative cost of a stalled request, by rank

	queue            *queue.Queue
	running          map[string]*run
	adapters         map[state.AdapterRef]*adapterSlot // adapters that are resident, being loaded or being unloaded
	excessRunning    int                               // running requests beyond the usual rate of their class
	exclusiveRunning bool                              // a request that must run alone is running
	loadsOrdered     uint64

	meter        *admission.Meter
	serviceTimes []admission.ServiceTime // by rank
	demand       *loading.DemandTracker
	budget       loading.Budget
	backoff      *loading.Backoff
	sources      map[state.AdapterRef]string // locations of the model weights of adapters with queued requests
	actions      []Action
	now          time.Time // time of the last event
}

// run is a dispatched request.
type run struct {
	class   state.Class
	excess  bool
	slot    *adapterSlot // nil for plain services
	started time.Time
}

// adapterSlot is a slot of the engine with the adapter that occupies it.
type adapterSlot struct {
	ref       state.AdapterRef
	state     slotState
	order     uint64 // Order of the Load action that assigned the slot to the adapter; 0 if none
	running   int
	excess    int       // running requests beyond the usual rate of their class
	keepUntil time.Time // end of the backoff after a failed unload
	draining  bool      // accepts no new requests, so that the adapter can be evicted
}

// NewScheduler returns a Scheduler. It dispatches nothing until it has handled a
// Permissions event that allows dispatches and a Report event.
func NewScheduler(opts Options) *Scheduler {
	return &Scheduler{
		opts:     opts,
		batch:    defaultBatch,
		queue:    queue.New(),
		running:  make(map[string]*run),
		adapters: make(map[state.AdapterRef]*adapterSlot),
		meter:    admission.NewMeter(opts.UsageTimeConstant),
		demand:   loading.NewDemandTracker(opts.DemandTimeConstant),
		backoff:  loading.NewBackoff(),
		sources:  make(map[state.AdapterRef]string),
	}
}

// Handle implements Core. The returned slice is valid until the next call.
func (s *Scheduler) Handle(now time.Time, event Event) []Action {
	s.actions = nil
	s.now = now
	switch e := event.(type) {
	case Enqueue:
		s.enqueue(now, e.Request)
	case Cancel:
		s.cancel(e.ID)
	case Ended:
		s.ended(now, e)
	case LoadDone:
		s.loadDone(now, e)
	case UnloadDone:
		s.unloadDone(now, e)
	case Report:
		s.report(e)
	case Unreachable:
		s.healthy = false
		s.refuseAll(RefuseDown)
	case Permissions:
		s.setPermissions(e)
	case Leaving:
		s.leaving = true
		s.refuseAll(RefuseLeaving)
	case LeavingCleared:
		s.leaving = false
	case StoreBudget:
		s.budget.Set(now, e.Rate, e.Burst, e.InFlight)
		s.budget.SetExpiry(e.Until)
	case Ranks:
		s.setRanks(e.Ranks)
	case Tick:
		s.expire(now)
	}
	s.schedule(now)
	return s.actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) refuse(it *queue.Item, reason RefuseReason, retryAfter time.Duration) {
	s.queue.Remove(it)
	if s.queue.Waiting(it.Adapter) == 0 {
		delete(s.sources, it.Adapter)
	}
	s.emit(Refuse{ID: it.ID, Reason: reason, RetryAfter: retryAfter})
}

func (s *Scheduler) refuseAll(reason RefuseReason) {
	for _, it := range s.queue.All() {
		s.refuse(it, reason, 0)
	}
}

func (s *Scheduler) setPermissions(p Permissions) {
	s.perms = p
	if !p.MayDispatch {
		s.refuseAll(RefuseNoOwner)
	}
}

// setRanks stores the ranks and the relative cost of stalling a request of each rank. The
// cost is 1 for the rank with the least worth and increases by 1 for every factor of ten in
// worth: a request of 100 times the least worth costs 3 times as much, not 100 times.
func (s *Scheduler) setRanks(ranks []state.RankInfo) {
	s.ranks = ranks
	s.stallCosts = s.stallCosts[:0]
	least := math.Inf(1)
	for _, r := range ranks {
		least = min(least, r.Worth)
	}
	for _, r := range ranks {
		weight := 1.0
		if least > 0 {
			weight += math.Log10(r.Worth / least)
		}
		s.stallCosts = append(s.stallCosts, weight)
	}
}

// rankStallCost returns the relative cost of stalling a request of a rank, 1 for an
// unknown rank.
func (s *Scheduler) rankStallCost(r state.Rank) float64 {
	if int(r) < len(s.stallCosts) {
		return s.stallCosts[r]
	}
	return 1
}

// stallCost returns the relative cost of stalling a request. The cost is lower for a
// request beyond the usual rate of its class.
func (s *Scheduler) stallCost(rank state.Rank, excess bool) float64 {
	if excess {
		return s.rankStallCost(rank) * s.opts.ExcessWeight
	}
	return s.rankStallCost(rank)
}

// firstTokenTarget returns the first-token target of a rank, or a default for a rank
// without a target.
func (s *Scheduler) firstTokenTarget(r state.Rank) time.Duration {
	const unknownTarget = time.Second
	if int(r) < len(s.ranks) && s.ranks[r].FirstToken > 0 {
		return s.ranks[r].FirstToken
	}
	return unknownTarget
}

func (s *Scheduler) serviceTime(r state.Rank) *admission.ServiceTime {
	for int(r) >= len(s.serviceTimes) {
		s.serviceTimes = append(s.serviceTimes, admission.ServiceTime{})
	}
	return &s.serviceTimes[r]
}

func (s *Scheduler) cancel(id string) {
	if s.running[id] != nil {
		s.emit(Abort{ID: id})
		return
	}
	if it := s.queue.Get(id); it != nil {
		s.refuse(it, RefuseCanceled, 0)
	}
}

func (s *Scheduler) ended(now time.Time, e Ended) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	delete(s.running, e.ID)
	s.exclusiveRunning = false
	if r.excess {
		s.excessRunning--
	} else {
		s.meter.End(now, r.class.Rank)
	}
	if !e.Failed {
		s.serviceTime(r.class.Rank).Observe(now.Sub(r.started))
	}
	if r.slot == nil {
		return
	}
	r.slot.running--
	if r.excess {
		r.slot.excess--
	}
	if r.slot.running < 0 {
		panic(fmt.Sprintf("owner: more requests ended than were dispatched to adapter %s", r.slot.ref))
	}
}

func (s *Scheduler) report(e Report) {
	s.healthy = true
	s.slots, s.batch = e.Slots, e.Batch
	if e.Boot == s.boot {
		return
	}
	s.boot = e.Boot
	// A load in flight may still take effect on the new boot. Its adapterSlot is kept
	// until the LoadDone event arrives, so that the slot is not assigned twice.
	for _, slot := range s.sortedSlots() {
		s.queue.Block(slot.ref)
		if slot.state != slotLoading {
			delete(s.adapters, slot.ref)
		}
	}
	for _, ref := range e.Resident {
		s.adapters[ref] = &adapterSlot{ref: ref, state: slotReady}
		s.queue.Unblock(ref)
	}
}

// sortedSlots returns the occupied slots ordered by adapter.
func (s *Scheduler) sortedSlots() []*adapterSlot {
	all := make([]*adapterSlot, 0, len(s.adapters))
	for _, slot := range s.adapters {
		all = append(all, slot)
	}
	slices.SortFunc(all, func(a, b *adapterSlot) int { return compareRefs(a.ref, b.ref) })
	return all
}

// Status implements Core.
func (s *Scheduler) Status() Status {
	st := Status{
		Boot:    s.boot,
		Healthy: s.healthy && !s.leaving,
		Slots:   s.slots,
		Batch:   s.batch,
		Running: len(s.running),
		Queued:  s.queue.Len(),
	}
	st.LoadsStarted = s.loadsOrdered
	st.PendingLoads, st.LoadUrgency, st.LoadKind = s.pendingLoads(s.now)
	_, _, st.PreloadWorthwhile = s.preloadCandidate(s.now)
	for rank := range s.ranks {
		st.QueuedByRank = append(st.QueuedByRank, s.queue.Runnable(state.Rank(rank), false))
	}
	for _, slot := range s.sortedSlots() {
		switch slot.state {
		case slotReady:
			if !slot.draining {
				st.Resident = append(st.Resident, slot.ref)
			}
		case slotLoading:
			st.Loading = append(st.Loading, slot.ref)
		}
	}
	return st
}
