package app

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recordingUpstream is a plain upstream that records the requests that reach it.
type recordingUpstream struct {
	mu      sync.Mutex
	arrived map[string]time.Time // by request ID
}

// serveRecording starts an upstream that answers each request after a delay, with further headers.
func (p *platformStandIn) serveRecording(t *testing.T, id string, delay time.Duration, header map[string]string) *recordingUpstream {
	u := &recordingUpstream{arrived: make(map[string]time.Time)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.arrived[r.Header.Get("X-Request-Id")] = time.Now()
		u.mu.Unlock()
		time.Sleep(delay)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		for name, value := range header {
			w.Header().Set(name, value)
		}
		_, _ = w.Write([]byte("answer"))
	}))
	t.Cleanup(server.Close)
	p.register(id, server.Listener.Addr().String())
	return u
}

func (u *recordingUpstream) reached(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.arrived[id]
	return ok
}

// Guards against requests that wait in a daemon, here for an upstream's request limit, and get no
// answer because the daemon is stopped.
func TestAStoppedProcessAnswersTheRequestsThatWaitInIt(t *testing.T) {
	p := newPlatformStandIn(t)
	u := p.serveRecording(t, "i-1", 0, map[string]string{"Server-Limit": "0.5"})
	d := p.startProcess(t, "bounds.grace_s=4\n")
	const deadline = 18 * time.Second
	for i := range 3 { // the first answer names the limit
		p.Assert(d.send(http.DefaultClient, "/book/x", fmt.Sprintf("first-%d", i), deadline).status, qt.Equals, http.StatusOK)
	}
	replies := make(chan reply)
	const count = 4
	for i := range count {
		go func() {
			replies <- d.send(&http.Client{Transport: &http.Transport{}}, "/book/x", fmt.Sprintf("waiting-%d", i), deadline)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	d.terminate()
	refused := 0
	for range count {
		got := <-replies
		if got.status == http.StatusServiceUnavailable {
			refused++
			p.Check(u.reached(got.id), qt.IsFalse)
		}
		p.Check(got.status, qt.Not(qt.Equals), 0, qt.Commentf("%s: no answer after %s, at the upstream: %v", got.id, got.took, u.reached(got.id)))
	}
	p.Check(refused > 0, qt.IsTrue, qt.Commentf("no request waited"))
	d.exitsWithin(5 * time.Second)
}

// Guards against requests that a stopping daemon takes late in the grace period, passes on, and
// then cuts off.
func TestAStoppedProcessAnswersEachRequestThatItPassedOn(t *testing.T) {
	for name, pause := range map[string]time.Duration{"dense": 5 * time.Millisecond, "sparse": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatformStandIn(t)
			u := p.serveRecording(t, "i-1", 50*time.Millisecond, nil)
			d := p.startProcess(t, "bounds.grace_s=8\n")
			var wg sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			for k := range 12 {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				wg.Go(func() {
					for i := 0; !d.hasExited(); i++ {
						path := "/book/x"
						if i%3 == 0 {
							path = "/check/x"
						}
						// Deadlines before and after the end of the grace period.
						got := d.send(client, path, fmt.Sprintf("q%d-%d", k, i), time.Duration(300+i*k%7*700)*time.Millisecond)
						mu.Lock()
						statuses[got.status]++
						mu.Unlock()
						p.Check(got.status != 0 || !u.reached(got.id), qt.IsTrue, qt.Commentf("%s reached the upstream, no answer after %s", got.id, got.took))
						time.Sleep(pause)
					}
				})
			}
			time.Sleep(time.Second)
			d.terminate()
			d.exitsWithin(8 * time.Second)
			wg.Wait()
			p.Check(statuses[http.StatusOK] > 50, qt.IsTrue, qt.Commentf("%v", statuses))
			t.Logf("answers by status, 0 for a connection that was refused or ended: %v", statuses)
		})
	}
}
