package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	crashingPart = "91bd3f06"
	// stableTime is how long after the fifth crash requests with the part may still be sent.
	stableTime = 3 * time.Second
	// maxLateArrivals is how many requests with the part may reach upstreams after stableTime.
	maxLateArrivals = 3
)

// serveCrashingUpstream starts an upstream that crashes when it begins to answer a request with
// crashingPart: it sends the response head, closes its port and breaks all connections. crashes
// counts the requests with the part.
func serveCrashingUpstream(t *testing.T, id string, crashes *atomic.Int32) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	var conns []net.Conn
	serve := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			streamHead(r, conn)
			if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart+":") {
				chunk(conn, "id: 1\ndata: a\n\n")
				chunk(conn, "")
				continue
			}
			crashes.Add(1)
			_ = l.Close()
			mu.Lock()
			for _, c := range conns {
				_ = c.Close()
			}
			mu.Unlock()
			return
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			go serve(conn)
		}
	}()
	return &upstream{id: state.UpstreamID(id), addr: l.Addr().String()}
}

// send sends a request of its own content and with the given prompt, and returns the status, 0
// for a response that broke off.
func (w *fixture) send(path, prompt string, n int) int {
	r := w.request(path, fmt.Sprint("request ", n))
	r.Header.Set("X-Request-Id", fmt.Sprint("q", n))
	r.Header.Set("X-Prompt-Prefix", prompt)
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// manyParts returns the first parts of a prompt.
func manyParts(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "a%x:1,", i)
	}
	return text.String()
}

// TestRequestsThatShareACrashingPromptPartAreQuarantined guards against requests that crash one
// engine after the other because they share a part of their prompts and nothing else.
func TestRequestsThatShareACrashingPromptPartAreQuarantined(t *testing.T) {
	prompts := map[string]string{
		"first":  "%[1]s:800,5c1e07a2:410,%[2]x:250",
		"middle": "5c1e07a2:800,%[1]s:410,%[2]x:250",
		"later":  "5c1e07a2:800,77:100,%[1]s:410,%[2]x:250",
		// Parts behind the 64th were ignored.
		"behind 66": manyParts(66) + "%[1]s:410,%[2]x:250",
		// As long as the usual limit of a request head allows.
		"behind 2000": manyParts(2000) + "%[1]s:410,%[2]x:250",
	}
	for _, path := range []string{"/stream/", "/plain/"} {
		for position, prompt := range prompts {
			t.Run(strings.Trim(path, "/")+" "+position, func(t *testing.T) {
				t.Parallel()
				var crashes atomic.Int32
				var list []*upstream
				for i := range 20 {
					list = append(list, serveCrashingUpstream(t, fmt.Sprint(i), &crashes))
				}
				w := newFixture(t, list...)
				crashing := func(n int) int { return w.send(path, fmt.Sprintf(prompt, crashingPart, 1000+n), n) }
				sound := func(n int) int { return w.send(path, fmt.Sprintf(prompt, "22", 1000+n), n) }
				n := 0
				for ; crashes.Load() < 5 && n < 20; n++ {
					crashing(2 * n)
					w.Check(sound(2*n+1), qt.Equals, http.StatusOK)
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(stableTime)
				before := crashes.Load()
				for range 10 {
					crashing(2 * n)
					w.Check(sound(2*n+1), qt.Equals, http.StatusOK)
					n++
				}
				w.Check(crashes.Load()-before <= maxLateArrivals, qt.IsTrue, qt.Commentf("%d crashes before, %d in all", before, crashes.Load()))
			})
		}
	}
}

// TestARequestThatWaitsForALoadIsNotSentOnceItIsQuarantined guards against crashes under requests that
// waited for their adapter while their prompt part became known to crash upstreams.
func TestARequestThatWaitsForALoadIsNotSentOnceItIsQuarantined(t *testing.T) {
	u := serveUpstream(t, "e1", func(_ int, r *http.Request, conn net.Conn) { ok(r, conn, "") })
	w := newFixture(t, u)
	w.view.SetLoadable(map[state.UpstreamID]bool{"e1-llm": true})
	w.loader.requestLoad = func(context.Context, protocol.LoadRequest) protocol.LoadReply {
		for i := range 3 {
			w.view.RecordPeerCrash(quarantine.Crash{Kind: quarantine.PromptPart, ID: 0x91bd3f06, Upstream: state.UpstreamID(fmt.Sprint(i)), Age: time.Minute})
		}
		return protocol.LoadReply{Accepted: true, ReadyIn: 100 * time.Millisecond}
	}
	r := w.request("/stream/", "")
	r.Header.Set("X-Model", model+"/rare")
	r.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,"+crashingPart+":410,9:250")
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	w.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Assert(u.seen, qt.HasLen, 0)
}

// TestARequestThatWaitsAtItsUpstreamIsWithdrawnWhenItIsQuarantined guards against crashes under
// requests that were sent before their prompt part was known to crash upstreams.
func TestARequestThatWaitsAtItsUpstreamIsWithdrawnWhenItIsQuarantined(t *testing.T) {
	closed := make(chan struct{})
	u := serveUpstream(t, "e1", func(_ int, _ *http.Request, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1)) // until the connection is closed
		close(closed)
	})
	w := newFixture(t, u)
	time.AfterFunc(200*time.Millisecond, func() {
		for i := range 3 {
			w.view.RecordPeerCrash(quarantine.Crash{Kind: quarantine.PromptPart, ID: 0x91bd3f06, Upstream: state.UpstreamID(fmt.Sprint(i)), Age: time.Minute})
		}
	})
	w.Assert(w.send("/stream/", "5c1e07a2:800,"+crashingPart+":410,9:250", 1), qt.Equals, http.StatusBadGateway)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection to the upstream is open after 1 s")
	}
	w.view.WithTracker(func(tr *balance.Tracker) {
		w.Check(tr.IsEjected(time.Now(), "e1-llm"), qt.IsFalse) // it has not failed
	})
}
