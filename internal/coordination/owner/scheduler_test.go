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

// harness runs a Scheduler against a model of its engine, which checks every action.
type harness struct {
	t        rapid.TB
	core     *Scheduler
	now      time.Time
	boot     int
	queued   map[string]state.AdapterRef // adapter of each queued request
	running  map[string]state.AdapterRef // adapter of each running request
	lost     map[string]bool             // requests that ran on an earlier boot of the engine
	loads    map[uint64]Load
	unloads  map[state.AdapterRef]bool
	resident map[state.AdapterRef]bool
	refused  map[string]RefuseReason
	alone    map[string]bool
	excess   bool              // marks new requests as beyond the usual rate of their class
	marker   *admission.Marker // if not nil, sets excess for each new request
}

func newHarness(t rapid.TB) *harness {
	r := &harness{
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

func (r *harness) bootID() state.BootID { return state.BootID(fmt.Sprint("boot-", r.boot)) }

func (r *harness) report() {
	e := Report{Boot: r.bootID(), Slots: testSlots, Batch: testBatch}
	for i := range 10 {
		if ref := testAdapter(i); r.resident[ref] {
			e.Resident = append(e.Resident, ref)
		}
	}
	r.handle(e)
}

func (r *harness) handle(e Event) {
	for _, a := range r.core.Handle(r.now, e) {
		r.check(a)
	}
}

func (r *harness) require(ok bool, format string, args ...any) {
	r.t.Helper()
	if !ok {
		r.t.Fatalf(format, args...)
	}
}

func (r *harness) check(action Action) {
	switch a := action.(type) {
	case Dispatch:
		ref, ok := r.queued[a.ID]
		r.require(ok, "dispatch of %s, which is not queued", a.ID)
		r.require(r.resident[ref], "dispatch to %s, which is not resident", ref)
		r.require(!r.unloads[ref], "dispatch to %s, which is being unloaded", ref)
		delete(r.queued, a.ID)
		r.require(!r.alone[a.ID] || len(r.running) == 0, "dispatch of %s, which must run alone, beside others", a.ID)
		for id := range r.running {
			r.require(!r.alone[id], "dispatch beside %s, which must run alone", id)
		}
		r.running[a.ID] = ref
	case Refuse:
		_, ok := r.queued[a.ID]
		r.require(ok, "refusal of %s, which is not queued", a.ID)
		delete(r.queued, a.ID)
		r.refused[a.ID] = a.Reason
	case Load:
		r.require(!r.resident[a.Adapter], "load of %s, which is already resident", a.Adapter)
		r.loads[a.Order] = a
		r.require(len(r.loads)+len(r.resident) <= testSlots, "more loads and resident adapters than slots")
	case Unload:
		for id, ref := range r.running {
			serving := ref == a.Adapter && !r.lost[id]
			r.require(!serving, "unload of %s, on which %s runs", ref, id)
		}
		r.unloads[a.Adapter] = true
	}
}

func (r *harness) enqueue(id string, adapter int, class state.Class, timeout time.Duration) {
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

func (r *harness) endRequest(id string) {
	delete(r.running, id)
	delete(r.lost, id)
	r.handle(Ended{ID: id})
}

func (r *harness) completeLoad(order uint64, failed bool) {
	l := r.loads[order]
	delete(r.loads, order)
	if !failed {
		r.resident[l.Adapter] = true
	}
	r.handle(LoadDone{Adapter: l.Adapter, Order: order, Boot: r.bootID(), Failed: failed})
}

func (r *harness) completeUnload(ref state.AdapterRef) {
	delete(r.unloads, ref)
	delete(r.resident, ref)
	r.handle(UnloadDone{Adapter: ref})
}

// completeOrders completes all orders in flight and the orders that result from their
// completion.
func (r *harness) completeOrders() {
	for len(r.loads)+len(r.unloads) > 0 {
		for order := range r.loads {
			r.completeLoad(order, false)
		}
		for ref := range r.unloads {
			r.completeUnload(ref)
		}
	}
}

func (r *harness) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.handle(Tick{})
}

func (r *harness) restart() {
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

// anyKey returns a key of m that t draws. Keys are sorted, so that a failing run can
// be reproduced.
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

// An adapter must not be unloaded while requests run on it, whatever the order of
// requests, results, restarts and changes of permissions. The harness checks this and
// the other invariants at every action.
func TestServingAdapterIsNeverUnloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(t)
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
					r.endRequest(id)
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := anyKey(t, r.queued, byID); ok {
					r.handle(Cancel{ID: id})
				}
			},
			"load": func(t *rapid.T) {
				if order, ok := anyKey(t, r.loads, func(a, b uint64) bool { return a < b }); ok {
					r.completeLoad(order, rapid.IntRange(0, 3).Draw(t, "fails") == 0)
				}
			},
			"unload": func(t *rapid.T) {
				if ref, ok := anyKey(t, r.unloads, func(a, b state.AdapterRef) bool { return a.Adapter < b.Adapter }); ok {
					r.completeUnload(ref)
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
				r.require(st.Queued == len(r.queued), "status reports %d queued requests, want %d", st.Queued, len(r.queued))
				r.require(st.Running == len(r.running), "status reports %d running requests, want %d", st.Running, len(r.running))
				r.require(len(r.running) <= testBatch, "%d requests run in a batch of %d", len(r.running), testBatch)
			},
		})
	})
}
