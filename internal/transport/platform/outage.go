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
	outageMinDelay = 250 * time.Millisecond
	outageMaxDelay = 8 * time.Second
)

// errOutage reports a call that was not sent because the platform recently failed.
var errOutage = errors.New("platform: call held back after a recent failure")

// outageBackoff holds back calls after failures. The delay is random, so that the daemons
// of a fleet do not all call at once when the platform recovers. Calls for the lease are
// never held back: they are made at a fixed period, and their success shows that the
// platform has recovered.
type outageBackoff struct {
	mu           sync.Mutex
	backoff      Backoff
	blockedUntil time.Time
}

func newOutageBackoff() *outageBackoff {
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return &outageBackoff{backoff: Backoff{Min: outageMinDelay, Max: outageMaxDelay, Rand: rand.New(source)}}
}

// check returns errOutage if a call made with ctx must be held back at the time now.
func (o *outageBackoff) check(ctx context.Context, now time.Time) error {
	if priorityOf(ctx) == PriorityLease {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.blockedUntil) {
		return errOutage
	}
	return nil
}

// record updates the backoff with the result of a call. It ignores calls that their caller
// canceled.
func (o *outageBackoff) record(ctx context.Context, now time.Time, resp *http.Response, err error) {
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
		o.blockedUntil = time.Time{}
	case !now.Before(o.blockedUntil):
		o.blockedUntil = now.Add(o.backoff.Next())
	}
}
