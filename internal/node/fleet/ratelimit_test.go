package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
)

// TestALimitThatOneDaemonIsToldReachesAllDaemons guards against daemons of a large fleet that each
// have to send a request to learn of a limit, or of its end.
func TestALimitThatOneDaemonIsToldReachesAllDaemons(t *testing.T) {
	for _, each := range []int{2, 12} {
		s := newSim(t, 3, each)
		s.rounds(3)
		limited := func() int {
			n := 0
			for _, node := range s.nodes {
				node.opts.View.WithTracker(func(t *balance.Tracker) {
					if t.HasRateLimit("e0") {
						n++
					}
				})
			}
			return n
		}
		s.nodes["z1-01"].opts.View.SetRateLimit("e0", balance.RateLimit{PerSecond: 2})
		s.rounds(6)
		s.Check(limited(), qt.Equals, 3*each)
		s.rounds(50)
		s.Check(limited(), qt.Equals, 3*each)
		s.nodes["z2-00"].opts.View.SetRateLimit("e0", balance.RateLimit{Ended: true})
		s.rounds(8)
		s.Check(limited(), qt.Equals, 0)
	}
}
