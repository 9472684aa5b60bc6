package state

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportTransit bounds how long a report travels: what was sent within this time
// before a report arrived may be missing in it.
const reportTransit = 50 * time.Millisecond

// Gate says whether routing may choose an upstream.
type Gate uint32

// Gates of an upstream.
const (
	GateOpen   Gate = iota // any request
	GateProbe              // one request, as a probe
	GateClosed             // no request
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

// Entry is the place of one upstream in a Fleet, with what this daemon alone
// knows of it. It lives until the upstream is no longer listed. It is safe for
// concurrent use.
type Entry struct {
	id      UpstreamID
	hash    uint64
	current atomic.Pointer[Upstream]
	gate    atomic.Uint32
	sent    sentCounter
}

func newEntry(id UpstreamID) *Entry {
	return &Entry{id: id, hash: Mix(xxhash.Sum64String(string(id)))}
}

// ID returns the name of the upstream.
func (e *Entry) ID() UpstreamID { return e.id }

// Hash returns the rendezvous hash of the upstream.
func (e *Entry) Hash() uint64 { return e.hash }

// Upstream returns the present value. Callers must not change it.
func (e *Entry) Upstream() *Upstream { return e.current.Load() }

// Gate returns whether routing may choose the upstream.
func (e *Entry) Gate() Gate { return Gate(e.gate.Load()) }

// SetGate changes whether routing may choose the upstream.
func (e *Entry) SetGate(g Gate) { e.gate.Store(uint32(g)) }

// TakeProbe closes a gate that admits one probe. It reports whether this call
// did so: only one caller sends the probe.
func (e *Entry) ClaimProbe() bool {
	return e.gate.CompareAndSwap(uint32(GateProbe), uint32(GateClosed))
}

// Sent notes that this daemon sent a request to the upstream.
func (e *Entry) RequestSent(now time.Time) { e.sent.add(now) }

// Ended notes that a request that this daemon sent has ended.
func (e *Entry) RequestEnded() { e.sent.end() }

// SentLoad returns the requests that this daemon sent since the last report and
// those that have not ended yet.
func (e *Entry) LocalLoad() (sinceReport, outstanding int) { return e.sent.load() }

// sentCounter counts requests since the last report. It counts those of the
// latest reportTransit apart, because a report that arrives now may lack them.
type sentCounter struct {
	mu          sync.Mutex
	windowStart time.Time
	window      int // sent since windowStart
	previous    int // sent in the window before
	since       int
	outstanding int
}

func (c *sentCounter) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	c.window++
	c.since++
	c.outstanding++
}

func (c *sentCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 0 {
		panic("state: more requests ended than were sent")
	}
	c.outstanding--
}

func (c *sentCounter) load() (since, outstanding int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.outstanding
}

func (c *sentCounter) reported(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	c.since = c.window + c.previous
}

// rotate starts a new window when the present one is over. The caller must hold mu.
func (c *sentCounter) rotate(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < reportTransit {
		return
	}
	c.previous = c.window
	if age >= 2*reportTransit {
		c.previous = 0
	}
	c.window = 0
	c.windowStart = now
}
