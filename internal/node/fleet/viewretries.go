package fleet

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/retrybudget"
)

// retryBudget returns the retry budget of a service.
func (v *View) retryBudget(service string, now time.Time) *retrybudget.Budget {
	b := v.retryBudgets[service]
	if b == nil {
		b = retrybudget.New(v.opts.Retries.Ratio, v.opts.Retries.Burst, v.opts.Retries.Window, now)
		v.retryBudgets[service] = b
	}
	return b
}

// CountRequest counts a request to a service, which increases the retry budget of the service.
func (v *View) CountRequest(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	v.retryBudget(service, now).RecordRequest(now)
}

// TakeRetry takes a retry from this daemon's share of a service's retry budget. It reports
// whether a retry was left.
func (v *View) TakeRetry(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	return v.retryBudget(service, now).AllowRetry(now, max(v.daemonCount, minDaemonCount))
}
