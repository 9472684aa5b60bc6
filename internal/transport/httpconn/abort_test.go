package httpconn

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/holdlink"
)

// linkTo returns a link to a server that answers each request, and the pool that uses it.
func linkTo(c *qt.C) (*holdlink.Link, *Pool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
	link, err := holdlink.New(l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(link.Close)
	return link, NewPool()
}

const testRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func send(c *qt.C, conn *Conn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
}

// exchange sends a request and reads its response.
func exchange(c *qt.C, conn *Conn) {
	send(c, conn, testRequest)
	resp, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
}

// Guards against a request that is delivered after its attempt has ended: an ordinary close leaves
// it to the kernel and to the link.
func TestNothingOfAnAbortedRequestIsDeliveredLater(t *testing.T) {
	for name, use := range map[string]func(*qt.C, *Pool, *holdlink.Link) *Conn{
		"new connection": func(c *qt.C, p *Pool, link *holdlink.Link) *Conn {
			link.Cut()
			conn := get(c, p, link.Addr, false)
			send(c, conn, testRequest)
			return conn
		},
		"part of a request": func(c *qt.C, p *Pool, link *holdlink.Link) *Conn {
			conn := get(c, p, link.Addr, false)
			send(c, conn, testRequest[:10])
			link.Cut()
			send(c, conn, testRequest[10:])
			return conn
		},
		"idle connection": func(c *qt.C, p *Pool, link *holdlink.Link) *Conn {
			conn := get(c, p, link.Addr, false)
			exchange(c, conn)
			p.Put(link.Addr, conn, 0)
			link.Cut()
			conn = get(c, p, link.Addr, false)
			c.Assert(conn.Reused, qt.IsTrue)
			send(c, conn, testRequest)
			return conn
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			link, p := linkTo(c)
			conn := use(c, p, link)
			link.AwaitHeld(1)
			conn.Abort()
			link.AwaitEnds(1)
			link.Heal()
			link.AwaitFlushed(1)
			c.Assert(link.DeliveredLate(), qt.Equals, 0)
			c.Assert(link.Resets(), qt.Equals, 1)
		})
	}
}

// Guards against an ordinary close of a connection on which a write is in progress: the socket is
// closed only after that write has returned.
func TestAbortDuringAWriteResets(t *testing.T) {
	c := qt.New(t)
	addr, conns := accept(t)
	conn := get(c, NewPool(), addr, false)
	written := make(chan int64)
	go func() {
		n, _ := io.Copy(conn, endless{})
		written <- n
	}()
	upstream := <-conns
	time.Sleep(50 * time.Millisecond) // the buffers fill up, or the write is in progress
	conn.Abort()
	n := <-written
	read, err := io.Copy(io.Discard, upstream)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	c.Assert(read < n, qt.IsTrue, qt.Commentf("%d bytes of %d were delivered", read, n))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a reset that a dial or a process that is given up does not send.
func TestAConnectionEndsWithAResetUnlessItIsClosedInOrder(t *testing.T) {
	c := qt.New(t)
	addr, conns := accept(t)
	p := NewPool()
	for end, want := range map[string]error{"by the kernel": syscall.ECONNRESET, "in order": io.EOF} {
		conn := get(c, p, addr, false)
		if want == io.EOF {
			_ = conn.Close()
		} else {
			_ = conn.Conn.Close()
		}
		_, err := (<-conns).Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, want, qt.Commentf("%s", end))
	}
}

// Guards against a request on an idle connection over a link that has gone silent: the link holds
// it back, and may deliver it seconds later.
func TestNoConnectionFromBeforeASilenceIsReused(t *testing.T) {
	c := qt.New(t)
	link, p := linkTo(c)
	idle, used, inUse := get(c, p, link.Addr, false), get(c, p, link.Addr, false), get(c, p, link.Addr, false)
	for _, conn := range []*Conn{idle, used, inUse} {
		exchange(c, conn)
	}
	p.Put(link.Addr, idle, 0)
	p.Put(link.Addr, used, 0)
	link.Cut()
	c.Assert(get(c, p, link.Addr, false), qt.Equals, used)
	send(c, used, testRequest)
	used.peer.lastBytes.Store(time.Now().Add(-time.Minute).UnixNano())
	used.Abort()
	link.AwaitEnds(2)
	c.Assert(link.Resets(), qt.Equals, 2)
	link.Heal()
	p.Put(link.Addr, inUse, 0)
	conn := get(c, p, link.Addr, false)
	c.Assert(conn.Reused, qt.IsFalse)
	exchange(c, conn)
	p.Put(link.Addr, conn, 0)
	c.Assert(get(c, p, link.Addr, false), qt.Equals, conn)
}

// Guards against idle connections that are lost although the link works.
func TestAnAttemptOverALivelyLinkKeepsIdleConnections(t *testing.T) {
	for name, use := range map[string]func(c *qt.C, conn *Conn, upstream net.Conn){
		"answered": func(c *qt.C, conn *Conn, upstream net.Conn) {
			_, _ = upstream.Write([]byte("x"))
			_, err := conn.Reader.ReadByte()
			c.Assert(err, qt.IsNil)
			conn.peer.lastBytes.Store(0)
		},
		"closed by the upstream": func(c *qt.C, conn *Conn, upstream net.Conn) {
			_ = upstream.Close()
			_, err := conn.Reader.ReadByte()
			c.Assert(err, qt.Equals, io.EOF)
		},
		"bytes on another connection": func(_ *qt.C, conn *Conn, _ net.Conn) { conn.recordBytes(); conn.answered.Store(false) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			addr, conns := accept(t)
			p := NewPool()
			idle := get(c, p, addr, false)
			<-conns
			conn := get(c, p, addr, false)
			p.Put(addr, idle, 0)
			use(c, conn, <-conns)
			conn.Abort()
			c.Assert(get(c, p, addr, false), qt.Equals, idle)
		})
	}
}
