package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// stallTimeout is how long an engine may bring no part of any answer while it
// runs requests. A request alone that waits behind more urgent ones does not
// count as stalled.
const stallTimeout = 5 * time.Second

var errStalled = errors.New("upstream: the engine makes no progress")

// progressTable keeps when each engine last brought a part of an answer.
type progressTable struct {
	mu      sync.Mutex
	engines map[state.UpstreamID]*engineProgress
}

type engineProgress struct {
	mu      sync.Mutex
	running int
	last    time.Time
}

// attemptProgress watches one request. Its context ends when the engine stalls.
type attemptProgress struct {
	table    *progressTable
	id       state.UpstreamID
	engine   *engineProgress
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	mu       sync.Mutex
	handover bool // the caller takes a part; the engine is not to blame
}

// watch starts to watch a request. The caller must call stop.
func (t *progressTable) watch(ctx context.Context, id state.UpstreamID) *attemptProgress {
	t.mu.Lock()
	e := t.engines[id]
	if e == nil {
		e = &engineProgress{}
		t.engines[id] = e
	}
	e.begin(time.Now())
	t.mu.Unlock()
	a := &attemptProgress{table: t, id: id, engine: e}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(stallTimeout, a.check)
	return a
}

// stop ends the watch.
func (a *attemptProgress) stop() {
	a.cancel(nil)
	a.mu.Lock()
	a.timer.Stop()
	a.mu.Unlock()
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if a.engine.end() && a.table.engines[a.id] == a.engine {
		delete(a.table.engines, a.id)
	}
}

// part notes a part of the answer.
func (a *attemptProgress) part() { a.engine.touch(time.Now()) }

// setHandover notes whether the caller is taking a part.
func (a *attemptProgress) setHandover(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handover = on
	if !on {
		a.engine.touch(time.Now())
	}
}

// check ends the request when the engine stalls, and looks again otherwise.
func (a *attemptProgress) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return
	}
	idle := a.engine.idle(time.Now())
	if a.handover {
		idle = 0
	}
	if idle >= stallTimeout {
		a.cancel(errStalled)
		return
	}
	a.timer.Reset(stallTimeout - idle)
}

// stalled returns the error of a request that was ended by check, or nil.
func (a *attemptProgress) stalled(step string, u *state.Upstream) *protocol.Error {
	if !errors.Is(context.Cause(a.ctx), errStalled) {
		return nil
	}
	return protocol.Errorf(protocol.KindInterrupted, step, protocol.OutcomeUnknown, "%v for %s", errStalled, stallTimeout).
		WithPeer(string(u.ID))
}

func (e *engineProgress) begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == 0 {
		e.last = now
	}
	e.running++
}

// end reports whether no request is left.
func (e *engineProgress) end() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	return e.running == 0
}

func (e *engineProgress) touch(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = now
}

func (e *engineProgress) idle(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.last)
}
