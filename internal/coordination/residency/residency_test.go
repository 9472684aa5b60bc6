package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const model = "m"

var (
	start = time.Unix(1000, 0)
	all   = AllowedLoads{Model: true, ColdAdapter: true}
)

func adapter(i int) upstreams.Adapter {
	return upstreams.Adapter{Model: model, Name: fmt.Sprintf("a%d", i)}
}

func holding(adapters ...upstreams.Adapter) upstreams.Residency {
	h := upstreams.Residency{Models: map[string]int{model: 1}, Adapters: map[upstreams.Adapter]int{}}
	for _, a := range adapters {
		h.Adapters[a] = 1
	}
	return h
}

func synced(capacity int, resident ...upstreams.Adapter) *Planner {
	p := NewPlanner(model, capacity)
	p.ApplyReport(start, 1, 0, holding(resident...), nil)
	return p
}

func TestNothingIsOrderedBeforeTheFirstReport(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(model, 2)
	ok := p.RequestLoad(start, adapter(1), 0, 0, time.Second)
	c.Assert(ok, qt.IsFalse)
	_, ok = p.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(p.NeedsReport(start), qt.IsTrue)
}

func TestAnEngineWithoutItsModelLoadsItFirst(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(model, 2)
	p.ApplyReport(start, 1, 0, upstreams.Residency{}, nil)
	_, ok := p.NextOrder(start, AllowedLoads{ColdAdapter: true})
	c.Assert(ok, qt.IsFalse, qt.Commentf("the weight store allows no load"))
	o, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, upstreams.Adapter{Model: model})
}

func TestAFullEngineEvictsTheLeastRecentlyUsedAdapter(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1), adapter(2))
	now := start.Add(2 * time.Second)
	p.RecordUse(now.Add(-time.Second), adapter(1))
	ok := p.RequestLoad(now, adapter(3), 0, 0, time.Second)
	c.Assert(ok, qt.IsTrue)
	o, ok := p.NextOrder(now, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(2), Unload: true})
	p.RecordOutcome(now, o, OutcomeDone)
	o, ok = p.NextOrder(now, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(3), ExpectedOrderCount: 1})
}

func TestAnAdapterInUseIsNotEvicted(t *testing.T) {
	c := qt.New(t)
	p := synced(1, adapter(1))
	now := start.Add(2 * time.Second)
	p.RecordUse(now, adapter(1))
	ok := p.RequestLoad(now, adapter(2), 0, 0, time.Second)
	c.Assert(ok, qt.IsFalse)
}

// An engine with four loads in progress rejects the next order although the order's expected
// count is right. The planner took the rejection for a wrong count and waited for a report.
// In a run without faults, this lost a quarter of the requests.
func TestAConflictDuringLoadsCausesOnlyAShortBackoff(t *testing.T) {
	c := qt.New(t)
	p := synced(10)
	now := start
	for i := range 2 {
		ok := p.RequestLoad(now, adapter(i), 0, 0, time.Second)
		c.Assert(ok, qt.IsTrue)
	}
	o, _ := p.NextOrder(now, all)
	p.RecordOutcome(now, o, OutcomeAccepted)
	o, _ = p.NextOrder(now, all)
	p.RecordOutcome(now, o, OutcomeConflict)
	_, ok := p.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
	again, ok := p.NextOrder(now.Add(conflictBackoff), all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again, qt.Equals, o)
}

// With a third of the answers lost, each lost answer stalled loads for a second until the
// next report. Repeating the order with the same expected count is safe.
func TestAnOrderWithoutAnAnswerIsRetried(t *testing.T) {
	c := qt.New(t)
	p := synced(1)
	now := start
	ok := p.RequestLoad(now, adapter(1), 0, 0, time.Second)
	c.Assert(ok, qt.IsTrue)
	o, _ := p.NextOrder(now, all)
	for range maxOrderAttempts {
		again, ok := p.NextOrder(now, all)
		c.Assert(ok, qt.IsTrue)
		c.Assert(again, qt.Equals, o)
		p.RecordOutcome(now, o, OutcomeUnknown)
	}
	_, ok = p.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
}

func TestLoadsOfUrgentRequestsComeFirst(t *testing.T) {
	c := qt.New(t)
	p := synced(4)
	c.Assert(p.RequestLoad(start, adapter(1), 0, 2, time.Second), qt.IsTrue)
	c.Assert(p.RequestLoad(start, adapter(2), 0, 0, time.Second), qt.IsTrue)
	o, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, adapter(2))
}

