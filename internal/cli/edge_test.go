package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// edgeServer serves the fleet report of an edge daemon. The report has one fault of each kind that edgeWarnings
// detects, except a missing configuration and an unreachable object store.
func edgeServer(t *testing.T) string {
	limit := 5.25
	report := protocol.FleetReport{
		VM: "edge-1", Zone: "a", At: time.Unix(1_800_000_000, 0), ConfigVersion: 7, UpstreamListAge: 9 * time.Second, StoreReachable: true,
		Routes:    []protocol.RouteReport{{Name: "chat", Host: "deck.example", Prefix: "/chat/", Kind: "stream", Rank: 1, Target: 600 * time.Millisecond, Timeout: 12 * time.Second, Attempts: 2, Services: []string{"llm"}}},
		Services:  []protocol.ServiceReport{{Name: "llm", Models: []string{"base"}, AdapterSlots: 10, Upstreams: 2}, {Name: "booking"}},
		Adapters:  []protocol.AdapterReport{{Adapter: "base/a1", Newest: 4, Replicas: map[int][]state.UpstreamID{3: {"i-1"}, 4: {"i-2"}}}},
		Upstreams: []protocol.UpstreamReport{{ID: "i-1", Service: "llm", LeaseHolder: "edge-1", CanOrder: true, Adapters: 3, RequestLimit: &limit}, {ID: "i-2", Service: "llm", Barred: &protocol.BarredReport{Reason: "retry-after", TimeLeft: 2100 * time.Millisecond}}},
		Peers:     []protocol.PeerReport{{VM: "edge-2", Zone: "b", MessageAge: 8 * time.Second, Lost: true}},

		Accounts:    []protocol.AccountReport{{Name: "vendor", Rate: 2700, Burst: 2700, InTokens: true, Level: 6400, Capacity: 6729, Share: 0.25, Refused: 17, Excess: 1.3, ReportAge: 210 * time.Millisecond}, {Name: "free", ReportAge: -1}},
		Quarantined: []protocol.QuarantineReport{{Kind: "prompt part", ID: "91bd3f06", EndsIn: 9 * time.Minute}},
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(report) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func runEdge(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	shell := Shell{Stdout: &out, Stderr: &out, Clock: time.Now}
	code := Run(context.Background(), shell, args)
	return code, out.String()
}

func TestEdgeHandoverListsWarningsAndConfiguration(t *testing.T) {
	c := qt.New(t)
	code, text := runEdge(t, "handover", "--edge", edgeServer(t))
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", text))
	for _, want := range []string{
		"warning: the list of upstreams is 9s old", "warning: daemon edge-2 has been silent for 8s", "warning: service booking has no upstream",
		`warning: no daemon may order loads at engine i-2; lease holder ""`, "upstream i-1 accepts only 5.2 requests/s", "upstream i-2 gets no new requests: retry-after, 2.1s left", "requests with prompt part 91bd3f06 are refused for another 9m0s", "/chat/", "600ms", "version 3 at 1 engines, version 4 at 1 engines",
		"warning: account vendor has used up its quota of 2700/s", "warning: account vendor is served more than its fair share", "6400 of 6729", "25%", "210ms",
	} {
		c.Check(text, qt.Contains, want)
	}
}

func TestAnAdapterIsExplainedFromAnEdgeReport(t *testing.T) {
	c := qt.New(t)
	addr := edgeServer(t)
	code, text := runEdge(t, "explain", "--edge", addr, "base/a1")
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", text))
	c.Check(text, qt.Contains, "i-2")
	_, text = runEdge(t, "explain", "--edge", addr, "base/rare")
	c.Check(text, qt.Contains, "base/rare is resident at no engine")
	_, text = runEdge(t, "explain", "--edge", addr, "--upstream", "i-2")
	c.Check(text, qt.Contains, "retry-after, 2.1s left")
	code, _ = runEdge(t, "explain", "--edge", addr, "--upstream", "i-9")
	c.Check(code, qt.Not(qt.Equals), ExitOK)
	code, text = runEdge(t, "status", "--edge", addr)
	c.Check(code, qt.Equals, ExitOK)
	c.Check(text, qt.Contains, "this daemon")
	code, text = runEdge(t, "status", "--edge", "127.0.0.1:1")
	c.Check(code, qt.Not(qt.Equals), ExitOK)
	c.Check(text, qt.Contains, "127.0.0.1:1")
}
