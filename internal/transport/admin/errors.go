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

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an error answer.
type ErrorDetail struct {
	Code     protocol.ErrorKind        `json:"code"`
	Message  string                    `json:"message"`
	Step     string                    `json:"step,omitempty"`
	Peer     string                    `json:"peer,omitempty"`
	Outcome  protocol.Outcome          `json:"outcome,omitempty"`
	Fields   []deckconfig.FieldError   `json:"fields,omitempty"`   // errors of an invalid configuration
	Conflict *configsync.ConflictError `json:"conflict,omitempty"` // earlier concurrent change of the same object
}

func httpStatus(err *protocol.Error) int {
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

// writeDetail writes err as the answer. It keeps Fields and Conflict of detail and sets the
// other fields of detail from err.
func writeDetail(w http.ResponseWriter, err *protocol.Error, detail ErrorDetail) {
	detail.Code = err.Kind
	detail.Message = err.Message
	detail.Step = err.Step
	detail.Peer = err.Peer
	detail.Outcome = err.Outcome
	if err.Outcome != "" {
		w.Header().Set(HeaderOutcome, string(err.Outcome))
	}
	writeJSON(w, httpStatus(err), ErrorBody{Error: detail})
}

// writeAnyError writes an error of any type as the answer.
func writeAnyError(w http.ResponseWriter, err error, step string) {
	var fields deckconfig.Errors
	if errors.As(err, &fields) {
		invalid := protocol.Errorf(protocol.KindBadRequest, step, protocol.OutcomeNotRun, "the configuration has %d errors", len(fields))
		writeDetail(w, invalid, ErrorDetail{Fields: fields})
		return
	}
	var conflict *configsync.ConflictError
	if errors.As(err, &conflict) {
		lostRace := protocol.Errorf(protocol.KindConflict, step, protocol.OutcomeNotRun, "%v", conflict)
		writeDetail(w, lostRace, ErrorDetail{Conflict: conflict})
		return
	}
	var typed *protocol.Error
	if errors.As(err, &typed) {
		writeError(w, typed)
		return
	}
	writeError(w, classifyError(err, step))
}

// invalidSubmissionErrors lists the errors for submissions that are invalid regardless of
// the configuration in force.
var invalidSubmissionErrors = []error{
	configsync.ErrInvalid, configsync.ErrEmpty, configsync.ErrNoID, configsync.ErrDuplicate,
	configsync.ErrUnknownKind, configsync.ErrBadAdapterName,
}

// classifyError converts an error of another type to a protocol.Error. The outcome is
// unknown except for invalid submissions and an unreachable platform.
func classifyError(err error, step string) *protocol.Error {
	if slices.ContainsFunc(invalidSubmissionErrors, func(invalid error) bool { return errors.Is(err, invalid) }) {
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
