package soak

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/caller"
	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
)

// Class is the kind of a generated request.
type Class string

// Request classes. Each is the name of a route.
const (
	ClassRead   Class = "read"   // idempotent; each configuration moves it to another service
	ClassFixed  Class = "fixed"  // idempotent; same service in all configurations
	ClassCharge Class = "charge" // non-idempotent; each configuration moves it to another service
	ClassChat   Class = "chat"   // resumable stream from a model engine
	ClassAsk    Class = "ask"    // resumable stream; half of the requests go to a service without models
)

// ClientRequest is a request with the answer that its caller received.
type ClientRequest struct {
	caller.Request
	Class  Class
	Daemon int
	Answer caller.Answer
	// Crashes is true if the request crashes each engine that begins to answer it.
	Crashes bool
}

// Execution is one execution of a request at an upstream.
type Execution struct {
	RequestID string
	Upstream  string
	Service   string
	Path      string
	Body      string
	Adapter   string
	Version   int
	At        time.Time
	BrokeOff  bool // the upstream broke its answer off, where that is not a fault of a link
}

// ConfigWrite is a configuration that was written to the object store.
type ConfigWrite struct {
	Version int
	Service string // of the routes read and charge
	Sent    time.Time
	Acked   time.Time
}

// VersionWrite is an adapter version that was written to the object store.
type VersionWrite struct {
	Adapter string
	Version int
	Acked   time.Time
}

// DrainPeriod is a period in which an upstream was listed as draining.
type DrainPeriod struct {
	Upstream string
	From     time.Time
	To       time.Time
}

// Disturbance is a period in which a fault affects a daemon, an upstream or the store.
type Disturbance struct {
	From, To time.Time
	Daemon   int    // index of the affected daemon, or allDaemons
	Upstream string // the affected upstream, or empty
	Planned  bool   // the daemon was stopped by SIGTERM
}

// allDaemons marks a disturbance of the store or of an upstream.
const allDaemons = -1

// Incarnation is one process of a daemon.
type Incarnation struct {
	Daemon  int
	From    time.Time
	Stopped time.Time // when SIGTERM was sent, or zero
	Killed  bool      // by SIGKILL from the soak
	Ended   time.Time // zero while the process runs
	Code    int
}

// History is all that callers, upstreams and the operator observed in a run.
type History struct {
	TrafficStart    time.Time
	TrafficEnd      time.Time
	RecoveryStart   time.Time       // end of the fault period
	Requests        []ClientRequest // ordered by start
	Executions      []Execution     // ordered by time
	Configs         []ConfigWrite
	Versions        []VersionWrite
	Drains          []DrainPeriod
	Disturbances    []Disturbance
	Incarnations    []Incarnation
	Orders          map[string][]modelengine.Order // by engine identity
	OverfullEngines []string                       // engines that were ordered to load more adapters than fit
	StreamEvents    int                            // in a complete stream
}

// sort orders requests and executions by time, as concurrent goroutines added them.
func (h *History) sort() {
	slices.SortStableFunc(h.Requests, func(a, b ClientRequest) int { return a.Answer.StartedAt.Compare(b.Answer.StartedAt) })
	slices.SortStableFunc(h.Executions, func(a, b Execution) int { return a.At.Compare(b.At) })
}

// undisturbed reports whether no disturbance affected the store, the daemon or the named
// upstream between from and to. If upstream is empty, faults of upstreams do not count.
func (h *History) undisturbed(daemon int, upstream string, from, to time.Time) bool {
	for _, s := range h.Disturbances {
		unrelated := s.Daemon != allDaemons && s.Daemon != daemon || s.Upstream != "" && s.Upstream != upstream
		if !unrelated && s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}

// onlyPlannedStops reports whether all disturbances between from and to, at any daemon or
// upstream, were planned stops.
func (h *History) onlyPlannedStops(from, to time.Time) bool {
	for _, s := range h.Disturbances {
		if !s.Planned && s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}

// settled reports whether time bounds apply to a daemon between from and to. They apply if
// one process of the daemon ran from settleTime ahead of from until to, and no disturbance
// affected the daemon, the store or the upstream in that period.
func (h *History) settled(daemon int, upstream string, from, to time.Time) bool {
	if !h.undisturbed(daemon, upstream, from.Add(-settleTime), to) {
		return false
	}
	incarnation := h.incarnation(daemon, from.Add(-settleTime))
	return incarnation >= 0 && (h.Incarnations[incarnation].Ended.IsZero() || h.Incarnations[incarnation].Ended.After(to))
}

// incarnation returns the index of the daemon's process that ran at a time, or -1.
func (h *History) incarnation(daemon int, at time.Time) int {
	for i, l := range h.Incarnations {
		if l.Daemon == daemon && !at.Before(l.From) && (l.Ended.IsZero() || at.Before(l.Ended)) {
			return i
		}
	}
	return -1
}

// executionsByRequest returns the executions by request id.
func (h *History) executionsByRequest() map[string][]Execution {
	runs := make(map[string][]Execution, len(h.Executions))
	for _, r := range h.Executions {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	return runs
}
