package measure

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Policy is a set of decisions under measurement.
type Policy struct {
	Name string
	// NewRouter returns the router of one entry daemon.
	NewRouter func(env Env) routing.Router
	// NewCore returns the owner core of one engine.
	NewCore func(u *state.Upstream) owner.Core
	// NewShares returns the division of the weight store's limits, or nil when the
	// policy leaves the store to itself.
	NewShares func(spec StoreSpec) Shares
}

// Env is what an entry daemon has.
type Env struct {
	Fleet *state.Fleet
	Zone  state.Zone
	Seed  uint64
	Ranks []state.RankInfo
	// Daemons is the number of entry daemons.
	Daemons int
}

// Shares divides the weight store's limits among the engines. Statuses are in
// order of the engines, and so are the budgets.
type Shares interface {
	Divide(now time.Time, engines []state.UpstreamID, statuses []owner.Status) []owner.StoreBudget
}

// Policies returns the baselines and then the policies of the daemon.
func Policies() []Policy {
	return append(Baselines(), Current(), CentralShares())
}

// Current returns the decisions that the daemon uses.
func Current() Policy {
	return Policy{
		Name:      "celerydeck",
		NewRouter: newScored,
		NewCore:   func(*state.Upstream) owner.Core { return owner.NewScheduler(owner.DefaultOptions()) },
		NewShares: newLedgerShares,
	}
}

// CentralShares returns the decisions of the daemon, but for a division of the
// store's limits that sees the demand of all engines at once.
func CentralShares() Policy {
	p := Current()
	p.Name = "central shares"
	p.NewShares = newDivided
	return p
}
