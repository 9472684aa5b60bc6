package loading

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Limits is what a set of engines may take of the weight store.
type Limits struct {
	Rate     float64 // loads a second
	InFlight int     // loads in progress at once
}

// EngineDemand is an engine's demand for loads.
type EngineDemand struct {
	Engine      state.UpstreamID
	Started     uint64  // loads that the engine ever started
	Loading     int     // loads in progress
	Pending     int     // loads that requests wait for
	Urgency     float64 // of the most pressing of them
	Kind        Kind    // of the most pressing of them
	PreloadPays bool    // a load ahead of demand would pay
}

// Kind tells how long loads may wait.
type Kind uint8

// Kinds of loads.
const (
	KindUrgent     Kind = iota
	KindDeferrable      // for the least urgent rank
	KindExcess          // for work beyond the usual rate of its class
	kinds
)

// Grant is an engine's part of the limits.
type Grant struct {
	Rate     float64 // loads a second that the engine may expect
	InFlight int     // loads that may be in progress at once
}

// DividerOptions are the constants of a Divider.
type DividerOptions struct {
	Burst           float64 // loads that may start at once after a pause
	DeferrableShare float64 // part of the rate for patient loads
	ExcessShare     float64 // part of the rate for excess loads
	PreloadReserve  float64 // what a load ahead of demand leaves for others
}

// DefaultDividerOptions returns the options of the daemon.
func DefaultDividerOptions() DividerOptions {
	return DividerOptions{Burst: 3, DeferrableShare: 0.3, ExcessShare: 0.05, PreloadReserve: 1}
}

// Divider divides limits among engines in whole loads, the most urgent first.
// Parts of a load would be wasted on engines that cannot start one. Loads that can
// wait get only a part of the rate, so that the store stays fast for the others.
// What is granted never exceeds the limits; loads that an engine starts beyond its
// grant are paid for by later ones. It is not safe for concurrent use.
type Divider struct {
	opts    DividerOptions
	at      time.Time
	tokens  float64
	byKind  [kinds]float64 // tokens of the kinds with a part of their own
	engines map[state.UpstreamID]engineLoads
}

// engineLoads is what a Divider remembers of an engine.
type engineLoads struct {
	started uint64
	kind    Kind // of the last grant
}

// NewDivider returns a divider with a full burst.
func NewDivider(opts DividerOptions) *Divider {
	return &Divider{
		opts:    opts,
		tokens:  opts.Burst,
		byKind:  [kinds]float64{KindDeferrable: 1, KindExcess: 1},
		engines: make(map[state.UpstreamID]engineLoads),
	}
}

// Divide returns the grants in the order of needs.
func (d *Divider) Divide(now time.Time, limits Limits, needs []EngineDemand) []Grant {
	d.account(now, limits, needs)
	grants := make([]Grant, len(needs))
	urgency, left := 0.0, limits.InFlight
	for i, n := range needs {
		urgency += n.Urgency
		left -= n.Loading
		grants[i].InFlight = n.Loading
	}
	for i, n := range needs {
		if urgency > 0 {
			grants[i].Rate = limits.Rate * n.Urgency / urgency
		}
	}
	left = min(left, int(d.tokens))
	byKind := [kinds]int{left, int(d.byKind[KindDeferrable]), int(d.byKind[KindExcess])}
	for left > 0 {
		best := mostUrgent(needs, grants, byKind)
		if best < 0 {
			d.ahead(left, needs, grants)
			break
		}
		grants[best].InFlight++
		left--
		byKind[needs[best].Kind]--
	}
	d.remember(needs)
	return grants
}

// account adds the tokens since the last call and takes those of started loads.
func (d *Divider) account(now time.Time, limits Limits, needs []EngineDemand) {
	if !d.at.IsZero() {
		added := now.Sub(d.at).Seconds() * limits.Rate
		d.tokens = min(d.opts.Burst, d.tokens+added)
		d.byKind[KindDeferrable] = min(1, d.byKind[KindDeferrable]+added*d.opts.DeferrableShare)
		d.byKind[KindExcess] = min(1, d.byKind[KindExcess]+added*d.opts.ExcessShare)
	}
	d.at = now
	for _, n := range needs {
		e, known := d.engines[n.Engine]
		if !known {
			continue
		}
		started := float64(n.Started - min(n.Started, e.started))
		d.tokens -= started
		d.byKind[e.kind] -= started
	}
}

// remember notes the state of the engines for the next call and forgets engines
// that are no longer there.
func (d *Divider) remember(needs []EngineDemand) {
	clear(d.engines)
	for _, n := range needs {
		d.engines[n.Engine] = engineLoads{started: n.Started, kind: n.Kind}
	}
}

// mostUrgent returns the engine whose next load is most urgent, or -1.
func mostUrgent(needs []EngineDemand, grants []Grant, byKind [kinds]int) int {
	best, most := -1, 0.0
	for i, n := range needs {
		given := grants[i].InFlight - n.Loading
		if given >= n.Pending || byKind[n.Kind] <= 0 {
			continue
		}
		if u := n.Urgency / float64(given+1); best < 0 || u > most {
			best, most = i, u
		}
	}
	return best
}

// ahead grants a load to the first engine that may load ahead of demand.
func (d *Divider) ahead(left int, needs []EngineDemand, grants []Grant) {
	if float64(left) <= d.opts.PreloadReserve {
		return
	}
	for i, n := range needs {
		if n.PreloadPays {
			grants[i].InFlight++
			return
		}
	}
}
