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

// Scheduler is the core of the daemon. It serves work within its class's
// entitlement first, by rank and due time, loads and evicts adapters by demand,
// and refuses early what cannot be served in time.
//
// Invariant: an adapter with requests dispatched and not ended is never unloaded.
type Scheduler struct {
	opts    Options
	auth    Permissions
	boot    state.BootID
	slots   int
	batch   int
	healthy bool
	leaving bool
	ranks   []state.RankInfo
	weights []float64 // cost of a stall, by rank

	queue   *queue.Queue
	running map[string]*run
	table   map[state.AdapterRef]*held
	excess  int  // running requests beyond the usual rate of their class
	alone   bool // a request that must run alone is running
	orders  uint64

	meter   *admission.Meter
	paces   []admission.ServiceTime // by rank
	demand  *loading.DemandTracker
	budget  loading.Budget
	backoff *loading.Backoff
	sources map[state.AdapterRef]string // of waiting requests
	actions []Action
	now     time.Time // of the last event
}

// run is a dispatched request.
type run struct {
	class   state.Class
	excess  bool
	held    *held // nil for plain services
	started time.Time
}

// held is an adapter that takes a slot of the engine.
type held struct {
	ref       state.AdapterRef
	state     slotState
	order     uint64
	running   int
	excess    int       // running requests beyond the usual rate of their class
	keepUntil time.Time // the last unload failed
	draining  bool      // takes no new requests, so that it can be evicted
}

// NewScheduler returns a core that waits for its first report and authority.
func NewScheduler(opts Options) *Scheduler {
	return &Scheduler{
		opts:    opts,
		batch:   plainBatch,
		queue:   queue.New(),
		running: make(map[string]*run),
		table:   make(map[state.AdapterRef]*held),
		meter:   admission.NewMeter(opts.UsageTimeConstant),
		demand:  loading.NewDemandTracker(opts.DemandTimeConstant),
		backoff: loading.NewBackoff(),
		sources: make(map[state.AdapterRef]string),
	}
}

// Handle implements Core. The result is valid until the next call.
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
		s.authority(e)
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

func (s *Scheduler) do(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) refuse(it *queue.Item, reason RefuseReason, retryAfter time.Duration) {
	s.queue.Remove(it)
	if s.queue.Waiting(it.Adapter) == 0 {
		delete(s.sources, it.Adapter)
	}
	s.do(Refuse{ID: it.ID, Reason: reason, RetryAfter: retryAfter})
}

func (s *Scheduler) refuseAll(reason RefuseReason) {
	for _, it := range s.queue.All() {
		s.refuse(it, reason, 0)
	}
}

func (s *Scheduler) authority(a Permissions) {
	s.auth = a
	if !a.MayDispatch {
		s.refuseAll(RefuseNoOwner)
	}
}

func (s *Scheduler) setRanks(ranks []state.RankInfo) {
	s.ranks = ranks
	s.weights = s.weights[:0]
	least := math.Inf(1)
	for _, r := range ranks {
		least = min(least, r.Worth)
	}
	for _, r := range ranks {
		weight := 1.0
		if least > 0 {
			weight += math.Log10(r.Worth / least)
		}
		s.weights = append(s.weights, weight)
	}
}

func (s *Scheduler) weight(r state.Rank) float64 {
	if int(r) < len(s.weights) {
		return s.weights[r]
	}
	return 1
}

// stallWeight returns what a stall of a request costs.
func (s *Scheduler) stallWeight(rank state.Rank, excess bool) float64 {
	if excess {
		return s.weight(rank) * s.opts.ExcessWeight
	}
	return s.weight(rank)
}

// target returns the time to the first token that a rank aims at.
func (s *Scheduler) target(r state.Rank) time.Duration {
	const unknown = time.Second
	if int(r) < len(s.ranks) && s.ranks[r].FirstToken > 0 {
		return s.ranks[r].FirstToken
	}
	return unknown
}

func (s *Scheduler) pace(r state.Rank) *admission.ServiceTime {
	for int(r) >= len(s.paces) {
		s.paces = append(s.paces, admission.ServiceTime{})
	}
	return &s.paces[r]
}

func (s *Scheduler) cancel(id string) {
	if s.running[id] != nil {
		s.do(Abort{ID: id})
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
	s.alone = false
	if r.excess {
		s.excess--
	} else {
		s.meter.End(now, r.class.Rank)
	}
	if !e.Failed {
		s.pace(r.class.Rank).Observe(now.Sub(r.started))
	}
	if r.held == nil {
		return
	}
	r.held.running--
	if r.excess {
		r.held.excess--
	}
	if r.held.running < 0 {
		panic(fmt.Sprintf("owner: more ends than dispatches on adapter %s", r.held.ref))
	}
}

func (s *Scheduler) report(e Report) {
	s.healthy = true
	s.slots, s.batch = e.Slots, e.Batch
	if e.Boot == s.boot {
		return
	}
	s.boot = e.Boot
	// Loads in progress may still reach the new boot: their slots stay taken until
	// they are answered.
	for _, h := range s.sorted() {
		s.queue.Block(h.ref)
		if h.state != slotLoading {
			delete(s.table, h.ref)
		}
	}
	for _, ref := range e.Resident {
		s.table[ref] = &held{ref: ref, state: slotReady}
		s.queue.Unblock(ref)
	}
}

// sorted returns the held adapters in a stable order.
func (s *Scheduler) sorted() []*held {
	all := make([]*held, 0, len(s.table))
	for _, h := range s.table {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *held) int { return compareRefs(a.ref, b.ref) })
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
	st.LoadsStarted = s.orders
	st.PendingLoads, st.LoadUrgency, st.LoadKind = s.loadDemand(s.now)
	_, _, st.PreloadPays = s.ahead(s.now)
	for rank := range s.ranks {
		st.QueuedByRank = append(st.QueuedByRank, s.queue.Runnable(state.Rank(rank), false))
	}
	for _, h := range s.sorted() {
		switch h.state {
		case slotReady:
			if !h.draining {
				st.Resident = append(st.Resident, h.ref)
			}
		case slotLoading:
			st.Loading = append(st.Loading, h.ref)
		}
	}
	return st
}
