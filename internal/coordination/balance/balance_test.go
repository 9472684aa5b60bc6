package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

var (
	now     = time.Unix(1000, 0)
	adapt   = upstreams.Adapter{Model: "m", Name: "a1"}
	limits  = Limits{Goal: 500 * time.Millisecond, MaxStartDelay: 1200 * time.Millisecond}
	request = Request{Rank: 0, TokensIn: 1000, TokensOut: 200, Zone: "z1"}
)

const memory = 140_000

func engines(n int, holders ...int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		id := state.UpstreamID(fmt.Sprintf("e%d", i))
		list[i] = Candidate{Upstream: &upstreams.Upstream{ID: id, Zone: "z1", Slots: 64}, Loadable: true}
	}
	for _, i := range holders {
		list[i].Resident, list[i].Loadable = true, false
	}
	return list
}

func choose(t *Tracker, r Request, list []Candidate) Decision {
	return t.ChooseEngine(now, r, adapt, list, memory, limits, 0.5)
}

func TestAnIdleHolderTakesTheRequest(t *testing.T) {
	c := qt.New(t)
	d := choose(NewTracker(), request, engines(4, 2))
	c.Assert(d.Upstream.ID, qt.Equals, state.UpstreamID("e2"))
	c.Assert(d.Load, qt.IsFalse)
	c.Assert(d.ReplicateTo, qt.IsNil)
}

func TestARareAdapterIsLoadedAtItsHome(t *testing.T) {
	c := qt.New(t)
	first := choose(NewTracker(), request, engines(6))
	c.Assert(first.Load, qt.IsTrue)
	tr := NewTracker()
	for i := range 6 { // light work elsewhere does not move it
		if id := state.UpstreamID(fmt.Sprintf("e%d", i)); id != first.Upstream.ID {
			continue
		}
		tr.Begin(first.Upstream.ID, Request{TokensIn: 500})
	}
	c.Assert(choose(tr, request, engines(6)).Upstream.ID, qt.Equals, first.Upstream.ID)
}

// Answers a burst of one popular adapter: its holder is late, others are idle.
func TestALateHolderGetsAReplica(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	for range 4 {
		tr.Begin("e2", Request{Rank: 0, TokensIn: 1000})
	}
	d := choose(tr, request, engines(4, 2))
	c.Assert(d.Upstream.ID, qt.Equals, state.UpstreamID("e2"))
	c.Assert(d.ReplicateTo, qt.IsNotNil)
	c.Assert(d.ReplicateTo.ID, qt.Not(qt.Equals), state.UpstreamID("e2"))
}

// Answers a flood that no engine can take: refused at once, with a time to come back.
func TestWhatCannotBeginInTimeIsRefused(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(3, 0, 1, 2)
	for _, e := range list {
		for range 40 {
			tr.Begin(e.Upstream.ID, Request{Rank: 0, TokensIn: 1000})
		}
	}
	d := choose(tr, request, list)
	c.Assert(d.Upstream, qt.IsNil)
	c.Assert(d.RetryAfter >= minRetryAfter, qt.IsTrue)
	c.Assert(d.RetryAfter <= maxRetryAfter*3/2, qt.IsTrue)
}

// Answers a flood of the least urgent kind: urgent work does not see it.
func TestUrgentWorkIsNotRefusedForLessUrgentWork(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(2, 0, 1)
	for _, e := range list {
		for range 30 {
			tr.Begin(e.Upstream.ID, Request{Rank: 2, TokensIn: 1000})
		}
	}
	c.Assert(choose(tr, request, list).Upstream, qt.IsNotNil)
	low := request
	low.Rank = 2
	c.Assert(choose(tr, low, list).Upstream, qt.IsNil)
}

func TestASuspendedEngineIsUsedOnlyIfThereIsNoOther(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.RecordFailure(now, "e0", true)
	c.Assert(choose(tr, request, engines(2, 0, 1)).Upstream.ID, qt.Equals, state.UpstreamID("e1"))
	c.Assert(choose(tr, request, engines(1, 0)).Upstream.ID, qt.Equals, state.UpstreamID("e0"))
}

