package measure

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/state"
)

// ledgerDivider divides the store's limits as the daemons do, with one ledger per daemon.
// Ledgers exchange requests and grants without delay, as the exchange between daemons takes
// only about a hundredth of the interval between rounds.
type ledgerDivider struct {
	limits  storebudget.Limits
	ledgers []*storebudget.Ledger
	rounds  int // number of exchanges so far
}

func newLedgerDivider(spec StoreSpec) BudgetDivider {
	return &ledgerDivider{limits: storebudget.Limits{
		Total: storebudget.Amount{
			Rate:     int64(spec.Rate * storebudget.Unit),
			InFlight: int64(spec.FullSpeedLoads * storebudget.Unit),
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

// Divide implements BudgetDivider.
func (l *ledgerDivider) Divide(now time.Time, _ []state.UpstreamID, statuses []owner.Status) []owner.StoreBudget {
	if l.ledgers == nil {
		l.createLedgers(now, len(statuses))
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

// createLedgers creates a ledger per daemon and assigns the engines to them.
func (l *ledgerDivider) createLedgers(now time.Time, engines int) {
	l.limits.Engines = engines
	for i := range engines {
		if i%enginesPerDaemon == 0 {
			l.ledgers = append(l.ledgers, storebudget.NewLedger(l.limits, 0))
		}
		l.ledgers[i/enginesPerDaemon].AddEngine(now, engineName(i))
	}
}

// exchange lets each ledger request shares from all other ledgers. The first ledger and the
// order of its peers rotate with every round.
func (l *ledgerDivider) exchange(now time.Time) {
	n := len(l.ledgers)
	l.rounds++
	for i := range n {
		from := (l.rounds + i) % n
		for j := 1; j < n; j++ {
			to := (from + (l.rounds+j)%(n-1) + 1) % n
			if !l.ledgers[from].NeedsRequest(now, daemonName(to)) {
				continue
			}
			request := l.ledgers[from].NewRequest(now, daemonName(to))
			grant := l.ledgers[to].HandleRequest(now, daemonName(from), request)
			l.ledgers[from].HandleGrant(now, now, daemonName(to), grant)
		}
	}
}
