package storebudget

import (
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// evenFraction is the fraction of a daemon's rate that is divided evenly among its
// engines, so that an engine without demand can load ahead of demand.
const evenFraction = 0.2

// minWorth is the lowest weight of a contender. It gives a share also to demand
// whose worth is 0.
const minWorth = 1e-3

// contender is a daemon that competes for a part of a lender's base share: a
// borrower or the lender itself.
type contender struct {
	id        state.DaemonID // empty for the lender itself
	worth     float64
	requested Amount
}

// divideByWorth divides total, one component of an Amount, among the contenders in
// proportion to their worth. No contender receives more than it requested, and the
// sum of the shares never exceeds total.
func divideByWorth(total int64, contenders []contender, component func(Amount) int64) []int64 {
	shares := make([]int64, len(contenders))
	remaining := total
	// Each round divides what remains among the contenders whose requests are not yet
	// satisfied.
	for range contenders {
		var weights float64
		for i, c := range contenders {
			if shares[i] < component(c.requested) {
				weights += max(c.worth, minWorth)
			}
		}
		if weights == 0 || remaining <= 0 {
			break
		}
		roundTotal := remaining
		for i, c := range contenders {
			missing := component(c.requested) - shares[i]
			if missing <= 0 {
				continue
			}
			share := min(missing, int64(float64(roundTotal)*max(c.worth, minWorth)/weights), remaining)
			shares[i] += share
			remaining -= share
		}
	}
	return shares
}

// EngineBudgets divides Usable among the engines of this daemon and returns the
// budgets, ordered by engine ID. The sum of the budgets never exceeds Usable.
func (l *Ledger) EngineBudgets(now time.Time) []Budget {
	usable, until := l.Usable(now)
	ids := make([]state.UpstreamID, 0, len(l.engines))
	for id := range l.engines {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b state.UpstreamID) int { return strings.Compare(string(a), string(b)) })
	budgets := make([]Budget, len(ids))
	for i, id := range ids {
		budgets[i] = Budget{Upstream: id, Until: until}
	}
	l.divideRate(usable.Rate, budgets)
	l.divideInFlight(usable.InFlight/Unit, budgets)
	return budgets
}

// divideRate divides a part of the rate evenly among the engines and the rest in
// proportion to the worth of their pending loads.
func (l *Ledger) divideRate(rate int64, budgets []Budget) {
	total := 0.0
	for _, b := range budgets {
		total += l.engines[b.Upstream].demand.Worth
	}
	even := 1 / float64(max(len(budgets), 1))
	for i := range budgets {
		fraction := even
		if total > 0 {
			fraction = evenFraction*even + (1-evenFraction)*l.engines[budgets[i].Upstream].demand.Worth/total
		}
		budgets[i].Rate = float64(int64(fraction*float64(rate))) / Unit
	}
}

// divideInFlight divides the limit of loads in flight among the engines in whole
// loads. It covers the loads that are already in flight first, and then the pending
// loads by worth. The rest is divided evenly, for loads ahead of demand.
func (l *Ledger) divideInFlight(inFlight int64, budgets []Budget) {
	remaining := int(inFlight)
	add := func(i, n int) {
		n = min(n, remaining)
		budgets[i].InFlight += n
		remaining -= n
	}
	for i := range budgets {
		add(i, l.engines[budgets[i].Upstream].demand.LoadsInFlight)
	}
	for remaining > 0 {
		best := l.highestWorth(budgets)
		if best < 0 {
			break
		}
		add(best, 1)
	}
	for remaining > 0 && len(budgets) > 0 {
		for i := range budgets {
			add(i, 1)
		}
	}
}

// highestWorth returns the index of the engine whose next pending load has the
// highest worth, or -1 when all pending loads are covered. The worth of an engine's
// next pending load is the worth of the engine's demand, divided by one plus the
// number of pending loads that the budget covers already.
func (l *Ledger) highestWorth(budgets []Budget) int {
	best, highest := -1, 0.0
	for i, b := range budgets {
		d := l.engines[b.Upstream].demand
		covered := b.InFlight - d.LoadsInFlight
		if covered >= d.PendingLoads {
			continue
		}
		if worth := max(d.Worth, minWorth) / float64(max(covered, 0)+1); worth > highest {
			best, highest = i, worth
		}
	}
	return best
}
