package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

// loadsInFlight is the number of loads in flight per load that is in flight when
// the store works at its rate and nothing waits.
const loadsInFlight = 4.0

// divided gives out the store's limits by the demand for loads. It holds the loads
// in flight far below the store's own limit: few at once finish sooner.
type divided struct {
	limits  loading.Limits
	divider *loading.Divider
}

func newDivided(spec StoreSpec) Shares {
	return &divided{
		limits: loading.Limits{
			Rate:     spec.Rate,
			InFlight: max(1, int(spec.Rate*spec.LoadTime.Seconds()*loadsInFlight+0.5)),
		},
		divider: loading.NewDivider(loading.DefaultDividerOptions()),
	}
}

// Divide implements Shares.
func (d *divided) Divide(now time.Time, engines []state.UpstreamID, statuses []owner.Status) []owner.StoreBudget {
	needs := make([]loading.EngineDemand, len(statuses))
	for i, s := range statuses {
		needs[i] = s.EngineDemand(engines[i])
	}
	budgets := make([]owner.StoreBudget, len(statuses))
	for i, g := range d.divider.Divide(now, d.limits, needs) {
		budgets[i] = owner.StoreBudget{Rate: g.Rate, InFlight: g.InFlight}
	}
	return budgets
}
