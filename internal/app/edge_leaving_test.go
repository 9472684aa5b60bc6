package app

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNoDaemonCallsAnEngineThatLeaves guards against requests, orders and requests for reports that reach an
// engine after the daemons have learned from its responses, or from each other, that it leaves.
func TestNoDaemonCallsAnEngineThatLeaves(t *testing.T) {
	w := newEdgeCluster(t, 2, 2)
	for i := range 4 {
		w.eventuallyServed(w.edges[i%2], "/llm/x", fmt.Sprintf("a%d", i))
	}
	w.engines[0].Leave()
	w.eventually("a response says that the engine leaves", func() bool {
		w.send(w.edges[0], "/llm/x", "a0")
		w.send(w.edges[0], "/llm/x", "a1")
		calls, _ := w.engines[0].Unwanted()
		return calls > 0
	})
	time.Sleep(time.Second) // several rounds of gossip
	before, _ := w.engines[0].Unwanted()
	for i := range 4 {
		w.eventuallyServed(w.edges[i%2], "/llm/x", fmt.Sprintf("a%d", i))
	}
	after, _ := w.engines[0].Unwanted()
	w.Check(after, qt.Equals, before)
	for _, e := range w.edges {
		w.Check(e.node.Load().Report().Upstreams[0].Barred.Reason, qt.Equals, "leaving")
	}
}
