package state

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxReportDelay is the longest time between the creation of an upstream's report and its
// arrival. A report may lack requests that were sent within this time before the arrival.
const maxReportDelay = 50 * time.Millisecond

// Gate is the state of outlier ejection for an upstream.
type Gate uint32

// States of a gate.
const (
	GateOpen   Gate = iota // routing may choose the upstream
	GateProbe              // routing may send a single request as a probe
	GateClosed             // the upstream is ejected
)

// String returns the name of the gate for logs.
func (g Gate) String() string {
	switch g {
	case GateOpen:
		return "open"
	case GateProbe:
		return "probe"
	}
	return "closed"
}

// Entry is the record of one upstream in a Fleet. It holds the current Upstream value and
// the state that only this daemon keeps: the gate and the requests that the daemon has
// sent. An Entry exists as long as the upstream is listed. It is safe for concurrent use.
type Entry struct {
	id      UpstreamID
	hash    uint64
	current atomic.Pointer[Upstream]
	gate    atomic.Uint32
	sent    requestCounter
}

func newEntry(id UpstreamID) *Entry {
	return &Entry{id: id, hash: Mix(xxhash.Sum64String(string(id)))}
}

// ID returns the name of the upstream.
func (e *Entry) ID() UpstreamID { return e.id }

// Hash returns the rendezvous hash of the upstream.
func (e *Entry) Hash() uint64 { return e.hash }

// Upstream returns the current value. Callers must not modify it.
func (e *Entry) Upstream() *Upstream { return e.current.Load() }

// Gate returns the state of the gate.
func (e *Entry) Gate() Gate { return Gate(e.gate.Load()) }

// SetGate changes the state of the gate.
func (e *Entry) SetGate(g Gate) { e.gate.Store(uint32(g)) }

// ClaimProbe closes the gate if the gate admits a single probe. It reports whether this
// call closed the gate; if so, the caller may send the probe.
func (e *Entry) ClaimProbe() bool {
	return e.gate.CompareAndSwap(uint32(GateProbe), uint32(GateClosed))
}

// RequestSent counts a request that this daemon sent to the upstream.
func (e *Entry) RequestSent(now time.Time) { e.sent.add(now) }

// RequestEnded counts the end of a request that this daemon had sent.
func (e *Entry) RequestEnded() { e.sent.end() }

// LocalLoad returns how many requests this daemon has sent since the last report of the
// upstream, and how many of its requests are in flight.
func (e *Entry) LocalLoad() (sinceReport, inFlight int) { return e.sent.load() }

// requestCounter counts requests in flight and requests sent since the last report. It
// counts the most recent requests in windows of maxReportDelay, because a report that
// arrives now may lack the requests of the latest two windows.
type requestCounter struct {
	mu             sync.Mutex
	windowStart    time.Time
	window         int // sent since windowStart
	previousWindow int // sent in the preceding window
	sinceReport    int // sent since the last report, or earlier but possibly missing in it
	inFlight       int
}

func (c *requestCounter) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	c.window++
	c.sinceReport++
	c.inFlight++
}

func (c *requestCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 {
		panic("state: more requests ended than were sent")
	}
	c.inFlight--
}

func (c *requestCounter) load() (sinceReport, inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sinceReport, c.inFlight
}

func (c *requestCounter) reported(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	c.sinceReport = c.window + c.previousWindow
}

// rotate starts a new window if the current window is over. The caller must hold mu.
func (c *requestCounter) rotate(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < maxReportDelay {
		return
	}
	c.previousWindow = c.window
	if age >= 2*maxReportDelay {
		c.previousWindow = 0
	}
	c.window = 0
	c.windowStart = now
}
