package state_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/state"
)

func adapter(i int) state.AdapterRef {
	return state.AdapterRef{Service: "advice", Adapter: fmt.Sprintf("a%d", i), Version: "v1"}
}

func engine(i int) state.Upstream {
	return state.Upstream{
		ID: state.UpstreamID(fmt.Sprintf("engine-%d", i)), Kind: state.KindEngine,
		Base: "base", Region: "region", Zone: state.Zone(fmt.Sprintf("zone-%d", i%3)),
	}
}

// expectedFleet is a reference model: the upstreams that the fleet must list.
type expectedFleet map[state.UpstreamID]state.Upstream

func (m expectedFleet) replicas(a state.AdapterRef) map[state.UpstreamID]bool {
	want := make(map[state.UpstreamID]bool)
	for id, u := range m {
		if u.HasResident(a) {
			want[id] = true
		} else if slices.Contains(u.Loading, a) {
			want[id] = false
		}
	}
	return want
}

// order computes the whole rendezvous order of a key in a new fleet.
func (m expectedFleet) order(key uint64) []state.UpstreamID {
	recomputed := state.NewFleet()
	for _, u := range m {
		recomputed.Put(u)
	}
	var ids []state.UpstreamID
	g := recomputed.Engines("base", "region")
	for range m {
		next := firstExcept(g, key, ids)
		if next == "" {
			break
		}
		ids = append(ids, next)
	}
	return ids
}

func firstExcept(g *state.Group, key uint64, taken []state.UpstreamID) state.UpstreamID {
	if g == nil {
		return ""
	}
	e := g.First(key, func(e *state.Entry) bool { return !slices.Contains(taken, e.ID()) })
	if e == nil {
		return ""
	}
	return e.ID()
}

func TestIndexesMatchTheTableAfterEveryChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := state.NewFleet()
		m := make(expectedFleet)
		adapterSubset := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID)
		refs := func(label string) []state.AdapterRef {
			var out []state.AdapterRef
			for _, i := range adapterSubset.Draw(rt, label) {
				out = append(out, adapter(i))
			}
			return out
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			u := engine(rapid.IntRange(0, 9).Draw(rt, "engine"))
			switch rapid.IntRange(0, 3).Draw(rt, "change") {
			case 0:
				fleet.Delete(u.ID)
				delete(m, u.ID)
			default:
				u.Resident, u.Loading = refs("resident"), refs("loading")
				u.Leaving = rapid.Bool().Draw(rt, "leaving")
				fleet.Put(u)
				m[u.ID] = u
			}
			checkFleet(rt, fleet, m)
		}
	})
}

func checkFleet(rt *rapid.T, fleet *state.Fleet, m expectedFleet) {
	for i := range 6 {
		got := make(map[state.UpstreamID]bool)
		for _, h := range fleet.Replicas(adapter(i)) {
			got[h.Entry.ID()] = h.Ready
		}
		if want := m.replicas(adapter(i)); !maps.Equal(got, want) {
			rt.Fatalf("replicas of %s: got %v, want %v", adapter(i), got, want)
		}
	}
	g := fleet.Engines("base", "region")
	if g == nil {
		return
	}
	for key := range uint64(3) {
		want := m.order(key)
		for i, e := range g.Order(key) {
			if e == nil && i == len(want) {
				break
			}
			if e == nil || i >= len(want) || e.ID() != want[i] {
				rt.Fatalf("order of key %d differs at %d from %v", key, i, want)
			}
		}
	}
}

func TestOrderMovesOnlyTheKeysOfAnEngineThatLeaves(t *testing.T) {
	fleet := state.NewFleet()
	for i := range 50 {
		fleet.Put(engine(i))
	}
	g := fleet.Engines("base", "region")
	before := make([]state.Order, 2000)
	for key := range before {
		before[key] = g.Order(uint64(key))
	}
	fleet.Update("engine-7", func(u *state.Upstream) { u.Leaving = true })
	for key, order := range before {
		after := g.Order(uint64(key))
		if order[0].ID() == "engine-7" {
			qt.Assert(t, after[0], qt.Equals, order[1])
			continue
		}
		qt.Assert(t, after[0], qt.Equals, order[0])
	}
}

func TestRequestsThatAReportMayLackStayCounted(t *testing.T) {
	fleet := state.NewFleet()
	fleet.Put(engine(1))
	e := fleet.Entry("engine-1")
	start := time.Unix(1000, 0)
	e.RequestSent(start)
	e.RequestSent(start.Add(290 * time.Millisecond))
	fleet.Update(e.ID(), func(u *state.Upstream) { u.ReportedAt = start.Add(300 * time.Millisecond) })
	since, outstanding := e.LocalLoad()
	qt.Assert(t, since, qt.Equals, 1)
	qt.Assert(t, outstanding, qt.Equals, 2)
}

func TestOnlyOneCallerClaimsTheProbe(t *testing.T) {
	fleet := state.NewFleet()
	fleet.Put(engine(1))
	e := fleet.Entry("engine-1")
	e.SetGate(state.GateProbe)
	qt.Assert(t, e.ClaimProbe(), qt.IsTrue)
	qt.Assert(t, e.ClaimProbe(), qt.IsFalse)
	qt.Assert(t, e.Gate(), qt.Equals, state.GateClosed)
}
