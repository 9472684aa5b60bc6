package soak

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/caller"
	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
)

// Class is a kind of request.
type Class string

// Classes of requests.
const (
	ClassRead   Class = "read"   // idempotent, to the service that the configuration names
	ClassFixed  Class = "fixed"  // idempotent, to the same service in all configurations
	ClassCharge Class = "charge" // must not run twice
	ClassChat   Class = "chat"   // a stream that may be resumed
)

// Asked is a request as its caller saw it.
type Asked struct {
	caller.Request
	Class  Class
	Daemon int
	Answer caller.Answer
}

// Ran is a run of a request as an upstream saw it.
type Ran struct {
	RequestID string
	Upstream  string
	Service   string
	Path      string
	Body      string
	Adapter   string
	Version   int
	At        time.Time
}

// Config is a configuration that was put into the store.
type Config struct {
	Version int
	Service string // of the routes that move
	Sent    time.Time
	Acked   time.Time
}

// Announced is a new version of an adapter that was put into the store.
type Announced struct {
	Adapter string
	Version int
	Acked   time.Time
}

// Drained is a time in which an upstream was listed as draining.
type Drained struct {
	Upstream string
	From     time.Time
	To       time.Time
}

// Span is a time in which something was disturbed.
type Span struct {
	From, To time.Time
	Daemon   int    // -1 for all
	Upstream string // whose link is disturbed; empty if none
	Planned  bool   // a SIGTERM
}

// anyDaemon marks a span of the store or of an upstream.
const anyDaemon = -1

// Life is a run of a daemon's process.
type Life struct {
	Daemon  int
	From    time.Time
	Stopped time.Time // when SIGTERM was sent; zero if it was not
	Killed  bool      // by the soak
	Ended   time.Time // zero while it runs
	Code    int
}

// History is all that callers, upstreams and the operator saw in a run.
type History struct {
	Begin    time.Time // of traffic
	End      time.Time
	Recovery time.Time // no faults after it
	Asks     []Asked   // by the time of asking
	Runs     []Ran     // by time
	Configs  []Config
	Versions []Announced
	Drains   []Drained
	Spans    []Span
	Lives    []Life
	Orders   map[string][]modelengine.Order // by engine
	Overfull []string                       // engines that were ordered to hold too much
	Events   int                            // of a whole stream
}

// sort puts what several goroutines wrote into order.
func (h *History) sort() {
	slices.SortStableFunc(h.Asks, func(a, b Asked) int { return a.Answer.StartedAt.Compare(b.Answer.StartedAt) })
	slices.SortStableFunc(h.Runs, func(a, b Ran) int { return a.At.Compare(b.At) })
}

// undisturbed reports whether a daemon ran, reached the store and its peers and was
// reached over a span of time, and so was an upstream, if one is named.
func (h *History) undisturbed(daemon int, upstream string, from, to time.Time) bool {
	for _, s := range h.Spans {
		other := s.Daemon != anyDaemon && s.Daemon != daemon || s.Upstream != "" && s.Upstream != upstream
		if !other && s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}

// calm reports whether nothing was disturbed anywhere but by planned stops.
func (h *History) calm(from, to time.Time) bool {
	for _, s := range h.Spans {
		if !s.Planned && s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}

// inTouch reports whether bounds on time hold for a daemon over a span of time: nothing
// disturbed it, the store or an upstream, if one is named, and the process ran, for
// some time before.
func (h *History) inTouch(daemon int, upstream string, from, to time.Time) bool {
	if !h.undisturbed(daemon, upstream, from.Add(-stable), to) {
		return false
	}
	life := h.life(daemon, from.Add(-stable))
	return life >= 0 && (h.Lives[life].Ended.IsZero() || h.Lives[life].Ended.After(to))
}

// life returns which process of a daemon ran at a time, or -1.
func (h *History) life(daemon int, at time.Time) int {
	for i, l := range h.Lives {
		if l.Daemon == daemon && !at.Before(l.From) && (l.Ended.IsZero() || at.Before(l.Ended)) {
			return i
		}
	}
	return -1
}

// runsOf returns the runs by request.
func (h *History) runsOf() map[string][]Ran {
	runs := make(map[string][]Ran, len(h.Runs))
	for _, r := range h.Runs {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	return runs
}