func TestLoadsOfRequestsThatCanBeOnTimeComeFirst(t *testing.T) {
	c := qt.New(t)
	p := synced(4)
	p.RequestLoad(start, adapter(1), 0, 0, coldLoadTime/2) // late in any case
	p.RequestLoad(start, adapter(2), 0, 1, 2*coldLoadTime)
	o, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, adapter(2))
	p.RecordOutcome(start, o, OutcomeAccepted)
	o, ok = p.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, adapter(1))
}

// Loads of requests that no longer waited evicted adapters that other requests needed.
func TestAPendingLoadWithoutWaitersIsDropped(t *testing.T) {
	c := qt.New(t)
	p := synced(4)
	p.RequestLoad(start, adapter(1), 0, 0, time.Second)
	p.RequestLoad(start, adapter(1), 0, 0, time.Second)
	p.WithdrawLoad(adapter(1))
	c.Assert(p.IsPending(start, adapter(1)), qt.IsTrue)
	p.WithdrawLoad(adapter(1))
	_, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse)
}

func TestOnlyLocalCopiesAreLoadedWhileTheWeightStoreIsBusy(t *testing.T) {
	c := qt.New(t)
	p := synced(4)
	p.RequestLoad(start, adapter(1), 0, 0, time.Second)
	_, ok := p.NextOrder(start, AllowedLoads{})
	c.Assert(ok, qt.IsFalse)
	p.recordLocalCopy(start, adapter(1))
	_, ok = p.NextOrder(start, AllowedLoads{})
	c.Assert(ok, qt.IsTrue)
}

func TestAnUnknownOutcomeTakesASlotUntilAReport(t *testing.T) {
	c := qt.New(t)
	p := synced(1)
	now := start
	ok := p.RequestLoad(now, adapter(1), 0, 0, time.Second)
	c.Assert(ok, qt.IsTrue)
	o, _ := p.NextOrder(now, all)
	for range maxOrderAttempts {
		p.RecordOutcome(now, o, OutcomeUnknown)
	}
	_, ok = p.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(p.NeedsReport(now.Add(maxReportAge)), qt.IsTrue)
	p.ApplyReport(now.Add(maxReportAge), 1, 1, holding(adapter(1)), nil)
	c.Assert(p.ResidentAdapters(now.Add(time.Second)), qt.HasLen, 1)
}

func TestARestartedEngineHasNoAdapters(t *testing.T) {
	c := qt.New(t)
	p := synced(4, adapter(1), adapter(2))
	p.ApplyReport(start.Add(time.Second), 2, 0, upstreams.Residency{}, nil)
	c.Assert(p.ResidentAdapters(start.Add(time.Second)), qt.HasLen, 0)
	c.Assert(p.ResidentModels(), qt.HasLen, 0)
}

func TestAnOutdatedAdapterIsUnloadedWhenItIsIdle(t *testing.T) {
	c := qt.New(t)
	p := synced(4, adapter(1))
	p.SetNewestVersion(adapter(1), 2)
	p.RecordUse(start, adapter(1))
	_, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse)
	o, ok := p.NextOrder(start.Add(time.Second), all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(1), Unload: true})
}

// Guards against a load that is refused to the request that waits for it, as a newer version was announced after its order.
func TestALoadIsReadyForItsRequestAlthoughANewerVersionWasAnnounced(t *testing.T) {
	c := qt.New(t)
	p := synced(4)
	p.SetNewestVersion(adapter(1), 2)
	c.Assert(p.RequestLoad(start, adapter(1), 2, 0, time.Second), qt.IsTrue)
	o, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	p.RecordOutcome(start, o, OutcomeAccepted)
	p.SetNewestVersion(adapter(1), 3)
	_, isOrdered := p.TimeUntilReady(start, adapter(1), 2)
	c.Assert(isOrdered, qt.IsTrue)
	_, isOrdered = p.TimeUntilReady(start, adapter(1), 3)
	c.Assert(isOrdered, qt.IsFalse)
}

// engine is a simple model of an engine. It may execute orders with a delay, unloads an
// adapter in use only after its requests have ended, reports with a delay and crashes
// when it is ordered to load more adapters than fit.
type engine struct {
	capacity int
	accepted int
	resident map[upstreams.Adapter]bool
	delayed  []Order
	unload   *Order // unload that is carried out once the running requests have ended, or nil
	crashed  bool
	reports  []snapshot
}

