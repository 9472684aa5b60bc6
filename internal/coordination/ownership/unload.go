package ownership

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Quarantined reports whether an unload of the adapter may still reach the engine. The
// owner neither uses nor loads a quarantined adapter on the engine.
func (c *Core) Quarantined(a state.AdapterRef) bool {
	if !c.cfg.Engine {
		return false
	}
	for _, p := range c.grantedUnloads {
		if p.Adapter == a {
			return true
		}
	}
	for _, p := range c.record.Pending {
		if p.Adapter == a && c.fromOtherIncarnation(p) && !c.hasEnded(p) && !c.isResolved(p.Claim) {
			return true
		}
	}
	return false
}

// FrozenAdapters returns the adapters that are quarantined because of unloads of
// earlier owners.
func (c *Core) FrozenAdapters() []state.AdapterRef {
	var frozen []state.AdapterRef
	for _, p := range c.record.Pending {
		if c.fromOtherIncarnation(p) && c.Quarantined(p.Adapter) {
			frozen = appendUnique(frozen, p.Adapter)
		}
	}
	return frozen
}

// HasUnrecordedUnload reports whether an unload waits for promises of the peers, or is granted
// but missing from the record. Meanwhile the lease must name no new peers and no new term may
// start: a peer that gave no promise could take over the upstream. The result is always false
// for an engine that checks fencing tokens.
func (c *Core) HasUnrecordedUnload() bool {
	if c.cfg.Fenced || !c.cfg.Engine {
		return false
	}
	if len(c.unloadsAwaitingPromises) > 0 {
		return true
	}
	for _, p := range c.grantedUnloads {
		if !slices.Contains(c.record.Pending, p) {
			return true
		}
	}
	return false
}

// HasUnloadInFlight reports whether this daemon has an unload that waits for a decision or
// that is granted and has not ended.
func (c *Core) HasUnloadInFlight() bool {
	return len(c.grantedUnloads) > 0 || len(c.unloadsToRecord)+len(c.unloadsAwaitingPromises)+len(c.unloadsInWrite) > 0
}

// HonorsUnload reports whether this daemon promises not to use the adapter of a pending
// unload if it takes over the upstream. It gives no promise once the upstream may already
// have been taken over.
func (c *Core) HonorsUnload(p PendingUnload) bool {
	return !c.mayBeTakenOver(p.Claim) && slices.Contains(c.promisedUnloads, p)
}

// mayBeTakenOver reports whether the upstream may have been acquired after the claim, by
// this daemon or by the owner that the last known record names.
func (c *Core) mayBeTakenOver(claim Claim) bool {
	return c.phase == writing || c.owns() || slices.Contains(c.lapsedSessions, claim.Session) ||
		c.known && c.record.Epoch > claim.Epoch
}

// handleNotice stores a promise to honor a pending unload, unless the upstream may already
// have been taken over.
func (c *Core) handleNotice(p PendingUnload) {
	if !c.mayBeTakenOver(p.Claim) {
		c.promisedUnloads = appendUnique(c.promisedUnloads, p)
	}
}

// handleUnloadRequest starts the steps after which an unload is granted:
//   - at an engine that checks fencing tokens, the unload is granted at once;
//   - with a valid lease, the record must name the unload first;
//   - without a valid lease, all peers must promise first to honor the unload.
//
// It denies the unload if unloads are not permitted or the adapter already has one.
func (c *Core) handleUnloadRequest(now time.Time, a state.AdapterRef) []Action {
	perms := c.Permissions(now)
	if !perms.MayUnload || c.Quarantined(a) || slices.Contains(c.unloadsToRecord, a) ||
		slices.Contains(c.unloadsInWrite, a) || slices.Contains(c.unloadsAwaitingPromises, a) {
		return []Action{UnloadDecision{Adapter: a}}
	}
	switch {
	case c.cfg.Fenced:
		return c.grant(a)
	case now.Before(c.validUntil):
		c.unloadsToRecord = appendUnique(c.unloadsToRecord, a)
		return nil
	}
	c.unloadsAwaitingPromises = appendUnique(c.unloadsAwaitingPromises, a)
	return []Action{RequestPromises{Pending: c.newPendingUnload(a)}}
}

