package measure

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Phases of a run. Requests that arrive before warmUp are not counted.
const (
	warmUp       = 60 * time.Second
	disturbStart = 100 * time.Second
	disturbEnd   = 160 * time.Second
	arrivalsEnd  = 240 * time.Second
	runEnd       = 360 * time.Second
)

const (
	floodFactor    = 4.0 // flood arrivals as a multiple of the steady rate
	slowFactor     = 4.0 // load times of a slow store
	failingLoads   = 0.3 // part of the load orders that fail
	brokenAdapters = 10  // every tenth adapter cannot be loaded in the failing scenario
	restartEvery   = 12 * time.Second
	noFlood        = -1
	everyone       = -1
)

// Scenario is a disturbance of the steady load between disturbStart and disturbEnd.
type Scenario struct {
	Name        string
	Shift       bool
	Flood       int // rank that floods, or noFlood
	FloodFrom   int // customer that floods, or everyone
	Restarts    bool
	LoadsFail   bool
	StoreIsSlow bool
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	low := 2
	return []Scenario{
		{Name: "steady", Flood: noFlood},
		{Name: "shift", Flood: noFlood, Shift: true},
		{Name: "flood low", Flood: low, FloodFrom: everyone},
		{Name: "flood high", Flood: 0},
		{Name: "restarts", Flood: noFlood, Restarts: true},
		{Name: "failing loads", Flood: noFlood, LoadsFail: true},
		{Name: "store slow", Flood: noFlood, StoreIsSlow: true},
		{Name: "flood high, restarts", Flood: 0, Restarts: true},
		{Name: "flood low, shift", Flood: low, FloodFrom: everyone, Shift: true},
		{Name: "shift, store slow", Flood: noFlood, Shift: true, StoreIsSlow: true},
	}
}

// Arrivals returns the workload of a scenario in order of time.
func (s Scenario) Arrivals(size Size, seed uint64) []Arrival {
	const ordinaryStream, floodStream = 2, 3
	g := newGenerator(size, seed, ordinaryStream)
	all := g.arrivals(0, disturbStart, size.Rate, g.rank)
	if s.Shift {
		g.shift()
	}
	all = append(all, g.arrivals(disturbStart, arrivalsEnd, size.Rate, g.rank)...)
	if s.Flood == noFlood {
		return all
	}
	f := newGenerator(size, seed, floodStream)
	f.order = g.order
	f.prefix = 1 << 32
	flood := f.arrivals(disturbStart, disturbEnd, size.Rate*floodFactor, func() state.Rank { return state.Rank(s.Flood) })
	if s.FloodFrom != everyone {
		for i := range flood {
			flood[i].Adapter += s.FloodFrom - flood[i].Customer
			flood[i].Customer = s.FloodFrom
		}
	}
	all = append(all, flood...)
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// floods reports whether an arrival belongs to the flooding class.
func (s Scenario) floods(a *Arrival) bool {
	if s.Flood == noFlood || int(a.Rank) != s.Flood {
		return false
	}
	return s.FloodFrom == everyone || a.Customer == s.FloodFrom
}
