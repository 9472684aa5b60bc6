package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/hedge"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/gateway"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
	"github.com/celerydeck/celerydeck/platform"
)

// hedgeCounts counts hedges by result and skipped ones by reason.
type hedgeCounts struct {
	mu        sync.Mutex
	counts    map[string]int
	cancelled int
}

func (h *hedgeCounts) Hedge(_, result string, cancelled bool, _ time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[result]++
	if cancelled {
		h.cancelled++
	}
}

func (h *hedgeCounts) HedgeSkipped(_, reason string) { h.Hedge("", "skipped: "+reason, false, 0) }

// get returns how often a result was counted.
func (h *hedgeCounts) get(result string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[result]
}

// hedgeWith replaces the gateway by one that hedges requests, and makes it know response times.
func (w *fixture) hedgeWith(t testing.TB, limits hedge.Limits) *hedgeCounts {
	log := decisionlog.New(io.Discard, "vm")
	t.Cleanup(log.Close)
	counts := &hedgeCounts{counts: make(map[string]int)}
	w.gateway = gateway.New(gateway.Options{
		View: w.view, Loader: w.loader, Pool: httpconn.NewPool(), HeaderCodec: platform.Dialect{}, Log: log, Metrics: noMetrics{}, Clock: time.Now,
		Hedge: limits, HedgeMetrics: counts,
	})
	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)
	for range 40 {
		w.lookup("warm")
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.cancelled = 0
	clear(counts.counts) // on a busy machine, some of these requests were hedged
	return counts
}

// lookup sends a request of an idempotent route with an ID.
func (w *fixture) lookup(id string) (status int, body string) {
	r := w.request("/plain/", id)
	r.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	w.Assert(err, qt.IsNil)
	return resp.StatusCode, string(text)
}

// attempts numbers the attempts of each request over all upstreams.
type attempts struct {
	mu sync.Mutex
	n  map[string]int
}

func (a *attempts) next(r *http.Request) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n[r.Header.Get("X-Request-Id")]++
	return a.n[r.Header.Get("X-Request-Id")]
}

func (a *attempts) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.n[id]
}

var everyRequest = hedge.Limits{Share: 1, MaxFill: 0.7}

func fail(r *http.Request, w net.Conn) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 4\r\n\r\noops", r.Header.Get("X-Request-Id"))
}

func reject(r *http.Request, w net.Conn) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"))
}

// after returns a response that is late.
func after(d time.Duration, respond func(*http.Request, net.Conn)) func(*http.Request, net.Conn) {
	return func(r *http.Request, w net.Conn) {
		time.Sleep(d)
		respond(r, w)
	}
}

// Guards against a hedge that fails a request which one of its attempts would have served, that
// goes beyond the attempts of the route, or whose loser counts against its upstream.
func TestTheFirstWholeResponseWins(t *testing.T) {
	const d = 100 * time.Millisecond
	late := after(d, func(r *http.Request, w net.Conn) { ok(r, w, "first") })
	answer := func(r *http.Request, w net.Conn) { ok(r, w, "second") }
	drop := func(_ *http.Request, w net.Conn) { _ = w.Close() }
	silent := func(_ *http.Request, w net.Conn) { _, _ = w.Read(make([]byte, 1)) }
	for name, test := range map[string]struct {
		first, second func(*http.Request, net.Conn)
		status        int
		body, result  string
		failures      int // upstreams that have failed
		cancelled     int // losers that were reset in time
	}{
		"second wins":                   {late, answer, 200, "second", "won", 0, 1},
		"first never answers":           {silent, answer, 200, "second", "won", 0, 1},
		"first wins":                    {late, silent, 200, "first", "lost", 0, 1},
		"second fails":                  {late, fail, 200, "first", "lost", 0, 0},
		"second breaks off":             {late, drop, 200, "first", "lost", 1, 0},
		"second is rejected":            {late, reject, 200, "first", "lost", 0, 0},
		"first fails, then second wins": {after(d, fail), after(d, answer), 200, "second", "won", 0, 0},
		"both fail":                     {after(d, fail), fail, 500, "oops", "lost", 0, 0},
		"both break off":                {after(d, drop), drop, 502, "upstream broke off\n", "failed", 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			seen := &attempts{n: make(map[string]int)}
			respond := func(_ int, r *http.Request, w net.Conn) {
				switch {
				case r.Header.Get("X-Request-Id") == "warm":
					ok(r, w, "")
				case seen.next(r) == 1:
					test.first(r, w)
				default:
					test.second(r, w)
				}
			}
			a, b := serveUpstream(t, "a", respond), serveUpstream(t, "b", respond)
			w := newFixture(t, a, b)
			counts := w.hedgeWith(t, everyRequest)
			begin := time.Now()
			status, body := w.lookup("q")
			w.Assert(time.Since(begin) < time.Second, qt.IsTrue, qt.Commentf("it waits for the loser"))
			w.Assert(status, qt.Equals, test.status)
			w.Assert(body, qt.Equals, test.body)
			for w.gateway.ActiveRequests() > 0 { // the response is complete before the loser has ended
				time.Sleep(time.Millisecond)
			}
			w.Assert(counts.get(test.result), qt.Equals, 1)
			w.Assert(counts.cancelled, qt.Equals, test.cancelled)
			w.Assert(seen.of("q"), qt.Equals, 2)
			failures := 0
			w.view.WithTracker(func(tr *balance.Tracker) {
				for _, id := range []state.UpstreamID{"a-app", "b-app"} {
					if tr.HasFailed(time.Now(), id) {
						failures++
					}
				}
			})
			w.Assert(failures, qt.Equals, test.failures)
		})
	}
}

