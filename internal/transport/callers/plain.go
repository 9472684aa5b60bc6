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
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	id := s.opts.NewID()
	w.Header().Set(HeaderRequestID, id)
	who, err := s.authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	name := state.ServiceID(mux.Vars(r)["service"])
	service, err := who.service(name, deckconfig.PlainService)
	if err != nil {
		writeError(w, err)
		return
	}
	call, err := who.base(r, service)
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	call.RequestID = id
	call.Repeatable = !service.NonRepeatable || r.Method == http.MethodGet || r.Method == http.MethodHead
	if err := onceHeaders(r, &call); err != nil {
		writeError(w, err)
		return
	}
	call.Plain = &protocol.PlainCall{
		Method: r.Method,
		Path:   strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service.Name),
		Header: upstream.ForwardHeader(r.Header),
		Body:   body,
	}
	sink := &plainSink{w: w}
	limitWrites(w, call.Budget)
	if err := s.opts.Gateway.Serve(r.Context(), &call, "", sink); err != nil {
		sink.fail(err)
	}
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
