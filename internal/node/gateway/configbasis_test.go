package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

// requestLine is what the log line of a request says of the configuration that decided.
type requestLine struct {
	Msg           string        `json:"msg"`
	Status        int           `json:"status"`
	Config        uint64        `json:"config"`
	Held          time.Duration `json:"config_held"`
	Age           time.Duration `json:"config_age"`
	Way           string        `json:"config_way"`
	Peer          string        `json:"config_peer"`
	Newer         uint64        `json:"newer_config"`
	NewerKnown    time.Duration `json:"newer_known"`
	AccountConfig uint64        `json:"account_config"`
}

// requestLines returns the log lines of requests.
func requestLines(c *qt.C, log []byte) []requestLine {
	var list []requestLine
	for lines := bufio.NewScanner(bytes.NewReader(log)); lines.Scan(); {
		var l requestLine
		c.Assert(json.Unmarshal(lines.Bytes(), &l), qt.IsNil)
		if l.Msg == "request" {
			l.Msg = ""
			list = append(list, l)
		}
	}
	return list
}

// Guards against a refusal or a choice of service of which nobody can say which configuration
// decided it, how old it was and how it had come.
func TestTheLineOfARequestNamesTheConfigurationThatDecided(t *testing.T) {
	var log bytes.Buffer
	boot := time.Minute
	opts := fleet.ViewOptions{ConfigApplyTime: time.Hour, BootClock: func() time.Duration { return boot }, Log: decisionlog.New(&log, "vm")}
	w := newFixtureWith(t, opts, nil, serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "x") }))
	next := *w.view.Table().Config
	next.Version, next.Accounts = 7, []accounts.Account{account("acme", secret)}
	w.Assert(w.view.SetConfigFrom(&next, fleet.ConfigOrigin{Way: "reply", Peer: "vm-2"}), qt.IsTrue)
	boot += time.Second
	w.view.ConfirmConfig(7, boot)
	boot += time.Second
	w.view.RecordNewerConfig(9, "vm-3")
	boot += time.Second
	for path, key := range map[string]string{"/plain/x": secret, "/plain/y": "unknown", "/absent/": secret} {
		w.doWith(path, "Bearer "+key)
	}
	opts.Log.Close()
	lines := requestLines(w.C, log.Bytes())
	w.Assert(lines, qt.HasLen, 3)
	for _, l := range lines {
		want := requestLine{
			Status: l.Status, Config: 7, Held: 3 * time.Second, Age: 2 * time.Second, Way: "reply", Peer: "vm-2",
			Newer: 9, NewerKnown: time.Second, AccountConfig: 7,
		}
		if l.Status == http.StatusNotFound { // decided before the key was looked at
			want.AccountConfig = 0
		}
		w.Assert(l, qt.Equals, want)
	}
}

// Guards against a 404 for a route that only a newer configuration has, at a daemon that can't know of it.
func TestAnUnknownRouteIsNotRefusedForGoodByAnOldConfiguration(t *testing.T) {
	boot := time.Duration(0)
	opts := fleet.ViewOptions{ConfigApplyTime: 3 * time.Second, BootClock: func() time.Duration { return boot }}
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { ok(r, w, "x") })
	w := newFixtureWith(t, opts, nil, u)
	status := func() int {
		resp, _, err := w.do("/absent/", "body")
		w.Assert(err, qt.IsNil)
		w.Assert(resp.Header.Get("Retry-After") != "", qt.Equals, resp.StatusCode == http.StatusServiceUnavailable)
		return resp.StatusCode
	}
	w.Assert(status(), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("never confirmed"))
	w.view.ConfirmConfig(w.view.Table().Config.Version, boot)
	boot += 3 * time.Second
	w.Assert(status(), qt.Equals, http.StatusNotFound)
	boot++
	w.Assert(status(), qt.Equals, http.StatusServiceUnavailable)
	w.Assert(u.arrivals(), qt.Equals, 0)
}
