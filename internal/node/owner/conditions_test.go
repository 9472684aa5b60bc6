package owner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

func TestFailingLoadsAreUnbounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := &worker{
		u:       &state.Upstream{ID: "e1"},
		loading: make(map[state.AdapterRef]time.Time),
		failing: make(map[state.AdapterRef]failingLoad),
	}
	m := &Manager{workers: map[state.UpstreamID]*worker{"e1": w}}
	failure := protocol.Errorf(protocol.KindUnavailable, "load", protocol.OutcomeUnknown, "no such file")
	ref := state.AdapterRef{Service: "advice", Adapter: "blitz", Version: "v1"}
	w.noteLoad(ref, now, failure)
	qt.Assert(t, m.Conditions(now), qt.HasLen, 0)
	w.noteLoad(ref, now.Add(time.Minute), failure)
	got := m.Conditions(now.Add(time.Minute))
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0].Detail, qt.Equals, "2 failures on e1, last: no such file")
	qt.Assert(t, got[0].Since, qt.Equals, now.UTC())
	w.noteLoad(ref, now, nil)
	qt.Assert(t, m.Conditions(now), qt.HasLen, 0)
	for i := range 2 * maxFailing {
		other := state.AdapterRef{Service: "advice", Adapter: fmt.Sprint(i), Version: "v1"}
		w.noteLoad(other, now, failure)
		w.noteLoad(other, now, failure)
	}
	qt.Assert(t, m.Conditions(now), qt.HasLen, maxFailing)
	qt.Assert(t, m.Conditions(now.Add(2*failingFor)), qt.HasLen, 0)
	qt.Assert(t, w.failing, qt.HasLen, 0)
}

func TestStalledLoadLooksLikeAFreshOne(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := &worker{u: &state.Upstream{ID: "e1"}, loading: map[state.AdapterRef]time.Time{{Adapter: "blitz"}: now}}
	m := &Manager{workers: map[state.UpstreamID]*worker{"e1": w}}
	qt.Assert(t, m.Conditions(now.Add(stalledAfter-1)), qt.HasLen, 0)
	qt.Assert(t, m.Conditions(now.Add(stalledAfter))[0].Detail, qt.Equals, "loading on e1 for 5s")
}

func TestStallCountsTimeBeforeTheRequest(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	span := loadSpan{start: at(10), end: at(20)}
	for _, c := range []struct{ from, to, want int }{{0, 30, 10}, {15, 30, 5}, {0, 12, 2}, {21, 30, 0}, {0, 5, 0}} {
		qt.Check(t, span.overlap(at(c.from), at(c.to)), qt.Equals, time.Duration(c.want)*time.Second)
	}
}
