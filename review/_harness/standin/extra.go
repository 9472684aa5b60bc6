package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// extra lets an engine send some of its answers twice while streams that must not run twice ask for
// adapters whose loads take a little longer than usual.
func extra(w *world) {
	w.configure(1, []any{map[string]any{
		"name": "digest", "host": "deck.example", "path_prefix": "/digest/", "kind": "stream", "timeout_ms": 15000, "goal_ms": 2000, "gap_aim_ms": 250,
		"priority": 1, "service": "llm", "attempts": 1, "resumable": false,
	}}, []any{map[string]any{"name": "llm", "max_conns": 360, "backend": map[string]any{
		"slots": 64, "kv_capacity": 140000, "weights_mb": 67000, "lora_slots": 20, "loads_per_s": 2.9,
		"models": []any{map[string]any{"name": "base", "weights_mb": 65100, "lora_mb": 12, "load_time_s": 3.8, "adapters": 3000}},
	}}})
	// 250 ms with at most 16 loads on their way from the store, longer in proportion beyond: 24 of them.
	const load = 375 * time.Millisecond
	servers := []*modelServer{w.startModelServer("i-1", 20, load), w.startModelServer("i-2", 20, load)}
	d := w.startDaemon("vm-1", 0.8, 284)
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	refused := make(map[string]int) // status by request
	c := w.newClient()
	for k := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("q%d-%04d", k, n)
				// One request in five asks for an adapter that no engine holds; the budget of retries bears that.
				adapter := 1 + n%4
				if n%5 == 4 {
					adapter = 100 + n*2 + k
				}
				r := c.send(d, http.MethodPost, "/digest/x", id, 15*time.Second, map[string]string{
					"X-Model": fmt.Sprintf("base/a%d", adapter), "X-Token-Count": "100,20", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:50,%x:50", n*2+k+1000),
				}, "prompt")
				mu.Lock()
				sent++
				switch r.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused[id] = r.status
				}
				mu.Unlock()
			}
		}()
	}
	for range 12 { // spells of 5 s, as the site files have them
		if w.trouble {
			servers[0].extra.Store(true)
			w.log("engine i-1 begins to send answers twice")
		}
		time.Sleep(5 * time.Second)
		servers[0].extra.Store(false)
		w.log("engine i-1 sends answers once")
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	runs := make(map[string][]string)
	for _, s := range servers {
		for _, r := range s.arrivals() {
			runs[r.id] = append(runs[r.id], fmt.Sprintf("at %s on %s", w.at(r.at), s.id))
		}
	}
	for id, list := range runs {
		if refused[id] != 0 {
			w.violation("REFUSED: %s was answered %d and ran: %v", id, refused[id], list)
		}
		if len(list) > 1 {
			w.violation("TWICE: %s ran %d times: %v", id, len(list), list)
		}
	}
	w.log("%d requests, %d served; %d of %d answers of i-1 were sent twice", sent, served, servers[0].extras, servers[0].answers)
	if served*2 < sent {
		w.cannotRun("too few requests were served")
	}
}
