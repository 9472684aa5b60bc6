package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	base   = "base"
	region = state.Region("cascadia")
)

var start = time.Unix(1000, 0)

func ref(i int) state.AdapterRef {
	return state.AdapterRef{Service: "advice", Adapter: fmt.Sprintf("adapter-%d", i), Version: "v1"}
}

func engine(i int) state.Upstream {
	return state.Upstream{
		ID: state.UpstreamID(fmt.Sprintf("engine-%d", i)), Kind: state.KindEngine, Base: base,
		Zone: state.Zone(fmt.Sprintf("zone-%d", i%4)), Region: region, Owner: "owner",
		Healthy: true, Batch: 8, Slots: 16, ReportedAt: start,
	}
}

func newRouter(fleet *state.Fleet, seed uint64) *routing.Scored {
	return routing.NewScored(routing.Options{
		Fleet:   fleet,
		Weights: routing.DefaultWeights(),
		Rand:    rand.New(rand.NewPCG(seed, seed)),
	})
}

func request(i int) *routing.Request {
	return &routing.Request{Adapter: ref(i), Base: base, Region: region, Zone: "zone-0", Repeatable: true}
}

// If daemons chose different engines for an adapter that is resident nowhere, each of them
// would cause a load.
func TestDaemonsChooseTheSameEngineForAColdAdapter(t *testing.T) {
	for a := range 200 {
		engines := make(map[state.UpstreamID]int)
		for daemon := range 20 {
			fleet := state.NewFleet()
			for i := range 12 {
				fleet.Put(engine((i + daemon) % 12)) // each daemon discovers the engines in another order
			}
			req := request(a)
			req.Zone = state.Zone(fmt.Sprintf("zone-%d", daemon%4))
			engines[newRouter(fleet, uint64(daemon)).Pick(start, req).Upstream.ID]++
		}
		qt.Assert(t, engines, qt.HasLen, 1, qt.Commentf("adapter %d went to %v", a, engines))
	}
}

// Until the next report, the same engine appears least loaded to all daemons. If all of
// them chose it, it would be overloaded.
func TestStaleReportDoesNotDrawAllDaemonsToOneEngine(t *testing.T) {
	const daemons, requests, replicas = 60, 4, 4
	sent := make(map[state.UpstreamID]int)
	for daemon := range daemons {
		fleet := state.NewFleet()
		for i := range replicas {
			u := engine(i)
			u.Resident = []state.AdapterRef{ref(1)}
			u.Running, u.Queued = 8, 8+i // engine-0 looks least loaded until the next report
			fleet.Put(u)
		}
		r := newRouter(fleet, uint64(daemon))
		r.SetDaemons(daemons)
		for range requests {
			c := r.Pick(start, request(1))
			r.Sent(start, request(1), c)
			sent[c.Upstream.ID]++
		}
	}
	for id, n := range sent {
		qt.Check(t, n < daemons*requests/2, qt.IsTrue, qt.Commentf("%s got %d of %d", id, n, daemons*requests))
	}
	qt.Assert(t, sent, qt.HasLen, replicas)
}

// A request to an unused replica would keep the replica from being evicted.
func TestIdleReplicasStayUnusedAtLowLoad(t *testing.T) {
	fleet := state.NewFleet()
	for i := range 6 {
		u := engine(i)
		u.Resident = []state.AdapterRef{ref(1)}
		fleet.Put(u)
	}
	r := newRouter(fleet, 1)
	first := r.Pick(start, request(1)).Upstream.ID
	for range 100 {
		qt.Assert(t, r.Pick(start, request(1)).Upstream.ID, qt.Equals, first)
	}
}

