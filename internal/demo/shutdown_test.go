package demo_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
)

const (
	shutdownCallers = 16
	shutdownTokens  = 40
)

// failoverClient sends each request to the first daemon and fails over to the next daemon
// if the request is refused as not run or the connection is refused.
type failoverClient struct {
	addrs     []string
	http      http.Client
	answers   atomic.Int32
	failovers atomic.Int32
}

var errIncomplete = errors.New("incomplete answer")

// send sends a request until a daemon has run it, and checks the answer.
func (b *failoverClient) send(ctx context.Context, model, prompt string) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true,"max_tokens":%d}`, model, prompt, shutdownTokens)
	for {
		for _, addr := range b.addrs {
			retry, err := b.attempt(ctx, addr, body, model, prompt)
			if !retry {
				return err
			}
			b.failovers.Add(1)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// isDialRejected reports whether a connection was not established because the daemon no longer
// listens. A listener that closes during the dial resets the connection; the request is not sent.
func isDialRejected(err error) bool {
	var op *net.OpError
	isDial := errors.As(err, &op) && op.Op == "dial"
	return isDial && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

// attempt sends a request to a daemon and reports whether to retry the request at another
// daemon.
func (b *failoverClient) attempt(ctx context.Context, addr, body, model, prompt string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.GetBody = nil // keeps the HTTP client from repeating the request
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	resp, err := b.http.Do(req)
	if isDialRejected(err) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Celerydeck-Outcome") == "not-run" {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if !strings.HasSuffix(string(text), "data: [DONE]\n\n") || strings.Count(string(text), "\"text\":\" ") != shutdownTokens {
		return false, fmt.Errorf("%w: status %d: %s", errIncomplete, resp.StatusCode, text)
	}
	if !strings.Contains(string(text), engine.Token(model, prompt, shutdownTokens-1)) {
		return false, fmt.Errorf("answer of another adapter or prompt: %s", text)
	}
	b.answers.Add(1)
	return false, nil
}

func TestShutdownUnderLoadLosesNoRequest(t *testing.T) {
	t.Parallel()
	opts := demo.DefaultOptions()
	opts.CallerPorts, opts.AdminPorts = nil, nil
	opts.DaemonsPerZone = 2
	opts.DrainGrace = 500 * time.Millisecond
	opts.Engine.TokenTime = 5 * time.Millisecond
	opts.StoreLoadTime = 10 * time.Millisecond
	d, err := demo.Start(t.Context(), opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
	b := &failoverClient{}
	for _, daemon := range d.Daemons {
		b.addrs = append(b.addrs, daemon.CallerAddr())
	}
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for c := range shutdownCallers {
		wg.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				prompt := fmt.Sprintf("caller %d request %d", c, n)
				qt.Check(t, b.send(t.Context(), "advice/blitz@v1", prompt), qt.IsNil)
			}
		})
	}
	waitForAnswers(t, b, 50)
	qt.Check(t, d.Daemons[0].Shutdown(t.Context()), qt.IsNil)
	waitForAnswers(t, b, 50)
	qt.Check(t, d.Daemons[2].Shutdown(t.Context()), qt.IsNil)
	waitForAnswers(t, b, 50)
	stopped.Store(true)
	wg.Wait()
	qt.Check(t, b.failovers.Load() > 0, qt.IsTrue)
	for _, e := range d.Engines {
		qt.Check(t, e.Violations(), qt.Equals, engine.Violations{})
	}
}

// waitForAnswers waits for a number of further answers.
func waitForAnswers(t *testing.T, b *failoverClient, more int32) {
	t.Helper()
	want := b.answers.Load() + more
	for b.answers.Load() < want && !t.Failed() && t.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

func TestDrainingDaemonIsUnreadyAtOnceAndStopsOnASecondSignal(t *testing.T) {
	t.Parallel()
	opts := demo.DefaultOptions()
	opts.CallerPorts, opts.AdminPorts = nil, nil
	opts.DrainGrace = time.Minute
	opts.StoreLoadTime = 10 * time.Millisecond
	d, err := demo.Start(t.Context(), opts)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
	for _, e := range d.Engines {
		e.SetHung(true)
	}
	addr := d.Daemons[0].CallerAddr()
	type answer struct {
		status  int
		outcome string
	}
	ended := make(chan answer, 1)
	go func() {
		resp, err := http.DefaultClient.Do(completionRequest(t.Context(), t, addr, `{"model":"advice/blitz@v1","prompt":"x","stream":true}`))
		if err != nil {
			ended <- answer{}
			return
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		ended <- answer{resp.StatusCode, resp.Header.Get("X-Celerydeck-Outcome")}
	}()
	waitForRunning(t, d, 1)
	ctx, secondSignal := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Daemons[0].Shutdown(ctx) }()
	for status(t, addr, "/readyz") == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	refused := post(t, addr, "/v1/completions", `{"model":"advice/blitz@v1","prompt":"x"}`)
	qt.Check(t, refused.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, refused.Header.Get("X-Celerydeck-Outcome"), qt.Equals, "not-run")
	qt.Check(t, status(t, addr, "/healthz"), qt.Equals, http.StatusOK)
	secondSignal() // a second signal cancels the context of Shutdown
	qt.Check(t, <-stopped, qt.IsNotNil)
	qt.Check(t, <-ended, qt.Equals, answer{http.StatusBadGateway, "unknown"})
	d.Close(ctx)
}

func status(t *testing.T, addr, path string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+path, nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestLeavingUpstreamGetsNoNewRequestsAndKeepsItsRunningOnes(t *testing.T) {
	const viewDelay = 3 * time.Second // until all daemons see the state of the upstreams
	d := startDemo(t)
	ids := []string{"cascadia-a-engine-1", "cascadia-a-engine-2", "cascadia-b-engine-1", "cascadia-b-engine-2"}
	for i, e := range d.Engines {
		e.SetHung(i != 3) // only the last engine makes progress
	}
	hung := make(chan struct{})
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		defer close(hung)
		resp, err := http.DefaultClient.Do(completionRequest(ctx, t, d.Daemons[0].CallerAddr(), `{"model":"advice/blitz@v1","prompt":"x","stream":true}`))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	time.Sleep(100 * time.Millisecond)
	for _, id := range ids[:3] {
		d.VMs.SetState(id, "leaving")
	}
	time.Sleep(viewDelay)
	before := d.Engines[0].Running() + d.Engines[1].Running() + d.Engines[2].Running()
	for i := range 8 {
		prompt := fmt.Sprintf("leaving %d", i)
		text, err := streamAnswer(t, d.Daemons[i%2].CallerAddr(), fmt.Sprintf("advice/rapid@v%d", 1+i%2), prompt)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, strings.Count(text, " "), qt.Equals, faultTokens)
	}
	qt.Check(t, d.Engines[3].Served() >= 8, qt.IsTrue)
	qt.Check(t, d.Engines[0].Running()+d.Engines[1].Running()+d.Engines[2].Running(), qt.Equals, before)
	disconnect()
	<-hung
}
