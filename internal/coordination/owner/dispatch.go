package owner

import (
	"math"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/queue"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	retryAfterRefusal = time.Second
	minFirstTokenTime = 20 * time.Millisecond // least time from the dispatch to the first token
)

func (s *Scheduler) enqueue(now time.Time, r Request) {
	it := &queue.Item{
		ID:       r.ID,
		Class:    r.Class,
		Adapter:  r.Adapter,
		Arrived:  now,
		Due:      now.Add(s.firstTokenTarget(r.Class.Rank)),
		Deadline: r.Deadline,
		Excess:   r.Excess,
		Alone:    r.Alone,
	}
	if it.Deadline.Before(it.Due) {
		it.Due = it.Deadline
	}
	if reason, after := s.admit(now, it); reason != "" {
		s.emit(Refuse{ID: r.ID, Reason: reason, RetryAfter: after})
		return
	}
	if !r.Adapter.IsZero() {
		s.recordDemand(now, r)
	}
	s.queue.Add(it, s.usable(r.Adapter))
}

// recordDemand adds a request to the demand for its adapter, and stores where the
// adapter is fetched from.
func (s *Scheduler) recordDemand(now time.Time, r Request) {
	s.demand.Add(now, r.Adapter, r.Source, s.stallCost(r.Class.Rank, r.Excess))
	s.sources[r.Adapter] = r.Source
}

// admit decides whether a request is queued. For a refused request it returns the
// reason and the time after which a retry may succeed.
func (s *Scheduler) admit(now time.Time, it *queue.Item) (RefuseReason, time.Duration) {
	switch {
	case s.leaving:
		return RefuseLeaving, 0
	case !s.perms.MayDispatch:
		return RefuseNoOwner, 0
	case s.queue.Len() >= s.opts.MaxQueue:
		return RefuseOverload, retryAfterRefusal
	}
	if !it.Adapter.IsZero() && s.adapters[it.Adapter] == nil {
		if wait := s.backoff.Remaining(now, it.Adapter); now.Add(wait).After(it.Due) {
			return RefuseLoad, wait
		}
		if wait := s.loadStartDelay(now, it); s.queue.Waiting(it.Adapter) == 0 && wait > s.loadLimit(now, it) {
			return s.overloadReason(it), wait
		}
	}
	wait := s.batchStartDelay(now, it)
	if now.Add(wait + minFirstTokenTime).After(it.Deadline) {
		return RefuseDeadline, wait
	}
	if wait > s.backlogLimit(it) {
		return s.overloadReason(it), wait
	}
	return "", 0
}

// overloadReason returns the reason to refuse a request in overload. A request
// beyond the usual rate of its class is not worth a load at another engine.
func (s *Scheduler) overloadReason(it *queue.Item) RefuseReason {
	if it.Excess {
		return RefuseOverload
	}
	return RefuseBusy
}

// backlogLimit returns the longest wait for a batch slot with which a request is still
// accepted.
func (s *Scheduler) backlogLimit(it *queue.Item) time.Duration {
	target := s.firstTokenTarget(it.Class.Rank)
	if it.Excess {
		return min(s.opts.ExcessBacklog, target)
	}
	return min(target, max(s.opts.ExcessBacklog, time.Duration(s.opts.BacklogFraction*float64(target))))
}

// loadLimit returns the longest wait for the start of its adapter's load with which a
// request is still accepted. The limit is backlogLimit for excess requests and for the
// least urgent rank, and the deadline for other requests.
func (s *Scheduler) loadLimit(now time.Time, it *queue.Item) time.Duration {
	if !it.Excess && !s.leastUrgent(it.Class.Rank) {
		return it.Deadline.Sub(now)
	}
	return s.backlogLimit(it)
}

// leastUrgent reports whether a rank is the least urgent of several ranks.
func (s *Scheduler) leastUrgent(rank state.Rank) bool {
	return len(s.ranks) > 1 && int(rank) >= len(s.ranks)-1
}

// contended reports whether more than ContentionQueue requests wait for batch slots.
func (s *Scheduler) contended() bool { return s.queue.RunnableLen() > s.opts.ContentionQueue }

// batchStartDelay estimates the time until a request gets a batch slot, behind the runnable
// requests of the same rank. It assumes that the rank keeps the batch slots that it uses
// now, or half of the batch if that is more.
func (s *Scheduler) batchStartDelay(now time.Time, it *queue.Item) time.Duration {
	rank := it.Class.Rank
	ahead := s.queue.Runnable(rank, false)
	_, slots := s.meter.Usage(now, rank)
	slots = max(slots, s.batch/2)
	if it.Excess {
		ahead += s.queue.Runnable(rank, true)
		slots = s.excessRunning
	}
	if ahead == 0 {
		return 0
	}
	return s.serviceTime(rank).StartDelay(ahead, slots)
}

// expire refuses queued requests whose first token can no longer arrive before the
// deadline. It also refuses requests beyond the usual rate of their class that are
// overdue, or that have waited longer than backlogLimit while the batch is contended.
func (s *Scheduler) expire(now time.Time) {
	for _, it := range s.queue.All() {
		overdue := now.After(it.Due) || s.contended() && now.Sub(it.Arrived) > s.backlogLimit(it)
		switch {
		case !now.Add(minFirstTokenTime).Before(it.Deadline):
			s.refuse(it, RefuseDeadline, retryAfterRefusal)
		case it.Excess && overdue:
			s.refuse(it, RefuseOverload, retryAfterRefusal)
		}
	}
}

