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
	// MaxTickets bounds the used tickets that a daemon remembers.
	MaxTickets = 1 << 16
	// MaxTicketBytes bounds the answers that a daemon keeps for replays.
	MaxTicketBytes = 16 << 20

	ticketPrefix = "t1"
	ticketParts  = 6
	macBytes     = 16
)

// ErrBadTicket reports a text that is not a ticket.
var ErrBadTicket = errors.New("once: not a ticket")

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
		return Ticket{}, ErrBadTicket
	}
	daemon, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil || len(daemon) == 0 || parts[2] == "" {
		return Ticket{}, ErrBadTicket
	}
	serial, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Ticket{}, ErrBadTicket
	}
	ms, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil {
		return Ticket{}, ErrBadTicket
	}
	t := Ticket{
		Daemon:      state.DaemonID(daemon),
		Incarnation: state.Incarnation(parts[2]),
		Serial:      serial,
		Expires:     time.UnixMilli(ms),
		mac:         parts[5],
	}
	if t.String() != text {
		return Ticket{}, ErrBadTicket
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

// Verdict is the answer to the use of a ticket. Exactly one of Run, Wait, Replay
// and Reason is set.
type Verdict struct {
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

// Tickets issues tickets and decides on their use, for one incarnation of a
// daemon. It is not safe for concurrent use.
//
// Invariant: of one ticket, at most one use runs at a time, and none runs after a
// use that ran or may have run.
type Tickets struct {
	self        state.DaemonID
	incarnation state.Incarnation
	secret      []byte
	serial      uint64
	used        map[uint64]*ticketEntry
	kept        int       // bytes of kept answers
	horizon     time.Time // tickets that expire until then may have been forgotten
}

// NewTickets returns the tickets of one incarnation. The secret must be random
// and never leave the daemon.
func NewTickets(self state.DaemonID, incarnation state.Incarnation, secret []byte) *Tickets {
	return &Tickets{self: self, incarnation: incarnation, secret: secret, used: make(map[uint64]*ticketEntry)}
}

// Issue returns a new ticket for a customer's call of a service.
func (t *Tickets) Issue(now time.Time, customer state.CustomerID, service state.ServiceID) Ticket {
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
func (t *Tickets) Use(now time.Time, use TicketUse) Verdict {
	ticket := use.Ticket
	if ticket.Daemon != t.self || ticket.Incarnation != t.incarnation {
		return Verdict{Reason: ReasonGone}
	}
	if !hmac.Equal([]byte(ticket.mac), []byte(t.sign(ticket, use.Customer, use.Service))) {
		return Verdict{Reason: ReasonForged}
	}
	entry := t.used[ticket.Serial]
	if entry == nil {
		return t.first(now, use)
	}
	switch {
	case entry.digest != use.Digest:
		return Verdict{Reason: ReasonOtherBody}
	case entry.state == StateRunning:
		return Verdict{Wait: true}
	case entry.state == StateUnknown:
		return Verdict{Reason: ReasonInterrupted}
	case entry.answer.TooLarge:
		return Verdict{Reason: ReasonNotKept}
	}
	return Verdict{Replay: entry.answer}
}

func (t *Tickets) first(now time.Time, use TicketUse) Verdict {
	if now.After(use.Ticket.Expires) || !use.Ticket.Expires.After(t.horizon) {
		return Verdict{Reason: ReasonExpired}
	}
	if len(t.used) >= MaxTickets {
		t.forget(now)
	}
	if len(t.used) >= MaxTickets {
		return Verdict{Reason: ReasonFull}
	}
	t.used[use.Ticket.Serial] = &ticketEntry{
		state:   StateRunning,
		digest:  use.Digest,
		expires: use.Ticket.Expires.Add(ticketMemory),
	}
	return Verdict{Run: true}
}

// Finish reports the end of a use that Use told to run. A call that was not run
// may use its ticket again.
func (t *Tickets) Finish(ticket Ticket, r Result) {
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

func (t *Tickets) keep(a *Answer) *Answer {
	kept := keep(a)
	if t.kept+len(kept.Data) > MaxTicketBytes {
		kept = &Answer{Status: a.Status, Total: a.Total, TooLarge: true}
	}
	t.kept += len(kept.Data)
	return kept
}

// Tick forgets uses that are too old to be answered.
func (t *Tickets) Tick(now time.Time) { t.forget(now) }

// Used returns the number of remembered uses.
func (t *Tickets) Used() int { return len(t.used) }

// forget drops uses past their memory. The horizon keeps their tickets expired
// even if the clock is set back.
func (t *Tickets) forget(now time.Time) {
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

func (t *Tickets) sign(ticket Ticket, customer state.CustomerID, service state.ServiceID) string {
	mac := hmac.New(sha256.New, t.secret)
	_, _ = fmt.Fprintf(mac, "%d:%s%d:%s%s", len(customer), customer, len(service), service, ticket.unsigned())
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
