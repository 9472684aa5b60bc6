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

func detail(err *protocol.Error) errorDetail {
	kind := "server_error"
	if status(err) < http.StatusInternalServerError {
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

// status returns the HTTP status of an error. Statuses that clients retry on
// their own are used only for requests that were not run.
func status(err *protocol.Error) int {
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
	writeJSON(w, status(err), errorBody{Error: detail(err)})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
