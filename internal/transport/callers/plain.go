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

// plain serves a call of a plain service.
func (s *Server) plain(in incoming) *protocol.Error {
	name := state.ServiceID(mux.Vars(in.r)["service"])
	service, err := in.who.service(name, deckconfig.PlainService)
	if err != nil {
		return err
	}
	call, err := in.who.base(in.r, service)
	if err != nil {
		return err
	}
	call.RequestID = in.id
	call.Repeatable = !service.NonRepeatable || in.r.Method == http.MethodGet || in.r.Method == http.MethodHead
	if err := onceHeaders(in.r, &call); err != nil {
		return err
	}
	call.Plain = &protocol.PlainCall{
		Method: in.r.Method,
		Path:   strings.TrimPrefix(in.r.URL.RequestURI(), "/services/"+service.Name),
		Header: upstream.ForwardHeader(in.r.Header),
		Body:   in.body,
	}
	sink := &plainSink{w: in.w}
	limitWrites(in.w, call.TimeLeft)
	if err := s.opts.Gateway.Serve(in.r.Context(), &call, "", sink); err != nil {
		sink.fail(err)
	}
	return nil
}

// plainSink passes the answer of a plain service on.
type plainSink struct {
	w       http.ResponseWriter
	started bool
}

// Head implements protocol.Sink.
func (p *plainSink) Head(h protocol.Head) error {
	p.started = true
	for _, f := range h.Header {
		if !reserved(f.Name) {
			p.w.Header().Add(f.Name, f.Value)
		}
	}
	p.w.Header().Set(HeaderOutcome, string(protocol.OutcomeRan))
	noteReplay(p.w, h)
	p.w.WriteHeader(h.Status)
	return nil
}

// reserved reports whether a header field belongs to the system, so that an
// upstream can't set it.
func reserved(name string) bool {
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

// fail breaks the connection once the answer has begun, so that the caller sees
// that it is not whole.
func (p *plainSink) fail(err *protocol.Error) {
	if p.started {
		panic(http.ErrAbortHandler)
	}
	writeError(p.w, err)
}
