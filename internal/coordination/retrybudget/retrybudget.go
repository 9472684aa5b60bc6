// Package retrybudget limits retries to an allowance per service that all daemons
// share. Each daemon enforces its own share without coordination, so the retries of all
// daemons together stay within the allowance even during a network partition.
package retrybudget

import "time"

const (
	bucketCount = 20
	// safetyFactor lowers the limit of each daemon. It compensates for the windows of the
	// daemons, which are not aligned: a retry may count in different buckets at different
	// daemons.
	safetyFactor = 0.75
)

// Budget counts the requests and retries of one service in a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	ratio       float64 // retries per request
	burst       float64 // retries in addition to ratio that all daemons together may send
	bucketWidth time.Duration
	start       time.Time
	current     int64 // number of the current bucket, counted from start
	requests    [bucketCount]float64
	retries     [bucketCount]float64
}

// New returns a budget for one daemon. In each window, all daemons together may send
// ratio retries per request and burst further retries.
func New(ratio, burst float64, window time.Duration, now time.Time) *Budget {
	return &Budget{ratio: ratio, burst: burst, bucketWidth: window / bucketCount, start: now}
}

// advance moves the window to now and clears the buckets that are reused. It returns the
// index of the current bucket.
func (b *Budget) advance(now time.Time) int {
	target := int64(now.Sub(b.start) / b.bucketWidth)
	for b.current < target {
		b.current++
		if target-b.current < bucketCount {
			b.requests[b.current%bucketCount], b.retries[b.current%bucketCount] = 0, 0
		} else {
			b.requests, b.retries = [bucketCount]float64{}, [bucketCount]float64{}
			b.current = target
		}
	}
	return int(b.current % bucketCount)
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether this daemon may send a retry now, if the allowance is
// shared by the given number of daemons. An allowed retry is counted in the budget.
func (b *Budget) AllowRetry(now time.Time, daemons int) bool {
	index := b.advance(now)
	var requests, retries float64
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > safetyFactor*(b.ratio*requests+b.burst/float64(max(daemons, 1))) {
		return false
	}
	b.retries[index]++
	return true
}
