// Package loadwindow limits the adapter loads from the weight store that a daemon has in
// flight. Beyond some number of loads over the whole fleet the store slows all of them
// down. That number is not published; each daemon adapts its share to the load times that
// it observes.
package loadwindow

import "time"

const (
	initialSize          = 2.0 // minimum
	initialSizePerEngine = 0.6
	minSize              = 1.0
	maxSize              = 32.0
	increase             = 0.15 // per load that ended in time, divided by the size
	decrease             = 0.8  // factor when a load is overdue
	slowdownGain         = 0.3  // weight of an overdue load in the slowdown
	slowdownDecay        = 0.93 // factor of the excess slowdown per load that ended in time
	maxSlowdown          = 3.0
	// minDecreaseInterval is the minimum time between two decreases: loads that were in
	// flight together become overdue together.
	minDecreaseInterval = 300 * time.Millisecond
)

// load is a load in flight, by estimate.
type load struct {
	estimatedEnd time.Time
	overdue      bool
}

// Window is the limit of one daemon, with additive increase and multiplicative decrease.
// It is not safe for concurrent use.
type Window struct {
	size         float64
	slowdown     float64 // actual over expected time of a load
	lastDecrease time.Time
	loads        []load
}

// New returns a window of the initial size.
func New() *Window { return &Window{size: initialSize, slowdown: 1} }

// SetEngines sets the number of engines that the daemon orders loads at. Until the first
// decrease the size grows with it. A start at one load per engine would make every load
// after a restart overdue.
func (w *Window) SetEngines(n int) {
	if w.lastDecrease.IsZero() {
		w.size = max(w.size, initialSizePerEngine*float64(n))
	}
}

// Size returns the maximum number of loads in flight.
func (w *Window) Size() float64 { return w.size }

// Slowdown returns the ratio of the current time of a load to that at full speed. It is the
// same for all engines, since they share the weight store.
func (w *Window) Slowdown() float64 { return w.slowdown }

// HasCapacity reports whether another load may start. It first counts the loads whose
// estimated end has passed as completed.
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

// Begin counts a load with its estimated end.
func (w *Window) Begin(end time.Time) { w.loads = append(w.loads, load{estimatedEnd: end}) }

// LoadOverdue records that a load had not completed by its estimated end. It counts as in
// flight until the new estimate, end. ratio is its estimated over its expected time.
func (w *Window) LoadOverdue(now, end time.Time, ratio float64) {
	w.slowdown += slowdownGain * max(0, min(maxSlowdown, ratio)-w.slowdown)
	w.loads = append(w.loads, load{estimatedEnd: end, overdue: true})
	if now.Sub(w.lastDecrease) < minDecreaseInterval {
		return
	}
	w.lastDecrease = now
	w.size = max(minSize, w.size*decrease)
}