// Guards against hedges of requests that must not repeat, and against hedges while they are off,
// while upstreams are full, or of requests whose only upstream is in use.
func TestRequestsThatAreNotHedged(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		limits    hedge.Limits
		upstreams int
		skipped   string
	}{
		"off":             {"/plain/", hedge.Limits{MaxFill: 1}, 2, ""},
		"not idempotent":  {"/once/", everyRequest, 2, ""},
		"stream":          {"/stream/", everyRequest, 2, ""},
		"full":            {"/plain/", hedge.Limits{Share: 1, MaxFill: 0.01}, 2, "skipped: load"},
		"single upstream": {"/plain/", everyRequest, 1, "skipped: upstream"},
	} {
		t.Run(name, func(t *testing.T) {
			seen := &attempts{n: make(map[string]int)}
			respond := func(_ int, r *http.Request, w net.Conn) {
				if r.Header.Get("X-Request-Id") == "q1" {
					seen.next(r)
					time.Sleep(100 * time.Millisecond)
				}
				if test.path == "/stream/" && r.Header.Get("X-Request-Id") == "q1" {
					streamHead(r, w)
					chunk(w, "id: 0\ndata: x\n\n")
					chunk(w, "")
					return
				}
				ok(r, w, "answer")
			}
			var list []*upstream
			for i := range test.upstreams {
				list = append(list, serveUpstream(t, fmt.Sprint(i), respond))
			}
			w := newFixture(t, list...)
			counts := w.hedgeWith(t, test.limits)
			resp, _, err := w.do(test.path, "x")
			w.Assert(err, qt.IsNil)
			w.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			w.Assert(seen.of("q1"), qt.Equals, 1)
			w.Assert(counts.get("won")+counts.get("lost")+counts.get("failed"), qt.Equals, 0)
			if test.skipped != "" {
				w.Assert(counts.get(test.skipped), qt.Equals, 1)
			}
		})
	}
}

// Guards against responses of two attempts, or of two requests, that are mixed when both attempts
// end at nearly the same moment.
func TestResponsesAreNotMixedWhenBothAttemptsEndAtOnce(t *testing.T) {
	seen := &attempts{n: make(map[string]int)}
	respond := func(n int, r *http.Request, w net.Conn) {
		id := r.Header.Get("X-Request-Id")
		if id != "warm" && seen.next(r) == 1 {
			time.Sleep(9*time.Millisecond + time.Duration(n%40)*100*time.Microsecond)
		}
		ok(r, w, id)
	}
	w := newFixture(t, serveUpstream(t, "a", respond), serveUpstream(t, "b", respond), serveUpstream(t, "c", respond))
	counts := w.hedgeWith(t, hedge.Limits{Share: 1, MaxFill: 10})
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for n := range 25 {
				id := fmt.Sprintf("q-%d-%d", i, n)
				status, body := w.lookup(id)
				w.Check(status, qt.Equals, http.StatusOK)
				w.Check(body, qt.Equals, id)
			}
		})
	}
	all.Wait()
	w.Assert(counts.get("won") > 0, qt.IsTrue)
	w.Assert(counts.get("failed"), qt.Equals, 0)
	for i := range 8 {
		w.Assert(seen.of(fmt.Sprintf("q-%d-0", i)) <= 2, qt.IsTrue)
	}
}

// Guards against a losing attempt that a link delivers after the caller has its response.
func TestALosingAttemptNeverReachesTheUpstream(t *testing.T) {
	respond := func(_ int, r *http.Request, w net.Conn) { ok(r, w, "answer") }
	silent, idle := serveUpstream(t, "a", respond), serveUpstream(t, "b", respond)
	cut, link := behindLink(t, silent)
	w := newFixture(t, cut, idle)
	counts := w.hedgeWith(t, everyRequest)
	before := silent.arrivals()
	link.Cut()
	for n := 0; n < 20 && counts.get("won") == 0; n++ { // the first choice among equals is random
		status, body := w.lookup("q")
		w.Assert(status, qt.Equals, http.StatusOK)
		w.Assert(body, qt.Equals, "answer")
	}
	w.Assert(counts.get("won"), qt.Equals, 1)
	link.AwaitEnds(1)
	link.Heal()
	link.AwaitFlushed(1)
	w.Assert(link.DeliveredLate(), qt.Equals, 0)
	w.Assert(silent.arrivals(), qt.Equals, before)
}
