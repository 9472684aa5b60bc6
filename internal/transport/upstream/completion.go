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
	maxEvent        = 1 << 20
	scanBuffer      = 16 << 10
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")

	// scanBuffers holds the buffers of streams that have ended.
	scanBuffers = sync.Pool{New: func() any {
		buffer := make([]byte, scanBuffer)
		return &buffer
	}}

	errNoObject = errors.New("upstream: the body is not a JSON object")
)

type engineEvent struct {
	Model   string         `json:"model"`
	BootID  state.BootID   `json:"boot_id"`
	Offset  uint32         `json:"offset"`
	Choices []engineChoice `json:"choices"`
	Usage   *engineUsage   `json:"usage"`
}

type engineChoice struct {
	Text         string       `json:"text"`
	Delta        *engineDelta `json:"delta"`
	FinishReason *string      `json:"finish_reason"`
}

type engineDelta struct {
	Content string `json:"content"`
}

type engineUsage struct {
	PromptTokens uint32 `json:"prompt_tokens"`
}

// Body is the JSON body of a caller whose unknown fields are passed on.
type Body map[string]json.RawMessage

// Complete runs a completion and hands its parts to sink. A nil result means
// that the whole answer was delivered, its End included.
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
	progress := c.progress.watch(ctx, u.ID)
	defer progress.stop()
	req, err := http.NewRequestWithContext(progress.ctx, http.MethodPost, "http://"+u.Addr+path, nil)
	if err != nil {
		return protocol.Errorf(protocol.KindInternal, step, protocol.OutcomeNotRun, "%v", err)
	}
	req.Header.Set(contentTypeKey, jsonType)
	resp, sent, err := c.do(req, body)
	if err != nil {
		if stalled := progress.stalled(step, u); stalled != nil {
			return stalled
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
		want:     call.Model.Adapter.String(),
		progress: progress,
	}
	return s.run(resp)
}

// completionBody replaces the fields of the body that belong to the system.
func completionBody(call *protocol.Call) ([]byte, error) {
	var body Body
	if err := json.Unmarshal(call.Model.Body, &body); err != nil {
		return nil, err
	}
	if body == nil {
		return nil, errNoObject
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

type completionStream struct {
	upstream *state.Upstream
	call     *protocol.Call
	sink     protocol.Sink
	boot     state.BootID
	want     string
	progress *attemptProgress
	next     uint32
	end      protocol.End
	finished bool
}

func (s *completionStream) run(resp *http.Response) *protocol.Error {
	if s.boot == "" {
		return s.fail(protocol.KindInterrupted, "the answer names no boot id")
	}
	head := protocol.Head{
		Attempt:  s.call.Attempt,
		Upstream: s.upstream.ID,
		Adapter:  s.call.Model.Adapter,
		Boot:     s.boot,
		Status:   resp.StatusCode,
	}
	if err := s.sink.Head(head); err != nil {
		return s.fail(protocol.KindCanceled, "caller is gone: %v", err)
	}
	buffer := scanBuffers.Get().(*[]byte)
	defer scanBuffers.Put(buffer)
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer((*buffer)[:0], maxEvent)
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
	if stalled := s.progress.stalled("read completion", s.upstream); stalled != nil {
		return stalled
	}
	return s.fail(protocol.KindInterrupted, "stream broke after %d tokens: %v", s.next, scanner.Err())
}

func (s *completionStream) event(data []byte) *protocol.Error {
	var event engineEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return s.fail(protocol.KindInterrupted, "bad event: %v", err)
	}
	if event.Model != s.want {
		return s.fail(protocol.KindWrongAdapter, "engine answered with %q instead of %q", event.Model, s.want)
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
	s.next = max(s.next, event.Offset+1)
	chunk := protocol.Chunk{Attempt: s.call.Attempt, Offset: event.Offset, Count: 1, Data: []byte(text)}
	s.progress.part()
	s.progress.setHandover(true)
	err := s.sink.Chunk(chunk)
	s.progress.setHandover(false)
	if err != nil {
		return s.fail(protocol.KindCanceled, "caller is gone: %v", err)
	}
	return nil
}

func (s *completionStream) done() *protocol.Error {
	if !s.finished {
		return s.fail(protocol.KindInterrupted, "stream ended without a finish reason")
	}
	s.end.Attempt = s.call.Attempt
	s.end.Total = s.next
	if err := s.sink.End(s.end); err != nil {
		return s.fail(protocol.KindCanceled, "caller is gone: %v", err)
	}
	return nil
}

func (s *completionStream) fail(kind protocol.ErrorKind, format string, args ...any) *protocol.Error {
	return protocol.Errorf(kind, "read completion", protocol.OutcomeUnknown, format, args...).WithPeer(string(s.upstream.ID))
}
