package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	outageMinPause = 250 * time.Millisecond
	outageMaxPause = 8 * time.Second
)

// errOutage is returned without a call while the platform does not answer.
var errOutage = errors.New("platform: not called again so soon after a failure")

// outage holds back calls after failures. Each daemon pauses for a time of its
// own, so that a fleet returns spread over the longest pause. Renewals of the lease
// are never held back: they have a period of their own and show when the platform
// is back.
type outage struct {
	mu      sync.Mutex
	backoff Backoff
	until   time.Time
}

func newOutage() *outage {
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return &outage{backoff: Backoff{Min: outageMinPause, Max: outageMaxPause, Rand: rand.New(source)}}
}

// check returns errOutage if a call must not be made now.
func (o *outage) check(ctx context.Context, now time.Time) error {
	if priorityOf(ctx) == PriorityLease {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.until) {
		return errOutage
	}
	return nil
}

// note takes the result of a call. A call that the caller gave up says nothing.
func (o *outage) note(ctx context.Context, now time.Time, resp *http.Response, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	failed := err != nil || resp.StatusCode == http.StatusServiceUnavailable ||
		resp.StatusCode == http.StatusTooManyRequests
	switch {
	case !failed:
		o.backoff.Reset()
		o.until = time.Time{}
	case !now.Before(o.until):
		o.until = now.Add(o.backoff.Next())
	}
}
