package admin

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	defaultHandoverPeriod = 24 * time.Hour
	maxNoteBytes          = 4000
	maxNoteKeyBytes       = 64
)

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ deckconfig.Operator) {
	writeJSON(w, http.StatusOK, s.opts.Fleet.Status(protocol.StatusQuery{}))
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	writeJSON(w, http.StatusOK, s.opts.Fleet.Collect(r.Context(), protocol.StatusQuery{}))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	query := r.URL.Query()
	explanation, err := s.opts.Fleet.Explain(r.Context(), protocol.ExplainQuery{
		Model:    query.Get("model"),
		Rank:     query.Get("rank"),
		Upstream: state.UpstreamID(query.Get("upstream")),
	})
	if err != nil {
		writeAnyError(w, err, "explain")
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

// NotesBody is the body of an answer with notes, oldest first.
type NotesBody struct {
	Notes []protocol.Note `json:"notes"`
}

// NoteBody is the body of a request that adds a note.
type NoteBody struct {
	Text string `json:"text"`
	// Key makes the request idempotent: it is the same in all requests for one note.
	Key string `json:"key,omitempty"`
}

func (s *Server) notes(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	notes, err := s.opts.Fleet.Notes(r.Context())
	if err != nil {
		writeAnyError(w, err, "read notes")
		return
	}
	writeJSON(w, http.StatusOK, NotesBody{Notes: notes})
}

func (s *Server) addNote(w http.ResponseWriter, r *http.Request, operator deckconfig.Operator) {
	const step = "leave note"
	var body NoteBody
	if err := readJSON(w, r, maxSmallBodyBytes, &body); err != nil {
		writeAnyError(w, err, step)
		return
	}
	if body.Text == "" || len(body.Text) > maxNoteBytes {
		writeError(w, protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "text must have 1 to %d bytes", maxNoteBytes))
		return
	}
	if len(body.Key) > maxNoteKeyBytes {
		writeError(w, protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "key must have at most %d bytes", maxNoteKeyBytes))
		return
	}
	note, err := s.opts.Fleet.AddNote(r.Context(), operator.Name, body.Key, body.Text)
	if err != nil {
		writeAnyError(w, err, step)
		return
	}
	writeJSON(w, http.StatusOK, note)
}

// DrainBody is the body of a request that drains an upstream or a daemon.
type DrainBody struct {
	Reason string `json:"reason,omitempty"`
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, operator deckconfig.Operator) {
	const step = "drain"
	var body DrainBody
	if err := readJSON(w, r, maxSmallBodyBytes, &body); err != nil {
		writeAnyError(w, err, step)
		return
	}
	drain := drainFromPath(r)
	drain.Author, drain.Reason, drain.At = operator.Name, body.Reason, s.opts.Clock()
	if err := s.opts.Fleet.Drain(r.Context(), drain); err != nil {
		writeAnyError(w, err, step)
		return
	}
	writeJSON(w, http.StatusOK, drain)
}

func (s *Server) undrain(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	drain := drainFromPath(r)
	if err := s.opts.Fleet.Undrain(r.Context(), drain); err != nil {
		writeAnyError(w, err, "end drain")
		return
	}
	writeJSON(w, http.StatusOK, drain)
}

// drainFromPath returns the drain that the path of a request names.
func drainFromPath(r *http.Request) protocol.Drain {
	vars := mux.Vars(r)
	return protocol.Drain{Kind: protocol.DrainKind(vars["kind"]), Subject: vars["subject"]}
}

func (s *Server) handover(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	since := s.opts.Clock().Add(-defaultHandoverPeriod)
	if text := r.URL.Query().Get("since"); text != "" {
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			writeError(w, protocol.Errorf(protocol.KindBadRequest, "hand over", protocol.OutcomeNotRun, "since must be a time such as 2006-01-02T15:04:05Z"))
			return
		}
		since = at
	}
	writeJSON(w, http.StatusOK, s.buildHandover(r, since))
}

// buildHandover collects the content of a handover. If it cannot read a part of the
// content, it lists the part as unreadable.
func (s *Server) buildHandover(r *http.Request, since time.Time) *report.Handover {
	in := report.Input{Since: since, Fleet: s.opts.Fleet.Collect(r.Context(), protocol.StatusQuery{ChangesSince: since})}
	notes, err := s.opts.Fleet.Notes(r.Context())
	in.Notes = notes
	in.AddReadError("notes", err)
	if s.opts.Configs != nil {
		in.History, err = s.opts.Configs.History(r.Context(), maxHistoryLimit)
		in.AddReadError("history", err)
		revision, digest, _ := s.opts.Configs.Current()
		in.Revision, in.Digest = revision, digest
		in.Progress = s.opts.Configs.Progress(revision)
	}
	return report.Build(in)
}

// handoverPage serves the handover of the default period as a web page.
func (s *Server) handoverPage(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	header := w.Header()
	header.Set("Content-Type", "text/html; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; img-src data:; frame-ancestors 'none'")
	header.Set("X-Content-Type-Options", "nosniff")
	if err := s.buildHandover(r, s.opts.Clock().Add(-defaultHandoverPeriod)).HTML(w); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
