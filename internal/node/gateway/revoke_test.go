package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/gateway"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
	"github.com/celerydeck/celerydeck/platform"
)

// revokeStrictly replaces the gateway by one that ends the requests of removed keys.
func (w *fixture) revokeStrictly(t *testing.T) {
	log := decisionlog.New(io.Discard, "vm")
	t.Cleanup(log.Close)
	w.gateway = gateway.New(gateway.Options{
		View: w.view, Loader: w.loader, Pool: httpconn.NewPool(), HeaderCodec: platform.Dialect{}, Log: log, Metrics: noMetrics{}, Clock: time.Now,
		StrictRevoke: true, RevokeTime: 600 * time.Millisecond,
	})
	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)
}

// Guards against a request that is sent with a key that was removed while it waited, and against a
// renamed account that an upstream still receives under its old name.
func TestTheKeyIsCheckedAgainBeforeEachSend(t *testing.T) {
	for _, test := range []struct {
		holder   string // of the key after the wait, or ""
		isStrict bool   // requests end at once whose key is removed
		status   int
	}{
		{"", false, http.StatusUnauthorized},
		{"renamed", false, http.StatusOK},
		{"", true, http.StatusUnauthorized},
		{"renamed", true, http.StatusOK},
	} {
		u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
			streamHead(r, w)
			chunk(w, "id: 0\ndata: x\n\n")
			chunk(w, "")
		})
		w := newFixture(t, u)
		if test.isStrict {
			w.revokeStrictly(t)
		}
		w.setAccounts(account("acme", secret))
		w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true})
		w.loader.requestLoad = func(context.Context, protocol.LoadRequest) protocol.LoadReply {
			if test.holder == "" {
				w.setAccounts(account("acme", "sk-other"))
			} else {
				w.setAccounts(account(test.holder, secret))
			}
			time.Sleep(20 * time.Millisecond) // the request ends meanwhile if isStrict
			return protocol.LoadReply{Accepted: true}
		}
		r := w.request("/fixed/", "x")
		r.Header.Set("X-Model", model+"/rare")
		r.Header.Set("Authorization", "Bearer "+secret)
		resp, err := http.DefaultClient.Do(r)
		w.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		w.Assert(resp.StatusCode, qt.Equals, test.status)
		if test.holder == "" {
			w.Assert(u.arrivals(), qt.Equals, 0)
			w.Assert(resp.Header.Get("X-Celerydeck-Reason"), qt.Equals, decisionlog.KeyRemoved)
		} else {
			w.Assert(u.seen[0].Header.Get("X-Tenant"), qt.Equals, test.holder)
		}
	}
}

// Guards against running requests that outlive their key although the settings forbid it, and
// against those that are cut off although the settings allow them to end.
func TestRunningRequestsEndWithTheirKeyOnlyIfTheSettingsAskForIt(t *testing.T) {
	const events = 6
	for _, isStrict := range []bool{false, true} {
		for _, removed := range []string{secret, "sk-other"} {
			u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
				streamHead(r, w)
				for i := range events {
					chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", i))
					time.Sleep(100 * time.Millisecond)
				}
				chunk(w, "")
			})
			w := newFixture(t, u)
			if isStrict {
				w.revokeStrictly(t)
			}
			w.setAccounts(account("acme", secret), account("other", "sk-other"))
			r := w.request("/stream/x", "x")
			r.Header.Set("Authorization", "Bearer "+secret)
			resp, err := http.DefaultClient.Do(r)
			w.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			if removed == secret {
				w.setAccounts(account("other", "sk-other"))
			} else {
				w.setAccounts(account("acme", secret))
			}
			body, err := io.ReadAll(resp.Body)
			isCut := isStrict && removed == secret
			note := qt.Commentf("strict %t, %s removed: %q", isStrict, removed, body)
			w.Assert(err != nil, qt.Equals, isCut, note)
			w.Assert(strings.Count(string(body), "data") == events, qt.Equals, !isCut, note)
			w.Assert(u.arrivals(), qt.Equals, 1, qt.Commentf("a stream is not resumed with a removed key"))
		}
	}
}

// Guards against a request without a response that ends as if it had not run, and against one that
// runs on while its caller does not read.
func TestARemovedKeyEndsRequestsInAnyState(t *testing.T) {
	release := make(chan struct{})
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
		if r.URL.Path == "/fixed/x" {
			streamHead(r, w)
			for i := range 1 << 14 {
				chunk(w, fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4000)))
			}
			return
		}
		<-release
	})
	w := newFixture(t, u)
	w.revokeStrictly(t)
	t.Cleanup(func() { close(release) })
	w.setAccounts(account("acme", secret), account("other", "sk-other"))
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	w.Assert(err, qt.IsNil)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /fixed/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: q2\r\nX-Model: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", model, secret)
	_, err = bufio.NewReaderSize(conn, 16).Peek(1)
	w.Assert(err, qt.IsNil)
	time.AfterFunc(300*time.Millisecond, func() { w.setAccounts(account("other", "sk-other")) })
	resp := w.doWith("/plain/x", "Bearer "+secret)
	w.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
	w.Assert(resp.Close, qt.IsTrue)
	for i := 0; w.gateway.ActiveRequests() > 0; i++ {
		w.Assert(i < 200, qt.IsTrue, qt.Commentf("%d requests still run", w.gateway.ActiveRequests()))
		time.Sleep(10 * time.Millisecond)
	}
}
