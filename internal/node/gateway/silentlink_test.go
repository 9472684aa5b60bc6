package gateway_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silenceTestLimit is longer than silenceLimit and shorter than the deadline of the requests.
const silenceTestLimit = 1600 * time.Millisecond

// Guards against an attempt that waits at a silent link until the link heals, and then arrives at
// an upstream that has left. No other upstream is there that would end the wait.
func TestARepeatableAttemptOverASilentLinkIsGivenUpBeforeItsDeadline(t *testing.T) {
	for _, path := range []string{"/plain/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "answer") })
			cut, link := behindLink(t, u)
			w := newProbingFixture(t, func(context.Context, string) error { return errors.New("no answer") }, cut)
			link.Cut()
			got, _, err := w.do(path, "x")
			w.Assert(err, qt.IsNil)
			w.Assert(got.StatusCode, qt.Equals, http.StatusBadGateway) // 504 at the deadline
			link.AwaitEnds(1)
			link.Heal()
			link.AwaitFlushed(1)
			w.Assert(link.DeliveredLate(), qt.Equals, 0)
		})
	}
}

// Guards against the end of an attempt that may be running and must not repeat, and against the
// end of one that waits at a busy engine.
func TestASlowAttemptIsKeptIfItMustNotRepeatOrTheLinkAnswers(t *testing.T) {
	for _, path := range []string{"/once/", "/fixed/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
				time.Sleep(silenceTestLimit)
				if path == "/once/" {
					ok(r, w, "answer")
					return
				}
				streamHead(r, w)
				chunk(w, "id: 0\ndata: x\n\n")
				_, _ = w.Write([]byte("0\r\n\r\n"))
			})
			w := newProbingFixture(t, func(context.Context, string) error { return nil }, u)
			got, _, err := w.do(path, "x")
			w.Assert(err, qt.IsNil)
			w.Assert(got.StatusCode, qt.Equals, http.StatusOK)
			w.Assert(u.arrivals(), qt.Equals, 1)
		})
	}
}

// Guards against a request over a link that accepts connections although it is cut: some links
// deliver it when they heal, although it was reset.
func TestAfterASilenceAnEngineAnswersAProbeBeforeTheNextRequest(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		_, _ = w.Write([]byte("0\r\n\r\n"))
	})
	cut, link := behindLink(t, u)
	var isCut atomic.Bool
	var probes atomic.Int32
	w := newProbingFixture(t, func(context.Context, string) error {
		probes.Add(1)
		if isCut.Load() {
			return errors.New("no answer")
		}
		return nil
	}, cut)
	send := func() int {
		r := w.request("/fixed/", "x")
		r.Header.Set("X-Deadline-Ms", "300")
		resp, err := http.DefaultClient.Do(r)
		w.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	isCut.Store(true)
	link.Cut()
	w.Assert(send(), qt.Equals, http.StatusGatewayTimeout)
	link.AwaitEnds(1)
	w.Assert(probes.Load(), qt.Equals, int32(0))
	w.Assert(send(), qt.Equals, http.StatusServiceUnavailable) // it has not run
	w.Assert(probes.Load(), qt.Equals, int32(1))
	w.Assert(link.Held(), qt.Equals, 0)
	isCut.Store(false)
	link.Heal()
	for send() != http.StatusOK { // the result of the probe holds for a while, and the engine is ejected
		time.Sleep(50 * time.Millisecond)
	}
	w.Assert(u.arrivals(), qt.Equals, 1)
	w.Assert(link.DeliveredLate(), qt.Equals, 0)
}
