package httpabort_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/transport/httpabort"
)

// wrapped is a connection that hides the one below it.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

type wrappingListener struct{ net.Listener }

func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrapped{conn}, nil
}

// An aborted response without a length looked complete to a client of HTTP/1.0.
func TestAnAbortedResponseLooksBrokenOffInEachProtocol(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	}))
	s.Listener = wrappingListener{s.Listener}
	httpabort.Attach(s.Config)
	s.Start()
	defer s.Close()
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, path := range []string{"/abort", "/whole"} {
			t.Run(protocol+path, func(t *testing.T) {
				c := qt.New(t)
				conn, err := net.Dial("tcp", s.Listener.Addr().String())
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\nConnection: close\r\n\r\n", path, protocol)
				c.Assert(err, qt.IsNil)
				text, err := io.ReadAll(conn)
				c.Check(string(text), qt.Contains, "part")
				if protocol == "HTTP/1.1" { // the last chunk shows the end
					c.Check(err, qt.IsNil)
					return
				}
				c.Check(err != nil, qt.Equals, path == "/abort")
			})
		}
	}
}
