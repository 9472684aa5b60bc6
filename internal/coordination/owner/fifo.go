package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	fifoMaxQueue   = 4096
	fifoRetryAfter = time.Second
	defaultBatch   = 64 // assumed batch slots of an upstream without a report
)

// slotState is the state of the adapter in a slot of an engine.
type slotState uint8

const (
	slotLoading slotState = iota
	slotReady
	slotUnloading
)

// fifoSlot is an engine slot that an adapter occupies.
type fifoSlot struct {
	state    slotState
	running  int
	lastUsed time.Time
}

// FIFO is a baseline Core. It dispatches requests by rank and then by arrival, and
// evicts the least recently used adapter without running requests.
//
// Invariant: an adapter with running > 0 is never in slotUnloading.
type FIFO struct {
	perms       Permissions
	boot        state.BootID // of the last Report
	slots       int          // adapter slots of the engine
	batch       int          // requests that the upstream runs at once
	healthy     bool         // a Report has arrived since the last Unreachable event
	leaving     bool         // the upstream is being drained
	queue       []Request
	running     map[string]Request
	adapters    map[state.AdapterRef]*fifoSlot
	ignoreRanks bool
}

// NewRanklessFIFO returns a FIFO that orders requests by arrival alone.
func NewRanklessFIFO() *FIFO {
	f := NewFIFO()
	f.ignoreRanks = true
	return f
}

// NewFIFO returns a FIFO. It dispatches nothing until it has handled a Permissions
// event that allows dispatches and a Report event.
func NewFIFO() *FIFO {
	return &FIFO{
		batch:    defaultBatch,
		running:  make(map[string]Request),
		adapters: make(map[state.AdapterRef]*fifoSlot),
	}
}

// Handle implements Core.
func (f *FIFO) Handle(now time.Time, event Event) []Action {
	var out []Action
	switch e := event.(type) {
	case Enqueue:
		out = f.enqueue(e.Request)
	case Cancel:
		out = f.cancel(e.ID)
	case Ended:
		f.ended(now, e.ID)
	case LoadDone:
		out = f.loadDone(now, e)
	case UnloadDone:
		f.unloadDone(e)
	case Report:
		f.report(now, e)
	case Unreachable:
		f.healthy = false
	case Permissions:
		f.perms = e
		if !e.MayDispatch {
			out = f.refuseAll(RefuseNoOwner)
		}
	case Leaving:
		f.leaving = true
		out = f.refuseAll(RefuseLeaving)
	case LeavingCleared:
		f.leaving = false
	case Tick:
		out = f.expire(now)
	}
	return append(out, f.schedule(now)...)
}

