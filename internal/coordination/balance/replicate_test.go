package balance

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// namedPositions returns how often each rendezvous position is named as the engine of another replica.
func namedPositions(tr *Tracker, ratio float64, list []Candidate) map[int]int {
	positions := rendezvousPositions(adapt, list)
	named := make(map[int]int)
	for i := range 100 {
		u := tr.replicaTarget(now, ratio, list, positions, float64(i)/100)
		for j := range list {
			if list[j].Upstream == u {
				named[positions[j]]++
			}
		}
	}
	return named
}

// Guards against daemons that each name another engine, so that an adapter gets far more replicas than it
// needs.
func TestAllDaemonsNameTheSameFewEnginesForReplicas(t *testing.T) {
	c := qt.New(t)
	list := engines(30, 0, 1)
	c.Check(namedPositions(NewTracker(), 2.5, list), qt.DeepEquals, map[int]int{0: 34, 1: 33, 2: 33})
	for _, ratio := range []float64{0, 1, -3, math.NaN()} {
		c.Check(namedPositions(NewTracker(), ratio, list), qt.HasLen, 0, qt.Commentf("%v", ratio))
	}
	c.Check(namedPositions(NewTracker(), math.Inf(1), list), qt.HasLen, maxMissingReplicas)
	c.Check(namedPositions(NewTracker(), 2, engines(30)), qt.HasLen, 0, qt.Commentf("without a replica"))
}

// Guards against replicas at engines that have less room than those that have the adapter.
func TestNoReplicaIsLoadedAtAFullerEngine(t *testing.T) {
	c := qt.New(t)
	list := engines(30, 0, 1)
	positions := rendezvousPositions(adapt, list)
	tr := NewTracker()
	begin := func(i, count int) {
		for range count {
			tr.Begin(now, list[i].Upstream.ID, Request{})
		}
	}
	begin(0, 10)
	begin(1, 10)
	for i := 2; i < len(list); i++ {
		switch positions[i] {
		case 0:
			begin(i, 11)
		case 1:
			list[i].AtCapacity = true
		case 2:
			tr.RecordFailure(now, list[i].Upstream.ID, true)
		case 3:
			begin(i, 10)
		}
	}
	c.Assert(namedPositions(tr, 1.5, list), qt.DeepEquals, map[int]int{3: 100})
}

// Guards against a request for a rare adapter that is refused while an engine behind the preferred ones
// could load it at once.
func TestARareAdapterIsLoadedBehindThePreferredEnginesIfTheyAcceptNoLoads(t *testing.T) {
	c := qt.New(t)
	list := engines(12)
	positions := rendezvousPositions(adapt, list)
	later := -1
	for i := range list {
		list[i].AtCapacity = positions[i] < preferredEnginesNoDelay
		list[i].LoadDelay = 100 * time.Millisecond
		if positions[i] == 7 {
			later = i
		}
	}
	d := choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.IsNil, qt.Commentf("a load elsewhere would wait"))
	list[later].LoadDelay = 0
	d = choose(NewTracker(), request, list)
	c.Assert(d.Upstream, qt.Equals, list[later].Upstream)
	c.Assert(d.Load, qt.IsTrue)
	tr := NewTracker()
	tr.RecordFailure(now, list[later].Upstream.ID, true)
	c.Assert(choose(tr, request, list).Upstream, qt.IsNil, qt.Commentf("an ejected engine loads no rare adapter"))
}

// Guards against a new connection for nearly each request of a large fleet's daemon, and against a busy
// replica that is chosen for its connection.
func TestAmongSimilarReplicasOneWithAConnectionIsChosen(t *testing.T) {
	c := qt.New(t)
	drawn := func(connected time.Duration) (count int) {
		for i := range 100 {
			list := engines(4, 0, 1, 2, 3)
			list[2].Connected = true
			var replicas []replica
			for j := range list {
				replicas = append(replicas, replica{candidate: &list[j], cost: 100 * time.Millisecond})
			}
			replicas[2].cost += connected
			if pickSimilar(replicas, float64(i)/100).candidate == &list[2] {
				count++
			}
		}
		return count
	}
	c.Check(drawn(0), qt.Equals, 100)
	c.Check(drawn(connectedCostRange), qt.Equals, 100)
	c.Check(drawn(connectedCostRange+1), qt.Equals, 0)
}
