package owner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	testSlots = 3
	testBatch = 4
)

var testRanks = []state.RankInfo{
	{Rank: 0, Name: "urgent", FirstToken: time.Second, Worth: 100, Share: 0.3},
	{Rank: 1, Name: "desk", FirstToken: 3 * time.Second, Worth: 10, Share: 0.4},
	{Rank: 2, Name: "summary", FirstToken: time.Minute, Worth: 1, Share: 0.3},
}

// rig is a Scheduler with a model of its engine. The model checks every action.
type rig struct {
	t        rapid.TB
	core     *Scheduler
	now      time.Time
	boot     int
	queued   map[string]state.AdapterRef
	running  map[string]state.AdapterRef
	lost     map[string]bool // running on an earlier boot of the engine
	loads    map[uint64]Load
	unloads  map[state.AdapterRef]bool
	resident map[state.AdapterRef]bool
	refused  map[string]RefuseReason
	alone    map[string]bool
	excess   bool              // mark all further requests
	marker   *admission.Marker // marks further requests when set
}

func newRig(t rapid.TB) *rig {
	r := &rig{
		t:        t,
		core:     NewScheduler(DefaultOptions()),
		now:      time.Unix(0, 0),
		queued:   make(map[string]state.AdapterRef),
		running:  make(map[string]state.AdapterRef),
		lost:     make(map[string]bool),
		loads:    make(map[uint64]Load),
		unloads:  make(map[state.AdapterRef]bool),
		resident: make(map[state.AdapterRef]bool),
		refused:  make(map[string]RefuseReason),
		alone:    make(map[string]bool),
	}
	r.handle(Ranks{Ranks: testRanks})
	r.handle(Permissions{Epoch: 1, MayDispatch: true, MayLoad: true, MayUnload: true})
	r.report()
	return r
}

func (r *rig) bootID() state.BootID { return state.BootID(fmt.Sprint("boot-", r.boot)) }

func (r *rig) report() {
	e := Report{Boot: r.bootID(), Slots: testSlots, Batch: testBatch}
	for i := range 10 {
		if ref := testAdapter(i); r.resident[ref] {
			e.Resident = append(e.Resident, ref)
		}
	}
	r.handle(e)
}

func (r *rig) handle(e Event) {
	for _, a := range r.core.Handle(r.now, e) {
		r.check(a)
	}
}

func (r *rig) must(ok bool, format string, args ...any) {
	r.t.Helper()
	if !ok {
		r.t.Fatalf(format, args...)
	}
}

func (r *rig) check(action Action) {
	switch a := action.(type) {
	case Dispatch:
		ref, ok := r.queued[a.ID]
		r.must(ok, "dispatch of %s, which does not wait", a.ID)
		r.must(r.resident[ref], "dispatch to %s, which is not loaded", ref)
		r.must(!r.unloads[ref], "dispatch to %s, which is being unloaded", ref)
		delete(r.queued, a.ID)
		r.must(!r.alone[a.ID] || len(r.running) == 0, "dispatch of %s, which must run alone", a.ID)
		for id := range r.running {
			r.must(!r.alone[id], "dispatch beside %s, which must run alone", id)
		}
		r.running[a.ID] = ref
	case Refuse:
		_, ok := r.queued[a.ID]
		r.must(ok, "refusal of %s, which does not wait", a.ID)
		delete(r.queued, a.ID)
		r.refused[a.ID] = a.Reason
	case Load:
		r.must(!r.resident[a.Adapter], "load of %s, which is loaded", a.Adapter)
		r.loads[a.Order] = a
		r.must(len(r.loads)+len(r.resident) <= testSlots, "more loads than slots")
	case Unload:
		for id, ref := range r.running {
			serving := ref == a.Adapter && !r.lost[id]
			r.must(!serving, "unload of %s, which serves %s", ref, id)
		}
		r.unloads[a.Adapter] = true
	}
}

func (r *rig) enqueue(id string, adapter int, class state.Class, timeout time.Duration) {
	ref := testAdapter(adapter)
	r.queued[id] = ref
	if r.marker != nil {
		r.excess = r.marker.Mark(r.now, class)
	}
	r.handle(Enqueue{Request: Request{
		ID: id, Class: class, Adapter: ref, Source: ref.Adapter, Deadline: r.now.Add(timeout), MaxTokens: 10,
		Alone: r.alone[id], Excess: r.excess,
	}})
}

func (r *rig) end(id string) {
	delete(r.running, id)
	delete(r.lost, id)
	r.handle(Ended{ID: id})
}

