package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against upstreams that are ejected, and requests that run twice, because the daemon has no memory for a
// response.
func TestAResponseWithoutMemoryIsNoFailureOfItsUpstream(t *testing.T) {
	const piece = 4 << 10 // a small body takes as much
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "answer") })
	w := newFixture(t, u)
	memory, taken := w.gateway.Bodies(), int64(0)
	for memory.Take(nil, piece, 0, 0) {
		taken += piece
	}
	memory.Release(nil, piece) // room for the request, but not for its response
	for i := range 6 {
		resp, _, err := w.do("/plain/", "x")
		w.Assert(err, qt.IsNil)
		w.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
		w.Assert(u.arrivals(), qt.Equals, i+1)
	}
	memory.Release(nil, taken-piece)
	resp, text, err := w.do("/plain/", "x")
	w.Assert(err, qt.IsNil)
	w.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	w.Assert(text, qt.Equals, "answer")
}

// Guards against long events that take more memory than there is, and against upstreams that are ejected because of them.
func TestALongEventWithoutMemoryIsNoFailureOfItsUpstream(t *testing.T) {
	const piece = 4 << 10
	event := "data: " + strings.Repeat("x", 1<<20) + "\n\n"
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { streamFramings["a length"](r, w, event, event) })
	w := newFixture(t, u)
	memory, taken := w.gateway.Bodies(), int64(0)
	for memory.Take(nil, piece, 0, 0) {
		taken += piece
	}
	memory.Release(nil, piece) // room for the request, but not for the event
	for i := range 3 {
		resp, _, err := w.do("/appfixed/", "x")
		w.Assert(err, qt.IsNil)
		w.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
		w.Assert(u.arrivals(), qt.Equals, i+1)
	}
	memory.Release(nil, taken-piece)
	for range 200 { // more than all memory, if an event kept its own
		_, text, err := w.do("/appfixed/", "x")
		w.Assert(err, qt.IsNil)
		w.Assert(len(text), qt.Equals, len(event))
	}
}
