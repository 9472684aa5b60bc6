package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

func newActivityTable() *activityTable {
	return &activityTable{engines: make(map[state.UpstreamID]*engineActivity)}
}

func TestStalledEngineHasItsRequestsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newActivityTable()
		a := table.watch(t.Context(), "engine-1")
		b := table.watch(t.Context(), "engine-1")
		time.Sleep(2 * time.Second)
		a.recordPart()
		lastActive := time.Now()
		<-a.ctx.Done()
		<-b.ctx.Done()
		qt.Check(t, time.Since(lastActive), qt.Equals, stallTimeout)
		qt.Check(t, a.stallError("step", &state.Upstream{ID: "engine-1"}), qt.IsNotNil)
		a.stop()
		b.stop()
		qt.Check(t, table.engines, qt.HasLen, 0)
	})
}

func TestRequestThatWaitsBehindOthersIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newActivityTable()
		urgent := table.watch(t.Context(), "engine-1")
		queued := table.watch(t.Context(), "engine-1")
		for range 30 {
			time.Sleep(time.Second)
			urgent.recordPart()
		}
		qt.Check(t, queued.ctx.Err(), qt.IsNil)
		urgent.stop()
		queued.stop()
	})
}

func TestSlowCallerDoesNotCountAsStalledEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newActivityTable().watch(t.Context(), "engine-1")
		a.setDelivering(true)
		time.Sleep(time.Minute)
		a.setDelivering(false)
		qt.Check(t, a.ctx.Err(), qt.IsNil)
		time.Sleep(stallTimeout + time.Millisecond)
		qt.Check(t, context.Cause(a.ctx), qt.Equals, errStalled)
		a.stop()
	})
}
