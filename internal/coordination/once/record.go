// Package once decides whether a call that must not repeat may run. A call names
// either an idempotency key, whose record is kept in the platform, or a ticket,
// which only the daemon incarnation that issued it runs.
package once

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Lifetimes and limits of records.
const (
	// RecordTTL is how long a key is remembered. It is far above the longest
	// timeout of a call.
	RecordTTL = 24 * time.Hour
	// MaxRun is the longest time between the creation of a record and the
	// dispatch of its call.
	MaxRun = 10 * time.Minute
	// MaxReplayBytes is the largest answer in bytes that is kept for a replay.
	MaxReplayBytes = 256 << 10
	// MaxKeyLen is the longest idempotency key in bytes.
	MaxKeyLen = 255
)

// RecordState is the progress of a call as its record tells it.
type RecordState string

// States of a record.
const (
	StateRunning   RecordState = "running"
	StateCompleted RecordState = "completed"
	StateUnknown   RecordState = "unknown"
)

// Version is the version of a record in the platform.
type Version uint64

// Record is the platform's record of one idempotency key.
type Record struct {
	Nonce       string            `json:"nonce"`
	Daemon      state.DaemonID    `json:"daemon"`
	Incarnation state.Incarnation `json:"incarnation"`
	RequestID   string            `json:"request_id"`
	Digest      string            `json:"digest"`
	State       RecordState       `json:"state"`
	Created     time.Time         `json:"created"`
	FinishBy    time.Time         `json:"finish_by"` // deadline of the call
	Expires     time.Time         `json:"expires"`
	Answer      *Answer           `json:"answer,omitempty"`
}

// Answer is a whole answer that is kept for a replay.
type Answer struct {
	Status       int              `json:"status"`
	Header       []HeaderField    `json:"header,omitempty"`
	Adapter      state.AdapterRef `json:"adapter,omitzero"`
	Upstream     state.UpstreamID `json:"upstream,omitempty"`
	Boot         state.BootID     `json:"boot,omitempty"`
	Data         []byte           `json:"data,omitempty"`
	Total        uint32           `json:"total"`
	FinishReason string           `json:"finish_reason,omitempty"`
	PromptTokens uint32           `json:"prompt_tokens,omitempty"`
	TooLarge     bool             `json:"too_large,omitempty"` // Data was not kept
}

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is how a dispatched call ended.
type Result struct {
	Outcome Outcome
	Answer  *Answer // set when Outcome is OutcomeRan
}

// Outcome says what is known about the execution of a call.
type Outcome uint8

// Outcomes of a call.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRan
)

// Reason says why a call is refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonObjectStore      Reason = "the record can't be written: the platform does not answer"
	ReasonDifferentRequest Reason = "the key was used before with another request"
	ReasonInterrupted      Reason = "an earlier request was interrupted; it is not known whether it ran"
	ReasonInProgress       Reason = "an earlier request is still in progress"
	ReasonAnswerNotKept    Reason = "the request ran; its answer was too large to keep"
	ReasonDeadline         Reason = "the deadline passed before the request could start"
	ReasonKeyExpired       Reason = "the key is older than the time that keys are remembered"
	ReasonBadKey           Reason = "the key is not valid"
	ReasonTicketExpired    Reason = "the ticket has expired"
	ReasonTicketInvalid    Reason = "the ticket was not issued by this daemon for this customer and service"
	ReasonIncarnationEnded Reason = "the daemon incarnation that issued the ticket is gone"
	ReasonTooManyTickets   Reason = "too many tickets are in use"
)

// Outcome returns what a refusal says about the execution of the call.
func (r Reason) Outcome() Outcome {
	switch r {
	case ReasonObjectStore, ReasonDifferentRequest, ReasonDeadline, ReasonBadKey, ReasonTicketInvalid, ReasonTooManyTickets:
		return OutcomeNotRun
	case ReasonAnswerNotKept:
		return OutcomeRan
	}
	return OutcomeUnknown
}
