package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

type discard struct{}

func (discard) Head(protocol.Head) error   { return nil }
func (discard) Chunk(protocol.Chunk) error { return nil }
func (discard) End(protocol.End) error     { return nil }

// dropSecond answers the first request of a connection and closes it at the
// second one, which makes net/http repeat requests that it takes for replayable.
func dropSecond(t *testing.T, received *atomic.Int32) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOne(conn, received)
		}
	}()
	return l.Addr().String()
}

func serveOne(conn net.Conn, received *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	first, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, first.Body)
	received.Add(1)
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	if _, err := http.ReadRequest(r); err == nil {
		received.Add(1)
	}
}

func TestTransportNeverRepeatsARequestOnItsOwn(t *testing.T) {
	tests := []struct {
		name   string
		method string
		body   string
	}{
		{"post with a body", http.MethodPost, `{"item":"clock"}`},
		{"post without a body", http.MethodPost, ""},
		{"put without a body", http.MethodPut, ""},
		{"delete", http.MethodDelete, ""},
		{"options", http.MethodOptions, ""},
		{"trace", http.MethodTrace, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int32
			client := upstream.NewClient()
			defer client.Close()
			u := &state.Upstream{ID: "booking", Addr: dropSecond(t, &received)}
			call := &protocol.Call{RequestID: "r", Plain: &protocol.PlainCall{
				Method: test.method,
				Path:   "/",
				Header: []protocol.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
				Body:   []byte(test.body),
			}}
			qt.Assert(t, client.Plain(t.Context(), u, call, discard{}), qt.Equals, (*protocol.Error)(nil))
			err := client.Plain(t.Context(), u, call, discard{})
			qt.Assert(t, err, qt.Not(qt.Equals), (*protocol.Error)(nil))
			qt.Check(t, err.Outcome, qt.Equals, protocol.OutcomeUnknown)
			qt.Check(t, received.Load(), qt.Equals, int32(2))
		})
	}
}
