package ownership

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Reason is shown to operators. It states why a daemon may not use an upstream or may not
// unload adapters there.
type Reason string

// Reasons for a missing permission.
const (
	ReasonNoLease      Reason = "no_lease"      // the object store has not confirmed the lease
	ReasonPromise      Reason = "promise"       // a peer refused to promise to honor an unload
	ReasonPredecessor  Reason = "predecessor"   // an earlier owner may still have requests or orders in flight
	ReasonFrozenUnload Reason = "frozen_unload" // an unload of an earlier owner may still reach the engine
	ReasonFence        Reason = "fence"         // the engine has not confirmed the fencing token
	ReasonReleasing    Reason = "releasing"     // the owner has sent the release of the upstream
	ReasonNotReleased  Reason = "held"          // the owner named by the record has not released the upstream
	ReasonMaxUnleased  Reason = "bound"         // MaxUnleased has passed without a valid lease
)

// Status is the state of the ownership of one upstream at one daemon, for operators.
type Status struct {
	Upstream         state.UpstreamID
	Epoch            state.Epoch
	Owner            lease.Session
	Owned            bool // this daemon is the owner
	MayDispatch      bool
	MayLoad          bool
	MayUnload        bool
	Reasons          []Reason
	UnresolvedClaims []Claim            // claims of earlier owners that must be resolved before an unload
	FrozenAdapters   []state.AdapterRef // adapters that this daemon does not use on the upstream
}

// Status returns the state of the ownership for operators.
func (c *Core) Status(now time.Time) Status {
	perms := c.Permissions(now)
	s := Status{
		Upstream:         c.cfg.Upstream,
		Epoch:            c.record.Epoch,
		Owner:            c.record.Owner,
		Owned:            c.owns(),
		MayDispatch:      perms.MayDispatch,
		MayLoad:          perms.MayLoad,
		MayUnload:        perms.MayUnload,
		UnresolvedClaims: c.UnresolvedClaims(),
	}
	if !s.Owned {
		if _, waits := c.BlockingSession(); waits {
			s.Reasons = append(s.Reasons, ReasonNotReleased)
		}
		return s
	}
	s.FrozenAdapters = c.FrozenAdapters()
	s.Reasons = c.reasons(now, len(s.FrozenAdapters) > 0)
	return s
}

// reasons returns why the owner lacks permissions, or has no valid lease. frozen is set if
// adapters are frozen.
func (c *Core) reasons(now time.Time, frozen bool) []Reason {
	var reasons []Reason
	if !now.Before(c.validUntil) {
		reasons = append(reasons, ReasonNoLease)
	}
	if !now.Before(c.validUntil) && !now.Before(c.lastValidUntil.Add(c.cfg.MaxUnleased)) {
		reasons = append(reasons, ReasonMaxUnleased)
	}
	if c.cfg.Engine && c.cfg.Fenced && (c.boot == "" || c.fencedBoot != c.boot) {
		reasons = append(reasons, ReasonFence)
	}
	if r := c.unloadBlockedBy(now); r != "" {
		reasons = append(reasons, r)
	}
	if frozen {
		reasons = append(reasons, ReasonFrozenUnload)
	}
	return reasons
}
