package loading

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxTrackedAdapters = 1024 // number of adapters of one engine from which the tracker is pruned
	rescaleAfter       = 40.0 // time constants after which all weights are scaled down, to avoid overflow
	pruneDivisor       = 2    // pruning keeps 1/pruneDivisor of the adapters
)

// DemandTracker tracks the demand for adapters as an exponentially decaying rate. It
// gives later requests a higher weight instead of decaying the weights of earlier ones
// (forward decay), so that the order of adapters needs no update as time passes. It is
// not safe for concurrent use.
type DemandTracker struct {
	timeConstant time.Duration
	scaleStart   time.Time // time at which a request has weight 1
	entries      map[state.AdapterRef]*adapterDemand
}

// adapterDemand is the demand for one adapter.
type adapterDemand struct {
	ref    state.AdapterRef
	source string  // location of the model weights
	weight float64 // sum of the scaled weights of the requests for the adapter
}

// NewDemandTracker returns a tracker without demand.
func NewDemandTracker(timeConstant time.Duration) *DemandTracker {
	return &DemandTracker{timeConstant: timeConstant, entries: make(map[state.AdapterRef]*adapterDemand)}
}

// Add counts a request for an adapter, and stores the location of the adapter's model
// weights. The weight of a request is its stall cost. If too many adapters are tracked, Add
// drops those with the least demand.
func (d *DemandTracker) Add(now time.Time, ref state.AdapterRef, source string, weight float64) {
	e := d.entries[ref]
	if e == nil {
		if len(d.entries) >= maxTrackedAdapters {
			d.prune()
		}
		e = &adapterDemand{ref: ref}
		d.entries[ref] = e
	}
	e.source = source
	e.weight += weight * d.scale(now)
}

// Rate returns the demand for an adapter in weighted requests a second.
func (d *DemandTracker) Rate(now time.Time, ref state.AdapterRef) float64 {
	e := d.entries[ref]
	if e == nil {
		return 0
	}
	return e.weight / d.scale(now) / d.timeConstant.Seconds()
}

// Top returns the adapter with the highest rate among the adapters that match accepts, or
// zero values if match accepts none.
func (d *DemandTracker) Top(now time.Time, match func(state.AdapterRef) bool) (ref state.AdapterRef, source string, rate float64) {
	var best *adapterDemand
	for _, e := range d.entries {
		if (best == nil || higherDemand(e, best)) && match(e.ref) {
			best = e
		}
	}
	if best == nil {
		return state.AdapterRef{}, "", 0
	}
	return best.ref, best.source, d.Rate(now, best.ref)
}

// higherDemand reports whether a has more demand than b. Adapters with equal demand are
// ordered by name.
func higherDemand(a, b *adapterDemand) bool {
	if a.weight != b.weight {
		return a.weight > b.weight
	}
	return compareRefs(a.ref, b.ref) < 0
}

func compareRefs(a, b state.AdapterRef) int {
	if c := strings.Compare(a.Adapter, b.Adapter); c != 0 {
		return c
	}
	if c := strings.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return strings.Compare(string(a.Service), string(b.Service))
}

// scale returns the factor on the weight of a request at the given time, which is 1 at
// scaleStart and grows exponentially. Before the factor can overflow, scale divides all
// weights by it and moves scaleStart to now.
func (d *DemandTracker) scale(now time.Time) float64 {
	if d.scaleStart.IsZero() {
		d.scaleStart = now
	}
	elapsed := now.Sub(d.scaleStart).Seconds() / d.timeConstant.Seconds()
	if elapsed < rescaleAfter {
		return math.Exp(elapsed)
	}
	factor := math.Exp(-elapsed)
	for _, e := range d.entries {
		e.weight *= factor
	}
	d.scaleStart = now
	return 1
}

// prune drops the adapters with the least demand.
func (d *DemandTracker) prune() {
	all := make([]*adapterDemand, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *adapterDemand) int {
		if higherDemand(a, b) {
			return -1
		}
		return 1
	})
	for _, e := range all[len(all)/pruneDivisor:] {
		delete(d.entries, e.ref)
	}
}
