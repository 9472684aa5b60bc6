package ownership

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Quarantined reports that an unload of the adapter may still reach the engine.
// The owner neither uses nor loads the adapter there.
func (c *Core) Quarantined(a state.AdapterRef) bool {
	if !c.cfg.Engine {
		return false
	}
	for _, p := range c.granted {
		if p.Adapter == a {
			return true
		}
	}
	for _, p := range c.record.Pending {
		if p.Adapter == a && c.foreign(p) && !c.isEnded(p) && !c.isResolved(p.Claim) {
			return true
		}
	}
	return false
}

// FrozenAdapters returns the adapters that are quarantined because of earlier owners.
func (c *Core) FrozenAdapters() []state.AdapterRef {
	var frozen []state.AdapterRef
	for _, p := range c.record.Pending {
		if c.foreign(p) && c.Quarantined(p.Adapter) {
			frozen = appendNew(frozen, p.Adapter)
		}
	}
	return frozen
}

// HasUnrecordedUnload reports that an unload under way is known to the peers alone and not
// yet to the platform. Until then the lease must name no new peers, and no new
// term may start.
func (c *Core) HasUnrecordedUnload() bool {
	if c.cfg.Fenced || !c.cfg.Engine {
		return false
	}
	if len(c.asking) > 0 {
		return true
	}
	for _, p := range c.granted {
		if !slices.Contains(c.record.Pending, p) {
			return true
		}
	}
	return false
}

// HasUnloadInFlight reports that an unload of this daemon may still reach the engine.
func (c *Core) HasUnloadInFlight() bool {
	return len(c.granted) > 0 || len(c.asked)+len(c.asking)+len(c.inWrite) > 0
}

// HonorsUnload reports that this daemon promises not to use the adapter after a takeover.
// A promise of an earlier unload of the same adapter does not count once this daemon
// may have taken over.
func (c *Core) HonorsUnload(p PendingUnload) bool {
	return !c.tookOver(p.Claim) && slices.Contains(c.notices, p)
}

// tookOver reports that the claim may have been taken over, by this daemon or by
// one that this daemon knows of.
func (c *Core) tookOver(claim Claim) bool {
	return c.phase == writing || c.mine() || slices.Contains(c.lapsed, claim.Session) ||
		c.known && c.record.Epoch > claim.Epoch
}

func (c *Core) notice(p PendingUnload) {
	if !c.tookOver(p.Claim) {
		c.notices = appendNew(c.notices, p)
	}
}

func (c *Core) askUnload(now time.Time, a state.AdapterRef) []Action {
	auth := c.Authority(now)
	if !auth.MayUnload || c.Quarantined(a) || slices.Contains(c.asked, a) ||
		slices.Contains(c.inWrite, a) || slices.Contains(c.asking, a) {
		return []Action{UnloadDecision{Adapter: a}}
	}
	switch {
	case c.cfg.Fenced:
		return c.grant(a)
	case now.Before(c.until):
		c.asked = appendNew(c.asked, a)
		return nil
	}
	c.asking = appendNew(c.asking, a)
	return []Action{RequestPromises{Pending: c.pendingOf(a)}}
}

func (c *Core) pendingOf(a state.AdapterRef) PendingUnload {
	return PendingUnload{Adapter: a, Boot: c.boot, Claim: Claim{Session: c.session, Epoch: c.record.Epoch}}
}

func (c *Core) promised(now time.Time, e PromiseResult) []Action {
	if !slices.Contains(c.asking, e.Adapter) {
		return nil
	}
	c.asking = without(c.asking, func(a state.AdapterRef) bool { return a == e.Adapter })
	if !e.OK {
		c.promiseAt = now
	}
	if !e.OK || !c.Authority(now).MayUnload {
		return []Action{UnloadDecision{Adapter: e.Adapter}}
	}
	return c.grant(e.Adapter)
}

func (c *Core) grant(a state.AdapterRef) []Action {
	p := c.pendingOf(a)
	c.granted = append(slices.Clone(c.granted), p)
	return []Action{UnloadDecision{Adapter: a, Granted: true}}
}

// withAsked returns the record with the unloads that wait for it.
func (c *Core) withAsked() Record {
	next := c.cleaned()
	for _, a := range c.asked {
		next.Pending = appendNew(next.Pending, c.pendingOf(a))
	}
	for _, p := range c.granted {
		next.Pending = appendNew(next.Pending, p)
	}
	c.inWrite, c.asked = c.asked, nil
	return next
}

// grantWritten grants the unloads that the record now names.
func (c *Core) grantWritten(now time.Time, asked []state.AdapterRef) []Action {
	var out []Action
	for _, a := range asked {
		written := slices.Contains(c.record.Pending, c.pendingOf(a))
		if written && now.Before(c.until) && c.Authority(now).MayUnload {
			out = append(out, c.grant(a)...)
			continue
		}
		out = append(out, UnloadDecision{Adapter: a})
	}
	return out
}

// denyStranded answers the unloads that can no longer be written.
func (c *Core) denyStranded(now time.Time) []Action {
	if len(c.asked) == 0 || c.mine() && now.Before(c.until) {
		return nil
	}
	asked := c.asked
	c.asked = nil
	return c.deny(asked)
}

func (c *Core) deny(adapters []state.AdapterRef) []Action {
	var out []Action
	for _, a := range adapters {
		out = append(out, UnloadDecision{Adapter: a})
	}
	return out
}

func (c *Core) unloadEnded(now time.Time, a state.AdapterRef) {
	c.granted = without(c.granted, func(p PendingUnload) bool { return p.Adapter == a })
	c.endedAt = now
}

// dirty reports that the record should be written to name what is under way or to
// forget what has ended.
func (c *Core) dirty(now time.Time) bool {
	if c.HasUnrecordedUnload() && len(c.asking) == 0 {
		return true
	}
	if now.Before(c.endedAt.Add(c.cfg.EndedRetention)) {
		return false
	}
	next := c.cleaned()
	return len(next.Pending) != len(c.record.Pending) || len(next.Unresolved) != len(c.record.Unresolved)
}
