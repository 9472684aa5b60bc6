package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stale kills the daemon that reads the store for its zone, and removes an engine's entry, some time after
// an outage of the store that both daemons saw.
func stale(w *world) {
	w.configure(1, []any{map[string]any{
		"name": "book", "host": "deck.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500, "goal_ms": 150,
		"priority": 1, "service": "app", "attempts": 1,
	}}, []any{map[string]any{"name": "app", "max_conns": 96}})
	const rounds = 5
	for i := range 4 + rounds {
		w.startServer(fmt.Sprintf("i-%d", i), "app", 60*time.Millisecond, nil)
	}
	reader := w.startDaemon("vm-1", 0.8, 284)
	other := w.startDaemon("vm-2", 0.4, 284)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	c := w.newClient()
	var mu sync.Mutex
	lost := 0
	for k := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				if r := c.send(other, http.MethodPost, "/book/x", fmt.Sprintf("c%d-%04d", k, n), 1500*time.Millisecond, nil, "book"); r.status == http.StatusBadGateway || r.status == 0 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		}()
	}
	var checks []func()
	for i := range rounds {
		if w.trouble {
			w.log("the store is down")
			reader.gate.cut.Store(true)
			other.gate.cut.Store(true)
			time.Sleep(3500 * time.Millisecond)
			reader.gate.cut.Store(false)
			w.log("the store is back, and turns %s away a little longer", other.name)
			time.Sleep(700 * time.Millisecond)
			other.gate.cut.Store(false)
			w.log("the store serves both daemons")
		}
		time.Sleep(6 * time.Second)
		if w.trouble {
			reader.kill()
			time.Sleep(100 * time.Millisecond)
		}
		s := w.servers[i]
		gone := s.leave()
		w.log("the store has removed the entry of %s", s.id)
		time.Sleep(2600 * time.Millisecond)
		_ = s.http.Close() // breaks off what the engine runs
		w.log("engine %s has ended", s.id)
		if w.trouble {
			reader.start()
			reader.waitReady()
		}
		checks = append(checks, func() {
			late := 0
			var last time.Duration
			for _, r := range s.arrivals() {
				if d := r.at.Sub(gone); d > drainMS*time.Millisecond {
					late++
					last = d
				}
			}
			if late > 0 {
				w.violation("DRAIN: %d requests reached %s later than %d ms after the store had removed its entry, the last after %d ms", late, s.id, drainMS, last.Milliseconds())
			}
		})
		time.Sleep(3500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	for _, check := range checks {
		check()
	}
	w.log("%d requests got a 502 or no answer", lost)
}
