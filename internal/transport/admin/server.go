// Package admin serves the HTTP API of operators and the read-only page of the
// fleet, and holds the client of that API.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Prefix is the start of all paths of the API.
const Prefix = "/admin/v1"

// HeaderOutcome says whether a failed change may have taken effect.
const HeaderOutcome = "X-Celerydeck-Outcome"

const (
	maxSubmission = 256 << 20
	maxSmallBody  = 64 << 10
)

// Configs accepts and keeps configurations.
type Configs interface {
	// Current returns the configuration in force at this daemon; nil before the first.
	Current() (revision uint64, digest string, config *deckconfig.Config)
	// Submit offers changes. It fails with *configsync.ConflictError on a race.
	Submit(ctx context.Context, s configsync.Submission) (configsync.Accepted, error)
	// Progress tells where a revision is in force.
	Progress(revision uint64) configsync.Progress
	// History returns the newest revisions, newest first.
	History(ctx context.Context, limit int) ([]configsync.RevisionInfo, error)
	// At returns the configuration of a revision.
	At(ctx context.Context, revision uint64) (*deckconfig.Config, error)
}

// Fleet answers questions about the state of the fleet and keeps what operators
// leave for each other.
type Fleet interface {
	Status(q protocol.StatusQuery) protocol.DaemonStatus
	Collect(ctx context.Context, q protocol.StatusQuery) protocol.FleetView
	Explain(ctx context.Context, q protocol.ExplainQuery) (protocol.Explanation, error)
	Notes(ctx context.Context) ([]protocol.Note, error)
	AddNote(ctx context.Context, author, text string) (protocol.Note, error)
	Drain(ctx context.Context, d protocol.Drain) error
	Undrain(ctx context.Context, d protocol.Drain) error
}

// Options sets up a Server.
type Options struct {
	Configs Configs // nil answers unavailable
	Fleet   Fleet
	// Catalog returns the configuration in force, or nil before the first one.
	Catalog func() *state.Catalog
	// BootstrapKeyHash is the hash of a key with all rights; empty for none.
	BootstrapKeyHash string
	Metrics          http.Handler // serves /metrics; nil for none
	Clock            func() time.Time
}

// Server serves the API.
type Server struct {
	opts Options
}

// New returns a server.
func New(opts Options) *Server { return &Server{opts: opts} }

// Handler returns the routes of the API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	api := r.PathPrefix(Prefix).Subrouter()
	read, change := deckconfig.RoleViewer, deckconfig.RoleOperator
	api.HandleFunc("/config", s.as(read, s.config)).Methods(http.MethodGet)
	api.HandleFunc("/submissions", s.as(change, s.submit)).Methods(http.MethodPost)
	api.HandleFunc("/progress/{revision:[0-9]+}", s.as(read, s.progress)).Methods(http.MethodGet)
	api.HandleFunc("/history", s.as(read, s.history)).Methods(http.MethodGet)
	api.HandleFunc("/status", s.as(read, s.status)).Methods(http.MethodGet)
	api.HandleFunc("/fleet", s.as(read, s.fleet)).Methods(http.MethodGet)
	api.HandleFunc("/explain", s.as(read, s.explain)).Methods(http.MethodGet)
	api.HandleFunc("/handover", s.as(read, s.handover)).Methods(http.MethodGet)
	api.HandleFunc("/notes", s.as(read, s.notes)).Methods(http.MethodGet)
	api.HandleFunc("/notes", s.as(change, s.addNote)).Methods(http.MethodPost)
	api.HandleFunc("/drains/{kind:upstream|daemon}/{subject}", s.as(change, s.drain)).Methods(http.MethodPut)
	api.HandleFunc("/drains/{kind:upstream|daemon}/{subject}", s.as(change, s.undrain)).Methods(http.MethodDelete)
	if s.opts.Metrics != nil {
		r.HandleFunc("/metrics", s.as(read, func(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
			s.opts.Metrics.ServeHTTP(w, r)
		})).Methods(http.MethodGet)
	}
	r.HandleFunc("/", s.as(read, s.page)).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, protocol.Errorf(protocol.KindNotFound, "route request", protocol.OutcomeNotRun, "no route for %s %s", r.Method, r.URL.Path))
	})
	return r
}
