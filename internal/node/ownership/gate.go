package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Permissions returns what this daemon may do at an upstream now.
func (n *Node) Permissions(id state.UpstreamID) owner.Permissions {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	if e == nil {
		return owner.Permissions{}
	}
	return e.core.Permissions(n.opts.Clock())
}

// Usable reports whether an adapter may be used and loaded on an upstream.
func (n *Node) Usable(id state.UpstreamID, a state.AdapterRef) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	return e != nil && !e.core.Quarantined(a)
}

// Report passes a load report to the ownership of its upstream and returns the resident
// adapters that may be used.
func (n *Node) Report(id state.UpstreamID, boot state.BootID, resident []state.AdapterRef, askedAt time.Time) []state.AdapterRef {
	n.mu.Lock()
	e := n.entries[id]
	if e == nil {
		n.mu.Unlock()
		return resident
	}
	n.handleEvent(e, ownership.LoadReport{Boot: boot, Resident: resident, RequestedAt: askedAt})
	frozen := e.core.FrozenAdapters()
	n.mu.Unlock()
	n.updateOwner()
	return slices.DeleteFunc(slices.Clone(resident), func(a state.AdapterRef) bool { return slices.Contains(frozen, a) })
}

// AskUnload requests the permission to unload an adapter without requests and waits for the
// decision. It reports whether the unload is granted.
func (n *Node) AskUnload(ctx context.Context, id state.UpstreamID, a state.AdapterRef) bool {
	decision := make(chan bool, 1)
	n.mu.Lock()
	e := n.entries[id]
	if e == nil || e.unloadWaiters[a] != nil {
		n.mu.Unlock()
		return false
	}
	e.unloadWaiters[a] = decision
	n.handleEvent(e, ownership.RequestUnload{Adapter: a})
	n.mu.Unlock()
	select {
	case granted := <-decision:
		return granted
	case <-ctx.Done():
	}
	n.mu.Lock()
	delete(e.unloadWaiters, a)
	n.handleEvent(e, ownership.UnloadEnded{Adapter: a})
	n.mu.Unlock()
	return false
}

// UnloadEnded records that a granted unload has taken effect or can no longer do so.
func (n *Node) UnloadEnded(id state.UpstreamID, a state.AdapterRef) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.entries[id]; e != nil {
		n.handleEvent(e, ownership.UnloadEnded{Adapter: a})
	}
}
