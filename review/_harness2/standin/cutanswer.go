package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	uploads     = 5         // at once
	uploadBytes = 4_150_000 // max_body_bytes of the configuration is 4,194,304
	crashes     = 4         // one engine of six each time
	uploadPause = 2 * time.Second
	backAfter   = 3900 * time.Millisecond // an engine that has crashed is back
)

// playCutAnswer: engines answer uploads before they have read them, without a length. One of six engines
// crashes in the middle of its answers, and is back 3.9 s later. Each answer that a client gets as a
// complete success must be the engine's whole answer.
func playCutAnswer(w *world) {
	w.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "upload", "host": host, "path_prefix": "/upload/", "kind": "non_idempotent", "timeout_ms": 8000, "goal_ms": 300, "priority": 0,
			"service": "app", "attempts": 1,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_conns": 96}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	engines := make([]*engineProcess, 6)
	incarnation := 0
	var mu sync.Mutex
	ranAt := make(map[string]int) // number of the engine by request
	start := func(i int) {
		incarnation++
		engines[i] = w.startEngine(fmt.Sprintf("i-%d-%d", i, incarnation), "app", 6, func(line string) {
			var id string
			if n, _ := fmt.Sscanf(line, "runs %s", &id); n == 1 {
				mu.Lock()
				ranAt[id] = i
				mu.Unlock()
			}
		}, "-pause", uploadPause.String())
	}
	for i := range engines {
		start(i)
	}
	v := w.addVM("z1")
	v.startDaemon(nil)
	v.awaitReady()
	time.Sleep(4 * time.Second)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 10 * time.Second}
	payload := bytes.Repeat([]byte("x"), uploadBytes)
	requests := 0
	for round := range crashes {
		var wg sync.WaitGroup
		first := requests
		for range uploads {
			requests++
			id := fmt.Sprintf("up-%d", requests)
			wg.Add(1)
			go func() {
				defer wg.Done()
				upload(w, client, v.front, id, payload)
			}()
		}
		time.Sleep(uploadPause / 2)
		if w.trouble {
			// The engine that runs the most of the requests crashes.
			count := make([]int, len(engines))
			mu.Lock()
			for n := first + 1; n <= requests; n++ {
				if i, ok := ranAt[fmt.Sprintf("up-%d", n)]; ok {
					count[i]++
				}
			}
			mu.Unlock()
			victim := 0
			for i, n := range count {
				if n > count[victim] {
					victim = i
				}
			}
			e := engines[victim]
			w.note("round %d: engine %s crashes, with %d requests", round, e.id, count[victim])
			e.kill()
			wg.Wait()
			time.Sleep(backAfter)
			w.store.Delete("servers", e.id)
			start(victim)
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
	}
}

// upload sends a request and judges its answer.
func upload(w *world, client *http.Client, front, id string, payload []byte) {
	r, err := http.NewRequest(http.MethodPost, "http://"+front+"/upload/x", bytes.NewReader(payload))
	w.must(err)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "8000")
	w.note("client sends %s, %d bytes", id, len(payload))
	resp, err := client.Do(r)
	if err != nil {
		w.note("client gets no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	w.note("client gets %d to %s, signature %q, length %d, %d bytes, error %v", resp.StatusCode, id, resp.Header.Get("X-Response-Signature"), resp.ContentLength, len(body), err)
	if resp.StatusCode/100 == 2 && err == nil && string(body) != wholeAnswer(id) {
		w.breaks("MIXED: the client of %s has a complete %d with %d of the %d bytes of the engine's answer, which was reset on the way", id, resp.StatusCode, len(body), answerSize)
	}
}