func (r *rig) loaded(order uint64, failed bool) {
	l := r.loads[order]
	delete(r.loads, order)
	if !failed {
		r.resident[l.Adapter] = true
	}
	r.handle(LoadDone{Adapter: l.Adapter, Order: order, Boot: r.bootID(), Failed: failed})
}

func (r *rig) unloaded(ref state.AdapterRef) {
	delete(r.unloads, ref)
	delete(r.resident, ref)
	r.handle(UnloadDone{Adapter: ref})
}

// finishLoads carries out the pending orders.
func (r *rig) finishLoads() {
	for len(r.loads)+len(r.unloads) > 0 {
		for order := range r.loads {
			r.loaded(order, false)
		}
		for ref := range r.unloads {
			r.unloaded(ref)
		}
	}
}

func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.handle(Tick{})
}

func (r *rig) restart() {
	r.boot++
	for id := range r.running {
		r.lost[id] = true
	}
	lost := r.loads
	r.loads = make(map[uint64]Load)
	r.unloads = make(map[state.AdapterRef]bool)
	r.resident = make(map[state.AdapterRef]bool)
	for order, l := range lost {
		r.handle(LoadDone{Adapter: l.Adapter, Order: order, Failed: true})
	}
	r.report()
}

func testAdapter(i int) state.AdapterRef {
	return state.AdapterRef{Service: "advice", Adapter: fmt.Sprint("a", i), Version: "v1"}
}

func testClass(customer int, rank state.Rank) state.Class {
	return state.Class{Customer: state.CustomerID(fmt.Sprint("c", customer)), Service: "advice", Rank: rank}
}

// any returns a key of m chosen by t.
func anyKey[K comparable, V any](t *rapid.T, m map[K]V, less func(a, b K) bool) (K, bool) {
	var keys []K
	for k := range m {
		at := 0
		for at < len(keys) && less(keys[at], k) {
			at++
		}
		keys = append(keys[:at], append([]K{k}, keys[at:]...)...)
	}
	if len(keys) == 0 {
		var zero K
		return zero, false
	}
	return rapid.SampledFrom(keys).Draw(t, "key"), true
}

func TestServingAdapterIsNeverUnloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t)
		next := 0
		byID := func(a, b string) bool { return a < b }
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				next++
				rank := state.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				adapter := rapid.IntRange(0, 9).Draw(t, "adapter")
				timeout := time.Duration(rapid.IntRange(0, 20000).Draw(t, "timeout")) * time.Millisecond
				id := fmt.Sprintf("%04d", next)
				r.alone[id] = rapid.IntRange(0, 9).Draw(t, "alone") == 0
				r.excess = rapid.Bool().Draw(t, "excess")
				r.enqueue(id, adapter, testClass(rapid.IntRange(0, 2).Draw(t, "customer"), rank), timeout)
			},
			"end": func(t *rapid.T) {
				if id, ok := anyKey(t, r.running, byID); ok {
					r.end(id)
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := anyKey(t, r.queued, byID); ok {
					r.handle(Cancel{ID: id})
				}
			},
			"load": func(t *rapid.T) {
				if order, ok := anyKey(t, r.loads, func(a, b uint64) bool { return a < b }); ok {
					r.loaded(order, rapid.IntRange(0, 3).Draw(t, "fails") == 0)
				}
			},
			"unload": func(t *rapid.T) {
				if ref, ok := anyKey(t, r.unloads, func(a, b state.AdapterRef) bool { return a.Adapter < b.Adapter }); ok {
					r.unloaded(ref)
				}
			},
			"budget": func(t *rapid.T) {
				rate := rapid.Float64Range(0, 3).Draw(t, "rate")
				r.handle(StoreBudget{Rate: rate, InFlight: rapid.IntRange(0, 3).Draw(t, "in flight")})
			},
			"tick":        func(t *rapid.T) { r.tick(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond) },
			"report":      func(*rapid.T) { r.report() },
			"restart":     func(*rapid.T) { r.restart() },
			"unreachable": func(*rapid.T) { r.handle(Unreachable{}) },
			"authority": func(t *rapid.T) {
				may := rapid.Bool()
				r.handle(Permissions{
					Epoch: 1, MayDispatch: rapid.IntRange(0, 9).Draw(t, "dispatch") > 0,
					MayLoad: may.Draw(t, "load"), MayUnload: may.Draw(t, "unload"),
				})
			},
			"": func(*rapid.T) {
				st := r.core.Status()
				r.must(st.Queued == len(r.queued), "core counts %d waiting of %d", st.Queued, len(r.queued))
				r.must(st.Running == len(r.running), "core counts %d running of %d", st.Running, len(r.running))
				r.must(len(r.running) <= testBatch, "batch of %d", len(r.running))
			},
		})
	})
}
