// Package once decides whether a call that must not be repeated may run. Such a call
// carries either an idempotency key, whose record is kept in the object store, or a
// ticket, which only the daemon incarnation that issued it accepts.
package once

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Lifetimes and limits of records.
const (
	// RecordTTL is how long the record of an idempotency key is kept. It is far longer
	// than MaxTimeout, so a record outlives every attempt to run its call.
	RecordTTL = 24 * time.Hour
	// MaxTimeout is the longest timeout of a call with an idempotency key. It also bounds
	// the time between the creation of the record and the dispatch of the call.
	MaxTimeout = 10 * time.Minute
	// MaxReplayBytes is the size of the largest answer that is kept for replays.
	MaxReplayBytes = 256 << 10
	// MaxKeyLen is the length of the longest idempotency key in bytes.
	MaxKeyLen = 255
)

// RecordState is the progress of a call according to its record.
type RecordState string

// States of a record.
const (
	StateRunning   RecordState = "running"
	StateCompleted RecordState = "completed"
	StateUnknown   RecordState = "unknown" // the call may have run
)

// Version is the version of a record in the object store.
type Version uint64

// Record is the stored record of one idempotency key.
type Record struct {
	Nonce       string            `json:"nonce"` // of the request that created the record
	Daemon      state.DaemonID    `json:"daemon"`
	Incarnation state.Incarnation `json:"incarnation"`
	RequestID   string            `json:"request_id"`
	Digest      string            `json:"digest"` // digest of the content of the call
	State       RecordState       `json:"state"`
	Created     time.Time         `json:"created"`
	FinishBy    time.Time         `json:"finish_by"` // deadline of the call
	Expires     time.Time         `json:"expires"`
	Answer      *Answer           `json:"answer,omitempty"`
}

// Answer is a complete answer that is kept for replays.
type Answer struct {
	Status       int              `json:"status"`
	Header       []HeaderField    `json:"header,omitempty"`
	Adapter      state.AdapterRef `json:"adapter,omitzero"`
	Upstream     state.UpstreamID `json:"upstream,omitempty"`
	Boot         state.BootID     `json:"boot,omitempty"`
	Data         []byte           `json:"data,omitempty"`
	Total        uint32           `json:"total"` // units of the answer
	FinishReason string           `json:"finish_reason,omitempty"`
	PromptTokens uint32           `json:"prompt_tokens,omitempty"`
	TooLarge     bool             `json:"too_large,omitempty"` // Data was not kept
}

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is the result of a dispatched call.
type Result struct {
	Outcome Outcome
	Answer  *Answer // set if Outcome is OutcomeRan
}

// Outcome states whether a call ran, as far as that is known.
type Outcome uint8

// Outcomes of a call.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRan
)

// Reason is the reason why a call is refused.
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
	ReasonInvalidKey       Reason = "the key is not valid"
	ReasonTicketExpired    Reason = "the ticket has expired"
	ReasonInvalidTicket    Reason = "the ticket was not issued by this daemon for this customer and service"
	ReasonIncarnationEnded Reason = "the daemon incarnation that issued the ticket is gone"
	ReasonTooManyTickets   Reason = "too many tickets are in use"
)

// Outcome returns what a refusal with this reason shows about whether the call ran.
func (r Reason) Outcome() Outcome {
	switch r {
	case ReasonObjectStore, ReasonDifferentRequest, ReasonDeadline, ReasonInvalidKey, ReasonInvalidTicket, ReasonTooManyTickets:
		return OutcomeNotRun
	case ReasonAnswerNotKept:
		return OutcomeRan
	}
	return OutcomeUnknown
}
