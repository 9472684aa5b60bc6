package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string             `json:"message"`
	Type    string             `json:"type"`
	Param   *string            `json:"param"`
	Code    protocol.ErrorKind `json:"code"`
	Step    string             `json:"step,omitempty"`
	Peer    string             `json:"peer,omitempty"`
	Outcome protocol.Outcome   `json:"outcome,omitempty"`
}

func newErrorDetail(err *protocol.Error) errorDetail {
	kind := "server_error"
	if httpStatus(err) < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorDetail{
		Message: err.Message,
		Type:    kind,
		Code:    err.Kind,
		Step:    err.Step,
		Peer:    err.Peer,
		Outcome: err.Outcome,
	}
}

// httpStatus returns the HTTP status of an error. Statuses 429 and 503, on which clients
// retry by default, are returned only for requests that were not run.
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
	case protocol.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case protocol.KindRefusedFingerprint:
		return http.StatusUnprocessableEntity
	case protocol.KindDeadline:
		return http.StatusGatewayTimeout
	case protocol.KindConflict, protocol.KindInProgress:
		return http.StatusConflict
	case protocol.KindExpired, protocol.KindAnswerNotKept:
		return http.StatusGone
	}
	if err.Outcome != protocol.OutcomeNotRun {
		return http.StatusBadGateway
	}
	if err.Kind == protocol.KindOverloaded {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// writeError writes an error as the answer. On conflicts and on requests that may have run,
// X-Should-Retry asks client libraries not to retry.
func writeError(w http.ResponseWriter, err *protocol.Error) {
	h := w.Header()
	if err.Outcome != "" {
		h.Set(HeaderOutcome, string(err.Outcome))
	}
	if err.Outcome != protocol.OutcomeNotRun || err.Kind == protocol.KindConflict {
		h.Set("X-Should-Retry", "false")
	}
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	writeJSON(w, httpStatus(err), errorBody{Error: newErrorDetail(err)})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
