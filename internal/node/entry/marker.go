package entry

import (
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// excessMarker marks requests beyond the usual rate of their class. It is safe for
// concurrent use.
type excessMarker struct {
	catalog func() *state.Catalog // may be nil

	mu        sync.Mutex
	marker    *admission.Marker
	ranksFrom *state.Catalog // configuration from which the marker has its ranks
}

func newExcessMarker(catalog func() *state.Catalog) *excessMarker {
	return &excessMarker{catalog: catalog, marker: admission.NewMarker(admission.DefaultMarkerOptions())}
}

// mark counts a call and reports whether the call is beyond the usual rate of its class. It
// also returns the first-token target of the call's rank.
func (m *excessMarker) mark(now time.Time, call *protocol.Call) (excess bool, target time.Duration) {
	var current *state.Catalog
	if m.catalog != nil {
		current = m.catalog()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current != nil && current != m.ranksFrom {
		m.ranksFrom = current
		m.marker.SetRanks(current.Ranks())
	}
	if m.ranksFrom != nil && int(call.Rank) < len(m.ranksFrom.Ranks()) {
		target = m.ranksFrom.Ranks()[call.Rank].FirstToken
	}
	return m.marker.Mark(now, call.Class()), target
}
