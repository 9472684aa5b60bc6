package fleet

import (
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loadwindow"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// mayLoadModel reports whether this daemon may order another load of model weights. Its share
// of the rate that the weight store allows all engines together must have a load left in the
// last ModelLoadWindow. It also drops the times of earlier loads.
func (n *Node) mayLoadModel(now time.Time, spec *routes.EngineSpec) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	allowed := spec.LoadsPerSec * n.opts.ModelLoadWindow.Seconds() * n.opts.ModelLoadBurst
	share := max(1, int(allowed/float64(len(n.members)+1)))
	kept := n.modelLoads[:0]
	for _, at := range n.modelLoads {
		if now.Sub(at) < n.opts.ModelLoadWindow {
			kept = append(kept, at)
		}
	}
	n.modelLoads = kept
	return len(kept) < share
}

// countModelLoad counts a load of model weights against this daemon's share.
func (n *Node) countModelLoad(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modelLoads = append(n.modelLoads, now)
}

// sharedWindow is the window of adapter loads at all engines whose leases a daemon holds.
type sharedWindow struct {
	mu     sync.Mutex
	window *loadwindow.Window
}

func (s *sharedWindow) hasCapacity(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.HasCapacity(now)
}

func (s *sharedWindow) setEngines(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.SetEngines(n)
}

func (s *sharedWindow) begin(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.Begin(end)
}

func (s *sharedWindow) size() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Size()
}

func (s *sharedWindow) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Slowdown()
}

// recordOverdueLoad records in the shared window that a load is overdue, which may narrow the
// window. end is the new estimate of the end of the load, ratio the estimated load time over
// the expected load time.
func (n *Node) recordOverdueLoad(now, end time.Time, ratio float64) {
	n.window.mu.Lock()
	defer n.window.mu.Unlock()
	n.window.window.LoadOverdue(now, end, ratio)
}

// pendingLoads returns the number of loads that wait for an order, at all engines of this
// daemon.
func (n *Node) pendingLoads() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pendingLoadsLocked()
}

// pendingLoadsLocked is pendingLoads for callers that hold the lock.
func (n *Node) pendingLoadsLocked() int {
	sum := 0
	for _, w := range n.workers {
		sum += w.pendingLoads()
	}
	return sum
}
