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
)

// result is the response to a request that was sent in the background.
type result struct {
	status int
	err    error // of the request, or of reading its body
}

// start sends a request in the background.
func (w *fixture) start(r *http.Request) <-chan result {
	done := make(chan result, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			done <- result{err: err}
			return
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		done <- result{resp.StatusCode, err}
	}()
	return done
}

// waitingFixture returns a fixture with an upstream that does not answer, and the requests of the
// stream route in progress: one waits for a load, the others are at the upstream.
func waitingFixture(t *testing.T, respond func(n int, r *http.Request, w net.Conn)) (w *fixture, waiting <-chan result) {
	w = newFixture(t, serveUpstream(t, "a", respond))
	w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true})
	requested := make(chan struct{})
	w.loader.requestLoad = func(ctx context.Context, _ protocol.LoadRequest) protocol.LoadReply {
		close(requested)
		<-ctx.Done()
		return protocol.LoadReply{Reason: ctx.Err().Error()}
	}
	r := w.request("/fixed/", "x")
	r.Header.Set("X-Model", model+"/rare")
	waiting = w.start(r)
	<-requested
	return w, waiting
}

// Guards against requests that get no answer because the daemon exits while they wait in it, or
// while an upstream runs them.
func TestTheRequestsInProgressAreAnsweredAtTheEndOfAShutdown(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	atUpstream := make(chan struct{}, 3)
	w, waiting := waitingFixture(t, func(_ int, r *http.Request, w net.Conn) {
		if r.Header.Get("X-Request-Id") == "started" {
			streamHead(r, w)
			chunk(w, "id: 0\ndata: x\n\n")
		}
		atUpstream <- struct{}{}
		<-hold
	})
	once := w.start(w.request("/once/", "x"))
	repeatable := w.start(w.request("/plain/", "x"))
	r := w.request("/fixed/", "x")
	r.Header.Set("X-Request-Id", "started")
	started, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer started.Body.Close()
	w.Assert(started.StatusCode, qt.Equals, http.StatusOK)
	for range 3 {
		<-atUpstream
	}
	w.gateway.RefuseAll()
	begin := time.Now()
	w.gateway.EndAll()
	got := <-waiting
	w.Check(got, qt.Equals, result{status: http.StatusServiceUnavailable}, qt.Commentf("it has not run"))
	for name, done := range map[string]<-chan result{"once": once, "repeatable": repeatable} {
		got := <-done
		w.Check(got, qt.Equals, result{status: http.StatusBadGateway}, qt.Commentf("%s: it may have run", name))
	}
	_, err = io.Copy(io.Discard, started.Body)
	w.Check(err, qt.IsNotNil, qt.Commentf("the stream must not look complete"))
	w.Check(time.Since(begin) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
	w.Check(w.gateway.ActiveRequests(), qt.Equals, int64(0))
	resp, _, err := w.do("/once/", "x")
	w.Assert(err, qt.IsNil)
	w.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against a request that waits in a daemon until the daemon exits, although it could have
// been served by another one.
func TestARequestThatCannotEndBeforeTheExitIsRefusedWhileItWaits(t *testing.T) {
	w, waiting := waitingFixture(t, func(_ int, r *http.Request, w net.Conn) { ok(r, w, "answer") })
	begin := time.Now()
	w.gateway.RefuseLongRequests(begin.Add(500 * time.Millisecond)) // less than the mean time of a stream
	got := <-waiting
	w.Assert(got, qt.Equals, result{status: http.StatusServiceUnavailable})
	w.Assert(time.Since(begin) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
}
