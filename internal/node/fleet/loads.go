package fleet

import (
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loadwindow"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// mayLoadModel takes one load of weights from this daemon's share of what the weight
// store allows all engines, if there is one left in the window.
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

// countModelLoad counts a load of weights.
func (n *Node) countModelLoad(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modelLoads = append(n.modelLoads, now)
}

// sharedWindow is the window of loads of all engines that a daemon holds.
type sharedWindow struct {
	mu     sync.Mutex
	window *loadwindow.Window
}

func (s *sharedWindow) free(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.HasCapacity(now)
}

func (s *sharedWindow) engines(n int) {
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

func (s *sharedWindow) pace() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Slowdown()
}

// lateLoad narrows the window: a load is late, and still in flight until end.
func (n *Node) lateLoad(now, end time.Time, ratio float64) {
	n.window.mu.Lock()
	defer n.window.mu.Unlock()
	n.window.window.LoadOverdue(now, end, ratio)
}

// backlog is the number of wishes for loads at all engines of this daemon.
func (n *Node) backlog() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.backlogLocked()
}

// backlogLocked is backlog for callers that hold the lock.
func (n *Node) backlogLocked() int {
	sum := 0
	for _, w := range n.workers {
		sum += w.wishes()
	}
	return sum
}