type snapshot struct {
	at       time.Time
	accepted int
	resident []upstreams.Adapter
}

// engineReportAge is the age of the values in a report of an engine.
const engineReportAge = 200 * time.Millisecond

// order executes an order. For an unload of an absent adapter it returns OutcomeDone whatever
// the expected order count, and does not count the order.
func (e *engine) order(o Order, inUse bool) Outcome {
	if o.Unload && !e.resident[o.Adapter] {
		return OutcomeDone
	}
	if o.ExpectedOrderCount != e.accepted || e.unload != nil {
		return OutcomeConflict
	}
	if o.Unload {
		e.accepted++
		if inUse {
			e.unload = &o
			return OutcomeAccepted
		}
		delete(e.resident, o.Adapter)
		return OutcomeDone
	}
	if e.resident[o.Adapter] {
		return OutcomeDone
	}
	e.accepted++
	e.resident[o.Adapter] = true
	e.crashed = e.crashed || len(e.resident) > e.capacity
	return OutcomeAccepted
}

// step advances the model: requests end and delayed orders are executed.
func (e *engine) step(now time.Time, rng *rand.Rand) {
	if e.unload != nil && rng.IntN(10) == 0 {
		delete(e.resident, e.unload.Adapter)
		e.unload = nil
	}
	if len(e.delayed) > 0 && rng.IntN(6) == 0 {
		e.order(e.delayed[0], rng.IntN(4) == 0)
		e.delayed = e.delayed[1:]
	}
	snap := snapshot{at: now, accepted: e.accepted}
	for a := range e.resident {
		snap.resident = append(snap.resident, a)
	}
	e.reports = append(e.reports, snap)
	for len(e.reports) > 1 && !e.reports[1].at.After(now.Add(-engineReportAge)) {
		e.reports = e.reports[1:]
	}
}

func TestLostAndDelayedOrdersDoNotOverfillAnEngine(t *testing.T) {
	for seed := range uint64(600) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := &engine{capacity: 3, resident: map[upstreams.Adapter]bool{}}
		p := NewPlanner(model, e.capacity)
		now := start
		for range 600 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			e.step(now, rng)
			if p.NeedsReport(now) {
				p.ApplyReport(now, 1, e.reports[0].accepted, holding(e.reports[0].resident...), nil)
			}
			p.RequestLoad(now, adapter(rng.IntN(8)), 0, 0, time.Second)
			o, ok := p.NextOrder(now, all)
			if !ok {
				continue
			}
			inUse := rng.IntN(4) == 0
			switch rng.IntN(6) {
			case 0: // lost before the engine executed it
				p.RecordOutcome(now, o, OutcomeUnknown)
			case 1: // executed later
				e.delayed = append(e.delayed, o)
				p.RecordOutcome(now, o, OutcomeUnknown)
			case 2: // executed, but the answer is lost
				e.order(o, inUse)
				p.RecordOutcome(now, o, OutcomeUnknown)
			default:
				p.RecordOutcome(now, o, e.order(o, inUse))
			}
			if e.crashed {
				t.Fatalf("seed %d: the engine was ordered to load more than %d adapters", seed, e.capacity)
			}
		}
	}
}

// In a flood of rare adapters the lease holder may learn too late that a request uses the
// adapter that it orders the engine to unload. The engine then rejects all orders until that
// request ends.
func TestAnEngineThatWaitsForAnUnloadAcceptsNoLoads(t *testing.T) {
	c := qt.New(t)
	p := synced(3, adapter(1), adapter(2), adapter(3))
	now := start.Add(2 * time.Second)
	c.Assert(p.RequestLoad(now, adapter(4), 0, 0, time.Second), qt.IsTrue)
	first, ok := p.NextOrder(now, all)
	c.Assert(ok && first.Unload, qt.IsTrue)
	p.RecordOutcome(now, first, OutcomeAccepted) // a request still runs on the adapter
	capacity, _ := p.LoadCapacity(now, 1, 0)
	c.Assert(capacity, qt.Equals, 0)
	c.Assert(p.RequestLoad(now, adapter(5), 0, 0, time.Second), qt.IsFalse, qt.Commentf("another engine can load it"))
	rejections := 0
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if p.RequestLoad(now, adapter(4), 0, 0, time.Second); p.NeedsReport(now) {
			p.ApplyReport(now, 1, 1, holding(adapter(1), adapter(2), adapter(3)), nil)
		}
		if o, ok := p.NextOrder(now, all); ok {
			p.RecordOutcome(now, o, OutcomeConflict)
			rejections++
		}
	}
	c.Assert(rejections <= 14, qt.IsTrue, qt.Commentf("%d", rejections))
	o, ok := p.NextOrder(now.Add(time.Second), all)
	c.Assert(!ok || o.ExpectedOrderCount == 1, qt.IsTrue)
}

