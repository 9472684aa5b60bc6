package measure

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/state"
)

// ledgerShares divides the store's limits as the daemons do, with a ledger each.
// An ask and its grant travel in no time: they take a hundredth of a round.
type ledgerShares struct {
	limits  storebudget.Limits
	ledgers []*storebudget.Ledger
	rounds  int
}

func newLedgerShares(spec StoreSpec) Shares {
	return &ledgerShares{limits: storebudget.Limits{
		Total: storebudget.Amount{
			Rate:     int64(spec.Rate * storebudget.Unit),
			InFlight: int64(spec.Knee * storebudget.Unit),
		},
		GrantTTL:           storebudget.DefaultGrantTTL,
		MaxClockDrift:      storebudget.DefaultMaxClockDrift,
		LossDetectionDelay: storebudget.DefaultLossDetectionDelay,
	}}
}

func engineName(i int) state.UpstreamID { return state.UpstreamID(fmt.Sprintf("engine-%02d", i)) }

func daemonName(i int) state.DaemonID { return state.DaemonID(fmt.Sprintf("daemon-%02d", i)) }

// enginesPerDaemon is the number of engines that a daemon owns.
const enginesPerDaemon = 2

// Divide implements Shares.
func (l *ledgerShares) Divide(now time.Time, _ []state.UpstreamID, statuses []owner.Status) []owner.StoreBudget {
	if l.ledgers == nil {
		l.start(now, len(statuses))
	}
	for i, s := range statuses {
		l.ledgers[i/enginesPerDaemon].SetDemand(engineName(i), storebudget.Demand{
			Worth: s.LoadUrgency, PendingLoads: s.PendingLoads, LoadsInFlight: len(s.Loading),
		})
	}
	l.exchange(now)
	budgets := make([]owner.StoreBudget, 0, len(statuses))
	for _, ledger := range l.ledgers {
		for _, b := range ledger.EngineBudgets(now) {
			budgets = append(budgets, owner.StoreBudget{Rate: b.Rate, Burst: 1, InFlight: b.InFlight, Until: b.Until})
		}
	}
	return budgets
}

func (l *ledgerShares) start(now time.Time, engines int) {
	l.limits.Engines = engines
	for i := range engines {
		if i%enginesPerDaemon == 0 {
			l.ledgers = append(l.ledgers, storebudget.NewLedger(l.limits, 0))
		}
		l.ledgers[i/enginesPerDaemon].AddEngine(now, engineName(i))
	}
}

// exchange lets each ledger ask the others, one after the other, beginning with
// another one in each round.
func (l *ledgerShares) exchange(now time.Time) {
	n := len(l.ledgers)
	l.rounds++
	for i := range n {
		from := (l.rounds + i) % n
		for j := 1; j < n; j++ {
			to := (from + (l.rounds+j)%(n-1) + 1) % n
			if !l.ledgers[from].NeedsRequest(now, daemonName(to)) {
				continue
			}
			ask := l.ledgers[from].NewRequest(now, daemonName(to))
			grant := l.ledgers[to].HandleRequest(now, daemonName(from), ask)
			l.ledgers[from].HandleGrant(now, now, daemonName(to), grant)
		}
	}
}
