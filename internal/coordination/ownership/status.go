package ownership

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Reason says why an owner may not do something, for operators.
type Reason string

// Reasons.
const (
	ReasonNoLease      Reason = "no_lease"      // the platform has not confirmed the lease
	ReasonPromise      Reason = "promise"       // a peer did not promise to honor an unload
	ReasonPredecessor  Reason = "predecessor"   // an earlier owner may still have requests running
	ReasonFrozenUnload Reason = "frozen_unload" // an earlier owner's unload may still arrive
	ReasonFence        Reason = "fence"         // the engine has not confirmed the fencing number
	ReasonReleasing    Reason = "releasing"     // the upstream is being handed over
	ReasonNotReleased  Reason = "held"          // the owner of record has not released
	ReasonMaxUnleased  Reason = "bound"         // too long without a lease
)

// Status is what operators see of the ownership of one upstream at one daemon.
type Status struct {
	Upstream         state.UpstreamID
	Epoch            state.Epoch
	Owner            lease.Session
	Owned            bool
	MayDispatch      bool
	MayLoad          bool
	MayUnload        bool
	Reasons          []Reason
	UnresolvedClaims []Claim            // earlier owners that must be resolved
	FrozenAdapters   []state.AdapterRef // adapters that are not used on this upstream
}

// Status returns the state for operators.
func (c *Core) Status(now time.Time) Status {
	auth := c.Authority(now)
	s := Status{
		Upstream:         c.cfg.Upstream,
		Epoch:            c.record.Epoch,
		Owner:            c.record.Owner,
		Owned:            c.mine(),
		MayDispatch:      auth.MayDispatch,
		MayLoad:          auth.MayLoad,
		MayUnload:        auth.MayUnload,
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

func (c *Core) reasons(now time.Time, frozen bool) []Reason {
	var reasons []Reason
	if !now.Before(c.until) {
		reasons = append(reasons, ReasonNoLease)
	}
	if !now.Before(c.until) && !now.Before(c.lastEnd.Add(c.cfg.MaxUnleased)) {
		reasons = append(reasons, ReasonMaxUnleased)
	}
	if c.cfg.Engine && c.cfg.Fenced && (c.boot == "" || c.fenced != c.boot) {
		reasons = append(reasons, ReasonFence)
	}
	if r := c.cannotUnload(now); r != "" {
		reasons = append(reasons, r)
	}
	if frozen {
		reasons = append(reasons, ReasonFrozenUnload)
	}
	return reasons
}
