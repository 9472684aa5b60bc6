package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	nameRouteRequests = "route_requests_total"
	nameRouteTime     = "route_seconds"
	// maxRoutes bounds the routes with labels of their own.
	maxRoutes = 64
)

// Routes counts and times requests by route and outcome. It is safe for concurrent use.
type Routes struct {
	scope tally.Scope

	mu    sync.Mutex
	known map[string]bool
}

// Routes returns the metrics of routes.
func (r *Recorder) Routes() *Routes { return &Routes{scope: r.scope, known: make(map[string]bool)} }

// Request counts a request that ended and how long it took.
func (r *Routes) Request(route, outcome string, took time.Duration) {
	scope := r.scope.Tagged(map[string]string{"route": r.label(route)})
	scope.Tagged(map[string]string{"outcome": outcome}).Counter(nameRouteRequests).Inc(1)
	scope.Histogram(nameRouteTime, durationBuckets).RecordDuration(took)
}

func (r *Routes) label(route string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known[route] {
		return route
	}
	if len(r.known) >= maxRoutes {
		return OtherLabel
	}
	r.known[route] = true
	return route
}
