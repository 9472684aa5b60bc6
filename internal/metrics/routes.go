package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	nameRouteRequests = "route_requests_total"
	nameRouteTime     = "route_seconds"
	nameRoutePause    = "route_longest_pause_seconds"
	// maxRoutes is the number of routes with labels of their own.
	maxRoutes = 64
)

// Routes records requests by route and outcome. It is safe for concurrent use.
type Routes struct {
	scope tally.Scope

	mu       sync.Mutex
	labeled  map[string]bool
	accounts map[string]bool // with labels of their own
}

// Routes returns the metrics of routes.
func (r *Recorder) Routes() *Routes {
	return &Routes{scope: r.scope, labeled: make(map[string]bool), accounts: make(map[string]bool)}
}

// Request records the outcome and the duration of a request that ended.
func (r *Routes) Request(route, outcome string, took time.Duration) {
	scope := r.scope.Tagged(map[string]string{"route": r.label(route)})
	scope.Tagged(map[string]string{"outcome": outcome}).Counter(nameRouteRequests).Inc(1)
	scope.Histogram(nameRouteTime, durationBuckets).RecordDuration(took)
}

// LongestPause records the longest pause between two events of a stream that ended.
func (r *Routes) LongestPause(route string, pause time.Duration) {
	r.scope.Tagged(map[string]string{"route": r.label(route)}).Histogram(nameRoutePause, durationBuckets).RecordDuration(pause)
}

func (r *Routes) label(route string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.labeled[route] {
		return route
	}
	if len(r.labeled) >= maxRoutes {
		return OtherLabel
	}
	r.labeled[route] = true
	return route
}
