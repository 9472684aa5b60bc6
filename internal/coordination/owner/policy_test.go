package owner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
	"github.com/celerydeck/celerydeck/internal/state"
)

// serve simulates the engine for the duration d: requests end after runTime, and loads
// complete at once. It calls arrivals at each step and returns the start time of each
// dispatched request.
func (r *harness) serve(d, runTime time.Duration, arrivals func(step int)) map[string]time.Time {
	const stepTime = 50 * time.Millisecond
	started := make(map[string]time.Time)
	for step := range int(d / stepTime) {
		arrivals(step)
		r.completeOrders()
		for id := range r.running {
			if _, ok := started[id]; !ok {
				started[id] = r.now
			}
		}
		for id, at := range started {
			if _, ok := r.running[id]; ok && r.now.Sub(at) >= runTime {
				r.endRequest(id)
			}
		}
		r.tick(stepTime)
	}
	return started
}

func TestRequestsWaitingForLoadsDoNotBlockResidentAdapters(t *testing.T) {
	r := newHarness(t)
	r.enqueue("warm", 0, testClass(0, 2), time.Minute)
	r.completeOrders()
	r.handle(StoreBudget{Rate: 0, InFlight: 0})
	r.enqueue("cold", 1, testClass(0, 1), time.Minute)
	r.enqueue("next", 0, testClass(0, 2), time.Minute)
	qt.Assert(t, r.running["next"], qt.Equals, testAdapter(0))
	qt.Assert(t, r.queued["cold"], qt.Equals, testAdapter(1))
}

func TestFailingLoadDoesNotBlockOtherAdapters(t *testing.T) {
	r := newHarness(t)
	r.enqueue("broken", 1, testClass(0, 0), 30*time.Second)
	for range DefaultOptions().MaxLoadFailures {
		for order := range r.loads {
			r.completeLoad(order, true)
		}
		r.tick(time.Second)
	}
	qt.Assert(t, r.refused["broken"], qt.Equals, RefuseLoad)
	r.enqueue("again", 1, testClass(0, 0), 30*time.Second)
	r.enqueue("good", 2, testClass(0, 1), 30*time.Second)
	r.completeOrders()
	qt.Assert(t, r.running["good"], qt.Equals, testAdapter(2))
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	r := newHarness(t)
	const runTime = 2 * time.Second
	r.serve(10*time.Second, runTime, func(step int) {
		if step%20 == 0 {
			for i := range testBatch {
				r.enqueue(fmt.Sprintf("%d-%d", step, i), 0, testClass(0, 1), time.Minute)
			}
		}
	})
	for i := range 20 {
		r.enqueue(fmt.Sprintf("behind-%d", i), 0, testClass(0, 1), time.Minute)
	}
	r.enqueue("hopeless", 0, testClass(0, 1), runTime/2)
	qt.Assert(t, r.refused["hopeless"], qt.Equals, RefuseDeadline)
}

func TestUrgentRequestOvertakesLessUrgentOnes(t *testing.T) {
	r := newHarness(t)
	r.enqueue("first", 0, testClass(0, 2), time.Minute)
	r.completeOrders()
	for i := range 2 * testBatch {
		r.enqueue(fmt.Sprintf("low-%d", i), 0, testClass(1, 2), time.Minute)
	}
	r.enqueue("urgent", 0, testClass(0, 0), time.Minute)
	qt.Assert(t, r.running["urgent"], qt.Equals, testAdapter(0))
}

// flood sends requests of a quiet class while another class sends far more than its usual
// rate. It returns how many requests of the quiet class were dispatched and how many were
// sent.
func flood(t *testing.T, quiet, flooding state.Class) (served, offered int) {
	r := newHarness(t)
	r.marker = admission.NewMarker(admission.DefaultMarkerOptions())
	const runTime = 500 * time.Millisecond
	quietIDs := make(map[string]bool)
	started := r.serve(60*time.Second, runTime, func(step int) {
		if step%10 == 0 {
			id := fmt.Sprintf("quiet-%d", step)
			quietIDs[id] = true
			r.enqueue(id, 0, quiet, 20*time.Second)
		}
		if step > 400 {
			for i := range 4 {
				r.enqueue(fmt.Sprintf("flood-%d-%d", step, i), 1, flooding, 20*time.Second)
			}
		}
	})
	for id := range quietIDs {
		if _, ok := started[id]; ok {
			served++
		}
	}
	return served, len(quietIDs)
}

func TestFloodOfUrgentRequestsStarvesNoOtherClass(t *testing.T) {
	served, offered := flood(t, testClass(0, 2), testClass(1, 0))
	qt.Assert(t, float64(served) >= 0.95*float64(offered), qt.IsTrue, qt.Commentf("%d of %d", served, offered))
}

func TestFloodOfLeastUrgentRequestsStarvesNoOtherClass(t *testing.T) {
	served, offered := flood(t, testClass(0, 0), testClass(1, 2))
	qt.Assert(t, float64(served) >= 0.95*float64(offered), qt.IsTrue, qt.Commentf("%d of %d", served, offered))
}

// A load can complete on a boot of the engine from which the Scheduler has no report. If
// the Scheduler ordered the load again without a report, it would do so without end.
func TestLoadIntoAnotherBootIsNotRetriedBeforeAReport(t *testing.T) {
	r := newHarness(t)
	r.enqueue("waits", 0, testClass(0, 0), time.Minute)
	for order, l := range r.loads {
		delete(r.loads, order)
		r.handle(LoadDone{Adapter: l.Adapter, Order: order, Boot: "another"})
	}
	qt.Assert(t, r.loads, qt.HasLen, 0)
	r.report()
	qt.Assert(t, r.loads, qt.HasLen, 1)
}

// Without a backoff, a failing unload would be ordered again at every event.
func TestFailedUnloadIsNotRetriedAtOnce(t *testing.T) {
	r := newHarness(t)
	for i := range testSlots {
		r.enqueue(fmt.Sprint("warm-", i), i, testClass(0, 0), time.Minute)
		r.completeOrders()
		r.endRequest(fmt.Sprint("warm-", i))
	}
	r.enqueue("cold", testSlots, testClass(0, 0), time.Minute)
	r.tick(500 * time.Millisecond)
	ordered := make(map[state.AdapterRef]bool)
	for range testSlots {
		for ref := range r.unloads {
			qt.Assert(t, ordered[ref], qt.IsFalse, qt.Commentf("second unload of %s", ref))
			ordered[ref] = true
			delete(r.unloads, ref)
			r.handle(UnloadDone{Adapter: ref, Failed: true})
		}
	}
	qt.Assert(t, r.unloads, qt.HasLen, 0)
}
