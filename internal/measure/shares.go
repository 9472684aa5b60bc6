package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
)

const (
	pacedPart = 1.0 // part of the store's rate that is given out; urgent loads run beside it
	evenPart  = 0.3 // part of what is given out that does not follow demand
)

// byDemand divides the store's limits in proportion to the demand for loads.
type byDemand struct{ spec StoreSpec }

func newByDemand(spec StoreSpec) Shares { return &byDemand{spec: spec} }

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
		budgets[i] = owner.StoreBudget{
			Rate:     part * b.spec.Rate * pacedPart,
			Burst:    1,
			InFlight: max(1, int(part*float64(b.spec.Knee))),
		}
	}
	return budgets
}
