package loading

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxTracked    = 1024 // adapters with demand that one engine remembers
	rescaleAfter  = 40.0 // time constants after which weights are scaled down
	forgottenPart = 2    // one in this many is forgotten when the table is full
)

// DemandTracker tracks the demand for adapters, decaying over time. It weights later
// requests more instead of shrinking earlier ones, so that the order of adapters
// needs no update as time passes. It is not safe for concurrent use.
type DemandTracker struct {
	memory  time.Duration
	epoch   time.Time
	entries map[state.AdapterRef]*entry
}

type entry struct {
	ref    state.AdapterRef
	source string
	weight float64
}

// NewDemandTracker returns an empty table with a time constant.
func NewDemandTracker(memory time.Duration) *DemandTracker {
	return &DemandTracker{memory: memory, entries: make(map[state.AdapterRef]*entry)}
}

// Add notes a request for an adapter. Weight is what a stall of it costs.
func (d *DemandTracker) Add(now time.Time, ref state.AdapterRef, source string, weight float64) {
	e := d.entries[ref]
	if e == nil {
		if len(d.entries) >= maxTracked {
			d.forget()
		}
		e = &entry{ref: ref}
		d.entries[ref] = e
	}
	e.source = source
	e.weight += weight * d.scale(now)
}

// Rate returns the weighted requests a second for an adapter.
func (d *DemandTracker) Rate(now time.Time, ref state.AdapterRef) float64 {
	e := d.entries[ref]
	if e == nil {
		return 0
	}
	return e.weight / d.scale(now) / d.memory.Seconds()
}

// Top returns the adapter with the highest rate among those that want accepts.
func (d *DemandTracker) Top(now time.Time, want func(state.AdapterRef) bool) (ref state.AdapterRef, source string, rate float64) {
	var best *entry
	for _, e := range d.entries {
		if (best == nil || before(e, best)) && want(e.ref) {
			best = e
		}
	}
	if best == nil {
		return state.AdapterRef{}, "", 0
	}
	return best.ref, best.source, d.Rate(now, best.ref)
}

// before orders entries by weight and then by name.
func before(a, b *entry) bool {
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

func (d *DemandTracker) scale(now time.Time) float64 {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	x := now.Sub(d.epoch).Seconds() / d.memory.Seconds()
	if x < rescaleAfter {
		return math.Exp(x)
	}
	factor := math.Exp(-x)
	for _, e := range d.entries {
		e.weight *= factor
	}
	d.epoch = now
	return 1
}

// forget drops the adapters with the least demand.
func (d *DemandTracker) forget() {
	all := make([]*entry, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	for _, e := range all[len(all)/forgottenPart:] {
		delete(d.entries, e.ref)
	}
}
