package app

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
	"github.com/celerydeck/celerydeck/platform"
)

const edgeSlots = 4

type edgeCluster struct {
	*qt.C
	store   *objectstore.Store
	engines []*modelengine.Engine
	edges   []*Edge
	addr    string // of the store
	logs    logBuffer
}

func newEdgeCluster(t *testing.T, daemons, engines int) *edgeCluster {
	w := &edgeCluster{C: qt.New(t), store: objectstore.New()}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	w.addr = server.Listener.Addr().String()
	w.configure(1, "/llm/")
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		e := modelengine.New(id, "base", edgeSlots, 50*time.Millisecond, 5, 5*time.Millisecond)
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		w.engines = append(w.engines, e)
		w.register(id, s.Listener.Addr().String(), "ready")
	}
	w.store.Put("servers", "foreign", map[string]any{"state": 7, "note": "of another writer"})
	for i := range daemons {
		w.edges = append(w.edges, w.start(t, fmt.Sprintf("vm-%d", i)))
	}
	for _, e := range w.edges {
		w.eventually("daemon ready", e.Ready)
	}
	return w
}

func (w *edgeCluster) register(id, addr, state string) {
	w.store.Put("servers", id, map[string]any{
		"service": "llm", "address": addr, "zone": "z1", "version": "v1", "slots": 8, "state": state, "born": 1, "seq": 1,
		"models": []any{map[string]any{"name": "base", "version": 1, "adapters": []string{}}},
	})
}

func (w *edgeCluster) configure(version int, prefix string) {
	w.store.Put("config", "main", edgeConfig(version, prefix))
}

func edgeConfig(version int, prefix string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": "127.0.0.1", "path_prefix": prefix, "kind": "stream", "timeout_ms": 5000, "goal_ms": 2000,
			"priority": 0, "service": "llm", "attempts": 2, "resumable": true, "gap_aim_ms": 250,
		}},
		"services": []any{map[string]any{"name": "llm", "max_conns": 100, "backend": map[string]any{
			"slots": 8, "kv_capacity": 100000, "weights_mb": 1000, "lora_slots": edgeSlots, "loads_per_s": 2,
			"models": []any{map[string]any{"name": "base", "weights_mb": 500, "lora_mb": 10, "load_time_s": 1}},
		}}},
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// start starts a daemon on free loopback ports.
func (w *edgeCluster) start(t *testing.T, vm string) *Edge {
	const rangeSize = 11
	first := freePorts(w.C, rangeSize+2)
	front, ready := first+rangeSize, first+rangeSize+1
	text := fmt.Sprintf("node_name=%s\nip=127.0.0.1\nzone=z1\nlisten.front=127.0.0.1:%d\nlisten.ready=127.0.0.1:%d\nport_range=%d,%d\n"+
		"provider.address=%s\nbounds.lease_ms=300\nfuture.key=ignored\n", vm, front, ready, first, first+rangeSize-1, w.addr)
	settings, err := platform.ParseSettings([]byte(text))
	w.Assert(err, qt.IsNil)
	log := decisionlog.New(&w.logs, vm)
	e, err := StartEdge(settings, EdgeOptions{}, log)
	w.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		e.Stop()
		log.Close()
	})
	return e
}

// Ports below those that the system gives to outgoing connections and to listeners without a port
// of their own, so that no other socket takes a port between its check and its use.
const (
	minTestPort = 20000
	maxTestPort = 32000
)

// nextTestPort is the first port that freePorts tries. It starts at a random port, as other test
// programs may run at the same time.
var nextTestPort atomic.Int64

func init() { nextTestPort.Store(rand.Int64N(maxTestPort - minTestPort)) }

// freePorts returns the first of n ports in a row that are free for TCP and UDP. No two calls
// return the same port.
func freePorts(c *qt.C, n int) int {
	for range 100 {
		offset := int(nextTestPort.Add(int64(n))) % (maxTestPort - minTestPort - n)
		first := minTestPort + offset
		free := true
		for port := first; port < first+n && free; port++ {
			addr := fmt.Sprintf("127.0.0.1:%d", port)
			l, err := net.Listen("tcp", addr)
			p, errUDP := net.ListenPacket("udp", addr)
			free = err == nil && errUDP == nil
			if err == nil {
				_ = l.Close()
			}
			if errUDP == nil {
				_ = p.Close()
			}
		}
		if free {
			return first
		}
	}
	c.Fatal("no free ports")
	return 0
}

