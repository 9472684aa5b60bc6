package once_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/once"
)

var fuzzNow = time.Unix(1_800_000_000, 0)

// FuzzTicket parses arbitrary text as a ticket. The String method of a parsed ticket must
// return the same text, and only the ticket that was issued may permit a call to run.
func FuzzTicket(f *testing.F) {
	issuer := once.NewTicketIssuer("d", "run", []byte("secret"))
	issued := issuer.Issue(fuzzNow, "c", "s").String()
	for _, text := range []string{issued, "", "t1.....", "t1.ZA.run.1.1.00", issued + "0", "t1.ZA.run.01.1.00"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := once.ParseTicket(text)
		if err != nil {
			return
		}
		qt.Assert(t, ticket.String(), qt.Equals, text)
		fresh := once.NewTicketIssuer("d", "run", []byte("secret"))
		decision := fresh.Use(fuzzNow, once.TicketUse{Ticket: ticket, Customer: "c", Service: "s"})
		qt.Assert(t, decision.Run, qt.Equals, text == issued)
	})
}

// FuzzKey checks arbitrary idempotency keys. Two pairs of a customer ID and a service ID
// must not share the record of a valid key, even if the IDs of both pairs concatenate to
// the same text.
func FuzzKey(f *testing.F) {
	for _, key := range []string{"loan-1", "", "\x00", "01890a5d-ac96-774b-bcce-b302099a8057", "ffffffff-ffff-7fff-bfff-ffffffffffff"} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		if once.CheckKey(fuzzNow, key) != "" {
			return
		}
		qt.Assert(t, len(key) > 0 && len(key) <= once.MaxKeyLen, qt.IsTrue)
		a, b := once.RecordKey("c", "s"+"x", key), once.RecordKey("cs", "x", key)
		qt.Assert(t, a == b, qt.IsFalse)
	})
}
