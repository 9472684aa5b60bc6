package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// stallTimeout is how long an engine with requests in flight may send no part of any
// answer before it counts as stalled. The timeout is not applied to each request, because
// a request may wait behind more urgent requests at an engine that is not stalled.
const stallTimeout = 5 * time.Second

var errStalled = errors.New("upstream: the engine makes no progress")

// activityTable holds the activity of each engine with requests in flight.
type activityTable struct {
	mu      sync.Mutex
	engines map[state.UpstreamID]*engineActivity
}

// engineActivity counts the requests in flight at an engine. LastActive is when the engine
// last sent a part of an answer, or when its first request in flight began if the engine
// has sent no part since.
type engineActivity struct {
	mu         sync.Mutex
	inFlight   int // requests
	lastActive time.Time
}

// stallWatch cancels the context of one request when its engine stalls.
type stallWatch struct {
	table      *activityTable
	id         state.UpstreamID
	engine     *engineActivity
	ctx        context.Context
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	mu         sync.Mutex
	delivering bool // a part is being delivered to the caller; the engine does not count as stalled meanwhile
}

// watch starts a watch for a request to an engine. The caller must call stop.
func (t *activityTable) watch(ctx context.Context, id state.UpstreamID) *stallWatch {
	t.mu.Lock()
	e := t.engines[id]
	if e == nil {
		e = &engineActivity{}
		t.engines[id] = e
	}
	e.begin(time.Now())
	t.mu.Unlock()
	w := &stallWatch{table: t, id: id, engine: e}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallTimeout, w.check)
	return w
}

// stop ends the watch and cancels its context.
func (w *stallWatch) stop() {
	w.cancel(nil)
	w.mu.Lock()
	w.timer.Stop()
	w.mu.Unlock()
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if w.engine.end() && w.table.engines[w.id] == w.engine {
		delete(w.table.engines, w.id)
	}
}

// recordPart records that a part of the answer arrived.
func (w *stallWatch) recordPart() { w.engine.recordActivity(time.Now()) }

// setDelivering records whether a part is being delivered to the caller.
func (w *stallWatch) setDelivering(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivering = on
	if !on {
		w.engine.recordActivity(time.Now())
	}
}

// check cancels the request if the engine has stalled. Otherwise it schedules the next
// check for the earliest time at which the engine could count as stalled.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	idle := w.engine.idle(time.Now())
	if w.delivering {
		idle = 0
	}
	if idle >= stallTimeout {
		w.cancel(errStalled)
		return
	}
	w.timer.Reset(stallTimeout - idle)
}

// stallError returns the error of a request that check canceled, or nil.
func (w *stallWatch) stallError(step string, u *state.Upstream) *protocol.Error {
	if !errors.Is(context.Cause(w.ctx), errStalled) {
		return nil
	}
	return protocol.Errorf(protocol.KindInterrupted, step, protocol.OutcomeUnknown, "%v for %s", errStalled, stallTimeout).
		WithPeer(string(u.ID))
}

func (e *engineActivity) begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight == 0 {
		e.lastActive = now
	}
	e.inFlight++
}

// end removes a request and reports whether the engine has no other request in flight.
func (e *engineActivity) end() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	return e.inFlight == 0
}

func (e *engineActivity) recordActivity(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastActive = now
}

func (e *engineActivity) idle(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastActive)
}
