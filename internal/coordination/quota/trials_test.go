package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newLedgerWay(now time.Time, daemons int) way {
	l := New(now, bounds)
	l.SetDaemons(daemons)
	return ledgerWay{l}
}

// worst plays trials with few and with many clients, and returns the worst figures.
func worst(daemons int, rate, hot float64, fault string, newWay func(time.Time, int) way) result {
	w := result{served: 9}
	for i, clients := range []int{4, 20, 60} {
		r := trial{daemons: daemons, clients: clients, rate: rate, hot: hot, fault: fault, seed: uint64(i + 1)}.run(newWay)
		w.overrun, w.refused, w.served = max(w.overrun, r.overrun), max(w.refused, r.refused), min(w.served, r.served)
	}
	return w
}

var trialRates = []float64{2700, 20_000, 60_000, 250_000}

// Guards against a quota that daemons exceed because they learn late of each other's admissions,
// and against refusals of usual traffic because of shares that are out of date.
func TestQuotasHoldOverAllDaemonsWithoutRefusingUsualTraffic(t *testing.T) {
	c := qt.New(t)
	for _, daemons := range []int{9, 87} {
		for _, rate := range trialRates {
			usual, hot := worst(daemons, rate, 1, "", newLedgerWay), worst(daemons, rate, 8, "", newLedgerWay)
			what := qt.Commentf("%d daemons, rate %v: %v, %v", daemons, rate, usual, hot)
			c.Check(max(usual.overrun, hot.overrun) <= 1, qt.IsTrue, what)
			// A small quota admits more than the central bucket, so later it refuses other requests.
			c.Check(usual.refused <= 0.05 || usual.served > 1.1, qt.IsTrue, what)
			c.Check(hot.served >= 0.95, qt.IsTrue, what)
		}
	}
}

// Guards against a quota that does not hold while daemons don't hear from each other.
func TestQuotasHoldDuringFaults(t *testing.T) {
	rates, surges := []float64{20_000, 250_000}, []float64{8}
	if *table {
		rates, surges = trialRates, []float64{1, 4, 8}
	}
	for _, fault := range []string{"cut", "frozen", "new", "restart", "lowered", "raised"} {
		for _, rate := range rates {
			for _, hot := range surges {
				r := worst(87, rate, hot, fault, newLedgerWay)
				qt.Check(t, r.overrun <= 1, qt.IsTrue, qt.Commentf("%s, rate %v, hot %v: %v", fault, rate, hot, r))
				if *table {
					t.Logf("%s | %v | %v | %.2f | %.1f | %.2f", fault, rate, hot, r.overrun, 100*r.refused, r.served)
				}
			}
		}
	}
}

func TestTableOfWays(t *testing.T) {
	if !*table {
		t.Skip("only with -table")
	}
	ways := map[string]func(time.Time, int) way{
		"this one": newLedgerWay, "equal shares": func(_ time.Time, n int) way { return &equalWay{daemons: float64(n)} },
		"home daemon": func(time.Time, int) way { return &homeWay{} }, "approximate counts": func(time.Time, int) way { return &countWay{} },
	}
	for name, newWay := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, daemons := range []int{9, 87, 195, 390} {
				for _, rate := range trialRates {
					usual, hot := worst(daemons, rate, 1, "", newWay), worst(daemons, rate, 8, "", newWay)
					t.Logf("%s | %d | %v | %.2f | %.1f | %.2f | %.2f", name, daemons, rate, max(usual.overrun, hot.overrun), 100*usual.refused, usual.served, hot.served)
				}
			}
		})
	}
}
