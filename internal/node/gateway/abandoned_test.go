package gateway_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/holdlink"
)

// behindLink returns an upstream with the same ID that is reached through a link.
func behindLink(t *testing.T, u *upstream) (*upstream, *holdlink.Link) {
	t.Helper()
	link, err := holdlink.New(u.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return &upstream{id: u.id, addr: link.Addr}, link
}

// Guards against an upstream that runs a request after its caller got an answer or left. A zone
// was cut off for 5.5 s, and requests reached an engine seconds after it had been acknowledged as
// leaving.
func TestARequestThatHasEndedNeverReachesTheUpstream(t *testing.T) {
	const deadline = "X-Deadline-Ms"
	for name, test := range map[string]struct {
		path string
		end  func(w *fixture, leave context.CancelFunc) // ends the request; nil for the deadline
		body int
	}{
		"deadline":                   {path: "/plain/"},
		"deadline, not repeatable":   {path: "/once/"},
		"deadline of a stream":       {path: "/stream/"},
		"deadline with a long body":  {path: "/once/", body: 1 << 20},
		"caller left":                {path: "/once/", end: func(_ *fixture, leave context.CancelFunc) { leave() }},
		"caller of a stream left":    {path: "/fixed/", end: func(_ *fixture, leave context.CancelFunc) { leave() }},
		"caller left in a long body": {path: "/once/", body: 1 << 20, end: func(_ *fixture, leave context.CancelFunc) { leave() }},
		"daemon stops":               {path: "/stream/", end: func(w *fixture, _ context.CancelFunc) { w.gateway.EndAll() }},
	} {
		t.Run(name, func(t *testing.T) {
			u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "answer") })
			cut, link := behindLink(t, u)
			w := newFixture(t, cut)
			link.Cut()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			r := w.request(test.path, string(make([]byte, test.body))).WithContext(ctx)
			if test.end == nil {
				r.Header.Set(deadline, "200")
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if resp, err := http.DefaultClient.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			}()
			link.AwaitHeld(1)
			if test.end != nil {
				test.end(w, leave)
			}
			<-ended
			link.AwaitEnds(1)
			link.Heal()
			link.AwaitFlushed(1)
			w.Assert(link.DeliveredLate(), qt.Equals, 0)
			w.Assert(u.arrivals(), qt.Equals, 0)
		})
	}
}

// Guards against a first attempt that runs after a second one has served the request.
func TestAnAttemptThatLostToAnotherNeverReachesTheUpstream(t *testing.T) {
	for _, path := range []string{"/plain/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			respond := func(_ int, r *http.Request, w net.Conn) {
				if path == "/plain/" {
					ok(r, w, "answer")
					return
				}
				streamHead(r, w)
				chunk(w, "id: 0\ndata: x\n\n")
				_, _ = w.Write([]byte("0\r\n\r\n"))
			}
			silent, idle := serveUpstream(t, "a", respond), serveUpstream(t, "b", respond)
			cut, link := behindLink(t, silent)
			w := newFixture(t, cut, idle)
			link.Cut()
			for range 8 { // the first choice among equals is random
				got, _, err := w.do(path, "x")
				w.Assert(err, qt.IsNil)
				w.Assert(got.StatusCode, qt.Equals, http.StatusOK)
				if link.Ends() > 0 {
					break
				}
			}
			link.AwaitEnds(1)
			link.Heal()
			link.AwaitFlushed(1)
			w.Assert(link.DeliveredLate(), qt.Equals, 0)
			w.Assert(silent.arrivals(), qt.Equals, 0)
		})
	}
}

// Guards against a request on a pooled connection over a link that has gone silent since its last
// use.
func TestARequestOnAnIdleConnectionThatHasEndedNeverReachesTheUpstream(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "answer") })
	cut, link := behindLink(t, u)
	w := newFixture(t, cut)
	got, _, err := w.do("/plain/", "x")
	w.Assert(err, qt.IsNil)
	w.Assert(got.StatusCode, qt.Equals, http.StatusOK)
	link.Cut()
	for range 2 { // the second one must not use another idle connection
		r := w.request("/once/", "x")
		r.Header.Set("X-Deadline-Ms", "200")
		resp, err := http.DefaultClient.Do(r)
		w.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		w.Assert(resp.StatusCode, qt.Not(qt.Equals), http.StatusOK)
	}
	link.AwaitEnds(1)
	link.Heal()
	link.AwaitFlushed(1)
	w.Assert(link.DeliveredLate(), qt.Equals, 0)
	w.Assert(u.arrivals(), qt.Equals, 1)
}
