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

func holding(adapters ...upstreams.Adapter) upstreams.Holding {
	h := upstreams.Holding{Models: map[string]int{model: 1}, Adapters: map[upstreams.Adapter]int{}}
	for _, a := range adapters {
		h.Adapters[a] = 1
	}
	return h
}

func synced(capacity int, held ...upstreams.Adapter) *Planner {
	l := NewPlanner(model, capacity)
	l.ApplyReport(start, 1, 0, holding(held...), nil)
	return l
}

func TestNothingIsOrderedBeforeTheFirstReport(t *testing.T) {
	c := qt.New(t)
	l := NewPlanner(model, 2)
	ok := l.RequestLoad(start, adapter(1), 0, 0, time.Second)
	c.Assert(ok, qt.IsFalse)
	_, ok = l.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.NeedsReport(start), qt.IsTrue)
}

func TestAnEngineWithoutItsModelLoadsItFirst(t *testing.T) {
	c := qt.New(t)
	l := NewPlanner(model, 2)
	l.ApplyReport(start, 1, 0, upstreams.Holding{}, nil)
	_, ok := l.NextOrder(start, AllowedLoads{ColdAdapter: true})
	c.Assert(ok, qt.IsFalse, qt.Commentf("the weight store allows no load"))
	o, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, upstreams.Adapter{Model: model})
}

func TestAFullEngineUnloadsTheLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	l := synced(2, adapter(1), adapter(2))
	now := start.Add(2 * time.Second)
	l.RecordUse(now.Add(-time.Second), adapter(1))
	ok := l.RequestLoad(now, adapter(3), 0, 0, time.Second)
	c.Assert(ok, qt.IsTrue)
	o, ok := l.NextOrder(now, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(2), Unload: true})
	l.RecordOutcome(now, o, OutcomeDone)
	o, ok = l.NextOrder(now, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(3), ExpectedOrderCount: 1})
}

func TestAnAdapterInUseIsNotUnloaded(t *testing.T) {
	c := qt.New(t)
	l := synced(1, adapter(1))
	now := start.Add(2 * time.Second)
	l.RecordUse(now, adapter(1))
	ok := l.RequestLoad(now, adapter(2), 0, 0, time.Second)
	c.Assert(ok, qt.IsFalse)
}

// An engine that takes four adapters in rejects the next order though the count of
// orders is right; a calm day lost a quarter of its requests to that.
func TestRejectionWhileLoadsAreInProgressIsAShortPause(t *testing.T) {
	c := qt.New(t)
	l := synced(10)
	now := start
	for i := range 2 {
		ok := l.RequestLoad(now, adapter(i), 0, 0, time.Second)
		c.Assert(ok, qt.IsTrue)
	}
	o, _ := l.NextOrder(now, all)
	l.RecordOutcome(now, o, OutcomeAccepted)
	o, _ = l.NextOrder(now, all)
	l.RecordOutcome(now, o, OutcomeConflict)
	_, ok := l.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
	again, ok := l.NextOrder(now.Add(fullPause), all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again, qt.Equals, o)
}

// Answers lost by a third of the orders stalled loads for a second each; the same
// order with the same count is safe to give again.
func TestAnOrderWithoutAnswerIsGivenAgain(t *testing.T) {
	c := qt.New(t)
	l := synced(1)
	now := start
	ok := l.RequestLoad(now, adapter(1), 0, 0, time.Second)
	c.Assert(ok, qt.IsTrue)
	o, _ := l.NextOrder(now, all)
	for range maxTries {
		again, ok := l.NextOrder(now, all)
		c.Assert(ok, qt.IsTrue)
		c.Assert(again, qt.Equals, o)
		l.RecordOutcome(now, o, OutcomeUnknown)
	}
	_, ok = l.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
}

func TestUrgentRequestsAreLoadedForFirst(t *testing.T) {
	c := qt.New(t)
	l := synced(4)
	c.Assert(l.RequestLoad(start, adapter(1), 0, 2, time.Second), qt.IsTrue)
	c.Assert(l.RequestLoad(start, adapter(2), 0, 0, time.Second), qt.IsTrue)
	o, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, adapter(2))
}

