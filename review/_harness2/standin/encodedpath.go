package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	badgeEngines = 20
	losingShare  = 0.6             // of the engines, answer_lost
	lostShare    = 0.4             // of their answers
	lossTime     = 4 * time.Second // each time
	lossTimes    = 9
	calmTime     = 5 * time.Second
	badgeClients = 40
	badgePause   = 150 * time.Millisecond // between the requests of a client
)

// badges is the registry of badges: a plain service whose engines count the runs of requests.
type badges struct {
	w *world

	losing atomic.Bool // some engines lose answers
	mu     sync.Mutex
	runs   map[string]int
}

// playEncodedPath: badges are issued by POST /badges/NUMBER, which must not repeat. Some numbers have a slash, which
// clients encode, as it is no separator of the path. Another route, for look-ups that may repeat, begins with
// /badges/norte/. Engines lose answers at times.
func playEncodedPath(w *world) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "goal_ms": 300, "priority": 0, "service": "app", "attempts": attempts,
		}
	}
	w.store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{route("issue", "/badges/", "non_idempotent", 1), route("look-up", "/badges/norte/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_conns": 110}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b := &badges{w: w, runs: make(map[string]int)}
	for i := range badgeEngines {
		b.serveEngine(fmt.Sprintf("i-%d", i), float64(i) < losingShare*badgeEngines)
	}
	v := w.addVM("z1")
	v.startDaemon(nil)
	v.awaitReady()
	time.Sleep(calmTime)
	end := time.Now().Add(lossTimes * (lossTime + calmTime))
	var wg sync.WaitGroup
	for i := range badgeClients {
		wg.Go(func() { b.issue(v.front, i, end) })
	}
	for range lossTimes {
		if w.trouble {
			w.note("some engines lose answers for %s", lossTime)
			b.losing.Store(true)
		}
		time.Sleep(lossTime)
		b.losing.Store(false)
		time.Sleep(calmTime)
	}
	wg.Wait()
	for id, n := range b.runs {
		if n > 1 {
			w.breaks("TWICE: %s, a POST on the route /badges/ of the kind non_idempotent, ran %d times", id, n)
		}
	}
}

// serveEngine serves an engine and registers it. The engine resets the connection of some requests that it ran if it loses answers.
func (b *badges) serveEngine(id string, loses bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.w.must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the request did not come whole
		}
		request := r.Header.Get("X-Request-Id")
		b.mu.Lock()
		b.runs[request]++
		b.mu.Unlock()
		b.w.note("engine %s runs %s, %s %s", id, request, r.Method, r.RequestURI)
		time.Sleep(20 * time.Millisecond)
		if loses && b.losing.Load() && rand.Float64() < lostShare {
			b.w.note("engine %s loses its answer to %s", id, request)
			resetConn(rw)
			return
		}
		rw.Header().Set("X-Request-Id", request)
		rw.Header().Set("X-Response-Signature", "s."+id)
		_, _ = io.WriteString(rw, wholeAnswer(request)) // the daemon may have left
	})}
	go func() { _ = server.Serve(l) }()
	b.w.onEnd(func() { _ = server.Close() })
	b.w.store.Put("servers", id, map[string]any{
		"service": "app", "address": l.Addr().String(), "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "born": 1, "seq": 1, "cold_ms": 0,
	})
	b.w.note("engine %s of app started at %s", id, l.Addr())
}

// resetConn ends the connection of a request with a reset.
func resetConn(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// issue issues badges, three of four with a number that has a slash.
func (b *badges) issue(front string, client int, end time.Time) {
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Now().Before(end); n++ {
		number, kind := fmt.Sprintf("%d-%d", client, n), "plain"
		if n%4 != 0 {
			number, kind = "norte%2F"+number, "slash"
		}
		id := fmt.Sprintf("%s-%d-%d", kind, client, n)
		r, err := http.NewRequest(http.MethodPost, "http://"+front+"/badges/"+number, strings.NewReader("holder and fee"))
		b.w.must(err)
		r.GetBody = nil // the client does not repeat it
		r.Host = host
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", "1500")
		resp, err := c.Do(r)
		if err != nil {
			b.w.note("client %s: %v", id, err)
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			b.w.note("client %s: %d, error %v", id, resp.StatusCode, err)
		}
		time.Sleep(badgePause)
	}
}
