package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// idleEngines report an engine that holds a model, and count the reports.
type idleEngines struct{ reports int }

func (e *idleEngines) Report(context.Context, string) (EngineReport, error) {
	e.reports++
	return EngineReport{StartTime: 1, Holding: upstreams.Residency{Models: map[string]int{"m": 1}}}, nil
}

func (e *idleEngines) Order(context.Context, upstreams.Upstream, residency.Order) (residency.Outcome, error) {
	return residency.OutcomeAccepted, nil
}

// TestAnIdleEngineAcceptsLoadsAgainAfterItsLeaseLapsed guards against an engine that gets no loads
// after an outage of the store that its lease did not outlast.
func TestAnIdleEngineAcceptsLoadsAgainAfterItsLeaseLapsed(t *testing.T) {
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	n.ctx = context.Background()
	engines := &idleEngines{}
	n.opts.Engines = engines
	n.applyConfig(&routes.Config{Version: 1, Services: map[string]routes.Service{"llm": {Engine: &routes.EngineSpec{Models: []routes.Model{{Name: "m"}}, AdapterSlots: 4}}}}, ConfigOrigin{})
	n.applyUpstreams(s.now, s.now, 1, []upstreams.Upstream{{ID: "e0", Service: "llm"}})
	holder := n.holders["e0"]
	w := &worker{node: n, id: "e0", fencingToken: holder.Revision, wake: make(chan struct{}, 1), orderDone: make(chan struct{}), lease: holders.Lease{RenewedAt: n.opts.BootClock()}}
	run := func(d time.Duration) {
		for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(workerInterval) {
			for w.step(context.Background()) {
			}
		}
	}
	run(time.Second)
	s.Assert(w.canOrder(), qt.IsTrue)
	run(2 * holders.LeaseDuration)
	s.Assert(w.canOrder(), qt.IsFalse)
	reports := engines.reports
	w.renewLease(n.opts.BootClock(), holder)
	run(5 * time.Second)
	s.Check(w.canOrder(), qt.IsTrue)
	s.Check(engines.reports-reports <= 5, qt.IsTrue, qt.Commentf("%d reports", engines.reports-reports))
}