func TestRequestsThatCanBeOnTimeAreLoadedForFirst(t *testing.T) {
	c := qt.New(t)
	l := synced(4)
	l.RequestLoad(start, adapter(1), 0, 0, coldLoad/2) // late anyway
	l.RequestLoad(start, adapter(2), 0, 1, 2*coldLoad)
	o, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, adapter(2))
	l.RecordOutcome(start, o, OutcomeAccepted)
	o, ok = l.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, adapter(1))
}

// Requests that gave up left loads behind that dropped what others needed.
func TestAWishWithoutWaitersIsDropped(t *testing.T) {
	c := qt.New(t)
	l := synced(4)
	l.RequestLoad(start, adapter(1), 0, 0, time.Second)
	l.RequestLoad(start, adapter(1), 0, 0, time.Second)
	l.WithdrawLoad(adapter(1))
	c.Assert(l.IsPending(start, adapter(1)), qt.IsTrue)
	l.WithdrawLoad(adapter(1))
	_, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse)
}

func TestOnlyCopiesAreLoadedWhileTheStoreIsBusy(t *testing.T) {
	c := qt.New(t)
	l := synced(4)
	l.RequestLoad(start, adapter(1), 0, 0, time.Second)
	_, ok := l.NextOrder(start, AllowedLoads{})
	c.Assert(ok, qt.IsFalse)
	l.keepWarm(start, adapter(1))
	_, ok = l.NextOrder(start, AllowedLoads{})
	c.Assert(ok, qt.IsTrue)
}

func TestAnUnknownOutcomeTakesASlotUntilAReport(t *testing.T) {
	c := qt.New(t)
	l := synced(1)
	now := start
	ok := l.RequestLoad(now, adapter(1), 0, 0, time.Second)
	c.Assert(ok, qt.IsTrue)
	o, _ := l.NextOrder(now, all)
	for range maxTries {
		l.RecordOutcome(now, o, OutcomeUnknown)
	}
	_, ok = l.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.NeedsReport(now.Add(reportLag)), qt.IsTrue)
	l.ApplyReport(now.Add(reportLag), 1, 1, holding(adapter(1)), nil)
	c.Assert(l.ResidentAdapters(now.Add(time.Second)), qt.HasLen, 1)
}

func TestARestartedEngineHoldsNothing(t *testing.T) {
	c := qt.New(t)
	l := synced(4, adapter(1), adapter(2))
	l.ApplyReport(start.Add(time.Second), 2, 0, upstreams.Holding{}, nil)
	c.Assert(l.ResidentAdapters(start.Add(time.Second)), qt.HasLen, 0)
	c.Assert(l.ResidentModels(), qt.HasLen, 0)
}

func TestAnOutdatedAdapterIsUnloadedWhenItIsIdle(t *testing.T) {
	c := qt.New(t)
	l := synced(4, adapter(1))
	l.SetNewestVersion(adapter(1), 2)
	l.RecordUse(start, adapter(1))
	_, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse)
	o, ok := l.NextOrder(start.Add(time.Second), all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(1), Unload: true})
}

// engine is a small engine that carries orders out late, unloads what is in use after a
// while, reports with a delay and crashes when it is ordered to hold more than fits.
type engine struct {
	capacity int
	accepted int
	held     map[upstreams.Adapter]bool
	late     []Order
	busy     *Order // an unload that waits for runs
	crashed  bool
	reports  []snapshot
}

type snapshot struct {
	at       time.Time
	accepted int
	held     []upstreams.Adapter
}

// engineReportLag is how old the values of a report are.
const engineReportLag = 200 * time.Millisecond

