package platform_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

func TestFloodOfStatusCallsDoesNotDelayTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewBudget(390)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 200 {
			go func() {
				for b.Wait(platform.WithPriority(ctx, platform.PriorityStatus), platform.CallWrite) == nil {
				}
			}()
		}
		time.Sleep(time.Minute)
		start := time.Now()
		qt.Assert(t, b.Wait(platform.WithPriority(ctx, platform.PriorityLease), platform.CallWrite), qt.IsNil)
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

func TestFleetAtTargetSizeStaysWithinItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewBudget(390)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		for b.Wait(ctx, platform.CallRead) == nil {
		}
		perSecond := float64(b.Counts().Reads) / 600
		qt.Assert(t, perSecond*390 <= platform.FleetReadsPerSecond*1.05, qt.IsTrue, qt.Commentf("%f", perSecond))
	})
}

func TestCallIsAbandonedAtItsDeadlineWhenTheBudgetIsExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewBudget(1 << 20)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		for err == nil {
			err = b.Wait(ctx, platform.CallWrite)
		}
		qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		qt.Assert(t, b.Counts().Abandoned, qt.Equals, uint64(1))
	})
}

func TestRetriesOfAFleetSpreadOverTheBackoffDelay(t *testing.T) {
	const daemons, buckets = 390, 10
	var counts [buckets]int
	limit := 10 * time.Second
	for i := range daemons {
		b := platform.Backoff{Min: 100 * time.Millisecond, Max: limit, Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		var delay time.Duration
		for range 12 {
			delay = b.Next()
		}
		counts[min(int(delay*buckets/limit), buckets-1)]++
	}
	for _, n := range counts {
		qt.Check(t, n < daemons/4, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

func TestOutageHoldsBackCallsExceptThoseForTheLease(t *testing.T) {
	calls := map[string]int{}
	store := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls[r.URL.Path]++
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	server := httptest.NewServer(store)
	defer server.Close()
	c := platform.NewClient(server.URL)
	defer c.Close()
	for range 20 {
		_, err := c.Get(t.Context(), "status/a")
		qt.Assert(t, err, qt.IsNotNil)
		_, err = c.Get(platform.WithPriority(t.Context(), platform.PriorityLease), "lease/a")
		qt.Assert(t, err, qt.IsNotNil)
	}
	qt.Assert(t, calls["/v1/objects/lease/a"], qt.Equals, 20)
	qt.Assert(t, calls["/v1/objects/status/a"] < 5, qt.IsTrue, qt.Commentf("%v", calls))
}
