package protocol

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind classifies an error for callers and for retry decisions.
type ErrorKind string

// Kinds of errors.
const (
	KindBadRequest         ErrorKind = "bad_request"
	KindUnauthorized       ErrorKind = "unauthorized"
	KindForbidden          ErrorKind = "forbidden"
	KindNotFound           ErrorKind = "not_found"
	KindConflict           ErrorKind = "conflict"
	KindTooLarge           ErrorKind = "too_large"
	KindOverloaded         ErrorKind = "overloaded"
	KindDeadline           ErrorKind = "deadline_exceeded"
	KindCanceled           ErrorKind = "canceled"
	KindUnavailable        ErrorKind = "unavailable"
	KindInterrupted        ErrorKind = "interrupted"
	KindWrongAdapter       ErrorKind = "wrong_adapter"
	KindRefusedFingerprint ErrorKind = "refused_fingerprint"
	// KindUpstreamCrashed means that the upstream crashed while it ran the request.
	KindUpstreamCrashed ErrorKind = "upstream_crashed"
	KindNotOwner        ErrorKind = "not_owner"
	KindInternal        ErrorKind = "internal"
	KindInProgress      ErrorKind = "in_progress"
	KindExpired         ErrorKind = "expired"
	KindAnswerNotKept   ErrorKind = "answer_not_kept"
)

// Outcome describes whether a failed request ran on an upstream.
type Outcome string

// Outcomes of a request.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// Error is an error with the step that failed and the peer at which it failed.
type Error struct {
	Kind       ErrorKind     `cbor:"1,keyasint"`
	Step       string        `cbor:"2,keyasint,omitempty"`
	Peer       string        `cbor:"3,keyasint,omitempty"`
	Message    string        `cbor:"4,keyasint,omitempty"`
	Outcome    Outcome       `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// Error formats the kind, step, peer and message.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s at %s: %s", e.Kind, e.Step, e.Message)
	}
	return fmt.Sprintf("%s at %s (peer %s): %s", e.Kind, e.Step, e.Peer, e.Message)
}

// Errorf returns an Error of the given kind, step and outcome.
func Errorf(kind ErrorKind, step string, outcome Outcome, format string, args ...any) *Error {
	return &Error{Kind: kind, Step: step, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// WithPeer returns a copy of e with the peer set.
func (e *Error) WithPeer(peer string) *Error {
	c := *e
	c.Peer = peer
	return &c
}

// AsError returns the Error that err wraps. If err wraps no Error, it returns an internal
// error of the given step with an unknown outcome.
func AsError(err error, step string) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Errorf(KindInternal, step, OutcomeUnknown, "%v", err)
}
