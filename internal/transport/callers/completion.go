package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

type usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completion returns the handler of chat completions if chat is set, and otherwise the
// handler of text completions.
func (s *Server) completion(chat bool) http.HandlerFunc {
	return s.authenticated(func(in authenticatedRequest) *protocol.Error {
		call, req, service, err := in.caller.modelCall(in.r, chat, in.body)
		if err != nil {
			return err
		}
		call.RequestID = in.id
		if err := readOnceHeaders(in.r, &call); err != nil {
			return err
		}
		sink := &completionSink{w: in.w, call: &call, chat: chat, stream: req.Stream, created: time.Now().Unix()}
		sink.includeUsage = req.Options != nil && req.Options.IncludeUsage
		sink.setHeaders()
		setWriteDeadline(in.w, call.TimeLeft)
		if err := s.opts.Gateway.Serve(in.r.Context(), &call, service.BaseModel, sink); err != nil {
			sink.fail(err)
		}
		return nil
	})
}

// completionSink writes the answer of a completion: as a stream of events, or as one
// JSON object at the end.
type completionSink struct {
	w            http.ResponseWriter
	call         *protocol.Call
	chat         bool
	stream       bool
	includeUsage bool
	created      int64           // Unix time in seconds
	started      bool            // the first part of a stream was written
	text         strings.Builder // text of an answer that is not streamed
	buf          []byte          // encoded events that are not written yet
	chunks       chunkEncoder
}

func (c *completionSink) setHeaders() {
	h := c.w.Header()
	h.Set(HeaderAdapter, string(c.call.Model.Adapter.Service)+"/"+c.call.Model.Adapter.Adapter)
	h.Set(HeaderVersion, c.call.Model.Adapter.Version)
}

// Head implements protocol.Sink.
func (c *completionSink) Head(h protocol.Head) error {
	setReplayedHeader(c.w, h)
	return nil
}

// Chunk implements protocol.Sink.
func (c *completionSink) Chunk(chunk protocol.Chunk) error {
	if !c.stream {
		if c.text.Len()+len(chunk.Data) > MaxAnswerBytes {
			return fmt.Errorf("the answer exceeds %d bytes", MaxAnswerBytes)
		}
		c.text.Write(chunk.Data)
		return nil
	}
	c.buf = append(c.buf[:0], eventPrefix...)
	buf, err := c.chunks.appendChunkEvent(c.buf, c, chunk.Data)
	if err != nil {
		return err
	}
	c.buf = append(buf, eventSuffix...)
	return c.write(c.buf)
}

// End implements protocol.Sink.
func (c *completionSink) End(end protocol.End) error {
	u := &usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: end.Total,
		TotalTokens:      end.PromptTokens + end.Total,
	}
	if !c.stream {
		c.w.Header().Set(HeaderOutcome, string(protocol.OutcomeRan))
		resp := c.response(c.fullChoice(end.FinishReason))
		resp.Usage = u
		writeJSON(c.w, http.StatusOK, resp)
		return nil
	}
	c.buf = c.buf[:0]
	if err := c.appendEvent(c.response(c.chunkChoice("", &end.FinishReason))); err != nil {
		return err
	}
	if c.includeUsage {
		last := c.response()
		last.Usage = u
		if err := c.appendEvent(last); err != nil {
			return err
		}
	}
	c.buf = append(c.buf, "data: [DONE]\n\n"...)
	return c.write(c.buf)
}

// fail writes the error as the answer. If a stream has begun, fail writes an error event
// and aborts the connection without an end marker, so that no caller mistakes the
// incomplete stream for a whole answer.
func (c *completionSink) fail(err *protocol.Error) {
	if !c.started {
		writeError(c.w, err)
		return
	}
	data, _ := json.Marshal(errorBody{Error: newErrorDetail(err)})
	_ = c.write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	panic(http.ErrAbortHandler)
}

// response returns the JSON body of an answer or of one event of a stream. The body has no
// usage.
func (c *completionSink) response(choices ...responseChoice) completionResponse {
	resp := completionResponse{
		ID:      c.call.RequestID,
		Object:  "text_completion",
		Created: c.created,
		Model:   c.call.Model.Adapter.String(),
		Choices: choices,
	}
	if c.chat {
		resp.Object = "chat.completion"
		if c.stream {
			resp.Object = "chat.completion.chunk"
		}
	}
	if resp.Choices == nil {
		resp.Choices = []responseChoice{}
	}
	return resp
}

// chunkChoice returns the choice in one event of a stream.
func (c *completionSink) chunkChoice(text string, finish *string) responseChoice {
	if c.chat {
		return responseChoice{Delta: &chatMessage{Role: "assistant", Content: text}, FinishReason: finish}
	}
	return responseChoice{Text: &text, FinishReason: finish}
}

// fullChoice returns the choice of an answer that is not streamed.
func (c *completionSink) fullChoice(finish string) responseChoice {
	text := c.text.String()
	if c.chat {
		return responseChoice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &finish}
	}
	return responseChoice{Text: &text, FinishReason: &finish}
}

// appendEvent appends an event to buf.
func (c *completionSink) appendEvent(resp completionResponse) error {
	data, err := json.Marshal(resp)
	if err != nil {
		return err
	}
	c.buf = append(c.buf, eventPrefix...)
	c.buf = append(c.buf, data...)
	c.buf = append(c.buf, eventSuffix...)
	return nil
}

// write writes and flushes a part of a stream. Before the first part it sets the headers of
// a stream.
func (c *completionSink) write(data []byte) error {
	if !c.started {
		c.started = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-cache")
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}
