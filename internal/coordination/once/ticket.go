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
	// TicketTTL is the time in which a ticket may be used first.
	TicketTTL = 10 * time.Minute
	// ticketMemory is how long after its expiry the use of a ticket is remembered.
	ticketMemory = 20 * time.Minute
	// MaxUsedTickets bounds the used tickets that a daemon remembers.
	MaxUsedTickets = 1 << 16
	// MaxTicketReplayBytes bounds the answers that a daemon keeps for replays.
	MaxTicketReplayBytes = 16 << 20

	ticketPrefix = "t1"
	ticketParts  = 6
	macBytes     = 16
)

// ErrInvalidTicket reports a text that is not a ticket.
var ErrInvalidTicket = errors.New("once: not a ticket")

// Ticket is a permit to run one call once. Only the incarnation that issued it
// runs it.
type Ticket struct {
	Daemon      state.DaemonID
	Incarnation state.Incarnation
	Serial      uint64
	Expires     time.Time
	mac         string
}

// ParseTicket parses the text of a ticket without checking who issued it.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, ".")
	if len(text) > 1024 || len(parts) != ticketParts || parts[0] != ticketPrefix {
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

func (t Ticket) unsigned() string {
	daemon := base64.RawURLEncoding.EncodeToString([]byte(t.Daemon))
	return fmt.Sprintf("%s.%s.%s.%d.%d", ticketPrefix, daemon, t.Incarnation, t.Serial, t.Expires.UnixMilli())
}

// TicketUse is one request with a ticket.
type TicketUse struct {
	Ticket   Ticket
	Customer state.CustomerID
	Service  state.ServiceID
	Digest   string
}

// TicketDecision is the answer to the use of a ticket. Exactly one of Run, Wait, Replay
// and Reason is set.
type TicketDecision struct {
	Run    bool    // run the call and report its end with Finish
	Wait   bool    // the first use is running: ask again after it ended
	Replay *Answer // the kept answer
	Reason Reason  // the refusal
}

type ticketEntry struct {
	state   RecordState
	digest  string
	answer  *Answer
	expires time.Time
}

// TicketIssuer issues tickets and decides on their use, for one incarnation of a
// daemon. It is not safe for concurrent use.
//
// Invariant: of one ticket, at most one use runs at a time, and none runs after a
// use that ran or may have run.
type TicketIssuer struct {
	self        state.DaemonID
	incarnation state.Incarnation
	secret      []byte
	serial      uint64
	used        map[uint64]*ticketEntry
	kept        int       // bytes of kept answers
	horizon     time.Time // tickets that expire until then may have been forgotten
}

// NewTicketIssuer returns the tickets of one incarnation. The secret must be random
// and never leave the daemon.
func NewTicketIssuer(self state.DaemonID, incarnation state.Incarnation, secret []byte) *TicketIssuer {
	return &TicketIssuer{self: self, incarnation: incarnation, secret: secret, used: make(map[uint64]*ticketEntry)}
}

// Issue returns a new ticket for a customer's call of a service.
func (t *TicketIssuer) Issue(now time.Time, customer state.CustomerID, service state.ServiceID) Ticket {
	t.serial++
	ticket := Ticket{
		Daemon:      t.self,
		Incarnation: t.incarnation,
		Serial:      t.serial,
		Expires:     now.Add(TicketTTL).Truncate(time.Millisecond),
	}
	ticket.mac = t.sign(ticket, customer, service)
	return ticket
}

// Use decides on a request with a ticket.
func (t *TicketIssuer) Use(now time.Time, use TicketUse) TicketDecision {
	ticket := use.Ticket
	if ticket.Daemon != t.self || ticket.Incarnation != t.incarnation {
		return TicketDecision{Reason: ReasonIncarnationEnded}
	}
	if !hmac.Equal([]byte(ticket.mac), []byte(t.sign(ticket, use.Customer, use.Service))) {
		return TicketDecision{Reason: ReasonTicketInvalid}
	}
	entry := t.used[ticket.Serial]
	if entry == nil {
		return t.first(now, use)
	}
	switch {
	case entry.digest != use.Digest:
		return TicketDecision{Reason: ReasonDifferentRequest}
	case entry.state == StateRunning:
		return TicketDecision{Wait: true}
	case entry.state == StateUnknown:
		return TicketDecision{Reason: ReasonInterrupted}
	case entry.answer.TooLarge:
		return TicketDecision{Reason: ReasonAnswerNotKept}
	}
	return TicketDecision{Replay: entry.answer}
}

func (t *TicketIssuer) first(now time.Time, use TicketUse) TicketDecision {
	if now.After(use.Ticket.Expires) || !use.Ticket.Expires.After(t.horizon) {
		return TicketDecision{Reason: ReasonTicketExpired}
	}
	if len(t.used) >= MaxUsedTickets {
		t.forget(now)
	}
	if len(t.used) >= MaxUsedTickets {
		return TicketDecision{Reason: ReasonTooManyTickets}
	}
	t.used[use.Ticket.Serial] = &ticketEntry{
		state:   StateRunning,
		digest:  use.Digest,
		expires: use.Ticket.Expires.Add(ticketMemory),
	}
	return TicketDecision{Run: true}
}

// Finish reports the end of a use that Use told to run. A call that was not run
// may use its ticket again.
func (t *TicketIssuer) Finish(ticket Ticket, r Result) {
	entry := t.used[ticket.Serial]
	if entry == nil || entry.state != StateRunning {
		panic(fmt.Sprintf("once: end of ticket %d, which does not run", ticket.Serial))
	}
	switch r.Outcome {
	case OutcomeNotRun:
		delete(t.used, ticket.Serial)
	case OutcomeRan:
		entry.state = StateCompleted
		entry.answer = t.keep(r.Answer)
	default:
		entry.state = StateUnknown
	}
}

func (t *TicketIssuer) keep(a *Answer) *Answer {
	kept := keep(a)
	if t.kept+len(kept.Data) > MaxTicketReplayBytes {
		kept = &Answer{Status: a.Status, Total: a.Total, TooLarge: true}
	}
	t.kept += len(kept.Data)
	return kept
}

// Expire forgets uses that are too old to be answered.
func (t *TicketIssuer) Expire(now time.Time) { t.forget(now) }

// UsedCount returns the number of remembered uses.
func (t *TicketIssuer) UsedCount() int { return len(t.used) }

// forget drops uses past their memory. The horizon keeps their tickets expired
// even if the clock is set back.
func (t *TicketIssuer) forget(now time.Time) {
	for serial, entry := range t.used {
		if entry.state == StateRunning || !now.After(entry.expires) {
			continue
		}
		if entry.answer != nil {
			t.kept -= len(entry.answer.Data)
		}
		if end := entry.expires.Add(-ticketMemory); end.After(t.horizon) {
			t.horizon = end
		}
		delete(t.used, serial)
	}
}

func (t *TicketIssuer) sign(ticket Ticket, customer state.CustomerID, service state.ServiceID) string {
	mac := hmac.New(sha256.New, t.secret)
	_, _ = fmt.Fprintf(mac, "%d:%s%d:%s%s", len(customer), customer, len(service), service, ticket.unsigned())
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
