package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

// inFlightFactor is the number of loads admitted in flight, as a multiple of the loads that
// are in flight when the store works at its rate without a queue.
const inFlightFactor = 4.0

// centralDivider divides the store's limits by the engines' demand for loads. It keeps the
// loads in flight far below the store's own limit, as fewer concurrent loads finish sooner.
type centralDivider struct {
	limits  loading.Limits
	divider *loading.Divider
}

func newCentralDivider(spec StoreSpec) BudgetDivider {
	return &centralDivider{
		limits: loading.Limits{
			Rate:     spec.Rate,
			InFlight: max(1, int(spec.Rate*spec.LoadTime.Seconds()*inFlightFactor+0.5)),
		},
		divider: loading.NewDivider(loading.DefaultDividerOptions()),
	}
}

// Divide implements BudgetDivider.
func (d *centralDivider) Divide(now time.Time, engines []state.UpstreamID, statuses []owner.Status) []owner.StoreBudget {
	demands := make([]loading.EngineDemand, len(statuses))
	for i, s := range statuses {
		demands[i] = s.EngineDemand(engines[i])
	}
	budgets := make([]owner.StoreBudget, len(statuses))
	for i, g := range d.divider.Divide(now, d.limits, demands) {
		budgets[i] = owner.StoreBudget{Rate: g.Rate, InFlight: g.InFlight}
	}
	return budgets
}
