package callers

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// plain serves a call of a plain service. GET and HEAD calls are repeatable at every
// service.
func (s *Server) plain(in authenticatedRequest) *protocol.Error {
	name := state.ServiceID(mux.Vars(in.r)["service"])
	service, err := in.caller.service(name, deckconfig.PlainService)
	if err != nil {
		return err
	}
	call, err := in.caller.newCall(in.r, service)
	if err != nil {
		return err
	}
	call.RequestID = in.id
	call.Repeatable = !service.NonRepeatable || in.r.Method == http.MethodGet || in.r.Method == http.MethodHead
	if err := readOnceHeaders(in.r, &call); err != nil {
		return err
	}
	call.Plain = &protocol.PlainCall{
		Method: in.r.Method,
		Path:   strings.TrimPrefix(in.r.URL.RequestURI(), "/services/"+service.Name),
		Header: upstream.ForwardHeader(in.r.Header),
		Body:   in.body,
	}
	sink := &plainSink{w: in.w}
	setWriteDeadline(in.w, call.TimeLeft)
	if err := s.opts.Gateway.Serve(in.r.Context(), &call, "", sink); err != nil {
		sink.fail(err)
	}
	return nil
}

// plainSink forwards the answer of a plain service.
type plainSink struct {
	w       http.ResponseWriter
	started bool // the status line was written
}

// Head implements protocol.Sink.
func (p *plainSink) Head(h protocol.Head) error {
	p.started = true
	for _, f := range h.Header {
		if !isReservedHeader(f.Name) {
			p.w.Header().Add(f.Name, f.Value)
		}
	}
	p.w.Header().Set(HeaderOutcome, string(protocol.OutcomeRan))
	setReplayedHeader(p.w, h)
	p.w.WriteHeader(h.Status)
	return nil
}

// isReservedHeader reports whether a header field is reserved for celerydeck. Reserved
// fields in the answer of an upstream are not forwarded.
func isReservedHeader(name string) bool {
	name = http.CanonicalHeaderKey(name)
	return name == HeaderRequestID || strings.HasPrefix(name, headerPrefix)
}

// Chunk implements protocol.Sink.
func (p *plainSink) Chunk(c protocol.Chunk) error {
	if _, err := p.w.Write(c.Data); err != nil {
		return err
	}
	return http.NewResponseController(p.w).Flush()
}

// End implements protocol.Sink.
func (p *plainSink) End(protocol.End) error { return nil }

// fail writes the error as the answer. If the answer has begun, it aborts the connection
// instead, so that the caller can detect that the answer is incomplete.
func (p *plainSink) fail(err *protocol.Error) {
	if p.started {
		panic(http.ErrAbortHandler)
	}
	writeError(p.w, err)
}
