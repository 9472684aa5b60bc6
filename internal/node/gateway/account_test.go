package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

const secret = "sk-secret-1"

// setAccounts puts a configuration with accounts in force. Its route /once/ is public.
func (w *fixture) setAccounts(list ...accounts.Account) {
	next := *w.view.Table().Config
	next.Version++
	next.Accounts = list
	next.Routes = append([]routes.Route(nil), next.Routes...)
	for i := range next.Routes {
		next.Routes[i].Public = next.Routes[i].Prefix == "/once/"
	}
	w.view.SetConfig(&next)
}

func account(name string, keys ...string) accounts.Account {
	a := accounts.Account{Name: name}
	for _, k := range keys {
		a.Keys = append(a.Keys, accounts.DigestOf(k))
	}
	return a
}

// doWith sends a request with values of the Authorization header and a forged account.
func (w *fixture) doWith(path string, authorization ...string) response {
	r := w.request(path, "body")
	r.Header["X-Tenant"] = []string{"forged"}
	r.Header["Authorization"] = authorization
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the request is in flight until its response ends
	return response{resp.StatusCode, resp.Header, resp.Close}
}

// Guards against a request that runs without a key or for another account, and against an upstream
// that receives a key.
func TestRequestsRunForTheAccountOfTheirKey(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "x") })
	w := newFixture(t, u)
	// Without accounts, both headers pass through.
	w.Assert(w.doWith("/plain/x", "Bearer "+secret).StatusCode, qt.Equals, http.StatusOK)
	w.Assert(u.seen[0].Header["Authorization"], qt.DeepEquals, []string{"Bearer " + secret})
	w.Assert(u.seen[0].Header["X-Tenant"], qt.DeepEquals, []string{"forged"})

	w.setAccounts(account("acme", secret, "sk-2"), account("other", "sk-3"))
	for _, test := range []struct {
		path          string
		authorization []string
		status        int
		account       []string
	}{
		{"/plain/x", []string{"Bearer " + secret}, 200, []string{"acme"}},
		{"/plain/x", []string{"bearer sk-3"}, 200, []string{"other"}},
		{"/once/x", []string{"Bearer " + secret}, 200, nil},
		{"/once/x", nil, 200, nil},
		{"/plain/x", nil, 401, nil},
		{"/plain/x", []string{"Bearer unknown"}, 401, nil},
		{"/plain/x", []string{"Bearer " + secret, "Bearer " + secret}, 401, nil},
		{"/plain/x", []string{"Basic " + secret}, 401, nil},
	} {
		before := u.arrivals()
		resp := w.doWith(test.path, test.authorization...)
		note := qt.Commentf("%s %s", test.path, test.authorization)
		w.Assert(resp.StatusCode, qt.Equals, test.status, note)
		if test.status == http.StatusUnauthorized {
			w.Assert(resp.Header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
			w.Assert(u.arrivals(), qt.Equals, before, note)
			continue
		}
		seen := u.seen[before].Header
		w.Assert(seen["X-Tenant"], qt.DeepEquals, test.account, note)
		w.Assert(seen["Authorization"], qt.IsNil, note)
	}
}

// Guards against an engine that runs a less urgent account's requests first.
func TestTheAccountsPriorityReachesTheEngine(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		chunk(w, "")
	})
	w := newFixture(t, u)
	later, urgent := account("later", "sk-2"), account("urgent", "sk-1")
	later.Priority, later.HasPriority, urgent.HasPriority = 5, true, true
	w.setAccounts(later, urgent)
	for i, key := range []string{"sk-1", "sk-2"} {
		w.Assert(w.doWith("/stream/x", "Bearer "+key).StatusCode, qt.Equals, http.StatusOK)
		w.Assert(u.seen[i].Header.Get("X-Request-Priority"), qt.Equals, []string{"0", "2"}[i])
	}
}

// Guards against a less urgent account's requests that count as urgent ones when an engine is chosen.
func TestTheAccountsPriorityIsTheRankOfItsRequests(t *testing.T) {
	var w *fixture
	var ranks []int
	u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
		w.view.WithTracker(func(tr *balance.Tracker) { ranks = append(ranks, tr.InFlight(time.Now(), "a-llm").RequestsByRank[0]) })
		streamHead(r, conn)
		chunk(conn, "id: 0\ndata: x\n\n")
		chunk(conn, "")
	})
	w = newFixture(t, u)
	later, urgent := account("later", "sk-2"), account("urgent", "sk-1")
	later.Priority, later.HasPriority, urgent.HasPriority = 5, true, true
	w.setAccounts(later, urgent)
	for _, key := range []string{"sk-1", "sk-2"} {
		w.Assert(w.doWith("/stream/x", "Bearer "+key).StatusCode, qt.Equals, http.StatusOK)
	}
	w.Assert(ranks, qt.DeepEquals, []int{1, 0})
}

// Guards against a refusal that waits for the request body, against the rest of a body that is taken for
// a request, and against a connection that is lost with each refusal.
func TestAnUnknownKeyIsRefusedBeforeTheBodyArrives(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "x") })
	w := newFixture(t, u)
	w.setAccounts(account("acme", secret))
	next := "GET /plain/next HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer " + secret + "\r\n\r\n"
	for _, test := range []struct {
		framing, body string // the body is sent after the response
		isServed      bool   // next, after the body
	}{
		{fmt.Sprintf("Content-Length: %d", len(next)+1), "", false},
		{"Content-Length: 3000000", "", false},
		{"Transfer-Encoding: chunked", "", false},
		{"Expect: 100-continue\r\nContent-Length: 4", "", false},
		{"Content-Length: 4", "body", true},
	} {
		note := qt.Commentf(test.framing)
		before := u.arrivals()
		conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
		w.Assert(err, qt.IsNil)
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer no\r\n%s\r\n\r\n", test.framing)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		w.Assert(err, qt.IsNil, note)
		w.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
		w.Assert(resp.Body.Close(), qt.IsNil)       // reads the rest
		_, _ = conn.Write([]byte(test.body + next)) // a closed connection is an expected end
		if resp, err := http.ReadResponse(reader, nil); err == nil {
			_ = resp.Body.Close()
		}
		w.Assert(u.arrivals() > before, qt.Equals, test.isServed, note)
	}
}

// Guards against a 401 for a key that only a newer configuration holds, at a daemon that can't know
// of it.
func TestAnUnknownKeyIsNotRefusedForGoodByAnOldConfiguration(t *testing.T) {
	boot := time.Duration(0)
	opts := fleet.ViewOptions{ConfigApplyTime: 3 * time.Second, BootClock: func() time.Duration { return boot }}
	w := newFixtureWith(t, opts, nil, serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "x") }))
	w.setAccounts(account("acme", secret))
	status := func(key string) int {
		resp := w.doWith("/plain/x", "Bearer "+key)
		w.Assert(resp.Header.Get("Retry-After") != "", qt.Equals, resp.StatusCode == http.StatusServiceUnavailable)
		return resp.StatusCode
	}
	w.Assert(status("new"), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("never confirmed"))
	w.view.ConfirmConfig(w.view.Table().Config.Version, boot)
	boot += 3 * time.Second
	w.Assert(status("new"), qt.Equals, http.StatusUnauthorized)
	boot++
	w.Assert(status("new"), qt.Equals, http.StatusServiceUnavailable)
	w.Assert(status(secret), qt.Equals, http.StatusOK, qt.Commentf("known keys are served"))
	w.Assert(w.doWith("/plain/x").StatusCode, qt.Equals, http.StatusUnauthorized, qt.Commentf("no configuration allows a request without a key"))
}
