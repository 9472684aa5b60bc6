// Package httpconn pools HTTP/1.1 connections to upstreams. It differs from net/http in two
// ways. It gives the caller every response on a connection, so that the caller can
// recognize a delayed or duplicate response by its request id. It never resends a request.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout     = 200 * time.Millisecond // dialing within a region takes a few milliseconds
	readBufferBytes = 4 << 10                // per connection
	// maxIdleTime is the longest time that an idle connection is kept. An upstream may
	// announce a shorter time.
	maxIdleTime = 12 * time.Second
	// keepAliveShare is the fraction of the idle time announced by the upstream after which
	// a connection expires. The margin avoids sending a request while the upstream closes
	// the connection.
	keepAliveShare = 0.85
	// recentShare is the fraction of its maximum idle time during which a connection counts
	// as recently used. Non-repeatable requests reuse only recently used connections: if
	// the upstream dropped a connection silently, the first sign is a lost request.
	recentShare  = 0.25
	maxIdleConns = 64 // per upstream
	// TCP keep-alive probes detect connections whose peer has vanished.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel closes
	// the connection.
	unackedTimeout = 2 * time.Second
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, which package syscall does not define
)

// ErrDial reports that no connection could be opened, so that no request was sent.
var ErrDial = errors.New("httpconn: no connection could be opened")

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	sticky    *stickyConn   // above net.Conn, for reads and writes
	Reader    *bufio.Reader // reads the responses
	Reused    bool          // whether the pool has returned the connection before
	head      headReader    // below Reader
	idleSince time.Time
	maxIdle   time.Duration

	pool     *Pool
	addr     string
	peer     *peer
	openedAt time.Time
	answered atomic.Bool // the upstream sent bytes or closed the connection since it left the pool
}

func newConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, sticky: newStickyConn(conn)}
	c.head.conn = c
	c.Reader = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[string][]*Conn
	peers map[string]*peer
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle:  make(map[string][]*Conn),
		peers: make(map[string]*peer),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: func(network, addr string, raw syscall.RawConn) error {
				if err := ResetOnClose(network, addr, raw); err != nil {
					return err
				}
				return raw.Control(func(fd uintptr) {
					// The error is ignored, because requests have timeouts of their own.
					_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
				})
			},
		},
	}
}

// Get returns an idle connection that is still usable, or opens a new connection. It closes
// the unusable connections that it finds. With recentOnly it reuses only a recently used
// connection (see recentShare).
func (p *Pool) Get(ctx context.Context, addr string, recentOnly bool) (*Conn, error) {
	return p.GetExcept(ctx, addr, recentOnly, nil)
}

// GetExcept is like Get, but does not reuse any of the given connections.
func (p *Pool) GetExcept(ctx context.Context, addr string, recentOnly bool, except []*Conn) (*Conn, error) {
	now := time.Now()
	for c := p.pop(addr, now, recentOnly, except); c != nil; c = p.pop(addr, now, recentOnly, except) {
		if now.Sub(c.idleSince) < c.maxIdle && c.reusable() {
			c.Reused = true
			c.answered.Store(false)
			return c, nil
		}
		_ = c.Close()
	}
	openedAt := time.Now() // before the dial: a silence that is recorded meanwhile counts
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		var netErr net.Error
		if ctx.Err() == nil && errors.As(err, &netErr) && netErr.Timeout() {
			p.recordSilence(addr)
		}
		return nil, errors.Join(ErrDial, err)
	}
	c := newConn(conn)
	c.pool, c.addr, c.openedAt = p, addr, openedAt
	p.mu.Lock()
	c.peer = p.peerOf(addr)
	p.mu.Unlock()
	return c, nil
}

// Put adds a connection to the pool, or closes it if it has unread data, if its address was
// silent since it was opened, or if the pool is full. The caller must have read the last response to its end. KeepAlive is the idle time
// that the upstream announced, or zero if it announced none.
func (p *Pool) Put(addr string, c *Conn, keepAlive time.Duration) {
	c.maxIdle = maxIdleTime
	if keepAlive > 0 {
		c.maxIdle = min(c.maxIdle, time.Duration(float64(keepAlive)*keepAliveShare))
	}
	c.idleSince = time.Now()
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.peerOf(addr); len(p.idle[addr]) >= maxIdleConns || !c.openedAt.After(s.silentAt) && !s.silentAt.IsZero() {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// HasIdle reports whether the pool has an idle connection to an address, which may have expired.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

// Sweep closes connections whose idle time has expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.sweepPeers(now)
}

// pop removes and returns the most recently used idle connection to addr that is not one of
// except. It returns nil if there is none. With recentOnly it also returns nil if that
// connection was not recently used.
func (p *Pool) pop(addr string, now time.Time, recentOnly bool, except []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if slices.Contains(except, c) {
			continue
		}
		if recentOnly && float64(now.Sub(c.idleSince)) > recentShare*float64(c.maxIdle) {
			return nil
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

// reusable reports whether an idle connection is open and has no unread data.
func (c *Conn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}
