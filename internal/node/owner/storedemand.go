package owner

import (
	"slices"
	"strings"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

// StoreDemand is the demand of an owned engine for loads from the weight store.
type StoreDemand struct {
	Upstream     state.UpstreamID
	Exclusive    bool // no other daemon may order loads or unloads at the engine
	MayLoad      bool
	Urgency      float64 // of the most urgent pending load
	PendingLoads int
	Loading      int // loads in flight
}

// StoreDemands returns the demand of every owned engine, ordered by identifier.
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

// SetStoreBudget sets an engine's share of the limits of the weight store.
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
		Exclusive:    w.perms.MayLoad && w.perms.MayUnload,
		MayLoad:      w.perms.MayLoad,
		Urgency:      s.LoadUrgency,
		PendingLoads: s.PendingLoads,
		Loading:      len(s.Loading),
	}
}
