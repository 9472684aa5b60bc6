package ownership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// Conditions returns the conditions for operators that limit what this daemon may do as an
// owner: a lost lease and upstreams at which unloads are frozen.
func (n *Node) Conditions(now time.Time) []protocol.Condition {
	var list []protocol.Condition
	until := n.LeaseValidUntil()
	if !now.Before(until) {
		list = append(list, protocol.Condition{
			Kind:     protocol.ConditionLeaseLost,
			Severity: protocol.SeverityWatch,
			Subject:  "lease of " + string(n.opts.Self),
			Detail:   "the platform has not confirmed the lease; requests continue with the adapters that upstreams have loaded",
			Since:    until.UTC(),
		})
	}
	for _, s := range n.Status() {
		if reasons := unloadFreezeReasons(s); len(reasons) > 0 {
			list = append(list, protocol.Condition{
				Kind:     protocol.ConditionUnloadFrozen,
				Severity: protocol.SeverityWatch,
				Subject:  "upstream " + string(s.Upstream),
				Detail:   describe(s, reasons),
			})
		}
	}
	return list
}

// unloadFreezeReasons returns the reasons for which unloads are frozen at an owned upstream.
// It omits the lost lease, which is reported as a separate condition. It also omits the
// release and the raising of the fence, which are steps of a normal handover.
func unloadFreezeReasons(s ownership.Status) []ownership.Reason {
	if !s.Owned {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.Reasons), func(r ownership.Reason) bool {
		return r == ownership.ReasonNoLease || r == ownership.ReasonReleasing || r == ownership.ReasonFence
	})
}

// describe returns the detail text of the condition for frozen unloads.
func describe(s ownership.Status, reasons []ownership.Reason) string {
	parts := make([]string, 0, len(reasons))
	for _, r := range reasons {
		parts = append(parts, string(r))
	}
	text := strings.Join(parts, ", ")
	for _, c := range s.UnresolvedClaims {
		text += fmt.Sprintf("; waits for %s, epoch %d", c.Session.Daemon, c.Epoch)
	}
	for _, a := range s.FrozenAdapters {
		text += fmt.Sprintf("; %s is not used", a)
	}
	return text
}
