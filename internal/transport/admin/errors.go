package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// ErrorBody is the body of every answer that reports an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code     protocol.ErrorKind        `json:"code"`
	Message  string                    `json:"message"`
	Step     string                    `json:"step,omitempty"`
	Peer     string                    `json:"peer,omitempty"`
	Outcome  protocol.Outcome          `json:"outcome,omitempty"`
	Fields   []deckconfig.FieldError   `json:"fields,omitempty"`   // of an invalid configuration
	Conflict *configsync.ConflictError `json:"conflict,omitempty"` // of a lost race
}

func statusOf(err *protocol.Error) int {
	switch err.Kind {
	case protocol.KindBadRequest:
		return http.StatusBadRequest
	case protocol.KindUnauthorized:
		return http.StatusUnauthorized
	case protocol.KindForbidden:
		return http.StatusForbidden
	case protocol.KindNotFound:
		return http.StatusNotFound
	case protocol.KindConflict:
		return http.StatusConflict
	case protocol.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case protocol.KindDeadline:
		return http.StatusGatewayTimeout
	case protocol.KindUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func writeError(w http.ResponseWriter, err *protocol.Error) { writeDetail(w, err, ErrorDetail{}) }

func writeDetail(w http.ResponseWriter, err *protocol.Error, detail ErrorDetail) {
	detail.Code = err.Kind
	detail.Message = err.Message
	detail.Step = err.Step
	detail.Peer = err.Peer
	detail.Outcome = err.Outcome
	if err.Outcome != "" {
		w.Header().Set(HeaderOutcome, string(err.Outcome))
	}
	writeJSON(w, statusOf(err), ErrorBody{Error: detail})
}

// fail reports any error of a change or a question.
func fail(w http.ResponseWriter, err error, step string) {
	var fields deckconfig.Errors
	if errors.As(err, &fields) {
		bad := protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "the configuration has %d errors", len(fields))
		writeDetail(w, bad, ErrorDetail{Fields: fields})
		return
	}
	var conflict *configsync.ConflictError
	if errors.As(err, &conflict) {
		lost := protocol.Errorf(protocol.KindConflict, step, protocol.OutcomeNotRun, "%v", conflict)
		writeDetail(w, lost, ErrorDetail{Conflict: conflict})
		return
	}
	var typed *protocol.Error
	if errors.As(err, &typed) {
		writeError(w, typed)
		return
	}
	writeError(w, untyped(err, step))
}

// refusals are the errors of submissions that are wrong in themselves.
var refusals = []error{
	configsync.ErrInvalid, configsync.ErrEmpty, configsync.ErrNoID, configsync.ErrDuplicate,
	configsync.ErrUnknownKind, configsync.ErrBadAdapterName,
}

// untyped classifies the errors of submissions. Any other error leaves the outcome
// unknown.
func untyped(err error, step string) *protocol.Error {
	if slices.ContainsFunc(refusals, func(refusal error) bool { return errors.Is(err, refusal) }) {
		return protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "%v", err)
	}
	if errors.Is(err, configsync.ErrUnreachable) {
		return protocol.Errorf(protocol.KindUnavailable, step, protocol.OutcomeNotRun, "%v", err).WithPeer("platform")
	}
	return protocol.Errorf(protocol.KindUnavailable, step, protocol.OutcomeUnknown, "%v", err)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
