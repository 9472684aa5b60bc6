package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// shutdown stops a daemon while requests wait in it for an engine that has named a limit.
func shutdown(w *world) {
	const limit = "1"
	w.configure(1, []any{map[string]any{
		"name": "book", "host": "deck.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 15000, "goal_ms": 2000,
		"priority": 1, "service": "app", "attempts": 1,
	}}, []any{map[string]any{"name": "app", "max_conns": 96}})
	w.startServer("i-1", "app", 30*time.Millisecond, map[string]string{"Server-Limit": limit})
	w.startServer("i-2", "app", 30*time.Millisecond, map[string]string{"Server-Limit": limit})
	a := w.startDaemon("vm-1", 0.4, 284)
	b := w.startDaemon("vm-2", 0.4, 284)
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []result
	c := w.newClient()
	send := func(d *daemon, n int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := c.send(d, http.MethodPost, "/book/x", fmt.Sprintf("r%03d-%s", n, d.name), 15*time.Second, nil, "book")
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		}()
	}
	for i := range 40 { // 5 requests a second, half of them to each daemon
		d := a
		if i%2 == 1 {
			d = b
		}
		send(d, i)
		time.Sleep(200 * time.Millisecond)
	}
	var stoppedAt time.Time
	if w.trouble {
		stoppedAt = time.Now()
		go a.stop()
	}
	wg.Wait()
	if w.trouble {
		<-a.done
	}
	ran := make(map[string]bool)
	for _, s := range w.servers {
		for _, r := range s.arrivals() {
			ran[r.id] = true
		}
	}
	served := 0
	for _, r := range results {
		if r.status == http.StatusOK {
			served++
		}
		if r.status != 0 || r.ended.Sub(r.sent) >= 15*time.Second-100*time.Millisecond {
			continue
		}
		since := 0.0
		if w.trouble {
			since = r.sent.Sub(stoppedAt).Seconds()
		}
		w.violation("LOST: %s was read whole, sent %.1f s after SIGTERM; its connection ended after %.1f s without an answer; an engine ran it: %v", r.id, since, r.ended.Sub(r.sent).Seconds(), ran[r.id])
	}
	w.log("%d requests, %d served", len(results), served)
	if served == 0 {
		w.cannotRun("nothing was served")
	}
}
