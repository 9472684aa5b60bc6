package owner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// A load that keeps failing is reported from its second failure in a row until a load of the
// adapter succeeds or failingTTL has passed. However many adapters fail to load, the worker
// must track at most maxFailingLoads of them.
func TestFailingLoadsAreUnbounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := &worker{
		u:            &state.Upstream{ID: "e1"},
		loadStarts:   make(map[state.AdapterRef]time.Time),
		failingLoads: make(map[state.AdapterRef]failingLoad),
	}
	m := &Manager{workers: map[state.UpstreamID]*worker{"e1": w}}
	failure := protocol.Errorf(protocol.KindUnavailable, "load", protocol.OutcomeUnknown, "no such file")
	ref := state.AdapterRef{Service: "advice", Adapter: "blitz", Version: "v1"}
	w.recordLoadResult(ref, now, failure)
	qt.Assert(t, m.Conditions(now), qt.HasLen, 0)
	w.recordLoadResult(ref, now.Add(time.Minute), failure)
	got := m.Conditions(now.Add(time.Minute))
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0].Detail, qt.Equals, "2 failures on e1, last: no such file")
	qt.Assert(t, got[0].Since, qt.Equals, now.UTC())
	w.recordLoadResult(ref, now, nil)
	qt.Assert(t, m.Conditions(now), qt.HasLen, 0)
	for i := range 2 * maxFailingLoads {
		other := state.AdapterRef{Service: "advice", Adapter: fmt.Sprint(i), Version: "v1"}
		w.recordLoadResult(other, now, failure)
		w.recordLoadResult(other, now, failure)
	}
	qt.Assert(t, m.Conditions(now), qt.HasLen, maxFailingLoads)
	qt.Assert(t, m.Conditions(now.Add(2*failingTTL)), qt.HasLen, 0)
	qt.Assert(t, w.failingLoads, qt.HasLen, 0)
}

// A load that is in flight for stalledAfter must be reported; a more recent load must not.
func TestStalledLoadLooksLikeAFreshLoad(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := &worker{u: &state.Upstream{ID: "e1"}, loadStarts: map[state.AdapterRef]time.Time{{Adapter: "blitz"}: now}}
	m := &Manager{workers: map[state.UpstreamID]*worker{"e1": w}}
	qt.Assert(t, m.Conditions(now.Add(stalledAfter-1)), qt.HasLen, 0)
	qt.Assert(t, m.Conditions(now.Add(stalledAfter))[0].Detail, qt.Equals, "loading on e1 for 5s")
}

// A load delays a request only while the request is queued: a load that started earlier must
// not count in full.
func TestStallCountsTimeBeforeTheRequest(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	span := loadSpan{start: at(10), end: at(20)}
	for _, c := range []struct{ from, to, want int }{{0, 30, 10}, {15, 30, 5}, {0, 12, 2}, {21, 30, 0}, {0, 5, 0}} {
		qt.Check(t, span.overlap(at(c.from), at(c.to)), qt.Equals, time.Duration(c.want)*time.Second)
	}
}
