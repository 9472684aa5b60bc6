package owner

import (
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// maxLoadSpans bounds the load spans that are kept for one upstream.
const maxLoadSpans = 1024

// Observer receives measurements of dispatches and loads.
type Observer interface {
	// Dispatched is called when a request starts to run. wait is the time that the request
	// was queued. stall is the part of wait during which the adapter of the request was
	// loading. batch is the number of running requests, including the dispatched request.
	Dispatched(c state.Class, wait, stall time.Duration, batch int)
	// Loaded is called with the duration of a load when the load has ended.
	Loaded(d time.Duration, failed bool)
}

type noObserver struct{}

func (noObserver) Dispatched(state.Class, time.Duration, time.Duration, int) {}
func (noObserver) Loaded(time.Duration, bool)                                {}

// loadSpan is the time span of the last load of an adapter.
type loadSpan struct{ start, end time.Time }

// overlap returns how much of the span lies between from and to.
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

// observeDispatch reports a dispatch to the observer.
func (w *worker) observeDispatch(p *submission) {
	now := w.m.opts.Clock()
	w.mu.Lock()
	var stall time.Duration
	if p.call.Model != nil {
		stall = w.lastLoads[p.call.Model.Adapter].overlap(p.queuedAt, now)
	}
	batch := w.core.Status().Running
	w.mu.Unlock()
	w.m.opts.Observer.Dispatched(p.call.Class(), now.Sub(p.queuedAt), stall, batch)
}

// observeLoadStart records the start of a load and returns its start time.
func (w *worker) observeLoadStart(adapter state.AdapterRef) time.Time {
	now := w.m.opts.Clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loadStarts[adapter] = now
	return now
}

// observeLoadEnd records the result of a load and reports it to the observer. If
// maxLoadSpans spans are kept, it drops all of them before it adds the new span.
func (w *worker) observeLoadEnd(adapter state.AdapterRef, start time.Time, err *protocol.Error) {
	now := w.m.opts.Clock()
	w.mu.Lock()
	if len(w.lastLoads) >= maxLoadSpans {
		clear(w.lastLoads)
	}
	w.lastLoads[adapter] = loadSpan{start: start, end: now}
	w.recordLoadResult(adapter, now, err)
	w.mu.Unlock()
	w.m.opts.Observer.Loaded(now.Sub(start), err != nil)
}

// forgetLoad drops the load span of an adapter after an unload order has ended.
func (w *worker) forgetLoad(a core.Unload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lastLoads, a.Adapter)
}
