package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
	"github.com/celerydeck/celerydeck/internal/standin/webservice"
)

const (
	crowdConns     = 16    // connections of the crowd to one machine at a time
	crowdRequests  = 200   // requests on one connection
	nameBytes      = 12000 // of the model that a request of the crowd names; the head stays under header_bytes
	ordinaryPause  = 100 * time.Millisecond
	memoryPause    = 50 * time.Millisecond
	restartDelay   = time.Second
	endsOfAMachine = 3 // ends of a process by itself that count for the rule
	crowdLimit     = 75 * time.Second
	untroubledPlay = 30 * time.Second
	afterTheCrowd  = 3 * time.Second
)

func init() { cases["models"] = playModels }

// playModels lets a crowd name models that don't exist, at two machines. The platform ends a process that
// has more memory than its machine and starts it again.
func playModels(w *world) (bool, error) {
	engine := modelengine.New("i-llm-1", model, 20, 250*time.Millisecond, 20, 20*time.Millisecond)
	service := webservice.New("i-app-1", "app", 30*time.Millisecond)
	engineAt, err := serve(engine)
	if err != nil {
		return false, err
	}
	serviceAt, err := serve(service)
	if err != nil {
		return false, err
	}
	w.configure(
		[]any{streamRoute("ask", "/ask/", "llm", true, 2), plainRoute("book", "/book/", "non_idempotent", "app", 1)},
		[]any{modelService("llm", 64), plainService("app")},
	)
	defer w.register("i-llm-1", "llm", engineAt, "z1", 64, []any{map[string]any{"name": model, "version": 1, "adapters": []string{}}}, 1)() // the stand-in says that it was born at 1
	defer w.register("i-app-1", "app", serviceAt, "z1", 6, nil, 1)()
	var machines []*daemon
	for i := range 2 {
		d, err := w.addDaemon(fmt.Sprintf("edge-z1-%d", i+1), "z1", true)
		if err != nil {
			return false, err
		}
		if err := d.start(); err != nil {
			return false, err
		}
		machines = append(machines, d)
	}
	for _, d := range machines {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(trafficDelay)
	done := make(chan struct{})
	var wg sync.WaitGroup
	ends := make([]atomic.Int64, len(machines))
	for i, d := range machines {
		wg.Go(func() { ordinary(w, d, done) })
		wg.Go(func() { superviseMemory(w, d, &ends[i], done) })
		if w.trouble {
			for range crowdConns {
				wg.Go(func() { crowd(d, done) })
			}
		}
	}
	limit := untroubledPlay
	if w.trouble {
		limit = crowdLimit
	}
	hasEnded := func() bool { return ends[0].Load() >= endsOfAMachine && ends[1].Load() >= endsOfAMachine }
	for end := time.Now().Add(limit); time.Now().Before(end) && !hasEnded(); {
		time.Sleep(memoryPause)
	}
	isBroken := hasEnded()
	close(done)
	wg.Wait()
	w.note("requests of the crowd: %d; ends of processes for memory: %d and %d", crowdSent.Load(), ends[0].Load(), ends[1].Load())
	return isBroken, nil
}

// superviseMemory does what the platform does: it ends a process that exceeds its memory, and starts it
// again a little later.
func superviseMemory(w *world, d *daemon, ends *atomic.Int64, done <-chan struct{}) {
	highest, noted := 0, time.Now()
	for {
		select {
		case <-done:
			w.note("%s: at the end %d MB resident, %d MB at most", d.name, d.memory("VmRSS"), max(highest, d.memory("VmHWM")))
			return
		case <-time.After(memoryPause):
		}
		now := d.memory("VmRSS")
		highest = max(highest, now)
		if time.Since(noted) > time.Second {
			noted = time.Now()
			w.note("%s: %d MB resident; %d requests of the crowd so far at both machines", d.name, now, crowdSent.Load())
		}
		if now <= memoryLimitMB && !d.hasExited() {
			continue
		}
		w.note("%s: %d MB resident, over %d MB: the platform ends the process", d.name, now, memoryLimitMB)
		d.kill()
		ends.Add(1)
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			w.note("%s: not started again: %s", d.name, err)
			return
		}
	}
}

// ordinary sends requests as ordinary clients do.
func ordinary(w *world, d *daemon, done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(ordinaryPause):
		}
		if i%2 == 0 {
			a := send(d, "/book/1", newID("book"), nil, "a clock", 1500*time.Millisecond)
			w.note("%s: %s answered %d in %s %v", d.name, a.id, a.status, a.took.Round(time.Millisecond), errText(a.err))
			continue
		}
		a := send(d, "/ask/1", newID("ask"), map[string]string{"X-Model": model + "/a1", "X-Token-Count": "400,40", "X-Prompt-Prefix": "5c1e07a2:300," + fmt.Sprintf("%x:100", i)}, "question", 8*time.Second)
		w.note("%s: %s answered %d with %d events in %s %v", d.name, a.id, a.status, strings.Count(a.body, "id:"), a.took.Round(time.Millisecond), errText(a.err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

var crowdSent atomic.Int64

// crowd sends requests for models that don't exist, ahead of their answers, on one connection after the
// other.
func crowd(d *daemon, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		if crowdConnection(d, done) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// crowdConnection sends its requests ahead and reads no answer.
func crowdConnection(d *daemon, done <-chan struct{}) error {
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	for range crowdRequests {
		select {
		case <-done:
			return nil
		default:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second)) // a closed connection fails the write
		id := newID("crowd")
		name := id + strings.Repeat("x", nameBytes-len(id))
		if _, err := fmt.Fprintf(conn, "POST /ask/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n", host, id, crowdHeader(), name); err != nil {
			return err
		}
		crowdSent.Add(1)
	}
	time.Sleep(200 * time.Millisecond) // the daemon may not have read all of them yet
	return nil
}

// crowdHeader is the header with the long text. Another header than X-Model shows that it is the name of
// the model that the daemon keeps.
func crowdHeader() string {
	if name := os.Getenv("CROWD_HEADER"); name != "" {
		return name
	}
	return "X-Model"
}
