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
	weight := s.weight(r.Class.Rank)
	if !s.meter.Within(now, r.Class) {
		weight *= s.opts.FloodWeight
	}
	s.demand.Add(now, r.Adapter, r.Source, weight)
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
		if wait := s.backoff.Wait(now, it.Adapter); now.Add(wait).After(it.Due) {
			return RefuseLoad, wait
		}
		if wait := s.expectedLoad(now, it.Class); s.queue.Waiting(it.Adapter) == 0 && wait > s.backlogLimit(now, it.Class) {
			return RefuseOverload, wait
		}
	}
	wait := s.expectedWait(now, it.Class)
	if now.Add(wait + leastRun).After(it.Deadline) {
		return RefuseDeadline, wait
	}
	if wait > s.backlogLimit(now, it.Class) {
		return RefuseOverload, wait
	}
	return "", 0
}

// backlogLimit returns the wait for batch slots that a class may build up.
func (s *Scheduler) backlogLimit(now time.Time, class state.Class) time.Duration {
	target := s.target(class.Rank)
	if !s.meter.Within(now, class) {
		return min(s.opts.FloodBacklog, target)
	}
	return min(target, max(s.opts.FloodBacklog, time.Duration(s.opts.BacklogPart*float64(target))))
}

// contended reports whether requests wait for batch slots.
func (s *Scheduler) contended() bool { return s.queue.RunnableLen() > s.opts.OverloadQueue }

// expectedWait returns the wait behind the runnable requests of the same rank, at
// the rate at which the rank is served at present.
func (s *Scheduler) expectedWait(now time.Time, class state.Class) time.Duration {
	ahead := s.queue.RunnableRank(class.Rank)
	if ahead == 0 {
		return 0
	}
	_, slots := s.meter.RankUse(now, class.Rank)
	if s.meter.Within(now, class) {
		slots = max(slots, s.batch/2)
	}
	return s.pace(class.Rank).Wait(ahead, slots)
}

// expire refuses requests whose first token cannot come before the deadline, and
// those of a flood that wait too long.
func (s *Scheduler) expire(now time.Time) {
	for _, it := range s.queue.All() {
		switch {
		case !now.Add(leastRun).Before(it.Deadline):
			s.refuse(it, RefuseDeadline, refusedRetryAfter)
		case !s.meter.Within(now, it.Class) && s.contended() && now.Sub(it.Arrived) > s.backlogLimit(now, it.Class):
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
	standing := func(c state.Class) queue.Standing { return s.standing(now, c) }
	may := func(it *queue.Item) bool { return s.mayRun(now, it, s.level(now, it.Class)) }
	for len(s.running) < s.batch && !s.alone {
		it := s.queue.Next(standing, may)
		if it == nil || it.Alone && len(s.running) > 0 {
			break // what must run alone holds back the rest until the batch is empty
		}
		s.start(now, it)
	}
	s.meter.SetOverloaded(now, s.queue.RunnableLen() > s.opts.OverloadQueue)
}

func (s *Scheduler) standing(now time.Time, class state.Class) queue.Standing {
	switch {
	case s.meter.ClassWithin(now, class):
		return queue.StandingFair
	case s.meter.RankWithin(now, class.Rank):
		return queue.StandingRank
	}
	return queue.StandingFlood
}

// level returns the rank of work within its class's entitlement, and the number
// of ranks for work beyond it.
func (s *Scheduler) level(now time.Time, class state.Class) int {
	s.grow(int(class.Rank) + 1)
	if s.meter.Within(now, class) {
		return int(class.Rank)
	}
	return s.floodLevel()
}

func (s *Scheduler) floodLevel() int { return len(s.active) - 1 }

// mayRun reports whether a request leaves the slots that other work is likely to
// need before this request ends.
func (s *Scheduler) mayRun(now time.Time, it *queue.Item, level int) bool {
	if len(s.running) > 0 && len(s.running)+1+s.keep(now, it.Class.Rank) > s.batch {
		return false
	}
	if it.Adapter.IsZero() || s.table[it.Adapter].running > 0 {
		return true
	}
	return s.pinned(level) < max((s.slots+1)/2, s.slots-level*s.opts.ReservedSlots)
}

// keep returns the batch slots that a request of a rank leaves free: those that
// more urgent ranks usually use, and with some certainty at their peaks, and do not
// use now. A rank beyond its entitlement leaves them free for all others. When the
// running requests end often against the target of the other rank, less is left
// free, because the other can wait for the next end.
func (s *Scheduler) keep(now time.Time, rank state.Rank) int {
	flood := !s.meter.RankWithin(now, rank)
	runs := s.pace(rank).Duration().Seconds()
	free := 0.0
	for r := range s.ranks {
		other := state.Rank(r)
		if other == rank || other > rank && !flood || !s.meter.RankWithin(now, other) {
			continue
		}
		usual, running := s.meter.RankUse(now, other)
		peak := usual + s.opts.PeakSigma*math.Sqrt(usual)
		if other < rank {
			peak = max(peak, s.opts.ReservedBatch)
		}
		part := min(1, s.opts.ReleaseMargin*runs/float64(s.batch)/s.target(other).Seconds())
		free += max(0, peak*part-float64(running))
	}
	return int(math.Round(free))
}

// pinned returns the number of adapters that serve work of a level or below, but
// none that is more urgent.
func (s *Scheduler) pinned(level int) int {
	n := 0
	for _, h := range s.table {
		if h.running > 0 && h.lowest(level, s.floodLevel()) {
			n++
		}
	}
	return n
}

// lowest reports whether all running requests are of a level or below. Those of
// the flood level count for that level only.
func (h *held) lowest(level, flood int) bool {
	if level == flood {
		return true
	}
	within := 0
	for l, n := range h.active {
		switch {
		case n > 0 && l < level:
			return false
		case l < flood:
			within += n
		}
	}
	return within > 0
}

func (s *Scheduler) start(now time.Time, it *queue.Item) {
	s.queue.Remove(it)
	r := &run{class: it.Class, level: s.level(now, it.Class), started: now}
	s.alone = it.Alone
	if !it.Adapter.IsZero() {
		r.held = s.table[it.Adapter]
		if r.held == nil || r.held.state != slotReady {
			panic("owner: dispatch to an adapter that is not loaded: " + it.Adapter.String())
		}
		r.held.start(r.level)
		if s.queue.Waiting(it.Adapter) == 0 {
			delete(s.sources, it.Adapter)
		}
	}
	s.running[it.ID] = r
	s.active[r.level]++
	s.meter.Start(now, it.Class)
	s.do(Dispatch{ID: it.ID})
}

func (h *held) start(level int) {
	h.running++
	for len(h.active) <= level {
		h.active = append(h.active, 0)
	}
	h.active[level]++
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
