package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

// benchLedger returns a ledger that has recently served a number of accounts.
func benchLedger(count int) (*Ledger, []accounts.Account, map[string]Others) {
	l := New(longAgo, bounds)
	l.SetDaemons(390)
	list, others := make([]accounts.Account, count), make(map[string]Others, count)
	for i := range list {
		list[i] = *account(50_000)
		list[i].Name = fmt.Sprintf("account-%d", i)
		l.Take(start, &list[i], 1500)
		others[list[i].Name] = Others{Offered: 100_000, Admitted: 30_000}
	}
	l.SetOthers(start, others, true)
	return l, list, others
}

func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{16, 1000, 100_000} {
		l, list, others := benchLedger(count)
		now := start
		b.Run(fmt.Sprintf("take/%d", count), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				l.Take(now, &list[i%count], 1500)
			}
		})
		b.Run(fmt.Sprintf("message/%d", count), func(b *testing.B) {
			for b.Loop() { // a round of gossip: the own sums, and those of the others
				now = now.Add(200 * time.Millisecond)
				for i := range list[:min(count, 100)] {
					l.Take(now, &list[i], 1500)
				}
				l.Own(now)
				l.SetOthers(now, others, true)
			}
		})
	}
}
