package fleet

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// TestADaemonThatDoesNotKnowItsPeersTakesNoWholeLimit guards against a daemon that has just started
// and sends all that an upstream accepts from all daemons.
func TestADaemonThatDoesNotKnowItsPeersTakesNoWholeLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	log := decisionlog.New(io.Discard, "vm")
	t.Cleanup(log.Close)
	view := NewView(ViewOptions{Log: log, Clock: func() time.Time { return now }})
	view.SetRateLimit("e0", balance.RateLimit{PerSecond: 10})
	sent := 0
	for range 400 { // 4 s
		now = now.Add(10 * time.Millisecond)
		if view.Admit(&upstreams.Upstream{ID: "e0"}, balance.Request{}, upstreams.Adapter{}) == 0 {
			sent++
		}
	}
	c.Assert(sent <= 40/minDaemonCount+1, qt.IsTrue, qt.Commentf("%d", sent))
}

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
					if _, ok := t.RateLimit("e0"); ok {
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
