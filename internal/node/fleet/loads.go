package fleet

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// mayLoadModel takes one load of weights from this daemon's share of what the weight
// store allows all engines, if there is one left in the window.
func (n *Node) mayLoadModel(now time.Time, spec *routes.EngineSpec) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	allowed := spec.LoadsPerSec * n.opts.LoadWindow.Seconds() * n.opts.LoadBurst
	share := max(1, int(allowed/float64(len(n.members)+1)))
	kept := n.modelLoads[:0]
	for _, at := range n.modelLoads {
		if now.Sub(at) < n.opts.LoadWindow {
			kept = append(kept, at)
		}
	}
	n.modelLoads = kept
	return len(kept) < share
}

// countModelLoad counts a load of weights.
func (n *Node) countModelLoad(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modelLoads = append(n.modelLoads, now)
}
