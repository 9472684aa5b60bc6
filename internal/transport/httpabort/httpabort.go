// Package httpabort makes responses that a handler aborts look broken off to clients of HTTP/1.0 as well. Their responses
// may end with the connection, which net/http closes in order also after an abort.
package httpabort

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// Attach makes a server reset the connection of an HTTP/1.0 request whose handler panics, for example with
// http.ErrAbortHandler. The server must have its handler and its hooks.
func Attach(s *http.Server) {
	next, connContext := s.Handler, s.ConnContext
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		hasEnded := false
		defer func() {
			if !hasEnded {
				resetOnClose(r)
			}
		}()
		next.ServeHTTP(w, r)
		hasEnded = true
	})
}

// resetOnClose makes the connection of a request end with a reset once it is closed.
func resetOnClose(r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	for conn != nil {
		switch c := conn.(type) {
		case *net.TCPConn:
			_ = c.SetLinger(0) // fails if the client has left
			return
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return
		}
	}
}
