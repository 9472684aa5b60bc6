package owner

import (
	"context"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// unresolvedUnloadTimeout is the time after which an unload of unknown outcome can no
// longer take effect.
const unresolvedUnloadTimeout = 10 * time.Second

// Gate decides whether calls and orders may be sent to an upstream. The manager consults
// the gate immediately before each dispatch and order, because the lease may have ended
// after the core decided.
type Gate interface {
	// Permissions returns what this daemon may do at an upstream now.
	Permissions(id state.UpstreamID) core.Permissions
	// Usable reports whether an adapter may be used and loaded on an upstream.
	Usable(id state.UpstreamID, a state.AdapterRef) bool
	// Report records a load report that was requested at askedAt. It returns the
	// resident adapters that may be used.
	Report(id state.UpstreamID, boot state.BootID, resident []state.AdapterRef, askedAt time.Time) []state.AdapterRef
	// AskUnload requests the permission to unload an adapter, and reports whether it
	// was granted. It blocks until the request is decided or ctx ends.
	AskUnload(ctx context.Context, id state.UpstreamID, a state.AdapterRef) bool
	// UnloadEnded gives a permission to unload back. The caller must make sure that the
	// unload has taken effect or can no longer do so.
	UnloadEnded(id state.UpstreamID, a state.AdapterRef)
}

// SetGate sets the gate. It must be called before the first Own. Without a gate
// every dispatch and order is allowed.
func (m *Manager) SetGate(g Gate) { m.gate = g }

// Idle reports whether an upstream that was disowned has no calls or orders in flight. It
// drops the workers that have none.
func (m *Manager) Idle(id state.UpstreamID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var busy []*worker
	for _, w := range m.disowned[id] {
		if !w.idle() {
			busy = append(busy, w)
		}
	}
	if len(busy) == 0 {
		delete(m.disowned, id)
		return true
	}
	m.disowned[id] = busy
	return false
}

// idle reports whether no calls are queued or running and no orders are in flight.
func (w *worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls) == 0 && w.ordersInFlight == 0
}

// beginOrder counts an order as in flight until the returned function is called.
func (w *worker) beginOrder() func() {
	w.mu.Lock()
	w.ordersInFlight++
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		w.ordersInFlight--
		w.mu.Unlock()
	}
}

// checkDispatch returns an error if this daemon may not dispatch the call now.
func (w *worker) checkDispatch(call *protocol.Call) *protocol.Error {
	if crashes := w.m.opts.Crashes; crashes != nil && call.Model != nil { // refused since it was queued?
		if err := crashes.Refusal(suspects.Fingerprint(call.Fingerprint), call.Model.SharedMessages); err != nil {
			return err
		}
	}
	g := w.m.gate
	if g == nil {
		return nil
	}
	allowed := g.Permissions(w.u.ID).MayDispatch
	if allowed && call.Model != nil {
		allowed = g.Usable(w.u.ID, call.Model.Adapter)
	}
	if allowed {
		return nil
	}
	return protocol.Errorf(protocol.KindNotOwner, "dispatch request", protocol.OutcomeNotRun,
		"daemon %s may not dispatch to %s", w.m.opts.Self, w.u.ID).WithPeer(string(w.m.opts.Self))
}

// mayLoad reports whether this daemon may order the load now.
func (w *worker) mayLoad(a core.Load) bool {
	g := w.m.gate
	return g == nil || g.Permissions(w.u.ID).MayLoad && g.Usable(w.u.ID, a.Adapter)
}

// orderUnload requests the permission to unload an adapter and, if granted, sends the order.
// It returns when the order has taken effect or can no longer do so.
func (w *worker) orderUnload(ctx context.Context, a core.Unload) *protocol.Error {
	g := w.m.gate
	if g == nil {
		return w.m.opts.Client.Unload(ctx, w.u, a.Adapter, a.Epoch)
	}
	if !g.AskUnload(ctx, w.u.ID, a.Adapter) {
		return protocol.Errorf(protocol.KindNotOwner, "unload adapter", protocol.OutcomeNotRun, "permission to unload was not granted")
	}
	defer g.UnloadEnded(w.u.ID, a.Adapter)
	if perms := g.Permissions(w.u.ID); !perms.MayUnload || perms.Epoch != a.Epoch {
		return protocol.Errorf(protocol.KindNotOwner, "unload adapter", protocol.OutcomeNotRun, "permission to unload has ended")
	}
	err := w.m.opts.Client.Unload(ctx, w.u, a.Adapter, a.Epoch)
	if err != nil && err.Outcome != protocol.OutcomeNotRun {
		w.waitOutUnload()
	}
	return err
}

// waitOutUnload waits until an unload of unknown outcome can no longer take effect.
func (w *worker) waitOutUnload() {
	timer := time.NewTimer(unresolvedUnloadTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.m.ctx.Done():
	}
}
