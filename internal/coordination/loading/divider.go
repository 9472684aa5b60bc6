package loading

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Limits bounds the loads of a set of engines from the weight store.
type Limits struct {
	Rate     float64 // loads a second
	InFlight int     // loads in flight at once
}

// EngineDemand is an engine's demand for loads.
type EngineDemand struct {
	Engine            state.UpstreamID
	Started           uint64  // loads that the engine has started since its Core was created
	Loading           int     // loads in flight
	Pending           int     // loads that queued requests need and that are not ordered yet
	Urgency           float64 // of the most urgent pending load
	Kind              Kind    // of the most urgent pending load
	PreloadWorthwhile bool    // loading an adapter before a request needs it is worth a slot
}

// Kind classifies a load by the requests that wait for it, most urgent kind first.
type Kind uint8

// Kinds of loads.
const (
	KindUrgent     Kind = iota // for requests of any rank but the least urgent
	KindDeferrable             // for requests of the least urgent rank
	KindExcess                 // for requests beyond the usual rate of their class
	numKinds
)

// Grant is an engine's share of the limits.
type Grant struct {
	Rate     float64 // loads a second that the engine can expect
	InFlight int     // loads that may be in flight at once
}

// DividerOptions are the constants of a Divider.
type DividerOptions struct {
	Burst           float64 // loads that may start at once after a pause
	DeferrableShare float64 // share of the rate for deferrable loads
	ExcessShare     float64 // share of the rate for excess loads
	PreloadReserve  float64 // available loads above which a preload is granted
}

// DefaultDividerOptions returns the options of the daemon.
func DefaultDividerOptions() DividerOptions {
	return DividerOptions{Burst: 3, DeferrableShare: 0.3, ExcessShare: 0.05, PreloadReserve: 1}
}

// Divider divides the limits of the weight store among engines, the most urgent load
// first. It grants whole loads, because an engine cannot start a fraction of a load.
// Deferrable and excess loads get only a share of the rate, so that the weight store stays
// fast for urgent loads. Grants never exceed the limits. Loads that engines start beyond
// their grants are deducted from later grants. A Divider is not safe for concurrent use.
type Divider struct {
	opts       DividerOptions
	refilledAt time.Time
	tokens     float64           // loads that may start
	byKind     [numKinds]float64 // loads that may start, for the kinds with a share of the rate
	engines    map[state.UpstreamID]engineState
}

// engineState is the state of an engine at the last call of Divide.
type engineState struct {
	started uint64
	kind    Kind
}

// NewDivider returns a divider that grants a full burst at first.
func NewDivider(opts DividerOptions) *Divider {
	return &Divider{
		opts:    opts,
		tokens:  opts.Burst,
		byKind:  [numKinds]float64{KindDeferrable: 1, KindExcess: 1},
		engines: make(map[state.UpstreamID]engineState),
	}
}

// Divide returns the grants of the engines in the order of demands.
func (d *Divider) Divide(now time.Time, limits Limits, demands []EngineDemand) []Grant {
	d.updateTokens(now, limits, demands)
	grants := make([]Grant, len(demands))
	urgency, left := 0.0, limits.InFlight
	for i, demand := range demands {
		urgency += demand.Urgency
		left -= demand.Loading
		grants[i].InFlight = demand.Loading
	}
	for i, demand := range demands {
		if urgency > 0 {
			grants[i].Rate = limits.Rate * demand.Urgency / urgency
		}
	}
	left = min(left, int(d.tokens))
	byKind := [numKinds]int{left, int(d.byKind[KindDeferrable]), int(d.byKind[KindExcess])}
	for left > 0 {
		best := mostUrgent(demands, grants, byKind)
		if best < 0 {
			d.grantPreload(left, demands, grants)
			break
		}
		grants[best].InFlight++
		left--
		byKind[demands[best].Kind]--
	}
	d.recordEngines(demands)
	return grants
}

// updateTokens adds the tokens for the time since the last call and deducts a token for
// each load that has started since then.
func (d *Divider) updateTokens(now time.Time, limits Limits, demands []EngineDemand) {
	if !d.refilledAt.IsZero() {
		added := now.Sub(d.refilledAt).Seconds() * limits.Rate
		d.tokens = min(d.opts.Burst, d.tokens+added)
		d.byKind[KindDeferrable] = min(1, d.byKind[KindDeferrable]+added*d.opts.DeferrableShare)
		d.byKind[KindExcess] = min(1, d.byKind[KindExcess]+added*d.opts.ExcessShare)
	}
	d.refilledAt = now
	for _, demand := range demands {
		e, known := d.engines[demand.Engine]
		if !known {
			continue
		}
		started := float64(demand.Started - min(demand.Started, e.started))
		d.tokens -= started
		d.byKind[e.kind] -= started
	}
}

// recordEngines stores the state of the engines for the next call of Divide. It drops
// engines without an entry in demands.
func (d *Divider) recordEngines(demands []EngineDemand) {
	clear(d.engines)
	for _, demand := range demands {
		d.engines[demand.Engine] = engineState{started: demand.Started, kind: demand.Kind}
	}
}

// mostUrgent returns the position of the engine whose next load is most urgent, or -1
// if no engine may be granted a pending load.
func mostUrgent(demands []EngineDemand, grants []Grant, byKind [numKinds]int) int {
	best, highest := -1, 0.0
	for i, demand := range demands {
		granted := grants[i].InFlight - demand.Loading
		if granted >= demand.Pending || byKind[demand.Kind] <= 0 {
			continue
		}
		if u := demand.Urgency / float64(granted+1); best < 0 || u > highest {
			best, highest = i, u
		}
	}
	return best
}

// grantPreload grants a load to the first engine for which a preload is worthwhile, if more
// than PreloadReserve loads are available.
func (d *Divider) grantPreload(left int, demands []EngineDemand, grants []Grant) {
	if float64(left) <= d.opts.PreloadReserve {
		return
	}
	for i, demand := range demands {
		if demand.PreloadWorthwhile {
			grants[i].InFlight++
			return
		}
	}
}
