package owner

import (
	"math"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/queue"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	refusedRetryAfter = time.Second
	leastRun          = 20 * time.Millisecond // shortest time to a first token
)

func (s *Scheduler) enqueue(now time.Time, r Request) {
	it := &queue.Item{
		ID:       r.ID,
		Class:    r.Class,
		Adapter:  r.Adapter,
		Arrived:  now,
		Due:      now.Add(s.target(r.Class.Rank)),
		Deadline: r.Deadline,
		Excess:   r.Excess,
		Alone:    r.Alone,
	}
	if it.Deadline.Before(it.Due) {
		it.Due = it.Deadline
	}
	if reason, after := s.admit(now, it); reason != "" {
		s.do(Refuse{ID: r.ID, Reason: reason, RetryAfter: after})
		return
	}
	if !r.Adapter.IsZero() {
		s.note(now, r)
	}
	s.queue.Add(it, s.usable(r.Adapter))
}

// note records the demand for the adapter of a request.
func (s *Scheduler) note(now time.Time, r Request) {
	s.demand.Add(now, r.Adapter, r.Source, s.stallWeight(r.Class.Rank, r.Excess))
	s.sources[r.Adapter] = r.Source
}

// admit decides whether a request may wait. It returns why not otherwise.
func (s *Scheduler) admit(now time.Time, it *queue.Item) (RefuseReason, time.Duration) {
	switch {
	case s.leaving:
		return RefuseLeaving, 0
	case !s.auth.MayDispatch:
		return RefuseNoOwner, 0
	case s.queue.Len() >= s.opts.MaxQueue:
		return RefuseOverload, refusedRetryAfter
	}
	if !it.Adapter.IsZero() && s.table[it.Adapter] == nil {
		if wait := s.backoff.Remaining(now, it.Adapter); now.Add(wait).After(it.Due) {
			return RefuseLoad, wait
		}
		if wait := s.expectedLoad(now, it); s.queue.Waiting(it.Adapter) == 0 && wait > s.loadLimit(now, it) {
			return s.overload(it), wait
		}
	}
	wait := s.expectedWait(now, it)
	if now.Add(wait + leastRun).After(it.Deadline) {
		return RefuseDeadline, wait
	}
	if wait > s.backlogLimit(it) {
		return s.overload(it), wait
	}
	return "", 0
}

// overload returns the reason to refuse a request for which too many wait. One
// beyond the usual rate of its class is not worth a load elsewhere.
func (s *Scheduler) overload(it *queue.Item) RefuseReason {
	if it.Excess {
		return RefuseOverload
	}
	return RefuseBusy
}

// backlogLimit returns the wait for batch slots that a request may face.
func (s *Scheduler) backlogLimit(it *queue.Item) time.Duration {
	target := s.target(it.Class.Rank)
	if it.Excess {
		return min(s.opts.ExcessBacklog, target)
	}
	return min(target, max(s.opts.ExcessBacklog, time.Duration(s.opts.BacklogFraction*float64(target))))
}

// loadLimit returns the wait for a load that a request may face.
func (s *Scheduler) loadLimit(now time.Time, it *queue.Item) time.Duration {
	if !it.Excess && !s.leastUrgent(it.Class.Rank) {
		return it.Deadline.Sub(now)
	}
	return s.backlogLimit(it)
}

// leastUrgent reports whether a rank is the last of several.
func (s *Scheduler) leastUrgent(rank state.Rank) bool {
	return len(s.ranks) > 1 && int(rank) >= len(s.ranks)-1
}

// contended reports whether requests wait for batch slots.
func (s *Scheduler) contended() bool { return s.queue.RunnableLen() > s.opts.ContentionQueue }

// expectedWait returns the wait behind the runnable requests of the same rank, at
// the rate at which the rank is served at present.
func (s *Scheduler) expectedWait(now time.Time, it *queue.Item) time.Duration {
	rank := it.Class.Rank
	ahead := s.queue.Runnable(rank, false)
	_, slots := s.meter.Usage(now, rank)
	slots = max(slots, s.batch/2)
	if it.Excess {
		ahead += s.queue.Runnable(rank, true)
		slots = s.excess
	}
	if ahead == 0 {
		return 0
	}
	return s.pace(rank).StartDelay(ahead, slots)
}

