package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
)

const (
	memoryLimit   = 284 << 20 // limits.memory_mb of the settings
	crowdConns    = 32        // of the crowd, to each machine
	aheadRequests = 200       // that a client of the crowd sends without reading the answers
	nameBytes     = 12_000    // of the model's name; header_bytes of the configuration is 16,384
	crowdTime     = 80 * time.Second
	endsEach      = 3 // ends of processes of a machine that break the rule
	adapters      = 4
)

// playModelNames: a crowd sends many requests ahead on each connection without reading the answers, and each
// names another model. No process may take more than the memory of its machine. The platform kills a process
// that does, and starts it again.
func playModelNames(w *world) {
	w.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "ask", "host": host, "path_prefix": "/ask/", "kind": "stream", "timeout_ms": 8000, "goal_ms": 500, "priority": 0,
			"service": "llm", "attempts": 2, "resumable": true, "sticky": true, "gap_aim_ms": 250,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_conns": 360, "backend": map[string]any{
			"slots": 64, "kv_capacity": 140667, "weights_mb": 66600.0, "lora_slots": 20, "loads_per_s": 2.9,
			"models": []any{map[string]any{"name": "m0", "weights_mb": 65100.0, "load_time_s": 3.8, "adapters": 3000, "lora_mb": 12.0}},
		}}},
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range 4 {
		w.serveModelEngine(fmt.Sprintf("i-%d", i), fmt.Sprintf("z%d", i%2+1))
	}
	var mu sync.Mutex
	ends := make(map[*vm]int)
	var vms []*vm
	for _, zone := range []string{"z1", "z2"} {
		vms = append(vms, w.addVM(zone))
	}
	for _, v := range vms {
		v.startDaemon(func(v *vm, _ string) {
			mu.Lock()
			defer mu.Unlock()
			ends[v]++
		})
	}
	for _, v := range vms {
		v.awaitReady()
	}
	time.Sleep(5 * time.Second)

	var isOver atomic.Bool
	var wg sync.WaitGroup
	for _, v := range vms {
		wg.Go(func() { v.enforceMemory(&isOver) })
		wg.Go(func() { w.askOrdinary(v, &isOver) })
		if w.trouble {
			w.note("%s: a crowd of %d clients begins", v.name, crowdConns)
			for i := range crowdConns {
				wg.Go(func() { crowdClient(v, i, &isOver) })
			}
		}
	}
	haveAllEnded := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, v := range vms {
			if ends[v] < endsEach {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !haveAllEnded(); {
		time.Sleep(100 * time.Millisecond)
	}
	isOver.Store(true)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, v := range vms {
		w.note("%s: ended %d times by itself", v.name, ends[v])
	}
	if ends[vms[0]] >= endsEach && ends[vms[1]] >= endsEach {
		w.breaks("Fault: the processes of both machines went over the memory of their machines %d times each", endsEach)
	}
}

// serveModelEngine serves a model engine and registers it.
func (w *world) serveModelEngine(id, zone string) *modelengine.Engine {
	e := modelengine.New(id, "m0", 20, 250*time.Millisecond, 4, 30*time.Millisecond)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	w.onEnd(func() { _ = server.Close() })
	w.store.Put("servers", id, map[string]any{
		"service": "llm", "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready", "born": 1, "seq": 0, "cold_ms": 0,
		"models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}},
	})
	w.note("engine %s of llm started at %s", id, l.Addr())
	return e
}

// residentMemory returns the memory of a process that is resident, or 0 if it has ended.
func residentMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes << 10
		}
	}
	return 0
}

// enforceMemory kills a daemon that takes more than the memory of its machine, as the platform does.
func (v *vm) enforceMemory(isOver *atomic.Bool) {
	noted := time.Now()
	for ; !isOver.Load(); time.Sleep(20 * time.Millisecond) {
		pid := v.pid()
		used := residentMemory(pid)
		if time.Since(noted) >= time.Second {
			noted = time.Now()
			v.w.note("%s: process %d has %d MB resident", v.name, pid, used>>20)
		}
		if used <= memoryLimit {
			continue
		}
		v.w.note("%s: process %d has %d MB resident, more than limits.memory_mb=284, and is killed", v.name, pid, used>>20)
		if p, err := os.FindProcess(pid); err == nil {
			_ = p.Kill()
		}
		for end := time.Now().Add(2 * time.Second); v.pid() == pid && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// askOrdinary sends an ordinary request a second and notes the answers.
func (w *world) askOrdinary(v *vm, isOver *atomic.Bool) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; !isOver.Load(); n++ {
		id := fmt.Sprintf("%s-%d", v.name, n)
		r, err := http.NewRequest(http.MethodPost, "http://"+v.front+"/ask/x", strings.NewReader("question"))
		w.must(err)
		r.Host = host
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", "8000")
		r.Header.Set("X-Model", fmt.Sprintf("m0/a%d", n%adapters))
		resp, err := client.Do(r)
		if err != nil {
			w.note("ordinary client %s: %v", id, err)
		} else {
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			w.note("ordinary client %s: %d, %d bytes, error %v", id, resp.StatusCode, len(body), err)
		}
		time.Sleep(time.Second)
	}
}

// crowdClient opens connections one after the other, and sends requests ahead on each without reading.
func crowdClient(v *vm, number int, isOver *atomic.Bool) {
	for round := 0; !isOver.Load(); round++ {
		conn, err := net.DialTimeout("tcp", v.front, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		out := bufio.NewWriter(conn)
		for n := range aheadRequests {
			name := fmt.Sprintf("m%d-%d-%d-%d-", v.pid(), number, round, n)
			name += strings.Repeat("x", nameBytes-len(name))
			_, err = fmt.Fprintf(out, "POST /ask/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: c-%d-%d-%d\r\nX-Deadline-Ms: 8000\r\nX-Model: %s\r\nContent-Length: 0\r\n\r\n", host, number, round, n, name)
			if err != nil || isOver.Load() {
				break
			}
		}
		_ = out.Flush()
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
	}
}
