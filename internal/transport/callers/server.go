// Package callers serves the HTTP API for callers: OpenAI-compatible completions, and
// calls of plain services.
package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Header fields of requests and answers.
const (
	HeaderRank           = "X-Celerydeck-Rank"
	HeaderTimeout        = "X-Celerydeck-Timeout"
	HeaderOutcome        = "X-Celerydeck-Outcome"
	HeaderAdapter        = "X-Celerydeck-Adapter"
	HeaderVersion        = "X-Celerydeck-Version"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTicket         = "X-Celerydeck-Ticket"
	HeaderReplayed       = "X-Celerydeck-Replayed"

	headerPrefix = "X-Celerydeck-"
)

// Limits of requests and answers.
const (
	MaxBodyBytes   = 8 << 20
	DefaultTimeout = 60 * time.Second
	MaxTimeout     = 10 * time.Minute
	// MaxAnswerBytes limits the text of a completion that is not streamed. The whole text is
	// held in memory until the answer is complete.
	MaxAnswerBytes = 32 << 20

	bodyTimeout      = 30 * time.Second // limit for reading the body of a request
	writeGracePeriod = 5 * time.Second  // after the deadline of a request, for writing the answer
)

// Gateway routes calls and delivers their answers.
type Gateway interface {
	// Serve runs a call and passes its answer to sink. BaseModel is the base model of the
	// service; it is empty for plain services.
	Serve(ctx context.Context, call *protocol.Call, baseModel string, sink protocol.Sink) *protocol.Error
}

// Tickets issues tickets, each of which permits one call of a non-repeatable service.
type Tickets interface {
	IssueTicket(customer state.CustomerID, service state.ServiceID) once.Ticket
}

// Options holds the dependencies of a Server.
type Options struct {
	Gateway Gateway
	Tickets Tickets
	// Catalog returns the configuration in force, or nil if no configuration is in force
	// yet.
	Catalog func() *state.Catalog
	// Ready reports whether the daemon accepts new requests.
	Ready func() bool
	// NewID returns a new request id.
	NewID func() string
	// Metrics serves /metrics. If it is nil, there is no such route.
	Metrics http.Handler
}

// Server serves the API for callers.
type Server struct {
	opts Options
}

// New returns a server with the given dependencies.
func New(opts Options) *Server { return &Server{opts: opts} }

// Handler returns the routes of the API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	if s.opts.Metrics != nil {
		r.Handle("/metrics", s.opts.Metrics).Methods(http.MethodGet)
	}
	r.HandleFunc("/v1/completions", s.completion(false)).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", s.completion(true)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", s.authenticated(s.ticket)).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(s.authenticated(s.plain))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, protocol.Errorf(protocol.KindNotFound, "route request", protocol.OutcomeNotRun, "no route for %s %s", r.Method, r.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, protocol.Errorf(protocol.KindBadRequest, "route request", protocol.OutcomeNotRun, "method %s is not allowed", r.Method))
	})
	return s.closeConnsWhenNotReady(r)
}

// closeConnsWhenNotReady returns a handler that closes the connection after each answer
// while the daemon accepts no requests. Thus callers have left their connections before the
// daemon shuts down and no request is interrupted.
func (s *Server) closeConnsWhenNotReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.opts.Ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.opts.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
