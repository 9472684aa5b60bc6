// Package retrybudget limits the retries that this daemon sends to a service to its
// share of a budget that all daemons have together. Each daemon keeps to its share
// by itself, so the sum holds under a partition too.
package retrybudget

import "time"

const (
	buckets = 20
	// margin keeps the sum under the bound though windows slide and retries of
	// others may count in another bucket.
	margin = 0.75
)

// Budget counts requests and retries of one service in a sliding window. It is not
// safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	step   time.Duration
	start  time.Time
	last   int64
	first  [buckets]float64
	extras [buckets]float64
}

// New returns a budget of ratio retries per request and burst retries beyond, of all
// daemons, in each window.
func New(ratio, burst float64, window time.Duration, now time.Time) *Budget {
	return &Budget{ratio: ratio, burst: burst, step: window / buckets, start: now}
}

func (b *Budget) advance(now time.Time) int {
	at := int64(now.Sub(b.start) / b.step)
	for b.last < at {
		b.last++
		if at-b.last < buckets {
			b.first[b.last%buckets], b.extras[b.last%buckets] = 0, 0
		} else {
			b.first, b.extras = [buckets]float64{}, [buckets]float64{}
			b.last = at
		}
	}
	return int(b.last % buckets)
}

// RecordRequest counts the first send of a request.
func (b *Budget) RecordRequest(now time.Time) { b.first[b.advance(now)]++ }

// AllowRetry takes one retry if this daemon, one of n, has one left.
func (b *Budget) AllowRetry(now time.Time, n int) bool {
	at := b.advance(now)
	var first, extras float64
	for i := range buckets {
		first += b.first[i]
		extras += b.extras[i]
	}
	if extras+1 > margin*(b.ratio*first+b.burst/float64(max(n, 1))) {
		return false
	}
	b.extras[at]++
	return true
}
