package frontconn

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
)

// retryInterval is the pause after which a waiting client makes others give way again.
const retryInterval = 50 * time.Millisecond

// pool is one part of the memory of a Guard.
type pool struct {
	limit    int64
	used     atomic.Int64
	waiting  atomic.Int32 // length of queue
	lastShed atomic.Int64

	mu    sync.Mutex
	queue []*waiter // oldest first
}

// waiter is a client that waits for memory.
type waiter struct {
	need, ceiling int64
	granted       chan struct{}
}

// tryTake takes memory, unless more than ceiling bytes would then be taken.
func (p *pool) tryTake(need, ceiling int64) bool {
	if p.used.Add(need) <= ceiling {
		return true
	}
	p.used.Add(-need)
	return false
}

// release returns memory and hands it to the clients that wait.
func (p *pool) release(n int64) {
	p.used.Add(-n)
	if p.waiting.Load() > 0 {
		p.grant()
	}
}

// grant gives memory to the clients that wait, those within their fair part first.
func (p *pool) grant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, isFair := range []bool{true, false} {
		p.queue = slices.DeleteFunc(p.queue, func(w *waiter) bool {
			if (w.ceiling == p.limit) != isFair || !p.tryTake(w.need, w.ceiling) {
				return false
			}
			close(w.granted)
			return true
		})
	}
	p.waiting.Store(int32(len(p.queue)))
}

// wait waits until memory can be taken, at most for the given time, and reports whether it has. It calls
// shed at once and at intervals.
func (p *pool) wait(need, ceiling int64, limit time.Duration, shed func()) bool {
	w := &waiter{need: need, ceiling: ceiling, granted: make(chan struct{})}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	p.waiting.Store(int32(len(p.queue)))
	p.mu.Unlock()
	p.grant() // memory may have been released before the waiter was counted
	timer := time.NewTimer(0)
	defer timer.Stop()
	for left := limit; left > 0; left -= retryInterval {
		select {
		case <-w.granted:
			return true
		default:
		}
		shed()
		timer.Reset(min(left, retryInterval))
		select {
		case <-w.granted:
			return true
		case <-timer.C:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.queue, w)
	if i < 0 {
		return true
	}
	p.queue = slices.Delete(p.queue, i, i+1)
	p.waiting.Store(int32(len(p.queue)))
	return false
}

// Memory is one part of a Guard's memory, for buffers outside of the connections.
type Memory struct {
	guard *Guard
	part  clientbudget.Part
}

// NewMemory returns memory of its own with the given limit, for requests that arrive on connections without
// a Guard.
func NewMemory(limit int64) *Memory {
	return &Memory{guard: NewGuard(clientbudget.Limits{BodyMemory: limit}), part: clientbudget.Bodies}
}

// Take reserves memory for a client, which is nil if it has no connection with a Guard. It waits at most for
// the given time while others give way, and reports whether the memory was reserved. held is what the client
// already holds for the same buffer.
func (m *Memory) Take(c *Conn, need, held int64, wait time.Duration) bool {
	return m.guard.take(c, m.part, need, held, wait)
}

// Release returns reserved memory.
func (m *Memory) Release(c *Conn, n int64) { m.guard.release(c, m.part, n) }

// Used returns the bytes that are reserved.
func (m *Memory) Used() int64 { return m.guard.pools[m.part].used.Load() }

func (g *Guard) take(c *Conn, part clientbudget.Part, need, held int64, wait time.Duration) bool {
	p := &g.pools[part]
	ceiling := clientbudget.Ceiling(p.limit, held+need)
	if !p.tryTake(need, ceiling) {
		if wait <= 0 || need > ceiling {
			return false
		}
		if !p.wait(need, ceiling, wait, func() { g.shedMemory(part, need, held+need) }) {
			return false
		}
	}
	if c != nil {
		c.held[part].Add(need)
	}
	return true
}

func (g *Guard) release(c *Conn, part clientbudget.Part, n int64) {
	if n == 0 {
		return
	}
	if c != nil {
		c.held[part].Add(-n)
	}
	g.pools[part].release(n)
}

// shedMemory closes clients that give way. Calls soon after each other have no effect, as clients that
// were closed return their memory a little later.
func (g *Guard) shedMemory(part clientbudget.Part, need, held int64) {
	now := g.now()
	last := g.pools[part].lastShed.Load()
	if now-time.Duration(last) < retryInterval/2 || !g.pools[part].lastShed.CompareAndSwap(last, int64(now)) {
		return
	}
	conns, clients := g.snapshot()
	for _, i := range g.limits.GiveWay(now, part, clients, need, held) {
		conns[i].abort(clientbudget.ShortOf(part))
	}
}
