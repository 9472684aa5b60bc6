package owner

import (
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// maxSpans bounds the loads that are remembered for an upstream.
const maxSpans = 1024

// Observer is told what the owner does.
type Observer interface {
	// Dispatched tells of a request that starts to run: how long it waited, how long
	// of that for a load of its adapter, and how many requests run with it.
	Dispatched(c state.Class, wait, stall time.Duration, batch int)
	// Loaded tells of the end of a load.
	Loaded(d time.Duration, failed bool)
}

type noObserver struct{}

func (noObserver) Dispatched(state.Class, time.Duration, time.Duration, int) {}
func (noObserver) Loaded(time.Duration, bool)                                {}

// loadSpan is the time of the last load of an adapter.
type loadSpan struct{ start, end time.Time }

// overlap returns how long the span lasted between two times.
func (s loadSpan) overlap(from, to time.Time) time.Duration {
	start, end := s.start, s.end
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(start))
}

// observeDispatch reports the wait of a request.
func (w *worker) observeDispatch(p *pending) {
	now := w.m.opts.Clock()
	w.mu.Lock()
	var stall time.Duration
	if p.call.Model != nil {
		stall = w.loads[p.call.Model.Adapter].overlap(p.queued, now)
	}
	batch := w.core.Status().Running
	w.mu.Unlock()
	w.m.opts.Observer.Dispatched(p.call.Class(), now.Sub(p.queued), stall, batch)
}

// observeLoadStart notes that a load begins and returns when.
func (w *worker) observeLoadStart(adapter state.AdapterRef) time.Time {
	now := w.m.opts.Clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading[adapter] = now
	return now
}

// observeLoad reports a load that began at start. It keeps the spans of the
// newest loads.
func (w *worker) observeLoad(adapter state.AdapterRef, start time.Time, err *protocol.Error) {
	now := w.m.opts.Clock()
	w.mu.Lock()
	if len(w.loads) >= maxSpans {
		clear(w.loads)
	}
	w.loads[adapter] = loadSpan{start: start, end: now}
	w.noteLoad(adapter, now, err)
	w.mu.Unlock()
	w.m.opts.Observer.Loaded(now.Sub(start), err != nil)
}

// forgetLoad drops the span of an adapter that was unloaded.
func (w *worker) forgetLoad(a core.Unload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.loads, a.Adapter)
}
