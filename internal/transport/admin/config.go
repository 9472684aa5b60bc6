package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	stepReadConfig      = "read configuration"
	stepSubmit          = "submit configuration"
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// ConfigBody is the body of an answer with a revision of the configuration.
type ConfigBody struct {
	Revision uint64             `json:"revision"`
	Digest   string             `json:"digest,omitempty"`
	Config   *deckconfig.Config `json:"config"`
}

// configs returns the configurations of the daemon. If the daemon accepts no
// configurations, it answers the request with an error and returns nil.
func (s *Server) configs(w http.ResponseWriter) Configs {
	if s.opts.Configs == nil {
		writeError(w, protocol.Errorf(protocol.KindUnavailable, stepReadConfig, protocol.OutcomeNotRun, "this daemon does not take configurations"))
	}
	return s.opts.Configs
}

func (s *Server) config(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	configs := s.configs(w)
	if configs == nil {
		return
	}
	var body ConfigBody
	body.Revision, body.Digest, body.Config = configs.Current()
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, protocol.Errorf(protocol.KindBadRequest, stepReadConfig, protocol.OutcomeNotRun, "revision must be a number"))
			return
		}
		if revision != body.Revision {
			config, err := configs.At(r.Context(), revision)
			if err != nil {
				writeAnyError(w, err, stepReadConfig)
				return
			}
			body = ConfigBody{Revision: revision, Config: config}
		}
	}
	if body.Config == nil {
		body.Config = &deckconfig.Config{Format: deckconfig.Format}
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, operator deckconfig.Operator) {
	configs := s.configs(w)
	if configs == nil {
		return
	}
	var submission configsync.Submission
	if err := readJSON(w, r, maxSubmissionBytes, &submission); err != nil {
		writeAnyError(w, err, stepSubmit)
		return
	}
	if submission.ID == "" {
		writeError(w, protocol.Errorf(protocol.KindBadRequest, stepSubmit, protocol.OutcomeNotRun, "the submission must have an id"))
		return
	}
	submission.Author = operator.Name
	if err := s.checkVersions(submission.Changes); err != nil {
		writeAnyError(w, err, stepSubmit)
		return
	}
	accepted, err := configs.Submit(r.Context(), submission)
	if err != nil {
		writeAnyError(w, err, stepSubmit)
		return
	}
	writeJSON(w, http.StatusOK, accepted)
}

func (s *Server) progress(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	configs := s.configs(w)
	if configs == nil {
		return
	}
	revision, err := strconv.ParseUint(mux.Vars(r)["revision"], 10, 64)
	if err != nil {
		writeError(w, protocol.Errorf(protocol.KindBadRequest, stepReadConfig, protocol.OutcomeNotRun, "revision must be a number"))
		return
	}
	writeJSON(w, http.StatusOK, configs.Progress(revision))
}

// HistoryBody is the body of an answer with revisions, newest first.
type HistoryBody struct {
	Revisions []configsync.RevisionInfo `json:"revisions"`
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ deckconfig.Operator) {
	configs := s.configs(w)
	if configs == nil {
		return
	}
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			writeError(w, protocol.Errorf(protocol.KindBadRequest, stepReadConfig, protocol.OutcomeNotRun, "limit must be 1 to %d", maxHistoryLimit))
			return
		}
		limit = n
	}
	revisions, err := configs.History(r.Context(), limit)
	if err != nil {
		writeAnyError(w, err, "read history")
		return
	}
	writeJSON(w, http.StatusOK, HistoryBody{Revisions: revisions})
}

// readJSON decodes the body of a request. It rejects unknown fields and bodies of more
// than limit bytes.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return protocol.Errorf(protocol.KindTooLarge, "read body", protocol.OutcomeNotRun, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return protocol.Errorf(protocol.KindBadRequest, "read body", protocol.OutcomeNotRun, "%v", err)
	}
	return nil
}
