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
	limits  = Limits{LatencyObjective: 500 * time.Millisecond, MaxStartDelay: 1200 * time.Millisecond}
	request = Request{Rank: 0, TokensIn: 1000, TokensOut: 200, Zone: "z1"}
)

const memory = 140_000

func engines(n int, replicas ...int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		id := state.UpstreamID(fmt.Sprintf("e%d", i))
		list[i] = Candidate{Upstream: &upstreams.Upstream{ID: id, Zone: "z1", Slots: 64}, Loadable: true}
	}
	for _, i := range replicas {
		list[i].Resident, list[i].Loadable = true, false
	}
	return list
}

func choose(t *Tracker, r Request, list []Candidate) Decision {
	return t.ChooseEngine(now, r, adapt, list, memory, limits, 0.5)
}

func TestAnIdleReplicaIsChosen(t *testing.T) {
	c := qt.New(t)
	d := choose(NewTracker(), request, engines(4, 2))
	c.Assert(d.Upstream.ID, qt.Equals, state.UpstreamID("e2"))
	c.Assert(d.Load, qt.IsFalse)
	c.Assert(d.ReplicateTo, qt.IsNil)
}

func TestARareAdapterIsLoadedAtItsPreferredEngine(t *testing.T) {
	c := qt.New(t)
	first := choose(NewTracker(), request, engines(6))
	c.Assert(first.Load, qt.IsTrue)
	tr := NewTracker()
	for i := range 6 { // one short prompt at the preferred engine does not move the load
		if id := state.UpstreamID(fmt.Sprintf("e%d", i)); id != first.Upstream.ID {
			continue
		}
		tr.Begin(now, first.Upstream.ID, Request{TokensIn: 500})
	}
	c.Assert(choose(tr, request, engines(6)).Upstream.ID, qt.Equals, first.Upstream.ID)
}

// During a burst of requests for one adapter, its only replica is busy and other engines are
// idle.
func TestABusyReplicaCausesReplication(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	for range 4 {
		tr.Begin(now, "e2", Request{Rank: 0, TokensIn: 1000})
	}
	d := choose(tr, request, engines(4, 2))
	c.Assert(d.Upstream.ID, qt.Equals, state.UpstreamID("e2"))
	c.Assert(d.ReplicateTo, qt.IsNotNil)
	c.Assert(d.ReplicateTo.ID, qt.Not(qt.Equals), state.UpstreamID("e2"))
}

// A flood of requests that no engine can serve is refused at once, with a Retry-After.
func TestARequestThatCannotStartInTimeIsRefused(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(3, 0, 1, 2)
	for _, e := range list {
		for range 40 {
			tr.Begin(now, e.Upstream.ID, Request{Rank: 0, TokensIn: 1000})
		}
	}
	d := choose(tr, request, list)
	c.Assert(d.Upstream, qt.IsNil)
	c.Assert(d.RetryAfter >= minRetryAfter, qt.IsTrue)
	c.Assert(d.RetryAfter <= maxRetryAfter*3/2, qt.IsTrue)
}

// A flood of less urgent requests does not delay urgent ones.
func TestUrgentRequestsAreNotRefusedForLessUrgentOnes(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(2, 0, 1)
	for _, e := range list {
		for range 30 {
			tr.Begin(now, e.Upstream.ID, Request{Rank: 2, TokensIn: 1000})
		}
	}
	c.Assert(choose(tr, request, list).Upstream, qt.IsNotNil)
	low := request
	low.Rank = 2
	c.Assert(choose(tr, low, list).Upstream, qt.IsNil)
}

func TestAnEjectedEngineIsUsedOnlyIfThereIsNoOther(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.RecordFailure(now, "e0", true)
	c.Assert(choose(tr, request, engines(2, 0, 1)).Upstream.ID, qt.Equals, state.UpstreamID("e1"))
	c.Assert(choose(tr, request, engines(1, 0)).Upstream.ID, qt.Equals, state.UpstreamID("e0"))
}

