package owner

import (
	"context"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// settleTime is the longest time that an unload without an answer may still take
// effect.
const settleTime = 10 * time.Second

// Gate is asked right before each dispatch and order whether this daemon still may.
type Gate interface {
	Permissions(id state.UpstreamID) core.Permissions
	// Usable reports whether an adapter may be used and loaded on an upstream.
	Usable(id state.UpstreamID, a state.AdapterRef) bool
	// Report takes a load report and returns the adapters that may be used.
	Report(id state.UpstreamID, boot state.BootID, resident []state.AdapterRef, askedAt time.Time) []state.AdapterRef
	// AskUnload waits for the permission to unload an adapter.
	AskUnload(ctx context.Context, id state.UpstreamID, a state.AdapterRef) bool
	// UnloadEnded tells that a permitted unload can no longer take effect.
	UnloadEnded(id state.UpstreamID, a state.AdapterRef)
}

// SetGate sets the gate. It must be called before the first Own; without a gate
// everything is allowed.
func (m *Manager) SetGate(g Gate) { m.gate = g }

// Idle reports that nothing of an upstream that was given up is in progress.
func (m *Manager) Idle(id state.UpstreamID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var busy []*worker
	for _, w := range m.retired[id] {
		if !w.idle() {
			busy = append(busy, w)
		}
	}
	if len(busy) == 0 {
		delete(m.retired, id)
		return true
	}
	m.retired[id] = busy
	return false
}

func (w *worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0 && w.orders == 0
}

// beginOrder counts an order until the returned function is called.
func (w *worker) beginOrder() func() {
	w.mu.Lock()
	w.orders++
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		w.orders--
		w.mu.Unlock()
	}
}

// mayDispatch refuses a request that this daemon may no longer send.
func (w *worker) mayDispatch(call *protocol.Call) *protocol.Error {
	g := w.m.gate
	if g == nil {
		return nil
	}
	may := g.Permissions(w.u.ID).MayDispatch
	if may && call.Model != nil {
		may = g.Usable(w.u.ID, call.Model.Adapter)
	}
	if may {
		return nil
	}
	return protocol.Errorf(protocol.KindNotOwner, "dispatch request", protocol.OutcomeNotRun,
		"daemon %s may not dispatch to %s", w.m.opts.Self, w.u.ID).WithPeer(string(w.m.opts.Self))
}

func (w *worker) mayLoad(a core.Load) bool {
	g := w.m.gate
	return g == nil || g.Permissions(w.u.ID).MayLoad && g.Usable(w.u.ID, a.Adapter)
}

// orderUnload sends an unload if it is permitted. It returns when the order can
// no longer take effect.
func (w *worker) orderUnload(ctx context.Context, a core.Unload) *protocol.Error {
	g := w.m.gate
	if g == nil {
		return w.m.opts.Client.Unload(ctx, w.u, a.Adapter, a.Epoch)
	}
	if !g.AskUnload(ctx, w.u.ID, a.Adapter) {
		return protocol.Errorf(protocol.KindNotOwner, "unload adapter", protocol.OutcomeNotRun, "not permitted at present")
	}
	defer g.UnloadEnded(w.u.ID, a.Adapter)
	if auth := g.Permissions(w.u.ID); !auth.MayUnload || auth.Epoch != a.Epoch {
		return protocol.Errorf(protocol.KindNotOwner, "unload adapter", protocol.OutcomeNotRun, "permission has ended")
	}
	err := w.m.opts.Client.Unload(ctx, w.u, a.Adapter, a.Epoch)
	if err != nil && err.Outcome != protocol.OutcomeNotRun {
		w.settle()
	}
	return err
}

// settle waits until an order without an answer can no longer take effect.
func (w *worker) settle() {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.m.ctx.Done():
	}
}
