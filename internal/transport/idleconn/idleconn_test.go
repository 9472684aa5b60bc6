package idleconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serve starts an HTTP server and returns its listener and its address.
func serve(t *testing.T, h http.HandlerFunc) (*Listener, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Listen(inner)
	s := &http.Server{Handler: h, ConnState: l.State}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l, inner.Addr().String()
}

// get sends a request and reads its response.
func get(c *qt.C, conn net.Conn, r *bufio.Reader) error {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

func TestCloseIdleClosesAnIdleConnection(t *testing.T) {
	c := qt.New(t)
	l, addr := serve(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	r := bufio.NewReader(conn)
	c.Assert(get(c, conn, r), qt.IsNil)
	for l.idleConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.CloseIdle()
	_, err = r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against the interruption of a request that arrives while CloseIdle runs: CloseIdle
// finds the connection idle, the server reads the request, and only then CloseIdle sets the
// read deadline.
func TestRequestThatArrivesDuringCloseIdleIsAnswered(t *testing.T) {
	c := qt.New(t)
	var l *Listener
	started := make(chan struct{})
	canceled := make(chan bool, 1)
	l, addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-r.Context().Done():
			canceled <- true
		case <-time.After(100 * time.Millisecond):
			canceled <- false
		}
	})
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	go func() {
		<-started
		l.mu.Lock()
		for tracked := range l.conns { // as CloseIdle does if it found the connection idle before the request arrived
			tracked.closing.Store(true)
			_ = tracked.SetReadDeadline(time.Unix(1, 0))
		}
		l.mu.Unlock()
	}()
	c.Assert(get(c, conn, bufio.NewReader(conn)), qt.IsNil)
	c.Assert(<-canceled, qt.IsFalse)
}

// idleConns returns the number of idle connections.
func (l *Listener) idleConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.idle.Load() {
			n++
		}
	}
	return n
}
