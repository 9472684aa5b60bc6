package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All engines are busy. A request that waits in an engine's queue would be refused by all other
// engines, so the gateway must not abort it.
func TestARequestStaysAtABusyEngineIfNoOtherIsFaster(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
		time.Sleep(900 * time.Millisecond)
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		_, _ = w.Write([]byte("0\r\n\r\n"))
	})
	w := newFixture(t, u)
	got, _, err := w.do("/stream/", "x")
	w.Assert(err, qt.IsNil)
	w.Assert(got.StatusCode, qt.Equals, http.StatusOK)
	w.Assert(u.arrivals(), qt.Equals, 1)
}

// An engine accepts requests but never responds, while another engine is idle.
func TestARequestMovesFromASilentEngineToAnIdleOne(t *testing.T) {
	neverRespond := func(_ int, _ *http.Request, w net.Conn) { _, _ = w.Read(make([]byte, 1)) }
	respond := func(_ int, r *http.Request, w net.Conn) {
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		_, _ = w.Write([]byte("0\r\n\r\n"))
	}
	silent, idle := serveUpstream(t, "a", neverRespond), serveUpstream(t, "b", respond)
	w := newFixture(t, silent, idle)
	for range 4 { // at least one of them is sent to the silent engine first
		begin := time.Now()
		got, _, err := w.do("/stream/", "x")
		w.Assert(err, qt.IsNil)
		w.Assert(got.StatusCode, qt.Equals, http.StatusOK)
		w.Assert(time.Since(begin) < 1500*time.Millisecond, qt.IsTrue)
	}
}
