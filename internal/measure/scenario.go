package measure

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Phases of a run, since its start. Requests that arrive before warmUp are not counted.
const (
	warmUp           = 60 * time.Second
	disturbanceStart = 100 * time.Second
	disturbanceEnd   = 160 * time.Second
	arrivalsEnd      = 240 * time.Second
	runEnd           = 360 * time.Second
)

const (
	floodFactor      = 4.0 // arrival rate of a flood as a multiple of the steady rate
	slowStoreFactor  = 4.0 // factor on the load times of a slow store
	loadFailureRate  = 0.3 // fraction of the loads that fail at random
	unloadableStride = 10  // every tenth adapter cannot be loaded if loads fail
	restartInterval  = 12 * time.Second
	noFlood          = -1
	allCustomers     = -1
)

// Scenario is a disturbance of the steady load. A disturbance lasts from disturbanceStart
// to disturbanceEnd, except that a Shift lasts until the end of the run.
type Scenario struct {
	Name          string
	Shift         bool // the popularity of adapters changes
	FloodRank     int  // rank of the flood, or noFlood
	FloodCustomer int  // customer that sends the flood, or allCustomers
	Restarts      bool
	LoadsFail     bool
	SlowStore     bool
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	lowestRank := 2
	return []Scenario{
		{Name: "steady", FloodRank: noFlood},
		{Name: "shift", FloodRank: noFlood, Shift: true},
		{Name: "flood low", FloodRank: lowestRank, FloodCustomer: allCustomers},
		{Name: "flood high", FloodRank: 0},
		{Name: "restarts", FloodRank: noFlood, Restarts: true},
		{Name: "failing loads", FloodRank: noFlood, LoadsFail: true},
		{Name: "store slow", FloodRank: noFlood, SlowStore: true},
		{Name: "flood high, restarts", FloodRank: 0, Restarts: true},
		{Name: "flood low, shift", FloodRank: lowestRank, FloodCustomer: allCustomers, Shift: true},
		{Name: "shift, store slow", FloodRank: noFlood, Shift: true, SlowStore: true},
	}
}

// Arrivals returns the workload of a scenario, ordered by time.
func (s Scenario) Arrivals(size Size, seed uint64) []Arrival {
	const steadyStream, floodStream = 2, 3
	g := newGenerator(size, seed, steadyStream)
	all := g.drawArrivals(0, disturbanceStart, size.Rate, g.drawRank)
	if s.Shift {
		g.shift()
	}
	all = append(all, g.drawArrivals(disturbanceStart, arrivalsEnd, size.Rate, g.drawRank)...)
	if s.FloodRank == noFlood {
		return all
	}
	f := newGenerator(size, seed, floodStream)
	f.order = g.order
	f.lastPrefix = 1 << 32
	flood := f.drawArrivals(disturbanceStart, disturbanceEnd, size.Rate*floodFactor, func() state.Rank { return state.Rank(s.FloodRank) })
	if s.FloodCustomer != allCustomers {
		for i := range flood {
			flood[i].Adapter += s.FloodCustomer - flood[i].Customer
			flood[i].Customer = s.FloodCustomer
		}
	}
	all = append(all, flood...)
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// floods reports whether an arrival belongs to the flooding class.
func (s Scenario) floods(a *Arrival) bool {
	if s.FloodRank == noFlood || int(a.Rank) != s.FloodRank {
		return false
	}
	return s.FloodCustomer == allCustomers || a.Customer == s.FloodCustomer
}
