package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lapse removes an engine's entry while the daemon that reads the store for its zone regains the store.
func lapse(w *world) {
	w.configure(1, []any{map[string]any{
		"name": "book", "host": "deck.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500, "goal_ms": 150,
		"priority": 1, "service": "app", "attempts": 1,
	}}, []any{map[string]any{"name": "app", "max_conns": 96}})
	for i := range 4 {
		w.startServer(fmt.Sprintf("i-%d", i), "app", 60*time.Millisecond, nil)
	}
	reader := w.startDaemon("vm-1", 0.8, 284)
	other := w.startDaemon("vm-2", 0.4, 284)
	time.Sleep(5 * time.Second)
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
	for i := range 2 {
		time.Sleep(4 * time.Second)
		s := w.servers[i]
		if w.trouble {
			w.log("the link between %s and the store is cut", reader.name)
			reader.gate.cut.Store(true)
		}
		time.Sleep(4 * time.Second)
		// The entry is removed just after a list was read.
		listed := make(chan struct{}, 1)
		f := func(r *http.Request) {
			if r.URL.Path == "/v1/objects/servers" && r.Method == http.MethodGet {
				select {
				case listed <- struct{}{}:
				default:
				}
			}
		}
		g := other.gate
		if !w.trouble {
			g = reader.gate
		}
		g.onCall.Store(&f)
		select {
		case <-listed:
		case <-time.After(3 * time.Second):
			w.cannotRun("no daemon lists the engines")
		}
		time.Sleep(30 * time.Millisecond)
		gone := s.leave()
		w.log("the store has removed the entry of %s", s.id)
		if w.trouble {
			reader.gate.cut.Store(false)
			w.log("the link between %s and the store is whole", reader.name)
		}
		time.Sleep(drainMS*time.Millisecond + 600*time.Millisecond)
		_ = s.http.Close() // breaks off what the engine runs
		w.log("engine %s has ended", s.id)
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
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	for _, check := range checks {
		check()
	}
	w.log("%d requests got a 502 or no answer", lost)
}