// order carries an order out. An unload of what is not there holds already, whatever
// the count of orders, and is not counted.
func (e *engine) order(o Order, inUse bool) Outcome {
	if o.Unload && !e.held[o.Adapter] {
		return OutcomeDone
	}
	if o.ExpectedOrderCount != e.accepted || e.busy != nil {
		return OutcomeConflict
	}
	if o.Unload {
		e.accepted++
		if inUse {
			e.busy = &o
			return OutcomeAccepted
		}
		delete(e.held, o.Adapter)
		return OutcomeDone
	}
	if e.held[o.Adapter] {
		return OutcomeDone
	}
	e.accepted++
	e.held[o.Adapter] = true
	e.crashed = e.crashed || len(e.held) > e.capacity
	return OutcomeAccepted
}

// step lets time pass: runs end, late orders are carried out.
func (e *engine) step(now time.Time, rng *rand.Rand) {
	if e.busy != nil && rng.IntN(10) == 0 {
		delete(e.held, e.busy.Adapter)
		e.busy = nil
	}
	if len(e.late) > 0 && rng.IntN(6) == 0 {
		e.order(e.late[0], rng.IntN(4) == 0)
		e.late = e.late[1:]
	}
	snap := snapshot{at: now, accepted: e.accepted}
	for a := range e.held {
		snap.held = append(snap.held, a)
	}
	e.reports = append(e.reports, snap)
	for len(e.reports) > 1 && !e.reports[1].at.After(now.Add(-engineReportLag)) {
		e.reports = e.reports[1:]
	}
}

func TestNoSeriesOfLostAndLateOrdersOverfillsAnEngine(t *testing.T) {
	for seed := range uint64(600) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := &engine{capacity: 3, held: map[upstreams.Adapter]bool{}}
		l := NewPlanner(model, e.capacity)
		now := start
		for range 600 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			e.step(now, rng)
			if l.NeedsReport(now) {
				l.ApplyReport(now, 1, e.reports[0].accepted, holding(e.reports[0].held...), nil)
			}
			l.RequestLoad(now, adapter(rng.IntN(8)), 0, 0, time.Second)
			o, ok := l.NextOrder(now, all)
			if !ok {
				continue
			}
			inUse := rng.IntN(4) == 0
			switch rng.IntN(6) {
			case 0: // lost before it was carried out
				l.RecordOutcome(now, o, OutcomeUnknown)
			case 1: // carried out later
				e.late = append(e.late, o)
				l.RecordOutcome(now, o, OutcomeUnknown)
			case 2: // carried out, the answer lost
				e.order(o, inUse)
				l.RecordOutcome(now, o, OutcomeUnknown)
			default:
				l.RecordOutcome(now, o, e.order(o, inUse))
			}
			if e.crashed {
				t.Fatalf("seed %d: the engine was ordered to hold more than %d", seed, e.capacity)
			}
		}
	}
}

// Pattern: a flood of rare adapters, where the holder learns too late that a request
// uses the adapter that it unloads. The engine rejects all orders until that run ends.
func TestAnEngineThatWaitsForRunsTakesNoWishes(t *testing.T) {
	c := qt.New(t)
	l := synced(3, adapter(1), adapter(2), adapter(3))
	now := start.Add(2 * time.Second)
	c.Assert(l.RequestLoad(now, adapter(4), 0, 0, time.Second), qt.IsTrue)
	first, ok := l.NextOrder(now, all)
	c.Assert(ok && first.Unload, qt.IsTrue)
	l.RecordOutcome(now, first, OutcomeAccepted) // a run goes on
	room, _ := l.LoadCapacity(now, 1, 0)
	c.Assert(room, qt.Equals, 0)
	c.Assert(l.RequestLoad(now, adapter(5), 0, 0, time.Second), qt.IsFalse, qt.Commentf("another engine can load it"))
	rejections := 0
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if l.RequestLoad(now, adapter(4), 0, 0, time.Second); l.NeedsReport(now) {
			l.ApplyReport(now, 1, 1, holding(adapter(1), adapter(2), adapter(3)), nil)
		}
		if o, ok := l.NextOrder(now, all); ok {
			l.RecordOutcome(now, o, OutcomeConflict)
			rejections++
		}
	}
	c.Assert(rejections <= 14, qt.IsTrue, qt.Commentf("%d", rejections))
	o, ok := l.NextOrder(now.Add(time.Second), all)
	c.Assert(!ok || o.ExpectedOrderCount == 1, qt.IsTrue)
}

