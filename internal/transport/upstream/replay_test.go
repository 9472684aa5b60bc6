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

// discardSink discards an answer.
type discardSink struct{}

func (discardSink) Head(protocol.Head) error   { return nil }
func (discardSink) Chunk(protocol.Chunk) error { return nil }
func (discardSink) End(protocol.End) error     { return nil }

// listenAndDropSecondRequest starts a server and returns its address. On each connection
// the server answers the first request and closes the connection after it has read the
// second request. This makes net/http resend the second request if it considers the request
// replayable. The server counts requests in received.
func listenAndDropSecondRequest(t *testing.T, received *atomic.Int32) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerFirstRequest(conn, received)
		}
	}()
	return l.Addr().String()
}

func answerFirstRequest(conn net.Conn, received *atomic.Int32) {
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

func TestTransportNeverResendsARequest(t *testing.T) {
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
			u := &state.Upstream{ID: "booking", Addr: listenAndDropSecondRequest(t, &received)}
			call := &protocol.Call{RequestID: "r", Plain: &protocol.PlainCall{
				Method: test.method,
				Path:   "/",
				Header: []protocol.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
				Body:   []byte(test.body),
			}}
			qt.Assert(t, client.Plain(t.Context(), u, call, discardSink{}), qt.Equals, (*protocol.Error)(nil))
			err := client.Plain(t.Context(), u, call, discardSink{})
			qt.Assert(t, err, qt.Not(qt.Equals), (*protocol.Error)(nil))
			qt.Check(t, err.Outcome, qt.Equals, protocol.OutcomeUnknown)
			qt.Check(t, received.Load(), qt.Equals, int32(2))
		})
	}
}
