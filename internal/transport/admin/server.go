// Package admin implements the HTTP API for operators, the read-only handover page of the
// fleet, and the client of the API.
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

// Prefix is the prefix of all paths of the API.
const Prefix = "/admin/v1"

// HeaderOutcome is the header field of error answers that shows whether the failed request
// may have taken effect.
const HeaderOutcome = "X-Celerydeck-Outcome"

const (
	maxSubmissionBytes = 256 << 20
	maxSmallBodyBytes  = 64 << 10
)

// Configs stores the revisions of the configuration and accepts new ones.
type Configs interface {
	// Current returns the configuration in force at this daemon. The config is nil if no
	// configuration is in force yet.
	Current() (revision uint64, digest string, config *deckconfig.Config)
	// Submit proposes changes as a new revision. It returns a *configsync.ConflictError
	// if an object of the submission was changed concurrently.
	Submit(ctx context.Context, s configsync.Submission) (configsync.Accepted, error)
	// Progress returns the number of daemons on which a revision is in force.
	Progress(revision uint64) configsync.Progress
	// History returns the newest revisions, newest first.
	History(ctx context.Context, limit int) ([]configsync.RevisionInfo, error)
	// At returns the configuration of a revision.
	At(ctx context.Context, revision uint64) (*deckconfig.Config, error)
}

// Fleet returns the state of the fleet and stores the notes and drains of operators.
type Fleet interface {
	Status(q protocol.StatusQuery) protocol.DaemonStatus
	Collect(ctx context.Context, q protocol.StatusQuery) protocol.FleetView
	Explain(ctx context.Context, q protocol.ExplainQuery) (protocol.Explanation, error)
	Notes(ctx context.Context) ([]protocol.Note, error)
	AddNote(ctx context.Context, author, key, text string) (protocol.Note, error)
	Drain(ctx context.Context, d protocol.Drain) error
	Undrain(ctx context.Context, d protocol.Drain) error
}

// Options holds the dependencies of a Server.
type Options struct {
	Configs Configs // nil if this daemon accepts no configurations
	Fleet   Fleet
	// Catalog returns the configuration in force, or nil if no configuration is in force
	// yet.
	Catalog func() *state.Catalog
	// BootstrapKeyHash is the hash of the bootstrap key, which has the operator role and is
	// valid without a configuration. If the hash is empty, there is no bootstrap key.
	BootstrapKeyHash string
	Metrics          http.Handler // serves /metrics; if nil, there is no such route
	Clock            func() time.Time
}

// Server serves the API for operators.
type Server struct {
	opts Options
}

// New returns a server with the given dependencies.
func New(opts Options) *Server { return &Server{opts: opts} }

// Handler returns the routes of the API, /metrics and the handover page. All of them
// require the key of an operator.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	api := r.PathPrefix(Prefix).Subrouter()
	viewer, operator := deckconfig.RoleViewer, deckconfig.RoleOperator
	api.HandleFunc("/config", s.requireRole(viewer, s.config)).Methods(http.MethodGet)
	api.HandleFunc("/submissions", s.requireRole(operator, s.submit)).Methods(http.MethodPost)
	api.HandleFunc("/progress/{revision:[0-9]+}", s.requireRole(viewer, s.progress)).Methods(http.MethodGet)
	api.HandleFunc("/history", s.requireRole(viewer, s.history)).Methods(http.MethodGet)
	api.HandleFunc("/status", s.requireRole(viewer, s.status)).Methods(http.MethodGet)
	api.HandleFunc("/fleet", s.requireRole(viewer, s.fleet)).Methods(http.MethodGet)
	api.HandleFunc("/explain", s.requireRole(viewer, s.explain)).Methods(http.MethodGet)
	api.HandleFunc("/handover", s.requireRole(viewer, s.handover)).Methods(http.MethodGet)
	api.HandleFunc("/notes", s.requireRole(viewer, s.notes)).Methods(http.MethodGet)
	api.HandleFunc("/notes", s.requireRole(operator, s.addNote)).Methods(http.MethodPost)
	api.HandleFunc("/drains/{kind:upstream|daemon}/{subject}", s.requireRole(operator, s.drain)).Methods(http.MethodPut)
	api.HandleFunc("/drains/{kind:upstream|daemon}/{subject}", s.requireRole(operator, s.undrain)).Methods(http.MethodDelete)
	if s.opts.Metrics != nil {
		r.HandleFunc("/metrics", s.requireRole(viewer, func(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
			s.opts.Metrics.ServeHTTP(w, r)
		})).Methods(http.MethodGet)
	}
	r.HandleFunc("/", s.requireRole(viewer, s.handoverPage)).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, protocol.Errorf(protocol.KindNotFound, "route request", protocol.OutcomeNotRun, "no route for %s %s", r.Method, r.URL.Path))
	})
	return r
}
