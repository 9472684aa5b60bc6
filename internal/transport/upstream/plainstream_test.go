package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// textSink collects the body of an answer.
type textSink struct {
	strings.Builder
	ended bool
}

func (*textSink) Head(protocol.Head) error { return nil }

func (s *textSink) Chunk(c protocol.Chunk) error { _, err := s.Write(c.Data); return err }

func (s *textSink) End(protocol.End) error { s.ended = true; return nil }

// A stream of a plain service without a length or chunks that broke off inside an event looked complete.
func TestAPlainStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	const events = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n"
	for name, tc := range map[string]struct {
		head, body string
		isWhole    bool
	}{
		"whole":                   {"Content-Type: text/event-stream; charset=utf-8", events, true},
		"no event":                {"Content-Type: text/event-stream", "", true},
		"inside an event":         {"Content-Type: text/event-stream", events + "id: 3\ndata: c", false},
		"after a line":            {"Content-Type: Text/Event-Stream; charset=utf-8", events + "id: 3\n", false},
		"not a stream":            {"Content-Type: text/plain", "id: 3\ndata", true},
		"a length shows the end":  {"Content-Type: text/event-stream\r\nContent-Length: 4", "data", true},
		"a short length is error": {"Content-Type: text/event-stream\r\nContent-Length: 90", events, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, err := rawserver.ServeEarly(func(_ *http.Request, conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+tc.head+"\r\n\r\n"+tc.body)
			})
			c.Assert(err, qt.IsNil)
			defer s.Close()
			client := upstream.NewClient()
			defer client.Close()
			sink := &textSink{}
			call := &protocol.Call{RequestID: "q", Plain: &protocol.PlainCall{Method: http.MethodGet, Path: "/"}}
			callErr := client.Plain(t.Context(), &state.Upstream{ID: "app", Addr: s.Addr()}, call, sink)
			c.Check(sink.String(), qt.Equals, tc.body)
			c.Check(sink.ended, qt.Equals, tc.isWhole)
			if c.Check(callErr == nil, qt.Equals, tc.isWhole) && callErr != nil {
				c.Check(callErr.Outcome, qt.Equals, protocol.OutcomeUnknown)
			}
		})
	}
}
