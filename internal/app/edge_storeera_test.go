package app

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
)

// fences returns the highest fencing token of the orders of an engine from a time on, and whether they came from one VM.
func fences(e *modelengine.Engine, since time.Time) (highest uint64, owners map[string]bool) {
	owners = make(map[string]bool)
	for _, o := range e.Orders() {
		if o.At.After(since) {
			highest = max(highest, o.Fence)
			owners[o.Owner] = true
		}
	}
	return highest, owners
}

// Guards against daemons that go on with what they held of a store that has come back from an old copy, more than once and
// while they can't reach it: their lists, their leases and each other.
func TestDaemonsGoOnAfterTheStoreCameBackFromACopy(t *testing.T) {
	w := newEdgeCluster(t, 3, 2)
	for i := range 6 {
		w.eventuallyServed(w.edges[i%3], "/llm/x", fmt.Sprintf("a%d", i))
	}
	for round := range 2 {
		note := qt.Commentf("round %d", round)
		old := w.store.Copy()
		for i := range 300 { // the revisions since are given out again
			w.store.Put("other", "x", i)
		}
		time.Sleep(2 * time.Second) // each daemon has read a later revision
		before := make([]uint64, len(w.engines))
		for i, e := range w.engines {
			before[i], _ = fences(e, time.Time{})
		}
		restoredAt := time.Now()
		w.store.Restore(old)
		prefix := fmt.Sprintf("/new%d/", round)
		w.configure(2+round, prefix)
		for i, e := range w.edges {
			end := time.Now().Add(3 * time.Second)
			for status := 0; status != http.StatusOK; status, _ = w.send(e, prefix+"x", "a1") {
				w.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("round %d: daemon %d has no new configuration: %d", round, i, status))
				time.Sleep(50 * time.Millisecond)
			}
		}
		for i := range 6 { // loads go on with the leases that are held
			w.eventuallyServed(w.edges[i%3], prefix+"x", fmt.Sprintf("r%d-%d", round, i))
		}
		w.Assert(time.Since(restoredAt) < 8*time.Second, qt.IsTrue, note)
		for i, e := range w.engines {
			after, owners := fences(e, restoredAt)
			w.Assert(len(owners) <= 1, qt.IsTrue, qt.Commentf("round %d: orders of %v at engine %d", round, owners, i))
			w.Assert(len(owners) == 0 || after >= before[i], qt.IsTrue, qt.Commentf("round %d: token %x after %x at engine %d", round, after, before[i], i))
			w.Assert(e.Overfull(), qt.IsFalse, note)
		}
	}
	// An upstream that leaves is no longer used, although the revision of the list is lower than before.
	w.store.Delete("servers", "i-1")
	time.Sleep(2 * time.Second)
	begin := len(w.engines[1].Runs())
	for i := range 12 {
		w.eventuallyServed(w.edges[i%3], "/new1/x", "a1")
	}
	w.Assert(len(w.engines[1].Runs()), qt.Equals, begin)
}
