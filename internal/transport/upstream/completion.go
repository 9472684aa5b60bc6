package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
	maxEventBytes   = 1 << 20
	scanBufferBytes = 16 << 10
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")

	// scanBuffers pools the read buffers of streams.
	scanBuffers = sync.Pool{New: func() any {
		buffer := make([]byte, scanBufferBytes)
		return &buffer
	}}

	errNotJSONObject = errors.New("upstream: the body is not a JSON object")
)

type streamEvent struct {
	Model   string         `json:"model"`
	BootID  state.BootID   `json:"boot_id"`
	Offset  uint32         `json:"offset"`
	Choices []streamChoice `json:"choices"`
	Usage   *streamUsage   `json:"usage"`
}

type streamChoice struct {
	Text         string       `json:"text"`
	Delta        *streamDelta `json:"delta"`
	FinishReason *string      `json:"finish_reason"`
}

type streamDelta struct {
	Content string `json:"content"`
}

type streamUsage struct {
	PromptTokens uint32 `json:"prompt_tokens"`
}

// Body is the JSON object in the body of a completion request. It keeps fields that the
// system does not interpret, so that they can be forwarded to the engine.
type Body map[string]json.RawMessage

// Complete runs a completion on an engine and passes the parts of the answer to sink.
// A nil result means that the whole answer, including the End, was delivered.
func (c *Client) Complete(ctx context.Context, u *state.Upstream, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	const step = "run completion"
	body, err := completionBody(call)
	if err != nil {
		return protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "%v", err)
	}
	path := completionsPath
	if call.Model.Chat {
		path = chatPath
	}
	watch := c.activity.watch(ctx, u.ID)
	defer watch.stop()
	req, err := http.NewRequestWithContext(watch.ctx, http.MethodPost, "http://"+u.Addr+path, nil)
	if err != nil {
		return protocol.Errorf(protocol.KindInternal, step, protocol.OutcomeNotRun, "%v", err)
	}
	req.Header.Set(contentTypeHeader, jsonType)
	resp, sent, err := c.do(req, body)
	if err != nil {
		if stallError := watch.stallError(step, u); stallError != nil {
			return stallError
		}
		return transportError(step, u, sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(step, u, resp)
	}
	s := completionStream{
		upstream: u,
		call:     call,
		sink:     sink,
		boot:     state.BootID(resp.Header.Get(bootHeader)),
		model:    call.Model.Adapter.String(),
		watch:    watch,
	}
	return s.run(resp)
}

// completionBody returns the request body for the engine: the body that the caller sent,
// with the fields that the system sets replaced.
func completionBody(call *protocol.Call) ([]byte, error) {
	var body Body
	if err := json.Unmarshal(call.Model.Body, &body); err != nil {
		return nil, err
	}
	if body == nil {
		return nil, errNotJSONObject
	}
	fields := []struct {
		name  string
		value any
	}{
		{"model", call.Model.Adapter.String()},
		{"stream", true},
		{"priority", call.Rank},
		{"request_id", call.RequestID},
		{"resume_offset", call.Model.ResumeOffset},
	}
	for _, f := range fields {
		raw, err := json.Marshal(f.value)
		if err != nil {
			return nil, err
		}
		body[f.name] = raw
	}
	return json.Marshal(body)
}

// completionStream reads the event stream of an engine. It rejects a stream whose events
// come from different boots of the engine or from another adapter than requested.
type completionStream struct {
	upstream   *state.Upstream
	call       *protocol.Call
	sink       protocol.Sink
	boot       state.BootID
	model      string // name that each event must carry
	watch      *stallWatch
	nextOffset uint32
	end        protocol.End
	finished   bool // a finish reason was read
}

// run reads the stream up to its end marker.
func (s *completionStream) run(resp *http.Response) *protocol.Error {
	if s.boot == "" {
		return s.fail(protocol.KindInterrupted, "the answer has no boot id")
	}
	head := protocol.Head{
		Attempt:  s.call.Attempt,
		Upstream: s.upstream.ID,
		Adapter:  s.call.Model.Adapter,
		Boot:     s.boot,
		Status:   resp.StatusCode,
	}
	if err := s.sink.Head(head); err != nil {
		return s.fail(protocol.KindCanceled, "caller disconnected: %v", err)
	}
	buffer := scanBuffers.Get().(*[]byte)
	defer scanBuffers.Put(buffer)
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer((*buffer)[:0], maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return s.done()
		}
		if err := s.event(data); err != nil {
			return err
		}
	}
	if stallError := s.watch.stallError("read completion", s.upstream); stallError != nil {
		return stallError
	}
	return s.fail(protocol.KindInterrupted, "stream broke after %d tokens: %v", s.nextOffset, scanner.Err())
}

// event checks an event and passes its text to the sink.
func (s *completionStream) event(data []byte) *protocol.Error {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return s.fail(protocol.KindInterrupted, "bad event: %v", err)
	}
	if event.Model != s.model {
		return s.fail(protocol.KindWrongAdapter, "engine answered with %q instead of %q", event.Model, s.model)
	}
	if event.BootID != s.boot {
		return s.fail(protocol.KindInterrupted, "engine restarted during the answer")
	}
	if len(event.Choices) != 1 {
		return s.fail(protocol.KindInterrupted, "event has %d choices", len(event.Choices))
	}
	choice := event.Choices[0]
	text := choice.Text
	if choice.Delta != nil {
		text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		s.end.FinishReason = *choice.FinishReason
		s.finished = true
	}
	if event.Usage != nil {
		s.end.PromptTokens = event.Usage.PromptTokens
	}
	s.nextOffset = max(s.nextOffset, event.Offset+1)
	chunk := protocol.Chunk{Attempt: s.call.Attempt, Offset: event.Offset, Count: 1, Data: []byte(text)}
	s.watch.recordPart()
	s.watch.setDelivering(true)
	err := s.sink.Chunk(chunk)
	s.watch.setDelivering(false)
	if err != nil {
		return s.fail(protocol.KindCanceled, "caller disconnected: %v", err)
	}
	return nil
}

// done passes the End to the sink once the end marker of the stream was read. It returns
// an error if the stream had no finish reason.
func (s *completionStream) done() *protocol.Error {
	if !s.finished {
		return s.fail(protocol.KindInterrupted, "stream ended without a finish reason")
	}
	s.end.Attempt = s.call.Attempt
	s.end.Total = s.nextOffset
	if err := s.sink.End(s.end); err != nil {
		return s.fail(protocol.KindCanceled, "caller disconnected: %v", err)
	}
	return nil
}

// fail returns an error whose outcome is unknown, because the engine had accepted the
// request.
func (s *completionStream) fail(kind protocol.ErrorKind, format string, args ...any) *protocol.Error {
	return protocol.Errorf(kind, "read completion", protocol.OutcomeUnknown, format, args...).WithPeer(string(s.upstream.ID))
}
