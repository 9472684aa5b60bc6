package upstream

import (
	"context"
	"errors"
	"io"
	"math"
	"mime"
	"net/http"
	"slices"
	"strconv"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const plainChunkBytes = 32 << 10

// unforwardedHeaders lists the header fields that are not forwarded: hop-by-hop fields,
// Content-Length, and the credentials and the ticket of the caller.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
	"X-Celerydeck-Ticket",
}

// ForwardHeader returns the fields of a header except unforwardedHeaders, sorted by name.
func ForwardHeader(h http.Header) []protocol.HeaderField {
	var fields []protocol.HeaderField
	for name, values := range h {
		if slices.Contains(unforwardedHeaders, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, protocol.HeaderField{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(fields, func(a, b protocol.HeaderField) int {
		if a.Name < b.Name {
			return -1
		}
		if a.Name > b.Name {
			return 1
		}
		return 0
	})
	return fields
}

// Plain sends a call to a plain service and passes the parts of the answer to sink. It
// passes on an answer with any HTTP status, including error statuses.
func (c *Client) Plain(ctx context.Context, u *state.Upstream, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	const step = "call plain service"
	req, err := http.NewRequestWithContext(ctx, call.Plain.Method, "http://"+u.Addr+call.Plain.Path, nil)
	if err != nil {
		return protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "%v", err)
	}
	for _, f := range call.Plain.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.Set("X-Request-Id", call.RequestID)
	resp, sent, err := c.do(req, call.Plain.Body)
	if err != nil {
		return transportError(step, u, sent, err)
	}
	defer resp.Body.Close()
	head := protocol.Head{
		Attempt:  call.Attempt,
		Upstream: u.ID,
		Boot:     state.BootID(resp.Header.Get(bootHeader)),
		Status:   resp.StatusCode,
		Header:   ForwardHeader(resp.Header),
	}
	if resp.ContentLength >= 0 {
		// Content-Length lets the caller detect a truncated answer.
		length := strconv.FormatInt(resp.ContentLength, 10)
		head.Header = append(head.Header, protocol.HeaderField{Name: "Content-Length", Value: length})
	}
	if err := sink.Head(head); err != nil {
		return protocol.Errorf(protocol.KindCanceled, step, protocol.OutcomeUnknown, "caller disconnected: %v", err)
	}
	body := io.Reader(resp.Body)
	if isUnframedStream(resp) {
		body = &eventStream{body: body}
	}
	return copyPlain(u, call, body, sink)
}

// isUnframedStream reports whether a response is a stream of events that ends with its connection.
func isUnframedStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get(contentTypeHeader))
	return err == nil && mediaType == "text/event-stream" && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// errTruncatedEvent is the error of a stream of events that ends within an event.
var errTruncatedEvent = errors.New("upstream: the stream broke off within an event")

// eventStream is the body of a stream of events. It ends with errTruncatedEvent in place of io.EOF if the body ends
// within an event.
type eventStream struct {
	body     io.Reader
	inEvent  bool // bytes were read since the last blank line
	isInLine bool // bytes were read since the last line end
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	for _, b := range p[:n] {
		switch b {
		case '\r': // also before a line feed
		case '\n':
			s.inEvent, s.isInLine = s.isInLine, false
		default:
			s.inEvent, s.isInLine = true, true
		}
	}
	if errors.Is(err, io.EOF) && s.inEvent {
		err = errTruncatedEvent
	}
	return n, err
}

// copyPlain passes the body of an answer to sink in chunks, each as soon as it arrives.
func copyPlain(u *state.Upstream, call *protocol.Call, body io.Reader, sink protocol.Sink) *protocol.Error {
	const step = "read plain answer"
	var total uint32
	for {
		buf := make([]byte, plainChunkBytes)
		n, err := body.Read(buf)
		if uint64(total)+uint64(n) > math.MaxUint32 {
			return protocol.Errorf(protocol.KindTooLarge, step, protocol.OutcomeUnknown, "the answer exceeds 4 GiB").WithPeer(string(u.ID))
		}
		if n > 0 {
			chunk := protocol.Chunk{Attempt: call.Attempt, Offset: total, Count: uint32(n), Data: buf[:n]}
			if err := sink.Chunk(chunk); err != nil {
				return protocol.Errorf(protocol.KindCanceled, step, protocol.OutcomeUnknown, "caller disconnected: %v", err)
			}
			total += uint32(n)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return transportError(step, u, true, err)
		}
	}
	if err := sink.End(protocol.End{Attempt: call.Attempt, Total: total}); err != nil {
		return protocol.Errorf(protocol.KindCanceled, step, protocol.OutcomeUnknown, "caller disconnected: %v", err)
	}
	return nil
}
