package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	leaseTime   = 3 * time.Second // bounds.lease_ms
	modelLoad   = 3800 * time.Millisecond
	holdEngines = 48
	takenAway   = 10 // of the engines, together
	settleTime  = 5 * time.Second
	restartTime = 5 * time.Second
	drainTime   = 3 * time.Second          // bounds.drain_ms and a little longer
	awayTime    = 30200 * time.Millisecond // from the end of its entry until the first engine is back
	returnGap   = 400 * time.Millisecond   // between the engines that come back
	briefTime   = 3 * time.Second          // the same without the disruption
	lastOrders  = 4 * time.Second
	modelName   = "m0"
)

// order is an order as the engine received it.
type order struct {
	at     time.Time
	owner  string
	fence  uint64
	what   string
	status int
}

// orderEngine is a model engine without requests: it reports, and carries out orders to load.
type orderEngine struct {
	w    *world
	id   string
	zone string

	mu       sync.Mutex
	server   *http.Server
	addr     string
	born     int64
	seq      int
	hasModel bool
	busyTill time.Time
	adapters map[string]bool
	orders   []order
}

// start starts a run of the engine, which is empty unless it hasModel, and registers it under its ID.
func (e *orderEngine) start(hasModel bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.addr == "" {
		// Ports of this range are not given to outgoing connections, so that the address is free when the engine is back.
		e.addr = fmt.Sprintf("127.0.0.1:%d", e.w.freePorts(1))
	}
	l, err := net.Listen("tcp", e.addr)
	e.w.must(err)
	e.addr = l.Addr().String()
	e.born, e.seq, e.hasModel, e.busyTill, e.adapters = time.Now().UnixMilli(), 0, hasModel, time.Time{}, make(map[string]bool)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("POST /v1/order", e.order)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	e.w.note("engine %s starts, born %d", e.id, e.born)
	e.register("ready")
}

// drain announces that the engine leaves.
func (e *orderEngine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.note("engine %s drains", e.id)
	e.register("draining")
}

// stop ends the run and removes the entry of the engine.
func (e *orderEngine) stop() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.w.store.Delete("servers", e.id)
	e.w.note("engine %s is gone, and so is its entry", e.id)
}

// register writes the entry of the engine. The caller holds the lock.
func (e *orderEngine) register(state string) {
	e.w.store.Put("servers", e.id, map[string]any{
		"service": "llm", "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": state, "cold_ms": 0, "seq": 0, "born": e.born,
		"models": e.models(),
	})
}

func (e *orderEngine) models() []any {
	if !e.hasModel || time.Now().Before(e.busyTill) {
		return []any{}
	}
	list := []string{}
	for name := range e.adapters {
		list = append(list, name+"@1")
	}
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": list}}
}

func (e *orderEngine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "both", "models": e.models(), "busy": time.Now().Before(e.busyTill), "seq": e.seq, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 140667,
		"handles": 0, "pending": []string{}, "born": e.born,
	})
}

func (e *orderEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode  string `json:"opcode"`
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Owner   string `json:"owner"`
		Fence   uint64 `json:"fence_token"`
		Count   *int   `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		status = http.StatusMisdirectedRequest
	case time.Now().Before(e.busyTill), o.Count != nil && *o.Count != e.seq:
		status = http.StatusConflict
	case o.Opcode == "load" && o.Adapter == "" && e.hasModel:
		status = http.StatusOK
	case o.Opcode == "load" && o.Adapter == "":
		e.hasModel, e.busyTill = true, time.Now().Add(modelLoad)
		e.seq++
	case o.Opcode == "load":
		e.adapters[o.Adapter] = true
		e.seq++
	default:
		delete(e.adapters, o.Adapter)
		e.seq++
	}
	e.orders = append(e.orders, order{time.Now(), o.Owner, o.Fence, o.Opcode + " " + o.Model + "/" + o.Adapter, status})
	e.w.note("engine %s: order to %s %s/%s from %s with token %d, expected %d, answered %d", e.id, o.Opcode, o.Model, o.Adapter, o.Owner, o.Fence, *o.Count, status)
	w.WriteHeader(status)
}

// judge checks that no two holders took turns within the lease time.
func (e *orderEngine) judge() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 1; i < len(e.orders); i++ {
		a, b := e.orders[i-1], e.orders[i]
		if a.owner != b.owner && b.at.Sub(a.at) < leaseTime {
			e.w.breaks("ONE: engine %s got an order (%s) from %s with token %d, and %d ms later one (%s) from %s with token %d; lease_ms is 3,000",
				e.id, a.what, a.owner, a.fence, b.at.Sub(a.at).Milliseconds(), b.what, b.owner, b.fence)
		}
	}
}

// playTwoHolders: a machine is added in a zone of one machine, and the machine of the other zone is stopped and
// started. Twice, a fifth of the engines is emptied and taken
// away, and half a minute later as many empty engines are added, which start again under the IDs that they had. Each
// engine may get orders from one holder at a time only.
func playTwoHolders(w *world) {
	w.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "ask", "host": host, "path_prefix": "/ask/", "kind": "stream", "timeout_ms": 8000, "goal_ms": 500, "priority": 0,
			"service": "llm", "attempts": 2, "resumable": true, "sticky": true, "gap_aim_ms": 250,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_conns": 360, "backend": map[string]any{
			"slots": 64, "kv_capacity": 140667, "weights_mb": 66600.0, "lora_slots": 20, "loads_per_s": 2.9,
			"models": []any{map[string]any{"name": modelName, "weights_mb": 65100.0, "load_time_s": modelLoad.Seconds(), "adapters": 3000, "lora_mb": 12.0}},
		}}},
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var engines []*orderEngine
	for i := range holdEngines {
		e := &orderEngine{w: w, id: fmt.Sprintf("i-%d", i), zone: "z1"}
		e.start(true)
		engines = append(engines, e)
	}
	first, other := w.addVM("z1"), w.addVM("z2")
	for _, v := range []*vm{first, other} {
		v.startDaemon(nil)
		v.awaitReady()
	}
	time.Sleep(settleTime)
	added := w.addVM("z1")
	added.startDaemon(nil)
	added.awaitReady()
	time.Sleep(settleTime)
	w.note("%s gets SIGTERM, and is started again", other.name)
	w.must(other.signal(syscall.SIGTERM))
	time.Sleep(restartTime)
	other.awaitReady()
	time.Sleep(settleTime / 2)
	// Each machine of the zone claims the engines for which it comes first in the rendezvous order. The first machine
	// holds them all, as it was alone.
	var moved []*orderEngine
	for _, e := range engines {
		if state.RendezvousOwner(e.id, []string{first.name, added.name}) == added.name {
			moved = append(moved, e)
		}
	}
	away := awayTime
	if !w.trouble {
		away = briefTime
	}
	for len(moved) >= takenAway {
		group := moved[:takenAway]
		moved = moved[takenAway:]
		for _, e := range group {
			e.drain()
		}
		time.Sleep(drainTime)
		for _, e := range group {
			e.stop()
		}
		time.Sleep(away)
		for _, e := range group {
			e.start(false)
			time.Sleep(returnGap)
		}
		time.Sleep(lastOrders)
	}
	for _, e := range engines {
		e.judge()
	}
}
