// Package loadwindow limits the adapter loads from the weight store that a daemon has in
// flight. If the whole fleet has more than some number of loads in flight, the store slows
// all of them down. The store does not publish this number, so each daemon adapts its limit
// to the load times that it observes.
package loadwindow

import "time"

const (
	initialSize          = 2.0 // loads in flight, for a daemon with few engines
	initialSizePerEngine = 0.6 // loads in flight per engine, until the first decrease
	minSize              = 1.0
	maxSize              = 32.0
	increase             = 0.15 // divided by the size, added to it per load that ended in time
	decrease             = 0.8  // factor of the size when a load is overdue
	slowdownGain         = 0.3  // weight of the ratio of an overdue load in the slowdown
	slowdownDecay        = 0.93 // factor of the excess slowdown per load that ended in time
	maxSlowdown          = 3.0
	// minDecreaseInterval is the minimum time between two decreases of the size. Loads that are
	// in flight together become overdue together and must not decrease the size repeatedly.
	minDecreaseInterval = 300 * time.Millisecond
)

// load is a load that is in flight until its estimated end.
type load struct {
	estimatedEnd time.Time
	overdue      bool
}

// Window limits the loads in flight of one daemon. Its size changes by additive increase and
// multiplicative decrease.
// It is not safe for concurrent use.
type Window struct {
	size         float64
	slowdown     float64 // ratio of the actual to the expected time of a load
	lastDecrease time.Time
	loads        []load
}

// New returns a window of the initial size.
func New() *Window { return &Window{size: initialSize, slowdown: 1} }

// SetEngines sets the number of engines at which the daemon orders loads. Until the first
// decrease, the size is at least initialSizePerEngine per engine. An initial size of one load
// per engine would make every load after a restart overdue.
func (w *Window) SetEngines(n int) {
	if w.lastDecrease.IsZero() {
		w.size = max(w.size, initialSizePerEngine*float64(n))
	}
}

// Size returns the maximum number of loads in flight.
func (w *Window) Size() float64 { return w.size }

// Slowdown returns the ratio of the current load time to the load time at full speed. All
// engines have the same ratio, since they share the weight store.
func (w *Window) Slowdown() float64 { return w.slowdown }

// HasCapacity reports whether another load may start. It first removes the loads whose
// estimated end has passed. If such a load was never overdue, the size grows and the slowdown
// decays.
func (w *Window) HasCapacity(now time.Time) bool {
	kept := w.loads[:0]
	for _, l := range w.loads {
		if l.estimatedEnd.After(now) {
			kept = append(kept, l)
		} else if !l.overdue {
			w.size = min(maxSize, w.size+increase/w.size)
			w.slowdown = 1 + (w.slowdown-1)*slowdownDecay
		}
	}
	w.loads = kept
	return len(w.loads) < int(w.size)
}

// Begin adds a load that is in flight until its estimated end.
func (w *Window) Begin(end time.Time) { w.loads = append(w.loads, load{estimatedEnd: end}) }

// LoadOverdue records that a load had not completed by its estimated end. The load counts as
// in flight until its new estimated end. ratio is the ratio of its newly estimated to its
// expected time; it increases the slowdown. The size decreases at most once per
// minDecreaseInterval.
func (w *Window) LoadOverdue(now, end time.Time, ratio float64) {
	w.slowdown += slowdownGain * max(0, min(maxSlowdown, ratio)-w.slowdown)
	w.loads = append(w.loads, load{estimatedEnd: end, overdue: true})
	if now.Sub(w.lastDecrease) < minDecreaseInterval {
		return
	}
	w.lastDecrease = now
	w.size = max(minSize, w.size*decrease)
}
