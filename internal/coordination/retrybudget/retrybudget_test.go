package retrybudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRetriesOfAllDaemonsStayWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	const daemons, ratio, burst, window = 9, 0.2, 58.0, 10 * time.Second
	start := time.Unix(0, 0)
	budgets := make([]*Budget, daemons)
	for i := range budgets {
		budgets[i] = New(ratio, burst, window, start)
	}
	var requests, retries []time.Time
	for tick := range 4000 { // every request needs a retry, as in an outage of all upstreams
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		b := budgets[tick%daemons]
		b.RecordRequest(now)
		requests = append(requests, now)
		if b.AllowRetry(now, daemons) {
			retries = append(retries, now)
		}
	}
	countFrom := func(list []time.Time, from time.Time) float64 {
		n := 0.0
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for from := range 30 {
		at := start.Add(time.Duration(from) * time.Second)
		c.Assert(countFrom(retries, at) <= ratio*countFrom(requests, at)+burst, qt.IsTrue, qt.Commentf("window that starts at %d s", from))
	}
	c.Assert(len(retries) > 100, qt.IsTrue)
}

func TestRequestsOutsideTheWindowAllowNoRetries(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	b := New(1, 0, 10*time.Second, start)
	for range 100 {
		b.RecordRequest(start)
	}
	c.Assert(b.AllowRetry(start.Add(5*time.Second), 1), qt.IsTrue)
	c.Assert(b.AllowRetry(start.Add(20*time.Second), 1), qt.IsFalse)
	c.Assert(b.AllowRetry(start.Add(time.Hour), 1), qt.IsFalse)
}
