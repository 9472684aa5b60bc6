package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Lifetimes and limits of tickets.
const (
	// TicketTTL is how long after its issue a ticket may be used for the first time.
	TicketTTL = 10 * time.Minute
	// useRetention is how long the record of a ticket's use is kept after the ticket has
	// expired.
	useRetention = 20 * time.Minute
	// MaxUsedTickets bounds the number of used tickets that a daemon keeps in memory.
	MaxUsedTickets = 1 << 16
	// MaxTicketReplayBytes bounds the total size of the answers that a daemon keeps for
	// replays.
	MaxTicketReplayBytes = 16 << 20

	ticketVersion = "t1"
	ticketFields  = 6
	macBytes      = 16 // length of the truncated HMAC
)

// ErrInvalidTicket is returned for a text that is not a ticket.
var ErrInvalidTicket = errors.New("once: not a ticket")

// Ticket permits one call to run once. Only the daemon incarnation that issued the
// ticket accepts it.
type Ticket struct {
	Daemon      state.DaemonID
	Incarnation state.Incarnation
	Serial      uint64 // unique within the incarnation
	Expires     time.Time
	mac         string
}

// ParseTicket parses the text of a ticket. It does not verify the signature.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, ".")
	if len(text) > 1024 || len(parts) != ticketFields || parts[0] != ticketVersion {
		return Ticket{}, ErrInvalidTicket
	}
	daemon, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil || len(daemon) == 0 || parts[2] == "" {
		return Ticket{}, ErrInvalidTicket
	}
	serial, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Ticket{}, ErrInvalidTicket
	}
	ms, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil {
		return Ticket{}, ErrInvalidTicket
	}
	t := Ticket{
		Daemon:      state.DaemonID(daemon),
		Incarnation: state.Incarnation(parts[2]),
		Serial:      serial,
		Expires:     time.UnixMilli(ms),
		mac:         parts[5],
	}
	if t.String() != text {
		return Ticket{}, ErrInvalidTicket
	}
	return t, nil
}

// String returns the text of the ticket.
func (t Ticket) String() string { return t.unsigned() + "." + t.mac }

// unsigned returns the text of the ticket without the signature.
func (t Ticket) unsigned() string {
	daemon := base64.RawURLEncoding.EncodeToString([]byte(t.Daemon))
	return fmt.Sprintf("%s.%s.%s.%d.%d", ticketVersion, daemon, t.Incarnation, t.Serial, t.Expires.UnixMilli())
}

// TicketUse describes a request with a ticket.
type TicketUse struct {
	Ticket   Ticket
	Customer state.CustomerID
	Service  state.ServiceID
	Digest   string // digest of the content of the call
}

// TicketDecision is the decision on a TicketUse. Exactly one field is set.
type TicketDecision struct {
	Run    bool    // run the call, then report its result with Finish
	Wait   bool    // an earlier use of the ticket is running; call Use again after that use has ended
	Replay *Answer // answer of an earlier use, to be replayed
	Reason Reason  // reason for a refusal
}

// usedTicket records the use of a ticket: its progress and its answer.
type usedTicket struct {
	state   RecordState
	digest  string
	answer  *Answer
	expires time.Time // end of the retention
}

// TicketIssuer issues the tickets of one daemon incarnation and decides on their use.
// It is not safe for concurrent use.
//
// Invariants: at most one use of a ticket runs at a time. After a use that ran or may have
// run, no further use of the ticket runs.
type TicketIssuer struct {
	self        state.DaemonID
	incarnation state.Incarnation
	secret      []byte
	lastSerial  uint64
	used        map[uint64]*usedTicket // by serial
	replayBytes int                    // total size of the kept answers
	// removedUntil is the latest expiry among the tickets whose uses were removed. A ticket
	// that does not expire after removedUntil may have been used.
	removedUntil time.Time
}

// NewTicketIssuer returns the ticket issuer of a daemon incarnation. The secret signs the
// tickets. It must be random and must never leave the daemon.
func NewTicketIssuer(self state.DaemonID, incarnation state.Incarnation, secret []byte) *TicketIssuer {
	return &TicketIssuer{self: self, incarnation: incarnation, secret: secret, used: make(map[uint64]*usedTicket)}
}

// Issue returns a new ticket for a customer's call of a service.
func (t *TicketIssuer) Issue(now time.Time, customer state.CustomerID, service state.ServiceID) Ticket {
	t.lastSerial++
	ticket := Ticket{
		Daemon:      t.self,
		Incarnation: t.incarnation,
		Serial:      t.lastSerial,
		Expires:     now.Add(TicketTTL).Truncate(time.Millisecond),
	}
	ticket.mac = t.sign(ticket, customer, service)
	return ticket
}

