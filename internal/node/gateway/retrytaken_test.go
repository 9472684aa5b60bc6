package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// retriesLeft returns the retries that are left in the budget after a request that its first engine rejects,
// and for which the given numbers of lease holders refuse a load and a prompt before its second attempt.
func retriesLeft(t *testing.T, refusedLoads, refusedPrompts int) (left int) {
	respond := func(_ int, r *http.Request, w net.Conn) { breakingOnce(2, r, w) }
	reject := func(_ int, _ *http.Request, w net.Conn) {
		_, _ = io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	w := newPacedFixtureAt(t, serveUpstream(t, "a", reject), serveUpstream(t, "b", respond), serveUpstream(t, "c", respond))
	var list []upstreams.Upstream
	for _, u := range w.view.Upstreams() {
		if u.ID != "a-llm" {
			u.Residency.Adapters = nil
		}
		list = append(list, *u)
	}
	w.view.SetUpstreams(time.Now(), list)
	w.view.SetLoadable(map[state.UpstreamID]bool{"b-llm": true, "c-llm": true})
	w.loader.requestLoad = func(context.Context, protocol.LoadRequest) protocol.LoadReply {
		refusedLoads--
		return protocol.LoadReply{Accepted: refusedLoads < 0}
	}
	w.pacer.reserve = func(msg protocol.PromptReservation) protocol.PromptReservationReply {
		if msg.Upstream != "a-llm" {
			refusedPrompts--
		}
		return protocol.PromptReservationReply{Known: true, Accepted: msg.Upstream == "a-llm" || refusedPrompts < 0, Delay: time.Millisecond}
	}
	status, _ := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusOK)
	for w.view.TakeRetry("llm") {
		left++
	}
	return left
}

// Guards against one retry that is taken from the budget several times, because a lease holder refuses a load
// or a prompt before it is sent.
func TestARetryIsTakenFromTheBudgetOnce(t *testing.T) {
	c := qt.New(t)
	left := retriesLeft(t, 0, 0)
	c.Assert(left > 0, qt.IsTrue)
	c.Check(retriesLeft(t, 1, 0), qt.Equals, left)
	c.Check(retriesLeft(t, 0, 1), qt.Equals, left)
}