// expire refuses requests whose first token cannot come before the deadline, and
// those beyond the usual rate of their class that wait too long.
func (s *Scheduler) expire(now time.Time) {
	for _, it := range s.queue.All() {
		late := now.After(it.Due) || s.contended() && now.Sub(it.Arrived) > s.backlogLimit(it)
		switch {
		case !now.Add(leastRun).Before(it.Deadline):
			s.refuse(it, RefuseDeadline, refusedRetryAfter)
		case it.Excess && late:
			s.refuse(it, RefuseOverload, refusedRetryAfter)
		}
	}
}

// usable reports whether requests for an adapter can be dispatched.
func (s *Scheduler) usable(ref state.AdapterRef) bool {
	if ref.IsZero() {
		return true
	}
	h := s.table[ref]
	return h != nil && h.state == slotReady && !h.draining
}

func (s *Scheduler) schedule(now time.Time) {
	if !s.healthy || !s.auth.MayDispatch {
		return
	}
	s.dispatch(now)
	s.load(now)
}

// dispatch fills the batch.
func (s *Scheduler) dispatch(now time.Time) {
	may := func(it *queue.Item) bool { return s.mayRun(now, it) }
	for len(s.running) < s.batch && !s.alone {
		it := s.queue.Next(may)
		if it == nil || it.Alone && len(s.running) > 0 {
			break // what must run alone holds back the rest until the batch is empty
		}
		s.start(now, it)
	}
}

// level returns the position of a request in the order of urgency, in which
// requests beyond the usual rate of their class come last.
func (s *Scheduler) level(it *queue.Item) int {
	if it.Excess {
		return len(s.ranks)
	}
	return int(it.Class.Rank)
}

// mayRun reports whether a request leaves the slots that other work is likely to
// need before this request ends.
func (s *Scheduler) mayRun(now time.Time, it *queue.Item) bool {
	if len(s.running) > 0 && len(s.running)+1+s.keep(now, it) > s.batch {
		return false
	}
	if it.Adapter.IsZero() || s.table[it.Adapter].running > 0 {
		return true
	}
	target := s.target(it.Class.Rank).Seconds()
	if !it.Excess && now.Sub(it.Arrived).Seconds() > s.opts.SlotReserveFraction*target {
		return true
	}
	return s.serving(it.Excess) < max((s.slots+1)/2, s.slots-s.level(it)*s.opts.ReservedSlotsPerRank)
}

// keep returns the batch slots that a request leaves free: those that more urgent
// ranks usually use, and with some certainty at their peaks, and do not use now. A
// request beyond the usual rate of its class leaves them free for all ranks. When
// the running requests end often against the target of the other rank, less is left
// free, because the other can wait for the next end.
func (s *Scheduler) keep(now time.Time, it *queue.Item) int {
	rank := it.Class.Rank
	runs := s.pace(rank).Mean().Seconds() / float64(s.batch)
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
		part := min(1, s.opts.ReleaseMargin*runs/s.target(other).Seconds())
		free += max(0, peak*part-float64(running))
	}
	return int(math.Round(free))
}

// serving returns the number of adapters that serve requests and so cannot make
// room for others. Those that serve only excess requests count when excess is set.
func (s *Scheduler) serving(excess bool) int {
	n := 0
	for _, h := range s.table {
		if h.running > h.excess || excess && h.running > 0 {
			n++
		}
	}
	return n
}

func (s *Scheduler) start(now time.Time, it *queue.Item) {
	s.queue.Remove(it)
	r := &run{class: it.Class, excess: it.Excess, started: now}
	s.alone = it.Alone
	if !it.Adapter.IsZero() {
		r.held = s.table[it.Adapter]
		if r.held == nil || r.held.state != slotReady {
			panic("owner: dispatch to an adapter that is not loaded: " + it.Adapter.String())
		}
		r.held.running++
		if s.queue.Waiting(it.Adapter) == 0 {
			delete(s.sources, it.Adapter)
		}
	}
	s.running[it.ID] = r
	if it.Excess {
		s.excess++
		if r.held != nil {
			r.held.excess++
		}
	} else {
		s.meter.Start(now, it.Class.Rank)
	}
	s.do(Dispatch{ID: it.ID})
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
