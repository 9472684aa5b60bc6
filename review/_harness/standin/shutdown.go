package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// shutdown stops a daemon while requests wait in it because the engines have more prompts than they can
// read without stalling their streams.
func shutdown(w *world) {
	const (
		deadline = 25 * time.Second
		grace    = graceS * time.Second
	)
	w.configure(1, []any{map[string]any{
		"name": "digest", "host": "deck.example", "path_prefix": "/digest/", "kind": "stream", "timeout_ms": 25000, "goal_ms": 4000, "gap_aim_ms": 100,
		"priority": 2, "service": "llm", "attempts": 1, "resumable": false,
	}}, []any{map[string]any{"name": "llm", "max_conns": 360, "backend": map[string]any{
		"slots": 64, "kv_capacity": 140000, "weights_mb": 67000, "lora_slots": 20, "loads_per_s": 2.9,
		"models": []any{map[string]any{"name": "base", "weights_mb": 65100, "lora_mb": 12, "load_time_s": 3.8, "adapters": 3000}},
	}}})
	servers := []*batchServer{w.startBatchServer("i-1"), w.startBatchServer("i-2")}
	stopped := w.startDaemon("vm-1", 0.4, 284)
	other := w.startDaemon("vm-2", 0.4, 284)
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []result
	c := w.newClient()
	n := 0
	send := func(d *daemon) {
		n++
		id := fmt.Sprintf("r%03d-%s", n, d.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := c.send(d, http.MethodPost, "/digest/x", id, deadline, map[string]string{"X-Model": "base", "X-Token-Count": "3000,18"}, "prompt")
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		}()
	}
	// The same load all the time. From the SIGTERM on, all of it goes to the other daemon.
	var stoppedAt time.Time
	for begin := time.Now(); time.Since(begin) < 24*time.Second; time.Sleep(50 * time.Millisecond) {
		if w.trouble && stoppedAt.IsZero() && time.Since(begin) > 14*time.Second {
			stoppedAt = time.Now()
			go stopped.stop()
		}
		if n%2 == 0 && stoppedAt.IsZero() {
			send(stopped)
		} else {
			send(other)
		}
	}
	wg.Wait()
	if w.trouble {
		<-stopped.done
	}
	reached := make(map[string]bool)
	for _, s := range servers {
		for _, r := range s.arrivals() {
			reached[r.id] = true
		}
	}
	served, refused := 0, 0
	for _, r := range results {
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusServiceUnavailable:
			refused++
		case r.status != 0 || r.ended.Sub(r.sent) >= deadline-100*time.Millisecond:
		case reached[r.id] && r.ended.Sub(stoppedAt) > grace*5/6:
			w.log("%s is not counted: an engine may have been at work on it", r.id)
		default:
			w.violation("LOST: %s was read whole, sent %.1f s before the SIGTERM; its connection ended after %.1f s without an answer; it reached an engine: %v",
				r.id, stoppedAt.Sub(r.sent).Seconds(), r.ended.Sub(r.sent).Seconds(), reached[r.id])
		}
	}
	w.log("%d requests, %d served, %d refused", len(results), served, refused)
	if served == 0 {
		w.cannotRun("nothing was served")
	}
}
