package app

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
)

// logBuffer holds the log lines of all daemons of a test. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// configureAccounts puts a configuration with two accounts into the store, the first one with the
// given keys.
func (w *edgeCluster) configureAccounts(version int, keys ...string) {
	config := edgeConfig(version, "/llm/")
	config["tenants"] = []any{
		map[string]any{"name": "acme", "api_keys": keys, "priority": 1},
		map[string]any{"name": "other", "api_keys": []string{"sk-other"}},
		map[string]any{"name": 7, "api_keys": []string{"sk-unusable"}},
	}
	w.store.Put("config", "main", config)
}

// dump returns a response as text.
func (w *edgeCluster) dump(resp *http.Response, err error) string {
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	w.Assert(err, qt.IsNil)
	return fmt.Sprint(resp.Status, resp.Header, string(body))
}

// sendWith sends a request with a key and returns the response as text, which begins with the
// status.
func (w *edgeCluster) sendWith(e *Edge, id, key string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.FrontAddr+"/llm/x", strings.NewReader("prompt"))
	w.Assert(err, qt.IsNil)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Model", "base/a1")
	r.Header.Set("X-Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Bearer "+key)
	return w.dump(http.DefaultClient.Do(r))
}

// Guards against a key of the configuration, or of a caller, in what a daemon shows, and against a
// 401 while a key is rotated.
func TestKeysAreRotatedAndNeverShown(t *testing.T) {
	w := newEdgeCluster(t, 3, 1)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	var shown strings.Builder
	inForce := func(version uint64) {
		for _, e := range w.edges {
			w.eventually("configuration in force", func() bool { return e.node.Load().Report().ConfigVersion == version })
		}
	}
	send := func(e *Edge, id, key, status string) {
		text := w.sendWith(e, id, key)
		shown.WriteString(text)
		w.Assert(text, qt.Matches, "(?s)"+status+" .*", qt.Commentf("%s", id))
	}
	w.configureAccounts(2, "sk-old")
	inForce(2)
	w.configureAccounts(3, "sk-old", "sk-new")
	for range 5 {
		for _, e := range w.edges {
			send(e, "rotating", "sk-old", "200")
		}
	}
	inForce(3)
	for i, e := range w.edges {
		send(e, "new", "sk-new", "200")
		send(e, fmt.Sprint("unknown-", i), "sk-unknown", "401")
		send(e, "odd", "sk-odd sk-odd", "401")
		send(e, "unusable", "sk-unusable", "401")
	}
	w.configureAccounts(4, "sk-new")
	inForce(4)
	for _, e := range w.edges {
		send(e, "removed", "sk-old", "401")
		send(e, "rotated", "sk-new", "200")
		base := fmt.Sprintf("http://127.0.0.1:%d", e.settings.MetricPort)
		w.eventually("metrics of refusals", func() bool {
			metrics := w.dump(http.Get(base + "/metrics"))
			shown.WriteString(metrics)
			return strings.Contains(metrics, `celerydeck_account_refusals_total{account="none",outcome="unknown_key"}`)
		})
		shown.WriteString(w.dump(http.Get(base + "/fleet")))
	}
	var trace decisionlog.RequestTrace
	w.eventually("log lines", func() bool {
		lines, err := decisionlog.ReadLines(strings.NewReader(w.logs.String()))
		w.Assert(err, qt.IsNil)
		trace = decisionlog.Trace(lines, "unknown-0")
		return len(trace.Lines) > 0
	})
	digest := accounts.DigestOf("sk-unknown")
	w.Assert(trace.Cause, qt.Matches, "unknown key: no client account .*; the key has the fingerprint "+digest.Fingerprint()+", and version 3 .*")
	explained, err := json.Marshal(trace)
	w.Assert(err, qt.IsNil)
	shown.Write(explained)
	time.Sleep(100 * time.Millisecond) // the last lines of the log
	shown.WriteString(w.logs.String())
	w.Assert(shown.String(), qt.Contains, "acme")
	w.Assert(strings.Contains(shown.String(), "sk-"), qt.IsFalse)
}

// Guards against a 401 for a key that may be new, at daemons that are cut off from the store, and
// against a 503 for unknown keys while the store is reachable.
func TestUnknownKeysGet503OnlyWhileNoDaemonReachesTheStore(t *testing.T) {
	w := newEdgeCluster(t, 2, 1)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	w.configureAccounts(2, "sk-old")
	status := func(e *Edge, key string) string { return w.sendWith(e, "q", key)[:3] }
	for _, e := range w.edges {
		w.eventually("configuration in force", func() bool { return e.node.Load().Report().ConfigVersion == 2 })
	}
	for range 40 {
		for _, e := range w.edges {
			w.Assert(status(e, "sk-unknown"), qt.Equals, "401")
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.store.SetFault(objectstore.FaultUnavailable)
	for _, e := range w.edges {
		w.eventually("503 for an unknown key", func() bool { return status(e, "sk-unknown") == "503" })
		w.Assert(status(e, "sk-old"), qt.Equals, "200")
	}
	w.store.SetFault(objectstore.FaultNone)
	for _, e := range w.edges {
		w.eventually("401 for an unknown key", func() bool { return status(e, "sk-unknown") == "401" })
	}
}
