// Package idleconn closes the idle connections of an http.Server without interrupting a
// request that has just been read.
//
// http.Server closes every connection that it recorded as idle, even if the goroutine of
// the connection has read a whole request since. In this package CloseIdle only sets a read
// deadline, and the goroutine that reads ignores the deadline if the connection no longer
// waits for a request.
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

// Listener tracks the open connections that it accepted. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen wraps a listener. The caller must set the State method of the result as the
// ConnState hook of the http.Server.
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

// State records whether a connection is idle. It is a ConnState hook of an http.Server.
func (l *Listener) State(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok {
		c.idle.Store(s == http.StateIdle || s == http.StateNew)
	}
}

// CloseIdle makes reads fail on the connections that wait for a request. The server then
// closes these connections.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.idle.Load() {
			c.closing.Store(true)
			_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		}
	}
}

// Active returns the number of connections with a request in progress. A request is in progress
// until its whole response is written, which is after its handler has returned.
func (l *Listener) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if !c.idle.Load() {
			n++
		}
	}
	return n
}

// conn is a connection that the listener accepted.
type conn struct {
	net.Conn
	listener *Listener
	idle     atomic.Bool // waits for a request
	closing  atomic.Bool // CloseIdle has set a read deadline
}

// Read implements net.Conn. It ignores the deadline that CloseIdle set if the connection
// no longer waits for a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.closing.Load() && !c.idle.Load() {
		c.closing.Store(false)
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
		return c.Conn.Read(p)
	}
	return n, err
}

// NetConn returns the connection that the inner listener accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
