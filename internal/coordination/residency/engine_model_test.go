package residency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// fullEngine is a detailed model of an engine: loads take time, adapters have versions,
// unloads wait for running requests, the engine restarts, and reports are stale.
type fullEngine struct {
	capacity  int
	startTime int64
	accepted  int
	resident  map[upstreams.Adapter]int
	inFlight  map[upstreams.Adapter]loadInFlight
	unload    *upstreams.Adapter // adapter to unload once its running requests have ended, or nil
	newest    map[upstreams.Adapter]int
	delayed   []Order
	crashed   bool
	reports   []fullReport
}

type loadInFlight struct {
	version int
	endsAt  time.Time
}

type fullReport struct {
	at        time.Time
	startTime int64
	accepted  int
	holding   upstreams.Residency
	inFlight  []upstreams.Adapter
}

func (e *fullEngine) order(now time.Time, o Order, inUse bool, loadTime time.Duration) Outcome {
	_, isLoading := e.inFlight[o.Adapter]
	if o.Unload && e.resident[o.Adapter] == 0 && !isLoading {
		return OutcomeDone
	}
	version := max(1, o.Version, e.newest[o.Adapter])
	if !o.Unload && (e.resident[o.Adapter] >= version || isLoading && e.inFlight[o.Adapter].version >= version) {
		return OutcomeDone
	}
	if o.ExpectedOrderCount != e.accepted || e.unload != nil || !o.Unload && len(e.inFlight) >= maxConcurrentLoads || o.Unload && isLoading {
		return OutcomeConflict
	}
	e.accepted++
	if o.Unload {
		if inUse {
			e.unload = &o.Adapter
			return OutcomeAccepted
		}
		delete(e.resident, o.Adapter)
		return OutcomeDone
	}
	e.inFlight[o.Adapter] = loadInFlight{version: version, endsAt: now.Add(loadTime)}
	e.crashed = e.crashed || len(e.resident)+len(e.inFlight) > e.capacity
	return OutcomeAccepted
}

func (e *fullEngine) step(now time.Time, rng *rand.Rand) {
	for a, l := range e.inFlight {
		if !now.Before(l.endsAt) {
			e.resident[a] = l.version
			delete(e.inFlight, a)
		}
	}
	if e.unload != nil && rng.IntN(15) == 0 {
		delete(e.resident, *e.unload)
		e.unload = nil
	}
	if len(e.delayed) > 0 && rng.IntN(8) == 0 {
		e.order(now, e.delayed[0], rng.IntN(4) == 0, 300*time.Millisecond)
		e.delayed = e.delayed[1:]
	}
	r := fullReport{at: now, startTime: e.startTime, accepted: e.accepted, holding: upstreams.Residency{Models: map[string]int{model: 1}, Adapters: map[upstreams.Adapter]int{}}}
	for a, v := range e.resident {
		r.holding.Adapters[a] = v
	}
	for a := range e.inFlight {
		r.inFlight = append(r.inFlight, a)
	}
	e.reports = append(e.reports, r)
	for len(e.reports) > 1 && !e.reports[1].at.After(now.Add(-engineReportAge)) {
		e.reports = e.reports[1:]
	}
}

func (e *fullEngine) restart(now time.Time) {
	e.startTime++
	e.accepted = 0
	e.resident, e.inFlight, e.unload = map[upstreams.Adapter]int{}, map[upstreams.Adapter]loadInFlight{}, nil
	e.reports = nil
	e.step(now, rand.New(rand.NewPCG(1, 1)))
}

// Orders are lost, delayed or rejected, the engine and its lease holder restart, and new
// versions are announced.
func TestNoSequenceOfFaultsOverfillsAnEngine(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		runEngineModel(t, seed)
	}
}

// A load of a newer version has an unknown outcome while the older version is resident.
func TestANewerVersionOfUnknownOutcomeDoesNotOverfillAnEngine(t *testing.T) {
	runEngineModel(t, 2344)
}

// A stale report names an adapter as being loaded that was unloaded, or hides one that a delayed order
// loaded again.
func TestStaleReportsOfLoadsDoNotOverfillAnEngine(t *testing.T) {
	for _, seed := range []uint64{4144, 38826} {
		runEngineModel(t, seed)
	}
}

func runEngineModel(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	e := &fullEngine{capacity: 5, startTime: 1, newest: map[upstreams.Adapter]int{}}
	now := start
	e.restart(now)
	p := NewPlanner(model, e.capacity)
	for range 800 {
		now = now.Add(time.Duration(5+rng.IntN(80)) * time.Millisecond)
		e.step(now, rng)
		switch rng.IntN(400) {
		case 0:
			e.restart(now)
		case 1:
			p = NewPlanner(model, e.capacity)
		case 2, 3:
			a := adapter(rng.IntN(14))
			e.newest[a] = max(1, e.newest[a]) + 1
			p.SetNewestVersion(a, e.newest[a])
		}
		if p.NeedsReport(now) {
			r := e.reports[0]
			p.ApplyReport(now, r.startTime, r.accepted, r.holding, r.inFlight)
		}
		if rng.IntN(3) == 0 {
			p.RequestLoad(now, adapter(rng.IntN(14)), 0, rng.IntN(3), time.Second)
		}
		if rng.IntN(3) == 0 {
			p.RecordUse(now, adapter(rng.IntN(14)))
		}
		if rng.IntN(5) == 0 {
			p.RecordMiss(now, adapter(rng.IntN(14)))
		}
		o, ok := p.NextOrder(now, all)
		if !ok {
			continue
		}
		inUse, loadTime := rng.IntN(4) == 0, time.Duration(250+rng.IntN(700))*time.Millisecond
		switch rng.IntN(20) {
		case 0:
			p.RecordOutcome(now, o, OutcomeUnknown)
		case 1:
			e.delayed = append(e.delayed, o)
			p.RecordOutcome(now, o, OutcomeUnknown)
		case 2:
			e.order(now, o, inUse, loadTime)
			p.RecordOutcome(now, o, OutcomeUnknown)
		default:
			p.RecordOutcome(now, o, e.order(now, o, inUse, loadTime))
		}
		if e.crashed {
			t.Fatalf("seed %d: the engine was ordered to load more than %d adapters", seed, e.capacity)
		}
	}
}

const modelSeeds = 400
