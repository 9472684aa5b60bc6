package ejection_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/ejection"
	"github.com/celerydeck/celerydeck/internal/state"
)

var start = time.Unix(1000, 0)

func id(i int) state.UpstreamID { return state.UpstreamID(fmt.Sprintf("engine-%d", i)) }

// detector returns an outlier detector for a group of groupSize upstreams.
func detector(groupSize int) *ejection.Detector {
	d := ejection.NewDetector(ejection.DefaultOptions())
	d.Handle(start, ejection.GroupSize{Count: groupSize})
	return d
}

// fail reports count failures of an upstream and returns the resulting gate changes.
func fail(d *ejection.Detector, now time.Time, upstream state.UpstreamID, count int) []ejection.SetGate {
	var gates []ejection.SetGate
	for range count {
		gates = append(gates, d.Handle(now, ejection.Result{Upstream: upstream, Failed: true})...)
	}
	return gates
}

func TestEjectedUpstreamIsReadmittedAfterOneSuccessfulProbe(t *testing.T) {
	d := detector(4)
	gates := fail(d, start, id(0), 3)
	qt.Assert(t, gates, qt.HasLen, 1)
	qt.Assert(t, gates[0].Gate, qt.Equals, state.GateClosed)
	qt.Assert(t, d.Handle(start.Add(time.Second), ejection.Tick{}), qt.HasLen, 0)
	now := start.Add(gates[0].EjectionTime)
	gates = d.Handle(now, ejection.Tick{})
	qt.Assert(t, gates[0].Gate, qt.Equals, state.GateProbe)
	d.Handle(now, ejection.ProbeSent{Upstream: id(0)})
	qt.Assert(t, d.Handle(now, ejection.Result{Upstream: id(0), Failed: true}), qt.HasLen, 0) // the request was sent before the ejection
	gates = d.Handle(now, ejection.Result{Upstream: id(0), Probe: true})
	qt.Assert(t, gates[0].Gate, qt.Equals, state.GateOpen)
	qt.Assert(t, d.Ejected(), qt.Equals, 0)
}

func TestFailedProbeDoublesTheEjectionTime(t *testing.T) {
	d := detector(4)
	now := start
	gates := fail(d, now, id(0), 3)
	for _, want := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		qt.Assert(t, gates[0].EjectionTime, qt.Equals, want*time.Second)
		now = now.Add(gates[0].EjectionTime)
		d.Handle(now, ejection.Tick{})
		d.Handle(now, ejection.ProbeSent{Upstream: id(0)})
		gates = d.Handle(now, ejection.Result{Upstream: id(0), Failed: true, Probe: true})
	}
}

func TestFailureOnProbationEjectsAtOnce(t *testing.T) {
	d := detector(4)
	now := start.Add(fail(d, start, id(0), 3)[0].EjectionTime)
	d.Handle(now, ejection.Tick{})
	d.Handle(now, ejection.ProbeSent{Upstream: id(0)})
	d.Handle(now, ejection.Result{Upstream: id(0), Probe: true})
	gates := fail(d, now, id(0), 1)
	qt.Assert(t, gates, qt.HasLen, 1)
	qt.Assert(t, gates[0].Reason, qt.Equals, ejection.ReasonProbationFailed)
}

func TestProbeThatTimesOutIsRepeated(t *testing.T) {
	d := detector(4)
	now := start.Add(fail(d, start, id(0), 3)[0].EjectionTime)
	d.Handle(now, ejection.Tick{})
	d.Handle(now, ejection.ProbeSent{Upstream: id(0)})
	now = now.Add(ejection.DefaultOptions().ProbeTimeout)
	gates := d.Handle(now, ejection.Tick{})
	qt.Assert(t, gates, qt.HasLen, 1)
	qt.Assert(t, gates[0].Gate, qt.Equals, state.GateProbe)
}

func TestUpstreamSlowerThanItsPeersIsEjected(t *testing.T) {
	d := detector(6)
	for i := range 6 {
		latency := 30 * time.Millisecond
		if i == 2 {
			latency = 300 * time.Millisecond
		}
		for range 10 {
			d.Handle(start, ejection.Result{Upstream: id(i), UnitLatency: latency})
		}
	}
	gates := d.Handle(start, ejection.Tick{})
	qt.Assert(t, gates, qt.HasLen, 1)
	qt.Assert(t, gates[0].Upstream, qt.Equals, id(2))
	now := start.Add(gates[0].EjectionTime)
	d.Handle(now, ejection.Tick{})
	d.Handle(now, ejection.ProbeSent{Upstream: id(2)})
	gates = d.Handle(now, ejection.Result{Upstream: id(2), UnitLatency: 300 * time.Millisecond, Probe: true})
	qt.Assert(t, gates[0].Reason, qt.Equals, ejection.ReasonProbeFailed)
}

func TestUniformlySlowGroupIsNotEjected(t *testing.T) {
	d := detector(6)
	for i := range 6 {
		for range 10 {
			d.Handle(start, ejection.Result{Upstream: id(i), UnitLatency: 2 * time.Second})
		}
	}
	qt.Assert(t, d.Handle(start, ejection.Tick{}), qt.HasLen, 0)
}

func TestGroupOfOneIsNeverEjected(t *testing.T) {
	qt.Assert(t, fail(detector(1), start, id(0), 100), qt.HasLen, 0)
}

func TestEjectionsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "group size")
		d := detector(n)
		gates := make(map[state.UpstreamID]state.Gate)
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			upstream := id(rapid.IntRange(0, n-1).Draw(rt, "upstream"))
			var event ejection.Event
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				event = ejection.ProbeSent{Upstream: upstream}
			case 1:
				event = ejection.Tick{}
			case 2:
				event = ejection.Restarted{Upstream: upstream}
			case 3:
				event = ejection.ProbeInconclusive{Upstream: upstream}
			case 4:
				n = rapid.IntRange(1, 12).Draw(rt, "new group size")
				event = ejection.GroupSize{Count: n}
			default:
				event = ejection.Result{
					Upstream:    upstream,
					Failed:      rapid.Bool().Draw(rt, "failed"),
					UnitLatency: time.Duration(rapid.IntRange(1, 2000).Draw(rt, "unit latency")) * time.Millisecond,
					Probe:       rapid.Bool().Draw(rt, "probe"),
				}
			}
			for _, g := range d.Handle(now, event) {
				gates[g.Upstream] = g.Gate
			}
			notOpen := 0
			for _, g := range gates {
				if g != state.GateOpen {
					notOpen++
				}
			}
			if notOpen != d.Ejected() || notOpen > d.MaxEjected() {
				rt.Fatalf("%d gates are not open, Ejected returns %d, limit %d of %d upstreams", notOpen, d.Ejected(), d.MaxEjected(), n)
			}
		}
	})
}
