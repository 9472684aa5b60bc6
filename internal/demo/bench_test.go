package demo_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/demo"
)

const (
	benchModel  = "advice/blitz@v1"
	benchTokens = 500
	maxLatency  = int64(10 * time.Second)
)

// route is a path from a caller to the engine.
type route struct {
	name string
	addr string
}

// benchRoutes starts a deployment with one engine and two daemons, and returns three
// paths to the engine: without a daemon, through the engine's owner, and through the other
// daemon, which forwards to the owner.
func benchRoutes(b *testing.B) []route {
	b.Helper()
	opts := demo.DefaultOptions()
	opts.Zones = []string{"cascadia-a"}
	opts.DaemonsPerZone = 2
	opts.EnginesPerZone = 1
	opts.CallerPorts = nil
	opts.DrainGrace = 0
	opts.Engine.Batch = 256
	opts.Engine.TokenTime = 0
	opts.StoreLoadTime = time.Millisecond
	d, err := demo.Start(b.Context(), opts)
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(b, d.WaitReady(b.Context()), qt.IsNil)
	time.Sleep(time.Second) // until both daemons know the owner of the engine
	owner, other := d.Daemons[0], d.Daemons[1]
	if !owner.Owns("cascadia-a-engine-1") {
		owner, other = other, owner
	}
	_, err = streamCompletion(b.Context(), benchClient(), owner.CallerAddr(), 0, 1) // load the adapter
	qt.Assert(b, err, qt.IsNil)
	return []route{{"direct", d.EngineAddrs[0]}, {"owner", owner.CallerAddr()}, {"hop", other.CallerAddr()}}
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// streamCompletion runs a streamed completion and returns its number of chunks.
func streamCompletion(ctx context.Context, c *http.Client, addr string, id, tokens int) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Set the clock","stream":true,"max_tokens":%d,"request_id":"bench-%d"}`, benchModel, tokens, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	chunks := 0
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: {")) {
			chunks++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return chunks, err
		}
	}
	if resp.StatusCode != http.StatusOK || chunks < tokens {
		return chunks, fmt.Errorf("status %d with %d chunks", resp.StatusCode, chunks)
	}
	return chunks, nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLatency measures the duration of sequential requests for one token.
func BenchmarkLatency(b *testing.B) {
	for _, r := range benchRoutes(b) {
		b.Run(r.name, func(b *testing.B) {
			c := benchClient()
			h := hdrhistogram.New(1, maxLatency, 3)
			_, err := streamCompletion(b.Context(), c, r.addr, -1, 1)
			qt.Assert(b, err, qt.IsNil)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				start := time.Now()
				_, err := streamCompletion(b.Context(), c, r.addr, i, 1)
				qt.Assert(b, err, qt.IsNil)
				_ = h.RecordValue(int64(time.Since(start)))
			}
			for _, q := range []float64{50, 95, 99} {
				b.ReportMetric(float64(h.ValueAtQuantile(q))/1e3, fmt.Sprintf("p%.0f-µs", q))
			}
		})
	}
}

// BenchmarkRequests measures how many requests for one token run per second of CPU time. It
// counts the CPU time of the whole process, which includes the callers and the engine.
func BenchmarkRequests(b *testing.B) { benchParallel(b, 1, "requests/core-s") }

// BenchmarkChunks measures how many chunks of long streams are passed on per second of CPU
// time.
func BenchmarkChunks(b *testing.B) { benchParallel(b, benchTokens, "chunks/core-s") }

// benchParallel runs completions of a number of tokens on every route with two workers per
// CPU and reports tokens per second of CPU time in the given unit.
func benchParallel(b *testing.B, tokens int, unit string) {
	for _, r := range benchRoutes(b) {
		b.Run(r.name, func(b *testing.B) {
			c := benchClient()
			_, err := streamCompletion(b.Context(), c, r.addr, -1, 1)
			qt.Assert(b, err, qt.IsNil)
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime()
			var wg sync.WaitGroup
			workers := 2 * runtime.GOMAXPROCS(0)
			for w := range workers {
				wg.Go(func() {
					for i := w; i < b.N; i += workers {
						_, err := streamCompletion(b.Context(), c, r.addr, i, tokens)
						qt.Check(b, err, qt.IsNil)
					}
				})
			}
			wg.Wait()
			spent := cpuTime() - before
			units := float64(b.N * tokens)
			b.ReportMetric(units/spent.Seconds(), unit)
			b.ReportMetric(spent.Seconds()*1e6/units, "cpu-µs/unit")
		})
	}
}
