package gateway_test

import (
	"net"
	"net/http"
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