// Answers a zone cut: after each suspension all requests met the same dead upstream
// again and lost their time to it.
func TestOneRequestProbesASuspendedUpstream(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(2)
	for i := range list {
		list[i].Upstream.Slots = 6
	}
	list[1].Upstream.Zone = "z2" // the other one is preferred
	tr.RecordFailure(now, "e0", true)
	later := now.Add(minBench)
	pick := func() state.UpstreamID { return tr.ChoosePlain(later, request, list, limits, 0).Upstream.ID }
	tr.healthOf("e0").failed = 0 // its penalty has faded
	c.Assert(pick(), qt.Equals, state.UpstreamID("e0"))
	c.Assert(pick(), qt.Equals, state.UpstreamID("e1"))
	tr.RecordSuccess(later, "e0")
	c.Assert(pick(), qt.Equals, state.UpstreamID("e0"))
}

func TestWorkOfPeersCountsWhileItIsFresh(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.SetPeerInFlight(now, "d2", map[state.UpstreamID]InFlight{"e0": {Requests: 3, KVTokens: 100}})
	c.Assert(tr.InFlight(now, "e0").Requests, qt.Equals, 3)
	c.Assert(tr.InFlight(now.Add(peerFresh+1), "e0").Requests, qt.Equals, 0)
}

func TestBeginAndEndLeaveNoWork(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	for _, read := range []bool{true, false} {
		tr.Begin("e0", request)
		if read {
			tr.FirstEvent("e0", request)
		}
		tr.End("e0", request, read)
	}
	c.Assert(tr.InFlight(now, "e0"), qt.Equals, InFlight{})
}

func TestAPlainServiceIsBalancedByItsLoad(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(3)
	for i := range list {
		list[i].Upstream.Slots = 6
	}
	tr.SetReportedLoad(now, "e0", ReportedLoad{Running: 6, Waiting: 4, Slots: 6})
	tr.SetReportedLoad(now, "e1", ReportedLoad{Running: 6, Waiting: 0, Slots: 6})
	d := tr.ChoosePlain(now, request, list, limits, 0)
	c.Assert(d.Upstream.ID, qt.Equals, state.UpstreamID("e2"))
	c.Assert(tr.ChoosePlain(now, request, nil, limits, 0).Upstream, qt.IsNil)
}

// Pattern: a burst for one popular adapter while many engines idle. Its copies are
// busy, and so are the engines at which the next copies would be looked for first.
func TestAPopularAdapterFindsAnIdleEngineFarther(t *testing.T) {
	c := qt.New(t)
	list := engines(30, 0, 1, 2, 3)
	tr := NewTracker()
	fill := func(id state.UpstreamID) {
		for range 80 {
			tr.Begin(id, Request{TokensIn: 10})
		}
	}
	for i := range 4 {
		fill(list[i].Upstream.ID)
	}
	order := homes(adapt, list)
	for i := range list {
		if !list[i].Resident && order[i] < 3 {
			fill(list[i].Upstream.ID)
		}
		list[i].LoadDelay = 50 * time.Millisecond
	}
	d := choose(tr, request, list)
	c.Assert(d.Upstream, qt.IsNotNil)
	c.Assert(d.Load, qt.IsTrue)
	c.Assert(tr.InFlight(now, d.Upstream.ID).Requests, qt.Equals, 0)
}

// Pattern: many daemons ask for a popular adapter at the same moment, each with the
// same knowledge of the engines.
func TestDaemonsWithTheSameKnowledgeSpreadOverHoldersAlike(t *testing.T) {
	c := qt.New(t)
	list := engines(10, 0, 1, 2, 3)
	tr := NewTracker()
	tr.Begin("e0", Request{TokensIn: 300})
	for range 40 {
		tr.Begin("e3", Request{TokensIn: 1000})
	}
	chosen := make(map[state.UpstreamID]int)
	for i := range 100 {
		chosen[tr.ChooseEngine(now, request, adapt, list, memory, limits, float64(i)/100).Upstream.ID]++
	}
	for _, id := range []state.UpstreamID{"e0", "e1", "e2"} {
		c.Check(chosen[id] > 25, qt.IsTrue, qt.Commentf("%v", chosen))
	}
	c.Check(chosen["e3"], qt.Equals, 0, qt.Commentf("it is busy"))
}

