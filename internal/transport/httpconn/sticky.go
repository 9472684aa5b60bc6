package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	// ErrConnFailed reports that a connection failed, for example with a reset, and did not end in order.
	ErrConnFailed = errors.New("httpconn: the connection failed")

	errClosedByPeer = errors.New("httpconn: the peer ended the connection before it had the whole request")
)

// stickyConn is a connection whose failure is reported to each read after it. Any number of goroutines may use it.
//
// The kernel reports a failure to one call only. If that call is a write, the next read returns io.EOF, as if the peer
// had ended the connection in order, and a body that ends with the connection would look whole. It is whole only if the
// connection ended in order (RFC 9112, sections 6.3 and 8).
type stickyConn struct {
	net.Conn

	mu            sync.Mutex
	changed       *sync.Cond // any field below
	writes        int        // in progress
	isInterrupted bool       // end has interrupted a write
	isDone        bool       // a read has failed or found the end, or the connection was closed
	failure       error      // nil if the connection has not failed
}

func newStickyConn(conn net.Conn) *stickyConn {
	c := &stickyConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn. It returns io.EOF only if the connection ended in order, and otherwise an error that wraps
// ErrConnFailed.
func (c *stickyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	c.record(err)
	c.finish()
	return n, err
}

// Write implements net.Conn. It fails if a read finds the end of the connection meanwhile: no response to the rest of the
// request can follow.
func (c *stickyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.record(err)
	c.changed.Broadcast()
	if c.isInterrupted && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errClosedByPeer
	}
	return n, err
}

// Close implements net.Conn.
func (c *stickyConn) Close() error {
	c.mu.Lock()
	c.finish()
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitReads waits until everything that was received has been read, or the connection was closed. The connection must
// have failed, and another goroutine must read it.
func (c *stickyConn) awaitReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.isDone {
		c.changed.Wait()
	}
}

// finish wakes awaitReads. The caller holds c.mu.
func (c *stickyConn) finish() {
	c.isDone = true
	c.changed.Broadcast()
}

// end returns the error of a read that has found the end of the connection. A write in progress may have the report of
// a failure, so end waits for its result. It interrupts a write that is blocked and so has no report. The caller holds
// c.mu.
func (c *stickyConn) end() error {
	if c.writes > 0 {
		c.isInterrupted = true
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // a closed connection fails the write
	}
	for c.writes > 0 {
		c.changed.Wait()
	}
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// record keeps the first failure of the connection. EPIPE is none: a peer that resets the connection after it has ended
// its side in order causes it, as does a write after the report of a failure. The caller holds c.mu.
func (c *stickyConn) record(err error) {
	var cause syscall.Errno
	if c.failure == nil && errors.As(err, &cause) && cause != syscall.EPIPE {
		c.failure = fmt.Errorf("%w: %w", ErrConnFailed, cause)
	}
}

// isConnError reports whether a call found that its connection can't be used any more.
func isConnError(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause)
}
