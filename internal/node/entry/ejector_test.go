package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/node/entry"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	base   = "base"
	region = state.Region("cascadia")
)

var blitz = state.AdapterRef{Service: "advice", Adapter: "blitz", Version: "v1"}

func engines(n int) *state.Fleet {
	fleet := state.NewFleet()
	for i := range n {
		fleet.Put(state.Upstream{
			ID: state.UpstreamID(fmt.Sprintf("engine-%d", i)), Kind: state.KindEngine, Base: base, Region: region,
			Owner: "owner", Healthy: true, Batch: 8, Slots: 4, Resident: []state.AdapterRef{blitz},
		})
	}
	return fleet
}

func TestFailingEngineIsEjectedAndReturnsAfterAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := engines(4)
		router := routing.NewScored(routing.Options{Fleet: fleet, Weights: routing.DefaultWeights(), Rand: rand.New(rand.NewPCG(1, 2))})
		ejector := entry.NewEjector(fleet, region)
		go ejector.Run(t.Context())
		req := &routing.Request{Adapter: blitz, Base: base, Region: region, Repeatable: true}
		broken := router.Pick(time.Now(), req).Upstream.ID
		serve := func() (state.UpstreamID, bool) {
			c := router.Pick(time.Now(), req)
			result := routing.Result{Total: time.Second, Tokens: 20}
			if c.Upstream.ID == broken {
				result.Outcome = routing.OutcomeFailed
			}
			for _, tracker := range []routing.Tracker{router, ejector} {
				tracker.Sent(time.Now(), req, c)
			}
			time.Sleep(10 * time.Millisecond)
			for _, tracker := range []routing.Tracker{router, ejector} {
				tracker.Ended(time.Now(), req, c, result)
			}
			return c.Upstream.ID, result.Outcome == routing.OutcomeOK
		}
		failed := 0
		for range 6000 { // a minute
			if _, ok := serve(); !ok {
				failed++
			}
		}
		// Three failures eject the engine. After that, only the probes after 2, 4, 8, 16
		// and 32 s fail.
		qt.Check(t, failed <= 3+5, qt.IsTrue, qt.Commentf("%d requests failed", failed))
		qt.Check(t, failed >= 5, qt.IsTrue, qt.Commentf("only %d probes were sent", failed-3))
		recovered := broken
		broken = ""
		served := 0
		for range 9000 {
			if id, _ := serve(); id == recovered {
				served++
			}
		}
		qt.Check(t, served > 100, qt.IsTrue, qt.Commentf("%d requests after recovery", served))
	})
}
