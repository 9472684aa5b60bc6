package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	leaveAfter     = 100 * time.Millisecond // a client gives up
	beginLate      = 250 * time.Millisecond // from the arrival of a request at an engine to the begin of its answer
	leaverEngines  = 5
	keepingEngines = 2 // that don't drop a request when its connection closes
	leaverAdapters = 60
	leaversOn      = 5 * time.Second // a stretch in which clients give up
	leaversOff     = time.Second
	leaversPause   = 400 * time.Millisecond
	leaversRounds  = 9
)

func init() { cases["leavers"] = playLeavers }

// playLeavers sends requests with a part that crashes engines, from clients that give up before the engine
// begins its answer.
func playLeavers(w *world) (bool, error) {
	p, machines, err := startParts(w, leaverEngines, beginLate, keepingEngines)
	if err != nil {
		return false, err
	}
	leaves := w.trouble && os.Getenv("LEAVE") != "0"
	prompt := func(part string, own int) map[string]string {
		return map[string]string{
			"X-Model": fmt.Sprintf("%s/a%d", model, 1+own%leaverAdapters), "X-Token-Count": "200,30",
			"X-Prompt-Prefix": fmt.Sprintf("1000:60,1001:60,%s:40,%x:40", part, 0x900000+own),
		}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(soundPause):
			}
			wg.Go(func() {
				a := send(machines[i%len(machines)], "/ask/1", newID("sound"), prompt(soundPart, i), fmt.Sprintf("sound %d", i), 8*time.Second)
				w.note("client: %s answered %d, %d events, %s %s", a.id, a.status, strings.Count(a.body, "\n\n"), a.took.Round(time.Millisecond), errText(a.err))
			})
		}
	})
	time.Sleep(3 * time.Second) // the adapters are loaded
	for i, round := 0, 0; round < leaversRounds; round++ {
		for end := time.Now().Add(leaversOn); time.Now().Before(end); i++ {
			time.Sleep(leaversPause)
			d, header, body := machines[i%len(machines)], prompt(crashingPart, i), fmt.Sprintf("crashing %d", i)
			wg.Go(func() {
				id := newID("crashing")
				if leaves {
					w.note("client: %s sent, given up after %s: %s", id, leaveAfter, errText(leave(d, id, header, body)))
					return
				}
				a := send(d, "/ask/1", id, header, body, 8*time.Second)
				w.note("client: %s answered %d, %d events, %s %s", a.id, a.status, strings.Count(a.body, "\n\n"), a.took.Round(time.Millisecond), errText(a.err))
			})
		}
		time.Sleep(leaversOff)
	}
	close(done)
	wg.Wait()
	return p.judge(), nil
}

// leave sends a request and closes its connection a little later.
func leave(d *daemon, id string, header map[string]string, body string) error {
	conn, err := net.Dial("tcp", d.front)
	if err != nil {
		return err
	}
	defer conn.Close()
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "POST /ask/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n", host, id, len(body))
	for name, value := range header {
		_, _ = fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if _, err := conn.Write([]byte(head.String() + "\r\n" + body)); err != nil {
		return err
	}
	time.Sleep(leaveAfter)
	return nil
}
