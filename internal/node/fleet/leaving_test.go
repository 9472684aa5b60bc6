package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// TestThatAnUpstreamLeavesReachesAllDaemons guards against daemons that each have to send a request to
// learn that an upstream leaves, and against a belief about one run that applies to the next.
func TestThatAnUpstreamLeavesReachesAllDaemons(t *testing.T) {
	for _, each := range []int{2, 12} {
		s := newSim(t, 3, each)
		u := upstreams.Upstream{ID: "e0", Service: "llm", Addr: "10.0.0.1:1", StartTime: 5}
		next := u
		next.StartTime = 6
		show := func(u upstreams.Upstream) {
			for _, n := range s.nodes {
				n.opts.View.SetUpstreams(s.now, []upstreams.Upstream{u})
			}
		}
		barred := func(u upstreams.Upstream) int {
			count := 0
			for _, n := range s.nodes {
				if n.opts.View.Eligibility(&u, false).Reason == eligibility.Leaving {
					count++
				}
			}
			return count
		}
		show(u)
		s.rounds(3)
		s.nodes["z1-01"].opts.View.RecordSignals(&u, eligibility.Signals{Leaving: true}, false, ResponseCause{Status: 200})
		s.rounds(6)
		s.Check(barred(u), qt.Equals, 3*each)
		s.Check(barred(next), qt.Equals, 0)
		show(next)
		s.rounds(6)
		s.Check(barred(next), qt.Equals, 0)
		for _, n := range s.nodes {
			s.Check(n.opts.View.OwnLeaving(), qt.HasLen, 0)
		}
	}
}

// Guards against an upstream that took the address of another one and leaves, but stays in use because a
// 421 was meant for the other one.
func TestA421SaysThatTheUpstreamAtItsAddressLeaves(t *testing.T) {
	s := newSim(t, 1, 1)
	v := s.nodes["z0-00"].opts.View
	old := upstreams.Upstream{ID: "old", Service: "llm", Addr: "10.0.0.1:1", StartTime: 1}
	present := upstreams.Upstream{ID: "present", Service: "llm", Addr: old.Addr, StartTime: 2}
	other := upstreams.Upstream{ID: "other", Service: "llm", Addr: "10.0.0.2:1", StartTime: 3}
	v.SetUpstreams(s.now, []upstreams.Upstream{present, other})
	v.RecordSignals(&old, eligibility.Signals{Leaving: true}, false, ResponseCause{Status: 200})
	s.Check(v.Eligibility(&present, false).IsBarred(), qt.IsFalse)
	v.RecordSignals(&old, eligibility.Signals{Leaving: true}, true, ResponseCause{Status: 421})
	s.Check(v.Eligibility(&present, false).Reason, qt.Equals, eligibility.Leaving)
	s.Check(v.Eligibility(&other, false).IsBarred(), qt.IsFalse)
}
