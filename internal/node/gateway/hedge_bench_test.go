package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/hedge"
)

// BenchmarkHedgedLookups measures lookups through one gateway and four upstreams with six slots
// each over loopback, with hedging off and on. It sends lookups on a schedule that does not wait for
// responses, at 8 to 40% of the slots, and reports percentiles in ms and arrivals beyond the first in percent.
//
//	go test -run '^$' -bench HedgedLookups/600 -benchtime 9000x ./internal/node/gateway
func BenchmarkHedgedLookups(b *testing.B) {
	for _, scenario := range []struct {
		rate   int // lookups a second
		name   string
		bad    int           // number of upstreams with a fault
		factor time.Duration // by which they are slow
		lost   float64       // share of the responses that they lose
	}{
		{120, "sound", 0, 1, 0},
		{120, "one slow by 5", 1, 5, 0},
		{120, "one loses 5 percent", 1, 1, 0.05},
		{300, "sound", 0, 1, 0},
		{300, "all lose 2 percent", 4, 1, 0.02},
		{300, "all lose 5 percent", 4, 1, 0.05},
		{600, "sound", 0, 1, 0},
		{600, "one slow by 5", 1, 5, 0},
		{600, "one loses 5 percent", 1, 1, 0.05},
	} {
		for _, share := range []float64{0, 0.02} {
			b.Run(fmt.Sprintf("%d/%s/share=%g", scenario.rate, scenario.name, share), func(b *testing.B) {
				var list []*upstream
				for i := range 4 {
					list = append(list, lookupUpstream(b, fmt.Sprint(i), uint64(i), func(d time.Duration, draw float64) (time.Duration, bool) {
						if i >= scenario.bad {
							return d, false
						}
						return d * scenario.factor, draw < scenario.lost
					}))
				}
				w := newFixture(b, list...)
				w.hedgeWith(b, hedge.Limits{Share: share, MaxFill: 0.7})
				before := arrivals(list)
				b.ResetTimer()
				times, failed := w.sendLookups(b.N, scenario.rate)
				b.StopTimer()
				for _, p := range []float64{0.5, 0.95, 0.99, 0.999} {
					b.ReportMetric(times[min(int(p*float64(len(times))), len(times)-1)].Seconds()*1e3, fmt.Sprintf("p%g-ms", p*100))
				}
				b.ReportMetric(100*(float64(arrivals(list)-before)/float64(b.N)-1), "extra-%")
				b.ReportMetric(float64(failed), "failed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func arrivals(list []*upstream) (n int) {
	for _, u := range list {
		n += u.arrivals()
	}
	return n
}

// lookupUpstream starts an upstream with six slots that needs 8 to 32 ms for a lookup, changed by a
// function.
func lookupUpstream(b *testing.B, id string, seed uint64, change func(d time.Duration, draw float64) (time.Duration, bool)) *upstream {
	slots := make(chan struct{}, 6)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	return serveUpstream(b, id, func(_ int, r *http.Request, w net.Conn) {
		mu.Lock()
		d, isLost := change(time.Duration(8e6+24e6*rng.Float64()*rng.Float64()), rng.Float64())
		mu.Unlock()
		slots <- struct{}{}
		time.Sleep(d)
		<-slots
		if isLost && r.Header.Get("X-Request-Id") != "warm" {
			_, _ = w.Read(make([]byte, 1)) // until the attempt ends
			return
		}
		ok(r, w, "answer")
	})
}

// sendLookups sends n lookups at a rate. It returns their times in order, and how many had no status 200.
func (w *fixture) sendLookups(n, perSecond int) (times []time.Duration, failed int64) {
	times = make([]time.Duration, n)
	var all sync.WaitGroup
	var failures atomic.Int64
	begin := time.Now()
	for i := range n {
		due := begin.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(due))
		all.Go(func() {
			if status, _ := w.lookup(fmt.Sprintf("q%d", i)); status != http.StatusOK {
				failures.Add(1)
			}
			times[i] = time.Since(due)
		})
	}
	all.Wait()
	slices.Sort(times)
	return times, failures.Load()
}