// While a zone was unreachable, all requests were sent to the same dead upstream again
// whenever its ejection ended, and lost time there.
func TestOneRequestProbesAnEjectedUpstream(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	list := engines(2)
	for i := range list {
		list[i].Upstream.Slots = 6
	}
	list[1].Upstream.Zone = "z2" // makes e0 the preferred upstream
	tr.RecordFailure(now, "e0", true)
	later := now.Add(minEjectionTime)
	pick := func() state.UpstreamID { return tr.ChoosePlain(later, request, list, limits, 0).Upstream.ID }
	tr.healthOf("e0").failureRate = 0 // its failure penalty has decayed
	c.Assert(pick(), qt.Equals, state.UpstreamID("e0"))
	c.Assert(pick(), qt.Equals, state.UpstreamID("e1"))
	tr.RecordSuccess(later, "e0")
	c.Assert(pick(), qt.Equals, state.UpstreamID("e0"))
}

func TestRequestsOfPeersCountUntilTheirReportExpires(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.SetPeerInFlight(now, "d2", map[state.UpstreamID]InFlight{"e0": {Requests: 3, KVTokens: 100}})
	c.Assert(tr.InFlight(now, "e0").Requests, qt.Equals, 3)
	c.Assert(tr.InFlight(now.Add(peerInFlightTTL+1), "e0").Requests, qt.Equals, 0)
}

func TestEndedRequestsAreNotInFlight(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	for _, hadFirstEvent := range []bool{true, false} {
		tr.Begin(now, "e0", request)
		if hadFirstEvent {
			tr.FirstEvent("e0", request)
		}
		tr.End("e0", request, hadFirstEvent)
	}
	c.Assert(tr.InFlight(now, "e0"), qt.Equals, InFlight{})
}

func TestAPlainServiceIsBalancedByReportedLoad(t *testing.T) {
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

// A burst of requests for one adapter while many engines are idle. Its replicas are busy,
// and so are the first engines of the rendezvous order.
func TestAPopularAdapterReachesAnIdleEngineAtALaterPosition(t *testing.T) {
	c := qt.New(t)
	list := engines(30, 0, 1, 2, 3)
	tr := NewTracker()
	fill := func(id state.UpstreamID) {
		for range 80 {
			tr.Begin(now, id, Request{TokensIn: 10})
		}
	}
	for i := range 4 {
		fill(list[i].Upstream.ID)
	}
	positions := rendezvousPositions(adapt, list)
	for i := range list {
		if !list[i].Resident && positions[i] < 3 {
			fill(list[i].Upstream.ID)
		}
		list[i].LoadDelay = 50 * time.Millisecond
	}
	d := choose(tr, request, list)
	c.Assert(d.Upstream, qt.IsNotNil)
	c.Assert(d.Load, qt.IsTrue)
	c.Assert(tr.InFlight(now, d.Upstream.ID).Requests, qt.Equals, 0)
}

// Many daemons with the same view of the engines choose for one adapter at the same time.
func TestDaemonsWithTheSameViewSpreadOverSimilarReplicas(t *testing.T) {
	c := qt.New(t)
	list := engines(10, 0, 1, 2, 3)
	tr := NewTracker()
	tr.Begin(now, "e0", Request{TokensIn: 300})
	for range 40 {
		tr.Begin(now, "e3", Request{TokensIn: 1000})
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

// At engines with few slots and long streams, slots become free slowly.
func TestTheEstimatedWaitForASlotGrowsWithStreamTime(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	u := &upstreams.Upstream{ID: "e1", Slots: 10}
	for range 20 {
		tr.Begin(now, "e1", Request{})
	}
	before := tr.EstimateFirstEvent(now, u, 0, Request{})
	for range 500 {
		tr.ObserveStreamTime(4 * time.Second)
	}
	after := tr.EstimateFirstEvent(now, u, 0, Request{})
	c.Assert(after > before+before/2, qt.IsTrue, qt.Commentf("%s, then %s", before, after))
	c.Assert(after > 4*time.Second, qt.IsTrue)
}

func TestRequestsOfASilentPeerDoNotCount(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.SetPeerInFlight(now, "vm-1", map[state.UpstreamID]InFlight{"e1": {Requests: 3, KVTokens: 900}})
	tr.SetPeerInFlight(now.Add(time.Second), "vm-2", map[state.UpstreamID]InFlight{"e1": {Requests: 2}, "e2": {Requests: 1}})
	tr.SetPeerInFlight(now.Add(time.Second), "vm-1", map[state.UpstreamID]InFlight{"e1": {Requests: 4}})
	c.Assert(tr.InFlight(now.Add(time.Second), "e1").Requests, qt.Equals, 6)
	tr.SetPeerInFlight(now.Add(2*time.Second), "vm-2", map[state.UpstreamID]InFlight{"e2": {Requests: 1}})
	c.Assert(tr.InFlight(now.Add(time.Second+peerInFlightTTL+1), "e1").Requests, qt.Equals, 0)
	c.Assert(tr.InFlight(now.Add(time.Second+peerInFlightTTL+1), "e2").Requests, qt.Equals, 1)
	c.Assert(tr.InFlight(now.Add(2*time.Second+peerInFlightTTL+1), "e2").Requests, qt.Equals, 0)
	c.Assert(tr.peerSums, qt.HasLen, 0)
}

// The time that a choice takes must not grow with the number of peers, and must grow less
// than linearly with the number of engines.
func BenchmarkChooseEngine(b *testing.B) {
	for _, size := range []struct{ engines, peers int }{{12, 12}, {90, 83}, {6200, 390}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			list := engines(size.engines, 3, 5)
			tr := NewTracker()
			for p := range size.peers {
				inFlight := make(map[state.UpstreamID]InFlight)
				for e := range 20 {
					inFlight[list[(p*7+e)%len(list)].Upstream.ID] = InFlight{Requests: 2, KVTokens: 3000}
				}
				tr.SetPeerInFlight(now, state.DaemonID(fmt.Sprint(p)), inFlight)
			}
			b.ReportAllocs()
			for b.Loop() {
				choose(tr, request, list)
			}
		})
	}
}

// In a flood of rare adapters, loading an adapter at any engine with capacity would evict
// adapters that other requests need. The second engine of the rendezvous order loads a rare
// adapter only if the load would start at once.
func TestRareAdaptersStayAtPreferredEnginesInAFlood(t *testing.T) {
	c := qt.New(t)
	list := engines(12)
	positions := rendezvousPositions(adapt, list)
	first := 0
	for i := range list {
		list[i].LoadDelay = 100 * time.Millisecond
		if positions[i] == 0 {
			first = i
		}
	}
	d := choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.Equals, list[first].Upstream)
	list[first].AtCapacity = true
	d = choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.IsNil, qt.Commentf("the other engines do not load it"))
	c.Assert(d.AtCapacity, qt.Equals, 1)
	c.Assert(d.NotPreferred, qt.Equals, 11)
	c.Assert(d.RetryAfter >= NoEngineRetryAfter, qt.IsTrue)
	for i := range list {
		list[i].LoadDelay = 0
	}
	d = choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.IsNotNil, qt.Commentf("idle engines load it"))
}