// In a flood of rare adapters, a report may predate the last orders and list an adapter that
// was unloaded since.
func TestAStaleReportDoesNotRestoreAnUnloadedAdapter(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1), adapter(2))
	now := start.Add(2 * time.Second)
	c.Assert(p.RequestLoad(now, adapter(3), 0, 0, time.Second), qt.IsTrue)
	o, _ := p.NextOrder(now, all)
	p.RecordOutcome(now, o, OutcomeDone)
	p.ApplyReport(now.Add(200*time.Millisecond), 1, 0, holding(adapter(1), adapter(2)), nil)
	for _, h := range p.ResidentAdapters(now.Add(200 * time.Millisecond)) {
		c.Assert(h.Adapter, qt.Not(qt.Equals), o.Adapter)
	}
}

// The engines of a daemon share its window of parallel loads from the weight store, so a
// backlog at other engines delays a load, too.
func TestTheStartDelayIncludesTheBacklogAtOtherEngines(t *testing.T) {
	c := qt.New(t)
	p := synced(4)
	_, withoutBacklog := p.LoadCapacity(start, 3, 0)
	_, withBacklog := p.LoadCapacity(start, 3, 24)
	c.Assert(withoutBacklog, qt.Equals, time.Duration(0))
	c.Assert(withBacklog, qt.Equals, 8*coldLoadTime)
}

// In deployments with several models, the engines have loaded them before the daemons start.
func TestAnEngineKeepsItsResidentModels(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner("m0", 4)
	p.ApplyReport(start, 1, 0, upstreams.Residency{Models: map[string]int{"m7": 1}, Adapters: map[upstreams.Adapter]int{}}, nil)
	_, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse, qt.Commentf("m0 might not fit beside m7"))
	c.Assert(p.RequestLoad(start, upstreams.Adapter{Model: "m0", Name: "a1"}, 0, 0, time.Second), qt.IsFalse)
	c.Assert(p.RequestLoad(start, upstreams.Adapter{Model: "m7", Name: "a1"}, 0, 0, time.Second), qt.IsTrue)
	o, ok := p.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter.Model, qt.Equals, "m7")
	p.RecordOutcome(start, o, OutcomeAccepted)
	later := start.Add(10 * time.Second)
	p.ApplyReport(later, 2, 0, upstreams.Residency{}, nil) // restarted, without models
	o, ok = p.NextOrder(later, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, upstreams.Adapter{Model: "m7"})
}

// An engine that loads a newer version of an adapter keeps both versions until the requests
// on the older version have ended. A full engine would be overfilled.
func TestANewerVersionNeedsItsOwnSlot(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1), adapter(2))
	now := start.Add(2 * time.Second)
	p.RecordUse(now, adapter(1))
	c.Assert(p.RequestLoad(now, adapter(1), 2, 0, time.Second), qt.IsTrue)
	o, ok := p.NextOrder(now, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(2), Unload: true})
	p.RecordOutcome(now, o, OutcomeDone)
	o, ok = p.NextOrder(now, all)
	c.Assert(ok && !o.Unload && o.Adapter == adapter(1) && o.Version == 2, qt.IsTrue)
	p.RecordOutcome(now, o, OutcomeAccepted)
	c.Assert(p.RequestLoad(now, adapter(3), 0, 0, time.Second), qt.IsFalse, qt.Commentf("both slots are in use"))
	later := now.Add(2 * time.Second)
	h := holding(adapter(1))
	h.Adapters[adapter(1)] = 2
	p.ApplyReport(later, 1, 2, h, nil)
	_, ok = p.NextOrder(later, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(p.RequestLoad(later, adapter(3), 0, 0, time.Second), qt.IsTrue)
}
