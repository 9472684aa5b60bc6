package upstream

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// fuzzSink counts chunks and keeps the End.
type fuzzSink struct {
	chunks int
	end    *protocol.End
}

func (s *fuzzSink) Head(protocol.Head) error { return nil }

func (s *fuzzSink) Chunk(protocol.Chunk) error { s.chunks++; return nil }

func (s *fuzzSink) End(e protocol.End) error { s.end = &e; return nil }

// FuzzCompletionStream reads arbitrary bytes as the event stream of an engine. Only a
// stream with a finish reason and an end marker succeeds.
func FuzzCompletionStream(f *testing.F) {
	event := `data: {"model":"a/b@v1","boot_id":"boot","offset":0,"choices":[{"text":"x","finish_reason":"stop"}],"usage":{"prompt_tokens":1}}`
	for _, text := range []string{
		event + "\n\ndata: [DONE]\n\n", event, "data: [DONE]\n\n", "data: {}\n\n", "data: null\n\n", ":comment\n\nevent: x\n",
		`data: {"model":"a/b@v2","boot_id":"boot","choices":[{}]}`, `data: {"model":"a/b@v1","boot_id":"boot","offset":4294967295,"choices":[{"delta":{"content":"é"}}]}` + "\ndata: [DONE]",
	} {
		f.Add([]byte(text))
	}
	ref := state.AdapterRef{Service: "a", Adapter: "b", Version: "v1"}
	u := &state.Upstream{ID: "engine"}
	f.Fuzz(func(t *testing.T, data []byte) {
		client := NewClient()
		sink := &fuzzSink{}
		watch := client.activity.watch(t.Context(), u.ID)
		defer watch.stop()
		s := completionStream{
			upstream: u,
			call:     &protocol.Call{Model: &protocol.ModelCall{Adapter: ref}},
			sink:     sink,
			boot:     "boot",
			model:    ref.String(),
			watch:    watch,
		}
		err := s.run(&http.Response{Body: io.NopCloser(bytes.NewReader(data))})
		if err == nil {
			qt.Assert(t, sink.end, qt.IsNotNil)
			qt.Assert(t, s.finished && bytes.Contains(data, doneMarker), qt.IsTrue)
			return
		}
		qt.Assert(t, sink.end, qt.IsNil)
		qt.Assert(t, err.Kind == protocol.KindInterrupted || err.Kind == protocol.KindWrongAdapter, qt.IsTrue)
		qt.Assert(t, err.Outcome, qt.Equals, protocol.OutcomeUnknown)
	})
}

// FuzzReport decodes arbitrary bytes as the load report of an engine.
func FuzzReport(f *testing.F) {
	for _, text := range []string{`{"boot_id":"b","slots":4}`, `{"boot_id":"b","slots":-1}`, `{}`, `null`, `[`, `{"slots":1e99}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := decodeReport(bytes.NewReader(data))
		if err == nil {
			qt.Assert(t, report.BootID != "" && report.Slots >= 0, qt.IsTrue)
		}
	})
}

// FuzzCompletionBody rewrites arbitrary bodies of callers for an engine.
func FuzzCompletionBody(f *testing.F) {
	for _, text := range []string{`{"model":"x","prompt":"y"}`, `null`, `[]`, `{"model":1,"model":2}`, ``} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		call := &protocol.Call{Model: &protocol.ModelCall{Body: data, Adapter: state.AdapterRef{Service: "a", Adapter: "b", Version: "v1"}}}
		body, err := completionBody(call)
		if err == nil {
			qt.Assert(t, bytes.Contains(body, []byte(`"model":"a/b@v1"`)), qt.IsTrue)
		}
	})
}
