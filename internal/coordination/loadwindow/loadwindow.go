// Package loadwindow limits how many adapters a daemon has on their way from the
// weight store. The store slows all loads down beyond a number in flight over the
// whole fleet that nobody tells; each daemon finds its share of it by itself.
package loadwindow

import "time"

const (
	initial     = 2.0 // at least
	perEngine   = 0.6 // at first, for each engine
	smallest    = 1.0
	largest     = 32.0
	increase    = 0.15 // for each load that was there in time, divided by the window
	decrease    = 0.8  // when a load was late
	paceGain    = 0.3  // share of a late load in the pace
	paceKeep    = 0.93
	largestPace = 3.0
	// decreasePause is the least time between two decreases: loads that were on
	// their way together are late together.
	decreasePause = 300 * time.Millisecond
)

type load struct {
	end  time.Time
	late bool
}

// Window is the limit of one daemon: additive increase, multiplicative decrease. It is
// not safe for concurrent use.
type Window struct {
	size      float64
	pace      float64 // actual over expected time of a load
	decreased time.Time
	loads     []load // in flight, by estimate
}

// New returns a window that has not learned anything.
func New() *Window { return &Window{size: initial, pace: 1} }

// SetEngines tells how many engines the daemon orders loads at, from which the window
// begins. If all engines began at once after a start, every load would be late.
func (w *Window) SetEngines(n int) {
	if w.decreased.IsZero() {
		w.size = max(w.size, perEngine*float64(n))
	}
}

// Size returns the number of loads that may be in flight.
func (w *Window) Size() float64 { return w.size }

// Slowdown returns how much longer than at full speed a load takes at present. It is one
// figure for all engines, since they share the store.
func (w *Window) Slowdown() float64 { return w.pace }

// HasCapacity reports whether another load may begin.
func (w *Window) HasCapacity(now time.Time) bool {
	kept := w.loads[:0]
	for _, l := range w.loads {
		if l.end.After(now) {
			kept = append(kept, l)
		} else if !l.late {
			w.size = min(largest, w.size+increase/w.size)
			w.pace = 1 + (w.pace-1)*paceKeep
		}
	}
	w.loads = kept
	return len(w.loads) < int(w.size)
}

// Begin counts a load that is estimated to end at a time.
func (w *Window) Begin(end time.Time) { w.loads = append(w.loads, load{end: end}) }

// LoadOverdue notes that a load was not there when it should have been, and still takes a
// place until a new estimate. Ratio is its time until then over the expected time.
func (w *Window) LoadOverdue(now, end time.Time, ratio float64) {
	w.pace += paceGain * max(0, min(largestPace, ratio)-w.pace)
	w.loads = append(w.loads, load{end: end, late: true})
	if now.Sub(w.decreased) < decreasePause {
		return
	}
	w.decreased = now
	w.size = max(smallest, w.size*decrease)
}