func TestOverloadedReplicaSpillsToTheNextEngineOfTheRendezvousOrder(t *testing.T) {
	fleet := state.NewFleet()
	for i := range 12 {
		fleet.Put(engine(i))
	}
	r := newRouter(fleet, 1)
	order := fleet.Engines(base, region).Order(ref(1).Hash())
	fleet.Update(order[0].ID(), func(u *state.Upstream) {
		u.Resident = []state.AdapterRef{ref(1)}
	})
	qt.Assert(t, r.Pick(start, request(1)).Upstream.ID, qt.Equals, order[0].ID())
	fleet.Update(order[0].ID(), func(u *state.Upstream) { u.Running, u.Queued = 8, 40 })
	c := r.Pick(start, request(1))
	qt.Assert(t, c.Upstream.ID, qt.Equals, order[1].ID())
	qt.Assert(t, c.Resident, qt.IsFalse)
}

func TestIneligibleUpstreamsAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := state.NewFleet()
		eligible := 0
		for i := range rapid.IntRange(1, 12).Draw(rt, "engines") {
			u := engine(i)
			u.Resident = []state.AdapterRef{ref(i % 3)}
			switch rapid.IntRange(0, 6).Draw(rt, "fault") {
			case 0:
				u.Leaving = true
			case 1:
				u.Healthy = false
			case 2:
				u.ReportedAt = start.Add(-time.Hour)
			case 3:
				u.Owner = ""
			case 4:
				u.Role = state.RolePrefill
			case 5:
				u.Base = "other"
			default:
				eligible++
			}
			fleet.Put(u)
			if rapid.Bool().Draw(rt, "ejected") {
				fleet.Entry(u.ID).SetGate(state.GateClosed)
			}
		}
		r := newRouter(fleet, rapid.Uint64().Draw(rt, "seed"))
		c := r.Pick(start, request(rapid.IntRange(0, 3).Draw(rt, "adapter")))
		u := c.Upstream
		if (u != nil) != (eligible > 0) {
			rt.Fatalf("chose %v of %d eligible engines", u, eligible)
		}
		if u == nil {
			return
		}
		if u.Leaving || !u.Healthy || !u.ReportedAt.Equal(start) || u.Owner == "" || u.Base != base || u.Role == state.RolePrefill {
			rt.Fatalf("chose the ineligible engine %+v", u)
		}
	})
}

func TestProbeIsSentOnceAndOnlyByRepeatableRequests(t *testing.T) {
	fleet := state.NewFleet()
	for i := range 2 {
		u := engine(i)
		u.Resident = []state.AdapterRef{ref(1)}
		fleet.Put(u)
	}
	fleet.Entry("engine-0").SetGate(state.GateProbe)
	r := newRouter(fleet, 1)
	once := request(1)
	once.Repeatable = false
	qt.Assert(t, r.Pick(start, once).Upstream.ID, qt.Equals, state.UpstreamID("engine-1"))
	c := r.Pick(start, request(1))
	qt.Assert(t, c.Probe, qt.IsTrue)
	qt.Assert(t, c.Upstream.ID, qt.Equals, state.UpstreamID("engine-0"))
	qt.Assert(t, r.Pick(start, request(1)).Upstream.ID, qt.Equals, state.UpstreamID("engine-1"))
}

func TestPlainServicePrefersItsZoneAndAvoidsTheBusyInstance(t *testing.T) {
	fleet := state.NewFleet()
	for i := range 4 {
		u := engine(i)
		u.ID = state.UpstreamID(fmt.Sprintf("booking-%d", i))
		u.Kind, u.Service, u.Base = state.KindPlain, "booking", ""
		fleet.Put(u)
	}
	r := newRouter(fleet, 1)
	req := &routing.Request{Service: "booking", Region: region, Zone: "zone-2"}
	qt.Assert(t, r.Pick(start, req).Upstream.ID, qt.Equals, state.UpstreamID("booking-2"))
	fleet.Update("booking-2", func(u *state.Upstream) { u.Running, u.Queued = 8, 50 })
	qt.Assert(t, r.Pick(start, req).Upstream.ID, qt.Not(qt.Equals), state.UpstreamID("booking-2"))
}
