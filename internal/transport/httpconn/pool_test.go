package httpconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// accept listens on a local address and returns the address and the accepted
// connections.
func accept(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	return l.Addr().String(), conns
}

func get(c *qt.C, p *Pool, addr string, recentOnly bool) *Conn {
	conn, err := p.Get(context.Background(), addr, recentOnly)
	c.Assert(err, qt.IsNil)
	return conn
}

func TestIdleConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	addr, _ := accept(t)
	p := NewPool()
	p.Put(addr, get(c, p, addr, false), time.Minute)
	c.Assert(get(c, p, addr, true).Reused, qt.IsTrue)
	c.Assert(get(c, p, addr, false).Reused, qt.IsFalse)
}

func TestClosedConnectionOrOneWithUnreadDataIsNotReused(t *testing.T) {
	c := qt.New(t)
	addr, conns := accept(t)
	p := NewPool()
	for _, breakConn := range []func(net.Conn){
		func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n") },
		func(conn net.Conn) { _ = conn.Close() },
	} {
		p.Put(addr, get(c, p, addr, false), time.Minute)
		breakConn(<-conns)
		time.Sleep(20 * time.Millisecond)
		c.Assert(get(c, p, addr, false).Reused, qt.IsFalse)
		<-conns
	}
}

// Guards against a second attempt of a request on a connection that carried the first one.
func TestAnExceptedConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	addr, _ := accept(t)
	p := NewPool()
	first, second := get(c, p, addr, false), get(c, p, addr, false)
	p.Put(addr, first, time.Minute)
	p.Put(addr, second, time.Minute)
	conn, err := p.GetExcept(t.Context(), addr, true, []*Conn{second})
	c.Assert(err, qt.IsNil)
	c.Assert(conn, qt.Equals, first)
	conn, err = p.GetExcept(t.Context(), addr, true, []*Conn{second})
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Reused, qt.IsFalse)
	c.Assert(get(c, p, addr, true), qt.Equals, second)
}

// Guards against the loss of a non-repeatable request on a connection that the upstream
// has dropped without closing it.
func TestNonRepeatableRequestGetsARecentlyUsedConnection(t *testing.T) {
	c := qt.New(t)
	addr, _ := accept(t)
	p := NewPool()
	conn := get(c, p, addr, false)
	p.Put(addr, conn, 2*time.Second)
	conn.idleSince = time.Now().Add(-time.Second)
	c.Assert(get(c, p, addr, true).Reused, qt.IsFalse)
	c.Assert(get(c, p, addr, false).Reused, qt.IsTrue)
}

func TestSweepClosesExpiredConnections(t *testing.T) {
	c := qt.New(t)
	addr, conns := accept(t)
	p := NewPool()
	conn := get(c, p, addr, false)
	p.Put(addr, conn, time.Second)
	conn.idleSince = time.Now().Add(-time.Minute)
	p.Sweep()
	_, err := (<-conns).Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}

func TestDialErrorIsReportedAsErrDial(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := l.Addr().String()
	_ = l.Close()
	_, err = NewPool().Get(context.Background(), addr, false)
	c.Assert(err, qt.ErrorIs, ErrDial)
}
