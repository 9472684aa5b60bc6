package upstream_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// headSink records whether it got any part of an answer.
type headSink struct {
	discardSink
	parts int
}

func (s *headSink) Head(protocol.Head) error { s.parts++; return nil }

func (s *headSink) Chunk(protocol.Chunk) error { s.parts++; return nil }

// Guards against answers, reports and results of orders that are believed although their head is no response head.
func TestAMalformedHeadIsNoAnswerToAnyCall(t *testing.T) {
	const report = `{"boot_id":"boot","slots":4,"max_batch":8}`
	ref := state.AdapterRef{Service: "a", Adapter: "b", Version: "v1"}
	for _, status := range []string{"200 OK", "404 None", "409 Conflict", "503 Full"} {
		for name := range rawserver.Malformed(status, report) {
			t.Run(status+", "+name, func(t *testing.T) {
				s, err := rawserver.Listen(func(*http.Request) string { return rawserver.Malformed(status, report, "X-Boot-Id: boot")[name] })
				qt.Assert(t, err, qt.IsNil)
				defer s.Close()
				client := upstream.NewClient()
				defer client.Close()
				u := &state.Upstream{ID: "engine", Addr: s.Addr()}
				var sink headSink
				calls := map[string]func() *protocol.Error{
					"completion": func() *protocol.Error {
						call := &protocol.Call{RequestID: "q", Model: &protocol.ModelCall{Adapter: ref, Body: []byte(`{"prompt":"x"}`)}}
						return client.Complete(t.Context(), u, call, &sink)
					},
					"plain": func() *protocol.Error {
						call := &protocol.Call{RequestID: "q", Plain: &protocol.PlainCall{Method: http.MethodPost, Path: "/"}}
						return client.Plain(t.Context(), u, call, &sink)
					},
					"plain GET": func() *protocol.Error {
						call := &protocol.Call{RequestID: "q", Plain: &protocol.PlainCall{Method: http.MethodGet, Path: "/"}}
						return client.Plain(t.Context(), u, call, &sink)
					},
					"load": func() *protocol.Error {
						boot, err := client.Load(t.Context(), u, ref, "w", 1)
						qt.Check(t, boot, qt.Equals, state.BootID(""))
						return err
					},
					"unload": func() *protocol.Error { return client.Unload(t.Context(), u, ref, 1) },
					"cancel": func() *protocol.Error { return client.Cancel(t.Context(), u, "q") },
					"probe":  func() *protocol.Error { _, err := client.Report(t.Context(), u); return err },
					"fence": func() *protocol.Error {
						result, err := client.RaiseFence(t.Context(), u, 1)
						qt.Check(t, result, qt.Equals, upstream.FenceResult{})
						return err
					},
				}
				for call, run := range calls {
					before := s.Received()
					err := run()
					if err == nil {
						t.Errorf("%s: no error", call)
						continue
					}
					qt.Check(t, err.Outcome, qt.Equals, protocol.OutcomeUnknown, qt.Commentf(call))
					qt.Check(t, err.Kind, qt.Equals, protocol.KindInterrupted, qt.Commentf(call))
					qt.Check(t, err.Message, qt.Contains, "malformed response head", qt.Commentf(call))
					qt.Check(t, len(err.Message) < 200, qt.IsTrue, qt.Commentf(err.Message))
					qt.Check(t, s.Received()-before, qt.Equals, 1, qt.Commentf("%s was sent more than once", call))
				}
				qt.Check(t, sink.parts, qt.Equals, 0)
				qt.Check(t, s.Reused(), qt.Equals, 0)
			})
		}
	}
}

// The message of an error, which callers get, quoted the trailer of a stream that broke off.
func TestTheErrorOfAMalformedTrailerQuotesNothing(t *testing.T) {
	const event = `data: {"model":"a/b@v1","boot_id":"boot","offset":0,"choices":[{"text":"x"}]}` + "\n\n"
	s, err := rawserver.Listen(func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Boot-Id: boot\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Odd\x01: v\r\n\r\n", len(event), event)
	})
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	client := upstream.NewClient()
	defer client.Close()
	call := &protocol.Call{RequestID: "q", Model: &protocol.ModelCall{Adapter: state.AdapterRef{Service: "a", Adapter: "b", Version: "v1"}, Body: []byte(`{"prompt":"x"}`)}}
	callErr := client.Complete(t.Context(), &state.Upstream{ID: "engine", Addr: s.Addr()}, call, &headSink{})
	qt.Assert(t, callErr, qt.IsNotNil)
	qt.Check(t, callErr.Outcome, qt.Equals, protocol.OutcomeUnknown)
	qt.Check(t, callErr.Message, qt.Not(qt.Contains), "Odd")
}
