package owner

import (
	"slices"
	"strings"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

// StoreDemand is what an engine of this daemon could use of the weight store.
type StoreDemand struct {
	Upstream state.UpstreamID
	// Exclusive reports that no other daemon may load on the engine.
	Exclusive    bool
	MayLoad      bool
	Urgency      float64 // of the loads that wait
	PendingLoads int     // loads that wait
	Loading      int     // loads in progress
}

// StoreDemands returns the demand of every owned engine, in the order of
// identifiers.
func (m *Manager) StoreDemands() []StoreDemand {
	m.mu.Lock()
	workers := make([]*worker, 0, len(m.workers))
	for _, w := range m.workers {
		if w.u.Kind == state.KindEngine {
			workers = append(workers, w)
		}
	}
	m.mu.Unlock()
	demands := make([]StoreDemand, 0, len(workers))
	for _, w := range workers {
		demands = append(demands, w.storeDemand())
	}
	slices.SortFunc(demands, func(a, b StoreDemand) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return demands
}

// SetStoreBudget hands an engine its share of the weight store's limits.
func (m *Manager) SetStoreBudget(id state.UpstreamID, budget core.StoreBudget) {
	if w := m.find(id); w != nil {
		w.handle(budget)
	}
}

func (w *worker) storeDemand() StoreDemand {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.core.Status()
	return StoreDemand{
		Upstream:     w.u.ID,
		Exclusive:    w.auth.MayLoad && w.auth.MayUnload,
		MayLoad:      w.auth.MayLoad,
		Urgency:      s.LoadUrgency,
		PendingLoads: s.PendingLoads,
		Loading:      len(s.Loading),
	}
}