// Use decides whether the call of a request with a ticket runs, waits, is answered by a
// replay or is refused. If the call may run, Use records that the ticket is in use.
func (t *TicketIssuer) Use(now time.Time, use TicketUse) TicketDecision {
	ticket := use.Ticket
	if ticket.Daemon != t.self || ticket.Incarnation != t.incarnation {
		return TicketDecision{Reason: ReasonIncarnationEnded}
	}
	if !hmac.Equal([]byte(ticket.mac), []byte(t.sign(ticket, use.Customer, use.Service))) {
		return TicketDecision{Reason: ReasonInvalidTicket}
	}
	earlier := t.used[ticket.Serial]
	if earlier == nil {
		return t.firstUse(now, use)
	}
	switch {
	case earlier.digest != use.Digest:
		return TicketDecision{Reason: ReasonDifferentRequest}
	case earlier.state == StateRunning:
		return TicketDecision{Wait: true}
	case earlier.state == StateUnknown:
		return TicketDecision{Reason: ReasonInterrupted}
	case earlier.answer.TooLarge:
		return TicketDecision{Reason: ReasonAnswerNotKept}
	}
	return TicketDecision{Replay: earlier.answer}
}

// firstUse decides on the use of a ticket without a recorded use. It refuses a ticket that
// has expired or whose earlier use may have been removed.
func (t *TicketIssuer) firstUse(now time.Time, use TicketUse) TicketDecision {
	if now.After(use.Ticket.Expires) || !use.Ticket.Expires.After(t.removedUntil) {
		return TicketDecision{Reason: ReasonTicketExpired}
	}
	if len(t.used) >= MaxUsedTickets {
		t.removeExpired(now)
	}
	if len(t.used) >= MaxUsedTickets {
		return TicketDecision{Reason: ReasonTooManyTickets}
	}
	t.used[use.Ticket.Serial] = &usedTicket{
		state:   StateRunning,
		digest:  use.Digest,
		expires: use.Ticket.Expires.Add(useRetention),
	}
	return TicketDecision{Run: true}
}

// Finish records the result of a call for which Use returned a decision with Run set. If
// the call did not run, its ticket may be used again.
func (t *TicketIssuer) Finish(ticket Ticket, r Result) {
	used := t.used[ticket.Serial]
	if used == nil || used.state != StateRunning {
		panic(fmt.Sprintf("once: end of ticket %d, which is not in use", ticket.Serial))
	}
	switch r.Outcome {
	case OutcomeNotRun:
		delete(t.used, ticket.Serial)
	case OutcomeRan:
		used.state = StateCompleted
		used.answer = t.replayable(r.Answer)
	default:
		used.state = StateUnknown
	}
}

// replayable returns the form in which an answer is kept for replays. The data is left out
// if the answer is too large, or if all kept answers together would exceed
// MaxTicketReplayBytes.
func (t *TicketIssuer) replayable(a *Answer) *Answer {
	kept := replayable(a)
	if t.replayBytes+len(kept.Data) > MaxTicketReplayBytes {
		kept = &Answer{Status: a.Status, Total: a.Total, TooLarge: true}
	}
	t.replayBytes += len(kept.Data)
	return kept
}

// Expire removes the uses whose retention has passed.
func (t *TicketIssuer) Expire(now time.Time) { t.removeExpired(now) }

// UsedCount returns the number of kept uses.
func (t *TicketIssuer) UsedCount() int { return len(t.used) }

// removeExpired removes the uses whose retention has passed, except uses that are still
// running. It raises removedUntil, so that the tickets of removed uses stay expired even
// if the clock is set back.
func (t *TicketIssuer) removeExpired(now time.Time) {
	for serial, used := range t.used {
		if used.state == StateRunning || !now.After(used.expires) {
			continue
		}
		if used.answer != nil {
			t.replayBytes -= len(used.answer.Data)
		}
		if expires := used.expires.Add(-useRetention); expires.After(t.removedUntil) {
			t.removedUntil = expires
		}
		delete(t.used, serial)
	}
}

func (t *TicketIssuer) sign(ticket Ticket, customer state.CustomerID, service state.ServiceID) string {
	mac := hmac.New(sha256.New, t.secret)
	_, _ = fmt.Fprintf(mac, "%d:%s%d:%s%s", len(customer), customer, len(service), service, ticket.unsigned())
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