// Pattern: as above. A report shows the engine as it was before the last orders.
func TestAReportFromBeforeAnUnloadDoesNotBringTheAdapterBack(t *testing.T) {
	c := qt.New(t)
	l := synced(2, adapter(1), adapter(2))
	now := start.Add(2 * time.Second)
	c.Assert(l.RequestLoad(now, adapter(3), 0, 0, time.Second), qt.IsTrue)
	o, _ := l.NextOrder(now, all)
	l.RecordOutcome(now, o, OutcomeDone)
	l.ApplyReport(now.Add(200*time.Millisecond), 1, 0, holding(adapter(1), adapter(2)), nil)
	for _, h := range l.ResidentAdapters(now.Add(200 * time.Millisecond)) {
		c.Assert(h.Adapter, qt.Not(qt.Equals), o.Adapter)
	}
}

// Pattern: more rare adapters than the store brings, over all engines of a daemon.
func TestAWishWaitsBehindTheWishesAtOtherEngines(t *testing.T) {
	c := qt.New(t)
	l := synced(4)
	_, alone := l.LoadCapacity(start, 3, 0)
	_, behind := l.LoadCapacity(start, 3, 24)
	c.Assert(alone, qt.Equals, time.Duration(0))
	c.Assert(behind, qt.Equals, 8*coldLoad)
}

// Deployments with several models place them before the daemons start.
func TestAnEngineKeepsTheModelsThatItHolds(t *testing.T) {
	c := qt.New(t)
	l := NewPlanner("m0", 4)
	l.ApplyReport(start, 1, 0, upstreams.Holding{Models: map[string]int{"m7": 1}, Adapters: map[upstreams.Adapter]int{}}, nil)
	_, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsFalse, qt.Commentf("m0 might not fit beside m7"))
	c.Assert(l.RequestLoad(start, upstreams.Adapter{Model: "m0", Name: "a1"}, 0, 0, time.Second), qt.IsFalse)
	c.Assert(l.RequestLoad(start, upstreams.Adapter{Model: "m7", Name: "a1"}, 0, 0, time.Second), qt.IsTrue)
	o, ok := l.NextOrder(start, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter.Model, qt.Equals, "m7")
	l.RecordOutcome(start, o, OutcomeAccepted)
	later := start.Add(10 * time.Second)
	l.ApplyReport(later, 2, 0, upstreams.Holding{}, nil) // it started anew, empty
	o, ok = l.NextOrder(later, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Adapter, qt.Equals, upstreams.Adapter{Model: "m7"})
}

// Pattern: new versions of adapters while an engine is full. It holds both versions
// until the runs on the older one have ended.
func TestANewerVersionNeedsAPlaceOfItsOwn(t *testing.T) {
	c := qt.New(t)
	l := synced(2, adapter(1), adapter(2))
	now := start.Add(2 * time.Second)
	l.RecordUse(now, adapter(1))
	c.Assert(l.RequestLoad(now, adapter(1), 2, 0, time.Second), qt.IsTrue)
	o, ok := l.NextOrder(now, all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Order{Adapter: adapter(2), Unload: true})
	l.RecordOutcome(now, o, OutcomeDone)
	o, ok = l.NextOrder(now, all)
	c.Assert(ok && !o.Unload && o.Adapter == adapter(1) && o.Version == 2, qt.IsTrue)
	l.RecordOutcome(now, o, OutcomeAccepted)
	c.Assert(l.RequestLoad(now, adapter(3), 0, 0, time.Second), qt.IsFalse, qt.Commentf("both places are taken"))
	later := now.Add(2 * time.Second)
	h := holding(adapter(1))
	h.Adapters[adapter(1)] = 2
	l.ApplyReport(later, 1, 2, h, nil)
	_, ok = l.NextOrder(later, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.RequestLoad(later, adapter(3), 0, 0, time.Second), qt.IsTrue)
}
