package httpconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// ResetOnClose makes a socket end with a reset when it is closed, however it is closed. It has
// the type of the field Control of net.Dialer.
//
// After an ordinary close, the kernel goes on to deliver what is in the send buffer, and a link
// that holds packets delivers them later: a request that has ended would still run. The option is
// set when the socket is made, so that it also holds for a dial that is given up, for a
// connection that net/http closes and for a process that ends.
func ResetOnClose(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option, a connection works all the same.
		_ = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
	})
}

// Close closes the connection in order: the upstream reads what was sent to it, and then the
// end of the connection. It is meant for connections without an open request.
func (c *Conn) Close() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(-1) // fails on a connection that is closed already
	}
	return c.Conn.Close()
}

// Abort closes the connection with a reset, in whatever state it is, so that nothing of its
// request is delivered any more. It ends reads and writes that are in progress; a socket that a
// write still uses is reset as soon as that write has returned. If nothing was received on the
// connection since it left the pool, its address counts as silent (see Pool.recordSilence).
func (c *Conn) Abort() {
	c.Discard()
	if c.pool != nil && !c.answered.Load() {
		c.pool.recordSilence(c.addr)
	}
}

// Discard resets the connection without drawing a conclusion on its address.
func (c *Conn) Discard() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // already set by ResetOnClose, unless the connection is closed already
	}
	_ = c.Conn.Close()
}

// Read implements io.Reader. It returns io.EOF only if the upstream ended the connection in order, and an error that
// wraps ErrConnFailed if the connection has failed, also if a write got the error. Writes may be in progress.
func (c *Conn) Read(p []byte) (int, error) { return c.sticky.Read(p) }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.sticky.Write(p)
	c.recordRefusal(err)
	return n, err
}

// recordBytes records that bytes were received.
func (c *Conn) recordBytes() {
	c.answered.Store(true)
	if c.peer != nil {
		c.peer.lastBytes.Store(time.Now().UnixNano())
	}
}

// recordRefusal records that the upstream has closed the connection: it is not silent.
func (c *Conn) recordRefusal(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.answered.Store(true)
	}
}