func (w *edgeCluster) eventually(what string, done func() bool) {
	w.Helper()
	end := time.Now().Add(20 * time.Second)
	for !done() {
		if time.Now().After(end) {
			w.Fatalf("not within 20 s: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *edgeCluster) send(e *Edge, path, adapter string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.FrontAddr+path, strings.NewReader("prompt"))
	w.Assert(err, qt.IsNil)
	r.Header.Set("X-Request-Id", "q-"+adapter)
	r.Header.Set("X-Model", "base/"+adapter)
	r.Header.Set("X-Token-Count", "100,20")
	r.Header.Set("X-Deadline-Ms", "4000")
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	w.Assert(err, qt.IsNil)
	return resp.StatusCode, string(text)
}

// eventuallyServed retries a request until it is served. Until the daemons have claimed
// the leases of the engines, they refuse requests.
func (w *edgeCluster) eventuallyServed(e *Edge, path, adapter string) {
	w.Helper()
	w.eventually("request for "+adapter+" served", func() bool {
		status, text := w.send(e, path, adapter)
		if status == http.StatusOK {
			w.Assert(strings.Count(text, "data: "+adapter), qt.Equals, 5)
		}
		return status == http.StatusOK
	})
}

func TestAdaptersAreLoadedOnceAndServedByEveryDaemon(t *testing.T) {
	w := newEdgeCluster(t, 2, 2)
	for i := range 12 {
		w.eventuallyServed(w.edges[i%2], "/llm/x", fmt.Sprintf("a%d", i))
	}
	for i, e := range w.engines {
		w.Assert(e.Overfull(), qt.IsFalse, qt.Commentf("engine %d", i))
		leaseHolders := map[string]bool{}
		for _, o := range e.Orders() {
			leaseHolders[o.Owner] = true
		}
		w.Assert(len(leaseHolders) <= 1, qt.IsTrue, qt.Commentf("orders of %v", leaseHolders))
	}
}

func TestLostAnswersOfOrdersDoNotOverfillAnEngine(t *testing.T) {
	w := newEdgeCluster(t, 1, 1)
	w.eventuallyServed(w.edges[0], "/llm/x", "a0")
	for i := range 10 {
		w.engines[0].LoseAnswers(i % 3)
		w.eventuallyServed(w.edges[0], "/llm/x", fmt.Sprintf("b%d", i))
	}
	w.Assert(w.engines[0].Overfull(), qt.IsFalse)
}

func TestANewVersionOfAnAdapterIsServed(t *testing.T) {
	w := newEdgeCluster(t, 1, 2)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	for _, e := range w.engines {
		e.SetNewestVersion("a1", 2)
	}
	w.store.Put("versions", "base.a1", map[string]any{"model": "base", "adapter": "a1", "version": 2})
	w.eventually("version 2 runs", func() bool {
		w.send(w.edges[0], "/llm/x", "a1")
		for _, e := range w.engines {
			for _, r := range e.Runs() {
				if r.Version == 2 {
					return true
				}
			}
		}
		return false
	})
}

func TestAConfigurationTakesEffectAndStaysInForceDuringAStoreOutage(t *testing.T) {
	w := newEdgeCluster(t, 2, 1)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	w.configure(5, "/new/")
	w.eventually("new route", func() bool {
		status, _ := w.send(w.edges[1], "/new/x", "a1")
		return status == http.StatusOK
	})
	w.store.SetFault(objectstore.FaultUnavailable)
	time.Sleep(1500 * time.Millisecond)
	status, _ := w.send(w.edges[1], "/new/x", "a1")
	w.Assert(status, qt.Equals, http.StatusOK)
	w.store.SetFault(objectstore.FaultNone)
	w.store.Compact()
	w.configure(9, "/newer/")
	for _, e := range w.edges {
		w.eventually("route after the outage", func() bool {
			status, _ := w.send(e, "/newer/x", "a1")
			return status == http.StatusOK
		})
	}
}

func TestADrainingEngineGetsNoNewRequests(t *testing.T) {
	w := newEdgeCluster(t, 1, 2)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	for id := range w.engines {
		if len(w.engines[id].Runs()) > 0 {
			w.register(fmt.Sprintf("i-%d", id), "127.0.0.1:1", "draining")
			before := len(w.engines[id].Runs())
			time.Sleep(1500 * time.Millisecond)
			w.eventuallyServed(w.edges[0], "/llm/x", "a1")
			w.Assert(len(w.engines[id].Runs()), qt.Equals, before)
			return
		}
	}
}

// A watch may return no changes until its wait ends, as when the store has dropped its
// history. With a wait of 8 s a stale configuration stayed in force for 6 s.
func TestAWatchWithoutEventsDelaysAChangeByLessThanFourSeconds(t *testing.T) {
	w := newEdgeCluster(t, 1, 1)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	w.store.SetWatchesSilent(true)
	w.configure(5, "/new/")
	w.store.Compact()
	begin := time.Now()
	w.eventually("new route", func() bool {
		status, _ := w.send(w.edges[0], "/new/x", "a1")
		return status == http.StatusOK
	})
	w.Assert(time.Since(begin) < 4*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
}