// Status implements Core.
func (f *FIFO) Status() Status {
	s := Status{
		Boot:    f.boot,
		Healthy: f.healthy && !f.leaving,
		Slots:   f.slots,
		Batch:   f.batch,
		Running: len(f.running),
		Queued:  len(f.queue),
	}
	for ref, sl := range f.adapters {
		if sl.state == slotReady {
			s.Resident = append(s.Resident, ref)
		}
	}
	slices.SortFunc(s.Resident, func(a, b state.AdapterRef) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return s
}

func (f *FIFO) enqueue(r Request) []Action {
	switch {
	case f.leaving:
		return []Action{Refuse{ID: r.ID, Reason: RefuseLeaving}}
	case !f.perms.MayDispatch:
		return []Action{Refuse{ID: r.ID, Reason: RefuseNoOwner}}
	case len(f.queue) >= fifoMaxQueue:
		return []Action{Refuse{ID: r.ID, Reason: RefuseOverload, RetryAfter: fifoRetryAfter}}
	}
	at := len(f.queue)
	for !f.ignoreRanks && at > 0 && f.queue[at-1].Class.Rank > r.Class.Rank {
		at--
	}
	f.queue = slices.Insert(f.queue, at, r)
	return nil
}

func (f *FIFO) cancel(id string) []Action {
	if _, ok := f.running[id]; ok {
		return []Action{Abort{ID: id}}
	}
	for i, r := range f.queue {
		if r.ID == id {
			f.queue = slices.Delete(f.queue, i, i+1)
			return []Action{Refuse{ID: id, Reason: RefuseCanceled}}
		}
	}
	return nil
}

func (f *FIFO) ended(now time.Time, id string) {
	r, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	if s := f.adapters[r.Adapter]; s != nil && s.running > 0 {
		s.running--
		s.lastUsed = now
	}
}

func (f *FIFO) loadDone(now time.Time, e LoadDone) []Action {
	s := f.adapters[e.Adapter]
	if s == nil || s.state != slotLoading {
		return nil
	}
	if !e.Failed && (f.boot == "" || e.Boot == f.boot) {
		s.state = slotReady
		s.lastUsed = now
		return nil
	}
	delete(f.adapters, e.Adapter)
	if !e.Failed {
		return nil
	}
	var out []Action
	f.queue = slices.DeleteFunc(f.queue, func(r Request) bool {
		if r.Adapter != e.Adapter {
			return false
		}
		out = append(out, Refuse{ID: r.ID, Reason: RefuseLoad, RetryAfter: fifoRetryAfter})
		return true
	})
	return out
}

func (f *FIFO) unloadDone(e UnloadDone) {
	s := f.adapters[e.Adapter]
	if s == nil || s.state != slotUnloading {
		return
	}
	if e.Failed {
		s.state = slotReady
		return
	}
	delete(f.adapters, e.Adapter)
}

func (f *FIFO) report(now time.Time, e Report) {
	f.healthy = true
	f.slots, f.batch = e.Slots, e.Batch
	if e.Boot == f.boot {
		return
	}
	f.boot = e.Boot
	for ref, s := range f.adapters {
		if s.state != slotLoading {
			delete(f.adapters, ref)
		}
	}
	for _, ref := range e.Resident {
		f.adapters[ref] = &fifoSlot{state: slotReady, lastUsed: now}
	}
}

func (f *FIFO) refuseAll(reason RefuseReason) []Action {
	var out []Action
	for _, r := range f.queue {
		out = append(out, Refuse{ID: r.ID, Reason: reason})
	}
	f.queue = nil
	return out
}

func (f *FIFO) expire(now time.Time) []Action {
	var out []Action
	f.queue = slices.DeleteFunc(f.queue, func(r Request) bool {
		if r.Deadline.After(now) {
			return false
		}
		out = append(out, Refuse{ID: r.ID, Reason: RefuseDeadline})
		return true
	})
	if !f.healthy {
		out = append(out, f.refuseAll(RefuseDown)...)
	}
	return out
}

func (f *FIFO) schedule(now time.Time) []Action {
	var out []Action
	if !f.healthy || !f.perms.MayDispatch {
		return nil
	}
	queued := f.queue[:0]
	blocked := f.exclusiveRunning()
	for _, r := range f.queue {
		if r.Alone && f.ready(r.Adapter) && len(f.running) > 0 {
			blocked = true // later requests must not overtake a request that must run alone
		}
		if !blocked && len(f.running) < f.batch && f.ready(r.Adapter) {
			f.start(now, r)
			blocked = blocked || r.Alone
			out = append(out, Dispatch{ID: r.ID})
			continue
		}
		queued = append(queued, r)
		out = append(out, f.orderLoad(r)...)
	}
	f.queue = queued
	return out
}

// exclusiveRunning reports whether a request that must run alone is running.
func (f *FIFO) exclusiveRunning() bool {
	for _, r := range f.running {
		if r.Alone {
			return true
		}
	}
	return false
}

func (f *FIFO) ready(ref state.AdapterRef) bool {
	if ref.IsZero() {
		return true
	}
	s := f.adapters[ref]
	return s != nil && s.state == slotReady
}

func (f *FIFO) start(now time.Time, r Request) {
	f.running[r.ID] = r
	if s := f.adapters[r.Adapter]; s != nil {
		s.running++
		s.lastUsed = now
	}
}

// orderLoad orders a load of the request's adapter, or an eviction when no slot is
// free.
func (f *FIFO) orderLoad(r Request) []Action {
	if r.Adapter.IsZero() || f.adapters[r.Adapter] != nil || !f.perms.MayLoad {
		return nil
	}
	if len(f.adapters) < f.slots {
		f.adapters[r.Adapter] = &fifoSlot{state: slotLoading}
		return []Action{Load{Adapter: r.Adapter, Source: r.Source, Epoch: f.perms.Epoch}}
	}
	victim, ok := f.evictionCandidate()
	if !ok || !f.perms.MayUnload {
		return nil
	}
	s := f.adapters[victim]
	if s.running != 0 {
		panic(fmt.Sprintf("owner: unload of adapter %s with requests running", victim))
	}
	s.state = slotUnloading
	return []Action{Unload{Adapter: victim, Epoch: f.perms.Epoch}}
}

// evictionCandidate returns the least recently used adapter without running requests.
// It returns none while another unload is in flight.
func (f *FIFO) evictionCandidate() (state.AdapterRef, bool) {
	var victim state.AdapterRef
	var best *fifoSlot
	for ref, s := range f.adapters {
		if s.state == slotUnloading {
			return victim, false
		}
		if s.state != slotReady || s.running > 0 {
			continue
		}
		older := best == nil || s.lastUsed.Before(best.lastUsed)
		tie := best != nil && s.lastUsed.Equal(best.lastUsed) && ref.String() < victim.String()
		if older || tie {
			victim, best = ref, s
		}
	}
	return victim, best != nil
}
