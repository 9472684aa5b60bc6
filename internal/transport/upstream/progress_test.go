package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

func newTable() *progressTable {
	return &progressTable{engines: make(map[state.UpstreamID]*engineProgress)}
}

func TestHungEngineEndsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		a := table.watch(t.Context(), "engine-1")
		b := table.watch(t.Context(), "engine-1")
		time.Sleep(2 * time.Second)
		a.part()
		began := time.Now()
		<-a.ctx.Done()
		<-b.ctx.Done()
		qt.Check(t, time.Since(began), qt.Equals, stallTimeout)
		qt.Check(t, a.stalled("step", &state.Upstream{ID: "engine-1"}), qt.IsNotNil)
		a.stop()
		b.stop()
		qt.Check(t, table.engines, qt.HasLen, 0)
	})
}

func TestRequestBehindOthersIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		urgent := table.watch(t.Context(), "engine-1")
		waits := table.watch(t.Context(), "engine-1")
		for range 30 {
			time.Sleep(time.Second)
			urgent.part()
		}
		qt.Check(t, waits.ctx.Err(), qt.IsNil)
		urgent.stop()
		waits.stop()
	})
}

func TestSlowCallerDoesNotCountAsStalledEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTable().watch(t.Context(), "engine-1")
		a.setHandover(true)
		time.Sleep(time.Minute)
		a.setHandover(false)
		qt.Check(t, a.ctx.Err(), qt.IsNil)
		time.Sleep(stallTimeout + time.Millisecond)
		qt.Check(t, context.Cause(a.ctx), qt.Equals, errStalled)
		a.stop()
	})
}