// Pattern: engines with few slots whose streams are long. A slot becomes free seldom.
func TestAWaitForASlotFollowsFromTheTimeOfStreams(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	u := &upstreams.Upstream{ID: "e1", Slots: 10}
	for range 20 {
		tr.Begin("e1", Request{})
	}
	before := tr.EstimateFirstEvent(now, u, 0, Request{})
	for range 500 {
		tr.ObserveStreamTime(4 * time.Second)
	}
	after := tr.EstimateFirstEvent(now, u, 0, Request{})
	c.Assert(after > before+before/2, qt.IsTrue, qt.Commentf("%s, then %s", before, after))
	c.Assert(after > 4*time.Second, qt.IsTrue)
}

func TestWorkOfAPeerThatFellSilentDoesNotCount(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.SetPeerInFlight(now, "vm-1", map[state.UpstreamID]InFlight{"e1": {Requests: 3, KVTokens: 900}})
	tr.SetPeerInFlight(now.Add(time.Second), "vm-2", map[state.UpstreamID]InFlight{"e1": {Requests: 2}, "e2": {Requests: 1}})
	tr.SetPeerInFlight(now.Add(time.Second), "vm-1", map[state.UpstreamID]InFlight{"e1": {Requests: 4}})
	c.Assert(tr.InFlight(now.Add(time.Second), "e1").Requests, qt.Equals, 6)
	tr.SetPeerInFlight(now.Add(2*time.Second), "vm-2", map[state.UpstreamID]InFlight{"e2": {Requests: 1}})
	c.Assert(tr.InFlight(now.Add(time.Second+peerFresh+1), "e1").Requests, qt.Equals, 0)
	c.Assert(tr.InFlight(now.Add(time.Second+peerFresh+1), "e2").Requests, qt.Equals, 1)
	c.Assert(tr.InFlight(now.Add(2*time.Second+peerFresh+1), "e2").Requests, qt.Equals, 0)
	c.Assert(tr.sums, qt.HasLen, 0)
}

// The cost of a choice must not grow with the number of peers, and less than
// linearly per engine.
func BenchmarkChooseEngine(b *testing.B) {
	for _, size := range []struct{ engines, peers int }{{12, 12}, {90, 83}, {6200, 390}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			list := engines(size.engines, 3, 5)
			tr := NewTracker()
			for p := range size.peers {
				works := make(map[state.UpstreamID]InFlight)
				for e := range 20 {
					works[list[(p*7+e)%len(list)].Upstream.ID] = InFlight{Requests: 2, KVTokens: 3000}
				}
				tr.SetPeerInFlight(now, state.DaemonID(fmt.Sprint(p)), works)
			}
			b.ReportAllocs()
			for b.Loop() {
				choose(tr, request, list)
			}
		})
	}
}

// Pattern: a flood of rare adapters. At any engine with room, copies would drive out
// what others need; a second engine takes one only if its load would begin at once.
func TestRareAdaptersStayAtTheFirstEnginesInAFlood(t *testing.T) {
	c := qt.New(t)
	list := engines(12)
	order := homes(adapt, list)
	first := 0
	for i := range list {
		list[i].LoadDelay = 100 * time.Millisecond
		if order[i] == 0 {
			first = i
		}
	}
	d := choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.Equals, list[first].Upstream)
	list[first].AtCapacity = true
	d = choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.IsNil, qt.Commentf("the others do not take a copy"))
	c.Assert(d.AtCapacity, qt.Equals, 1)
	c.Assert(d.NotPreferred, qt.Equals, 11)
	c.Assert(d.RetryAfter >= NoEngineRetryAfter, qt.IsTrue)
	for i := range list {
		list[i].LoadDelay = 0
	}
	d = choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.IsNotNil, qt.Commentf("idle engines take one"))
}