// usable reports whether requests for an adapter can be dispatched: the adapter is
// resident and not being drained. Requests without an adapter can always be dispatched.
func (s *Scheduler) usable(ref state.AdapterRef) bool {
	if ref.IsZero() {
		return true
	}
	slot := s.adapters[ref]
	return slot != nil && slot.state == slotReady && !slot.draining
}

// schedule dispatches queued requests and orders loads and evictions, if the upstream is
// healthy and this daemon may dispatch.
func (s *Scheduler) schedule(now time.Time) {
	if !s.healthy || !s.perms.MayDispatch {
		return
	}
	s.dispatch(now)
	s.load(now)
}

// dispatch fills the batch with the most urgent requests.
func (s *Scheduler) dispatch(now time.Time) {
	allowed := func(it *queue.Item) bool { return s.mayRun(now, it) }
	for len(s.running) < s.batch && !s.exclusiveRunning {
		it := s.queue.Next(allowed)
		if it == nil || it.Alone && len(s.running) > 0 {
			break // a request that must run alone blocks dispatch until the batch is empty
		}
		s.start(now, it)
	}
}

// priorityLevel returns 0 for the most urgent rank and a higher number for each less
// urgent one. Requests beyond the usual rate of their class come after all ranks.
func (s *Scheduler) priorityLevel(it *queue.Item) int {
	if it.Excess {
		return len(s.ranks)
	}
	return int(it.Class.Rank)
}

// mayRun reports whether a request may start now. Enough batch and adapter slots must
// stay free for the requests of other ranks that are likely to arrive before the request
// ends.
func (s *Scheduler) mayRun(now time.Time, it *queue.Item) bool {
	if len(s.running) > 0 && len(s.running)+1+s.reservedBatch(now, it) > s.batch {
		return false
	}
	if it.Adapter.IsZero() || s.adapters[it.Adapter].running > 0 {
		return true
	}
	target := s.firstTokenTarget(it.Class.Rank).Seconds()
	if !it.Excess && now.Sub(it.Arrived).Seconds() > s.opts.SlotReserveFraction*target {
		return true
	}
	return s.adaptersInUse(it.Excess) < max((s.slots+1)/2, s.slots-s.priorityLevel(it)*s.opts.ReservedSlotsPerRank)
}

// reservedBatch returns the number of batch slots that must stay free when a request
// starts. For every more urgent rank, the reservation is the rank's usual use plus
// PeakStdDevs standard deviations, less the slots that the rank uses now. A request
// beyond the usual rate of its class leaves slots for all ranks.
//
// The reservation is smaller for a rank whose first-token target is much longer than the
// time between two ends of requests, because requests of that rank can wait for the next
// free slot.
func (s *Scheduler) reservedBatch(now time.Time, it *queue.Item) int {
	rank := it.Class.Rank
	endInterval := s.serviceTime(rank).Mean().Seconds() / float64(s.batch)
	free := 0.0
	for r := range s.ranks {
		other := state.Rank(r)
		if other >= rank && !it.Excess {
			break
		}
		usual, running := s.meter.Usage(now, other)
		peak := usual + s.opts.PeakStdDevs*math.Sqrt(usual)
		if other < rank {
			peak = max(peak, s.opts.MinReservedBatch)
		}
		fraction := min(1, s.opts.ReleaseMargin*endInterval/s.firstTokenTarget(other).Seconds())
		free += max(0, peak*fraction-float64(running))
	}
	return int(math.Round(free))
}

// adaptersInUse returns the number of adapters with running requests, which cannot be
// evicted. Adapters on which only excess requests run are counted if excess is true.
func (s *Scheduler) adaptersInUse(excess bool) int {
	n := 0
	for _, slot := range s.adapters {
		if slot.running > slot.excess || excess && slot.running > 0 {
			n++
		}
	}
	return n
}

// start moves a request from the queue to the running requests and emits its Dispatch.
func (s *Scheduler) start(now time.Time, it *queue.Item) {
	s.queue.Remove(it)
	r := &run{class: it.Class, excess: it.Excess, started: now}
	s.exclusiveRunning = it.Alone
	if !it.Adapter.IsZero() {
		r.slot = s.adapters[it.Adapter]
		if r.slot == nil || r.slot.state != slotReady {
			panic("owner: dispatch to an adapter that is not resident: " + it.Adapter.String())
		}
		r.slot.running++
		if s.queue.Waiting(it.Adapter) == 0 {
			delete(s.sources, it.Adapter)
		}
	}
	s.running[it.ID] = r
	if it.Excess {
		s.excessRunning++
		if r.slot != nil {
			r.slot.excess++
		}
	} else {
		s.meter.Start(now, it.Class.Rank)
	}
	s.emit(Dispatch{ID: it.ID})
}

func compareRefs(a, b state.AdapterRef) int {
	if c := strings.Compare(a.Adapter, b.Adapter); c != 0 {
		return c
	}
	if c := strings.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return strings.Compare(string(a.Service), string(b.Service))
}
