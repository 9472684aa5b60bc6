package storebudget

import (
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// evenShare is the part of a daemon's rate that its engines get whatever their
// demand, so that each can load ahead of demand.
const evenShare = 0.2

// minWorth keeps a contender without worth from getting nothing.
const minWorth = 1e-3

// contender is a daemon that could use a part of a base.
type contender struct {
	id    state.DaemonID // empty for the lender itself
	worth float64
	want  Amount
}

// fill divides total in proportion to worth, up to what each contender wants.
// The parts never sum to more than total.
func fill(total int64, contenders []contender, of func(Amount) int64) []int64 {
	parts := make([]int64, len(contenders))
	left := total
	for range contenders {
		var weights float64
		for i, c := range contenders {
			if parts[i] < of(c.want) {
				weights += max(c.worth, minWorth)
			}
		}
		if weights == 0 || left <= 0 {
			break
		}
		round := left
		for i, c := range contenders {
			missing := of(c.want) - parts[i]
			if missing <= 0 {
				continue
			}
			part := min(missing, int64(float64(round)*max(c.worth, minWorth)/weights), left)
			parts[i] += part
			left -= part
		}
	}
	return parts
}

// EngineBudgets returns the budget of each owned engine, in the order of identifiers.
// Their sum never exceeds Usable.
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
	l.divideFlights(usable.InFlight/Unit, budgets)
	return budgets
}

// divideRate gives a part to all evenly and the rest by the worth that waits.
func (l *Ledger) divideRate(rate int64, budgets []Budget) {
	total := 0.0
	for _, b := range budgets {
		total += l.engines[b.Upstream].demand.Worth
	}
	even := 1 / float64(max(len(budgets), 1))
	for i := range budgets {
		part := even
		if total > 0 {
			part = evenShare*even + (1-evenShare)*l.engines[budgets[i].Upstream].demand.Worth/total
		}
		budgets[i].Rate = float64(int64(part*float64(rate))) / Unit
	}
}

// divideFlights gives whole loads in flight: first for loads in progress, then
// for those that wait by worth, then one each for loads ahead of demand.
func (l *Ledger) divideFlights(flights int64, budgets []Budget) {
	left := int(flights)
	give := func(i, n int) {
		n = min(n, left)
		budgets[i].InFlight += n
		left -= n
	}
	for i := range budgets {
		give(i, l.engines[budgets[i].Upstream].demand.LoadsInFlight)
	}
	for left > 0 {
		best := l.neediest(budgets)
		if best < 0 {
			break
		}
		give(best, 1)
	}
	for left > 0 && len(budgets) > 0 {
		for i := range budgets {
			give(i, 1)
		}
	}
}

// neediest returns the engine whose next load in flight is worth most, or -1 when
// all waiting loads are covered.
func (l *Ledger) neediest(budgets []Budget) int {
	best, most := -1, 0.0
	for i, b := range budgets {
		d := l.engines[b.Upstream].demand
		given := b.InFlight - d.LoadsInFlight
		if given >= d.PendingLoads {
			continue
		}
		if worth := max(d.Worth, minWorth) / float64(max(given, 0)+1); worth > most {
			best, most = i, worth
		}
	}
	return best
}
