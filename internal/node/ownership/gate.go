package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Permissions returns what this daemon may do with an upstream now.
func (n *Node) Permissions(id state.UpstreamID) owner.Permissions {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	if e == nil {
		return owner.Permissions{}
	}
	return e.core.Authority(n.opts.Clock())
}

// Usable reports whether an adapter may be used and loaded on an upstream.
func (n *Node) Usable(id state.UpstreamID, a state.AdapterRef) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	return e != nil && !e.core.Quarantined(a)
}

// Report tells of a load report and returns the adapters in it that may be used.
func (n *Node) Report(id state.UpstreamID, boot state.BootID, resident []state.AdapterRef, askedAt time.Time) []state.AdapterRef {
	n.mu.Lock()
	e := n.entries[id]
	if e == nil {
		n.mu.Unlock()
		return resident
	}
	n.feed(e, ownership.LoadReport{Boot: boot, Resident: resident, RequestedAt: askedAt})
	frozen := e.core.FrozenAdapters()
	n.mu.Unlock()
	n.tell()
	return slices.DeleteFunc(slices.Clone(resident), func(a state.AdapterRef) bool { return slices.Contains(frozen, a) })
}

// AskUnload waits for the permission to unload an adapter that serves nothing.
func (n *Node) AskUnload(ctx context.Context, id state.UpstreamID, a state.AdapterRef) bool {
	answer := make(chan bool, 1)
	n.mu.Lock()
	e := n.entries[id]
	if e == nil || e.awaiting[a] != nil {
		n.mu.Unlock()
		return false
	}
	e.awaiting[a] = answer
	n.feed(e, ownership.RequestUnload{Adapter: a})
	n.mu.Unlock()
	select {
	case granted := <-answer:
		return granted
	case <-ctx.Done():
	}
	n.mu.Lock()
	delete(e.awaiting, a)
	n.feed(e, ownership.UnloadEnded{Adapter: a})
	n.mu.Unlock()
	return false
}

// UnloadEnded tells that a permitted unload can no longer take effect.
func (n *Node) UnloadEnded(id state.UpstreamID, a state.AdapterRef) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.entries[id]; e != nil {
		n.feed(e, ownership.UnloadEnded{Adapter: a})
	}
}
