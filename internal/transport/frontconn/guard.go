// Package frontconn limits what the clients of an http.Server hold: connections, and the memory of request
// heads, bodies and responses. It closes clients that are too slow. The decisions are those of
// clientbudget.
//
// net/http parses a request head while it arrives, and a parsed field takes a multiple of its text. A
// connection of this package therefore keeps the text of a head until it is whole, and passes it on once
// there is memory for its parsed size.
package frontconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
)

const (
	sweepInterval = 250 * time.Millisecond
	// socketBuffer limits what the kernel buffers for each direction of a connection. It doubles the size,
	// which it would otherwise let grow to megabytes for clients that don't read.
	socketBuffer = 128 << 10
	// closedTogether is the part of the connections that are closed together once no more are allowed.
	closedTogether = 1.0 / 32
	defaultMaxHead = 64 << 10
	// scanPause is the least time between two searches for connections that give way, after a search that found
	// one at most. It bounds what a flood of connections costs.
	scanPause = 2 * time.Millisecond
)

// Guard holds the limits that the clients of one or more listeners share. It is safe for concurrent use.
type Guard struct {
	limits  clientbudget.Limits
	start   time.Time
	maxHead atomic.Int64
	refusal atomic.Pointer[string]
	pools   [clientbudget.Parts]pool
	closed  [clientbudget.Reasons]atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}

	nextScan atomic.Int64 // as time since start
}

// NewGuard returns a guard with the given limits.
func NewGuard(limits clientbudget.Limits) *Guard {
	g := &Guard{limits: limits, start: time.Now(), conns: make(map[*Conn]struct{})}
	for i := range g.pools {
		g.pools[i].limit = limits.Memory(clientbudget.Part(i))
	}
	g.SetMaxHead(defaultMaxHead)
	g.SetRefusal("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	return g
}

// SetMaxHead sets the longest request head in bytes.
func (g *Guard) SetMaxHead(n int) { g.maxHead.Store(int64(n)) }

// SetRefusal sets the whole response to a request for whose head there is no memory.
func (g *Guard) SetRefusal(text string) { g.refusal.Store(&text) }

// Memory returns a part of the guard's memory.
func (g *Guard) Memory(p clientbudget.Part) *Memory { return &Memory{guard: g, part: p} }

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Closed returns how many connections were closed for a reason.
func (g *Guard) Closed(r clientbudget.Reason) int64 { return g.closed[r].Load() }

// now returns the time since the guard was made.
func (g *Guard) now() time.Duration { return time.Since(g.start) }

// Sweep closes clients that are too slow until the context is done, and calls report after each round.
func (g *Guard) Sweep(ctx context.Context, report func()) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.mu.Lock()
		now := g.now()
		for c := range g.conns {
			if r := g.limits.Expired(now, c.client()); r != clientbudget.None {
				c.abortLocked(r)
			}
		}
		g.mu.Unlock()
		report()
	}
}

// snapshot returns the open connections and what is known of them.
func (g *Guard) snapshot() ([]*Conn, []clientbudget.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*Conn, 0, len(g.conns))
	clients := make([]clientbudget.Client, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
		clients = append(clients, c.client())
	}
	return conns, clients
}

// admit returns a connection, or nil if there is no room for it.
func (g *Guard) admit(nc net.Conn) *Conn {
	if g.Connections() >= g.limits.Connections && int64(g.now()) >= g.nextScan.Load() {
		conns, clients := g.snapshot()
		count := 1 + int(float64(g.limits.Connections)*closedTogether)
		chosen := g.limits.GiveUpConnections(g.now(), clients, count)
		for _, i := range chosen {
			conns[i].abort(clientbudget.ConnectionsShort)
		}
		if len(chosen) <= 1 {
			g.nextScan.Store(int64(g.now() + scanPause))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.limits.Connections {
		g.closed[clientbudget.ConnectionsShort].Add(1)
		return nil
	}
	c := newConn(g, nc)
	g.conns[c] = struct{}{}
	return c
}

// Listen returns a listener whose connections count towards the limits of a guard.
func Listen(l net.Listener, g *Guard) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil { // accepted connections inherit the sizes
			_ = raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer)
			})
		}
	}
	return &listener{Listener: l, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(nc); c != nil {
			return c, nil
		}
		reset(nc)
	}
}

// reset closes a connection at once, without the data that was not sent yet.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}
