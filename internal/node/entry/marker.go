package entry

import (
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// marks marks requests beyond the usual rate of their class. It is safe for
// concurrent use.
type marks struct {
	catalog func() *state.Catalog // may be nil

	mu     sync.Mutex
	marker *admission.Marker
	known  *state.Catalog // whose ranks the marker has
}

func newMarks(catalog func() *state.Catalog) *marks {
	return &marks{catalog: catalog, marker: admission.NewMarker(admission.DefaultMarkerOptions())}
}

// mark notes a call and reports whether it is beyond the usual rate of its class,
// and the time to the first token that its rank aims at.
func (m *marks) mark(now time.Time, call *protocol.Call) (excess bool, target time.Duration) {
	var current *state.Catalog
	if m.catalog != nil {
		current = m.catalog()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current != nil && current != m.known {
		m.known = current
		m.marker.SetRanks(current.Ranks())
	}
	if m.known != nil && int(call.Rank) < len(m.known.Ranks()) {
		target = m.known.Ranks()[call.Rank].FirstToken
	}
	return m.marker.Mark(now, call.Class()), target
}
