package once_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// ticketed returns a call of an item with a new ticket.
func ticketed(d *daemon, id, item string) *protocol.Call {
	call := keyed(id, "", item)
	call.Ticket = d.IssueTicket("ridgeline", "booking").String()
	return call
}

// resend returns a copy of a call with another request ID.
func resend(call *protocol.Call, id string) *protocol.Call {
	c := *call
	c.RequestID = id
	return &c
}

func TestTicketWorksAtAnyDaemonWithoutTheObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 1)
		f.store.setFaults(faults{down: 100})
		call := ticketed(f.at(0), "r1", "clock")
		r, err := send(t.Context(), f.at(1), call)
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsFalse)
		r, err = send(t.Context(), f.at(2), resend(call, "r2"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsTrue)
		qt.Check(t, string(r.data), qt.Equals, "clock ran as 1 for r1")
	})
}

func TestTicketOfAnEndedIncarnationDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		call := ticketed(f.at(0), "r1", "clock")
		f.at(0).crashed.Store(true)
		_, perr := send(t.Context(), f.at(1), call)
		qt.Check(t, perr.Outcome, qt.Equals, protocol.OutcomeUnknown)
		f.start(0) // another incarnation of the same daemon
		for _, d := range []*daemon{f.at(0), f.at(1)} {
			_, perr = send(t.Context(), d, call)
			checkRefused(t, perr, protocol.KindInterrupted, protocol.OutcomeUnknown)
		}
		qt.Check(t, f.service.count("clock"), qt.Equals, 0)
	})
}

func TestResendWithATicketWaitsForTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.service.duration = 3 * time.Second
		call := ticketed(f.at(0), "r1", "clock")
		caller, disconnect := context.WithCancel(t.Context())
		go func() { _, _ = send(caller, f.at(0), call) }()
		time.Sleep(time.Second)
		disconnect()
		r, err := send(t.Context(), f.at(1), resend(call, "r2"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsTrue)
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

func TestRefusalOfATicketHasTheRightKindAndOutcome(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*fleet, *protocol.Call)
		kind    protocol.ErrorKind
		outcome protocol.Outcome
	}{
		{"not a ticket", func(_ *fleet, c *protocol.Call) { c.Ticket = "t1.x" }, protocol.KindBadRequest, protocol.OutcomeNotRun},
		{"of another customer", func(_ *fleet, c *protocol.Call) { c.Customer = "credenciales" }, protocol.KindBadRequest, protocol.OutcomeNotRun},
		{"of another service", func(_ *fleet, c *protocol.Call) { c.Service = "fees" }, protocol.KindBadRequest, protocol.OutcomeNotRun},
		{"expired", func(*fleet, *protocol.Call) { time.Sleep(core.TicketTTL + time.Second) }, protocol.KindExpired, protocol.OutcomeUnknown},
		{"used for another call", func(f *fleet, c *protocol.Call) {
			_, _ = send(context.Background(), f.at(0), resend(c, "r0"))
			c.Plain = &protocol.PlainCall{Method: "POST", Path: "board"}
		}, protocol.KindConflict, protocol.OutcomeNotRun},
		{"interrupted", func(f *fleet, c *protocol.Call) {
			f.service.fail = func() *protocol.Error {
				return protocol.Errorf(protocol.KindInterrupted, "run", protocol.OutcomeUnknown, "broke")
			}
			_, _ = send(context.Background(), f.at(0), resend(c, "r0"))
			f.service.fail = nil
		}, protocol.KindInterrupted, protocol.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 1)
				call := ticketed(f.at(0), "r1", "clock")
				test.change(f, call)
				ran := f.service.count("clock")
				_, err := send(t.Context(), f.at(0), call)
				qt.Assert(t, err, qt.Not(qt.Equals), noError)
				qt.Check(t, err.Kind, qt.Equals, test.kind)
				qt.Check(t, err.Outcome, qt.Equals, test.outcome)
				qt.Check(t, f.service.count("clock"), qt.Equals, ran)
			})
		})
	}
}

func TestRemovedTicketStaysExpiredWhenTheClockIsSetBack(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	issuer := core.NewTicketIssuer("d0", "run", []byte("secret"))
	use := core.TicketUse{Ticket: issuer.Issue(now, "c", "s"), Customer: "c", Service: "s"}
	qt.Assert(t, issuer.Use(now, use).Run, qt.IsTrue)
	issuer.Finish(use.Ticket, core.Result{Outcome: core.OutcomeUnknown})
	issuer.Expire(now.Add(time.Hour))
	qt.Assert(t, issuer.UsedCount(), qt.Equals, 0)
	qt.Check(t, issuer.Use(now, use).Reason, qt.Equals, core.ReasonTicketExpired)
}
