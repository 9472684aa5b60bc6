package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// LoadCapacity returns how many further loads the planner accepts, and the estimated start
// delay of a new load. parallel is the size of the window of loads that the daemon's engines
// share, backlog the number of their pending loads.
func (p *Planner) LoadCapacity(now time.Time, parallel float64, backlog int) (int, time.Duration) {
	if !p.synced || len(p.residentModels) == 0 || p.isWaitingForUnload(now) {
		return 0, 0
	}
	capacity := min(maxPendingLoads, p.availableSlots(now)) - len(p.pending)
	return max(0, capacity), p.startDelay(len(p.pending)+p.loadsInFlight(now), parallel, backlog)
}

// ResidentAdapter is an adapter that is resident at an engine or being loaded there.
type ResidentAdapter struct {
	Adapter upstreams.Adapter `cbor:"1,keyasint"`
	Version int               `cbor:"2,keyasint"`
	ReadyIn time.Duration     `cbor:"3,keyasint,omitempty"`
	// Idle is set if no request is known to use the adapter. The adapter may then be evicted
	// at any time.
	Idle bool `cbor:"4,keyasint,omitempty"`
}

// ResidentAdapters lists the adapters that are resident or being loaded. It omits those
// that are being unloaded and loads of unknown outcome.
func (p *Planner) ResidentAdapters(now time.Time) []ResidentAdapter {
	list := make([]ResidentAdapter, 0, len(p.adapters))
	for a, e := range p.adapters {
		if e.phase == unloading || e.version == 0 {
			continue
		}
		list = append(list, ResidentAdapter{Adapter: a, Version: e.version, ReadyIn: max(0, e.readyAt.Sub(now)), Idle: e.isIdle(now)})
	}
	slices.SortFunc(list, func(a, b ResidentAdapter) int { return cmp.Compare(a.Adapter.Name, b.Adapter.Name) })
	return list
}

// ResidentVersion returns the version in which an adapter is resident or being loaded, 0 if it is not, and
// whether no request is known to use it.
func (p *Planner) ResidentVersion(now time.Time, a upstreams.Adapter) (version int, isIdle bool) {
	e := p.adapters[a]
	if e == nil || e.phase == unloading {
		return 0, false
	}
	return e.version, e.isIdle(now)
}

// ResidentModels lists the models that are resident, as of the last report.
func (p *Planner) ResidentModels() []string {
	if !p.synced {
		return nil
	}
	return slices.Sorted(maps.Keys(p.residentModels))
}
