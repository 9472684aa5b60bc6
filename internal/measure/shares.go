package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
)

const (
	evenPart   = 0.1 // part of the rate that does not follow demand
	loadsAtOne = 4.0 // loads in flight per load that is in flight at the full rate
)

// byDemand divides the store's limits by the demand for loads. It holds the loads
// in flight far below the store's own limit: few at once finish sooner.
type byDemand struct{ spec StoreSpec }

func newByDemand(spec StoreSpec) Shares { return &byDemand{spec: spec} }

// flights returns the loads in flight to allow.
func flights(spec StoreSpec) int {
	return min(spec.Knee, max(1, int(spec.Rate*spec.LoadTime.Seconds()*loadsAtOne+0.5)))
}

// Divide implements Shares.
func (b *byDemand) Divide(_ time.Time, statuses []owner.Status) []owner.StoreBudget {
	total := 0.0
	for _, s := range statuses {
		total += s.LoadDemand
	}
	budgets := make([]owner.StoreBudget, len(statuses))
	even := 1 / float64(len(statuses))
	for i, s := range statuses {
		part := even
		if total > 0 {
			part = evenPart*even + (1-evenPart)*s.LoadDemand/total
		}
		budgets[i] = owner.StoreBudget{Rate: part * b.spec.Rate, Burst: 1}
	}
	b.divideFlights(statuses, budgets)
	return budgets
}

// divideFlights gives whole loads in flight: to those in progress, then to those
// that wait, the most urgent first, then one to every engine.
func (b *byDemand) divideFlights(statuses []owner.Status, budgets []owner.StoreBudget) {
	left := flights(b.spec)
	for i, s := range statuses {
		budgets[i].InFlight = len(s.Loading)
		left -= len(s.Loading)
	}
	waiting := false
	for left > 0 {
		best, most := -1, 0.0
		for i, s := range statuses {
			given := budgets[i].InFlight - len(s.Loading)
			if given >= s.LoadsWaiting {
				continue
			}
			if urgency := s.LoadDemand / float64(given+1); best < 0 || urgency > most {
				best, most = i, urgency
			}
		}
		if best < 0 {
			break
		}
		waiting = true
		budgets[best].InFlight++
		left--
	}
	for i := range budgets {
		if left > 0 && !waiting {
			budgets[i].InFlight++
			left--
		}
	}
}
