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
