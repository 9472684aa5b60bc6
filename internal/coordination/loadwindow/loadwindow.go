// Package loadwindow limits how many adapters a daemon has on their way from the
// weight store. The store slows all loads down beyond a number in flight over the
// whole fleet that nobody tells; each daemon finds its share of it by itself.
package loadwindow

import "time"

const (
	initial  = 2.0 // or one for each engine
	smallest = 1.0
	largest  = 32.0
	increase = 0.2 // for each load that was there in time, divided by the window
	decrease = 0.7 // when a load was late
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
	decreased time.Time
	loads     []load // in flight, by estimate
}

// New returns a window that has not learned anything.
func New() *Window { return &Window{size: initial} }

// Engines tells how many engines the daemon orders loads at. Before the first late load
// each of them may take one in.
func (w *Window) Engines(n int) {
	if w.decreased.IsZero() {
		w.size = max(w.size, float64(n))
	}
}

// Size returns the number of loads that may be in flight.
func (w *Window) Size() float64 { return w.size }

// Free reports whether another load may begin.
func (w *Window) Free(now time.Time) bool {
	kept := w.loads[:0]
	for _, l := range w.loads {
		if l.end.After(now) {
			kept = append(kept, l)
		} else if !l.late {
			w.size = min(largest, w.size+increase/w.size)
		}
	}
	w.loads = kept
	return len(w.loads) < int(w.size)
}

// Begin counts a load that is estimated to end at a time.
func (w *Window) Begin(end time.Time) { w.loads = append(w.loads, load{end: end}) }

// Late notes that a load was not there when it should have been, and still takes a
// place until a new estimate.
func (w *Window) Late(now, end time.Time) {
	w.loads = append(w.loads, load{end: end, late: true})
	if now.Sub(w.decreased) < decreasePause {
		return
	}
	w.decreased = now
	w.size = max(smallest, w.size*decrease)
}
