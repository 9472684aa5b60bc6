package frontconn

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
)

type connKey struct{}

// FromContext returns the connection of a request, or nil if it has none with a Guard.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the connection below those that wrap it, or nil.
func unwrap(nc net.Conn) *Conn {
	for {
		switch c := nc.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// Attach makes a server tell the connections of this package the course of its requests. The server must
// have its handler and its hooks, and must serve a listener of Listen.
func Attach(s *http.Server) {
	next, state := s.Handler, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil && r.ContentLength != 0 {
			c.beginBody(r.ContentLength)
			r.Body = &requestBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c := unwrap(nc); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(nc net.Conn, st http.ConnState) {
		if c := unwrap(nc); c != nil && st == http.StateIdle {
			c.endRequest()
		}
		if state != nil {
			state(nc, st)
		}
	}
}

// beginBody notes that a request body of the given length follows, or of an unknown length if negative.
func (c *Conn) beginBody(length int64) {
	c.enter(clientbudget.Body, int64(c.guard.now()))
	c.chunks = chunkScanner{}
	c.body.Store(max(length, unknownLength))
}

// requestBody notices the end of a request body.
type requestBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.conn.body.Swap(0) != 0 {
		b.conn.enter(clientbudget.Running, int64(b.conn.guard.now()))
	}
	return n, err
}
