// Package idleconn closes the idle connections of an http.Server without cutting a
// request off that has just been read.
//
// The server's own way closes a connection that it took for idle although its
// goroutine may have read a whole request in between. Here the reading goroutine
// decides: it gives up only if it still waits for a request.
package idleconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Listener tracks the connections that it accepted. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen wraps a listener. The server must use the listener's State as its ConnState.
func Listen(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	c.idle.Store(true)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// State notes the state of a connection; it is an http.Server's ConnState.
func (l *Listener) State(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok {
		c.idle.Store(s == http.StateIdle || s == http.StateNew)
	}
}

// CloseIdle makes connections close that wait for a request.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.idle.Load() {
			c.expired.Store(true)
			_ = c.SetReadDeadline(time.Unix(1, 0)) // a closed connection needs none
		}
	}
}

type conn struct {
	net.Conn
	listener *Listener
	idle     atomic.Bool
	expired  atomic.Bool
}

// Read implements net.Conn. The deadline of CloseIdle holds only while the
// connection waits for a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.expired.Load() && !c.idle.Load() {
		c.expired.Store(false)
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
		return c.Conn.Read(p)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