// Guards against plain services' streams that are refused at an idle upstream because their whole time is taken for the time
// until they begin, and against streams that are sent to a full upstream as if it was idle.
func TestAStreamOfAPlainServiceIsRefusedOnlyForItsWaitingTime(t *testing.T) {
	c := qt.New(t)
	tr, now := NewTracker(), time.Unix(100, 0)
	u := &upstreams.Upstream{ID: "a", Service: "app", Zone: "z", Slots: 2}
	for range 50 {
		tr.ObservePlainFirstEvent("a", 20*time.Millisecond)
		tr.ObservePlainStream("a", 30*time.Second, 30*time.Second)
	}
	r, lim := Request{IsStream: true, Zone: "z"}, Limits{LatencyObjective: 500 * time.Millisecond, MaxStartDelay: 1200 * time.Millisecond}
	for range 2 {
		d := tr.ChoosePlain(now, r, []Candidate{{Upstream: u, Resident: true}}, lim, 0)
		c.Check(d.Upstream, qt.Equals, u)
		c.Check(d.Estimate < 50*time.Millisecond, qt.IsTrue, qt.Commentf("estimate %v", d.Estimate))
		tr.Begin(now, "a", r)
		if tr.InFlight(now, "a").Requests == 2 {
			break
		}
	}
	c.Check(tr.ChoosePlain(now, r, []Candidate{{Upstream: u, Resident: true}}, lim, 0).Upstream, qt.IsNil)
	c.Check(tr.MeanPlainStreamTime() > 15*time.Second, qt.IsTrue)
	c.Check(tr.MeanStreamTime(), qt.Equals, initialStreamTime)
}