func (c *Core) newPendingUnload(a state.AdapterRef) PendingUnload {
	return PendingUnload{Adapter: a, Boot: c.boot, Claim: Claim{Session: c.session, Epoch: c.record.Epoch}}
}

// handlePromises grants an unload if all peers have promised to honor it and unloads are
// still permitted, and denies it otherwise.
func (c *Core) handlePromises(now time.Time, e PromiseResult) []Action {
	if !slices.Contains(c.unloadsAwaitingPromises, e.Adapter) {
		return nil
	}
	c.unloadsAwaitingPromises = without(c.unloadsAwaitingPromises, func(a state.AdapterRef) bool { return a == e.Adapter })
	if !e.OK {
		c.promiseRefusedAt = now
	}
	if !e.OK || !c.Permissions(now).MayUnload {
		return []Action{UnloadDecision{Adapter: e.Adapter}}
	}
	return c.grant(e.Adapter)
}

func (c *Core) grant(a state.AdapterRef) []Action {
	p := c.newPendingUnload(a)
	c.grantedUnloads = append(slices.Clone(c.grantedUnloads), p)
	return []Action{UnloadDecision{Adapter: a, Granted: true}}
}

// recordWithUnloads returns the record with the granted unloads and with the requested
// unloads that wait to be recorded. It marks the requested unloads as part of the write.
func (c *Core) recordWithUnloads() Record {
	next := c.prunedRecord()
	for _, a := range c.unloadsToRecord {
		next.Pending = appendUnique(next.Pending, c.newPendingUnload(a))
	}
	for _, p := range c.grantedUnloads {
		next.Pending = appendUnique(next.Pending, p)
	}
	c.unloadsInWrite, c.unloadsToRecord = c.unloadsToRecord, nil
	return next
}

// grantRecorded grants each requested unload that the record names, if the lease is valid
// and unloads are still permitted. It denies the other requested unloads.
func (c *Core) grantRecorded(now time.Time, unloads []state.AdapterRef) []Action {
	var out []Action
	for _, a := range unloads {
		recorded := slices.Contains(c.record.Pending, c.newPendingUnload(a))
		if recorded && now.Before(c.validUntil) && c.Permissions(now).MayUnload {
			out = append(out, c.grant(a)...)
			continue
		}
		out = append(out, UnloadDecision{Adapter: a})
	}
	return out
}

// denyUnrecordable denies the requested unloads that wait to be recorded if this daemon no
// longer owns the upstream or has no valid lease.
func (c *Core) denyUnrecordable(now time.Time) []Action {
	if len(c.unloadsToRecord) == 0 || c.owns() && now.Before(c.validUntil) {
		return nil
	}
	unloads := c.unloadsToRecord
	c.unloadsToRecord = nil
	return c.deny(unloads)
}

func (c *Core) deny(adapters []state.AdapterRef) []Action {
	var out []Action
	for _, a := range adapters {
		out = append(out, UnloadDecision{Adapter: a})
	}
	return out
}

func (c *Core) handleUnloadEnded(now time.Time, a state.AdapterRef) {
	c.grantedUnloads = without(c.grantedUnloads, func(p PendingUnload) bool { return p.Adapter == a })
	c.lastEndedAt = now
}

// recordOutdated reports whether the record lacks a granted unload, or names unloads that
// have ended or claims that are resolved. The removal of ended unloads and resolved claims
// waits until EndedRetention after the last end of an unload.
func (c *Core) recordOutdated(now time.Time) bool {
	if c.HasUnrecordedUnload() && len(c.unloadsAwaitingPromises) == 0 {
		return true
	}
	if now.Before(c.lastEndedAt.Add(c.cfg.EndedRetention)) {
		return false
	}
	next := c.prunedRecord()
	return len(next.Pending) != len(c.record.Pending) || len(next.Unresolved) != len(c.record.Unresolved)
}
