// Package httpconn keeps HTTP/1.1 connections to upstreams. Unlike a general client
// it shows its caller each response on a connection, so that a late or extra one is
// told apart by its request id, and it never repeats a request by itself.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout = 200 * time.Millisecond // a connection within a region takes a few milliseconds
	readBuffer  = 4 << 10                // bytes
	// maxIdle bounds how long an unused connection is kept where the upstream names no limit.
	maxIdle = 12 * time.Second
	// idleShare of the upstream's limit is used, so that both ends don't meet at the end of it.
	idleShare = 0.85
	// surelyShare of that is used for requests that must not repeat: a connection that
	// the upstream has dropped without notice shows only when the request is lost.
	surelyShare  = 0.25
	maxIdleConns = 64 // per upstream
	// keepAliveIdle and keepAliveEvery find connections whose other end has vanished.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// unackedLimit ends a connection whose bytes are not acknowledged.
	unackedLimit  = 2 * time.Second
	tcpUserTimout = 18 // TCP_USER_TIMEOUT of Linux, not named in package syscall
)

// ErrDial reports that no connection was opened; nothing was sent.
var ErrDial = errors.New("httpconn: no connection")

// Conn is one connection. It carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Reused bool
	idleAt time.Time
	limit  time.Duration
}

// ReadResponse reads the head of the next response.
func (c *Conn) ReadResponse(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(c.Reader, req)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle: make(map[string][]*Conn),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
			},
			Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					// Best effort: the product's own time-outs hold without it.
					_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimout, int(unackedLimit.Milliseconds()))
				})
			},
		},
	}
}

// Get returns an idle connection that is still usable, or opens one. Surely asks for
// one that was used a moment ago, or a new one.
func (p *Pool) Get(ctx context.Context, addr string, surely bool) (*Conn, error) {
	now := time.Now()
	for c := p.pop(addr, now, surely); c != nil; c = p.pop(addr, now, surely) {
		if now.Sub(c.idleAt) < c.limit && c.quiet() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Join(ErrDial, err)
	}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// Put keeps a connection on which the last response was read to its end. KeepAlive
// is the idle time that the upstream allows, zero if it named none.
func (p *Pool) Put(addr string, c *Conn, keepAlive time.Duration) {
	c.limit = maxIdle
	if keepAlive > 0 {
		c.limit = min(c.limit, time.Duration(float64(keepAlive)*idleShare))
	}
	c.idleAt = time.Now()
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleAt) < c.limit {
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
}

// pop takes the connection that was used last.
func (p *Pool) pop(addr string, now time.Time, surely bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if surely && float64(now.Sub(c.idleAt)) > surelyShare*float64(c.limit) {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return c
}

// quiet reports that an idle connection is open and carries no unread byte.
func (c *Conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
