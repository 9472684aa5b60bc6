package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Policy is a set of decision components to measure.
type Policy struct {
	Name string
	// NewRouter returns the router of one entry daemon.
	NewRouter func(env RouterEnv) routing.Router
	// NewCore returns the owner core of one engine.
	NewCore func(u *state.Upstream) owner.Core
	// NewBudgetDivider returns the divider of the weight store's limits. It is nil if the
	// policy does not limit loads.
	NewBudgetDivider func(spec StoreSpec) BudgetDivider
}

// RouterEnv is the environment of an entry daemon's router.
type RouterEnv struct {
	Fleet *state.Fleet
	Zone  state.Zone
	Seed  uint64
	Ranks []state.RankInfo
	// Daemons is the number of entry daemons.
	Daemons int
}

// BudgetDivider divides the weight store's limits among the engines. The statuses and the
// returned budgets have the order of the engines.
type BudgetDivider interface {
	Divide(now time.Time, engines []state.UpstreamID, statuses []owner.Status) []owner.StoreBudget
}

// Policies returns the baselines, followed by the policies of the daemon.
func Policies() []Policy {
	return append(Baselines(), DaemonPolicy(), CentralBudgetPolicy())
}

// DaemonPolicy returns the policy that the daemon uses.
func DaemonPolicy() Policy {
	return Policy{
		Name:             "celerydeck",
		NewRouter:        newDaemonRouter,
		NewCore:          func(*state.Upstream) owner.Core { return owner.NewScheduler(owner.DefaultOptions()) },
		NewBudgetDivider: newLedgerDivider,
	}
}

// CentralBudgetPolicy returns the policy of the daemon with a central divider of the store's
// limits, which has the current demand of all engines.
func CentralBudgetPolicy() Policy {
	p := DaemonPolicy()
	p.Name = "central shares"
	p.NewBudgetDivider = newCentralDivider
	return p
}
