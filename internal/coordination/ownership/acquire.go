package ownership

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
)

// nextActions returns the calls to make now: raising the fence of the engine, and a read
// or write of the record. At most one call to the object store is in flight at a time.
func (c *Core) nextActions(now time.Time) []Action {
	var out []Action
	if c.mustRaiseFence(now) {
		c.raisingFence = true
		out = append(out, RaiseFence{Epoch: c.record.Epoch})
	}
	if c.phase != idle || now.Before(c.nextCallAt) {
		return out
	}
	if c.stale || !c.known && c.assigned {
		c.phase = reading
		return append(out, Read{})
	}
	if !c.known || !now.Before(c.validUntil) {
		return out
	}
	record, ok := c.planWrite(now)
	if !ok {
		return out
	}
	c.phase = writing
	c.nextRecord = record
	return append(out, Write{Base: c.version, Record: record.clone()})
}

// mustRaiseFence reports whether this daemon, as the owner, has to raise the engine's
// fence to the current epoch now. It may send requests and orders only afterwards.
func (c *Core) mustRaiseFence(now time.Time) bool {
	return c.cfg.Engine && c.cfg.Fenced && c.owns() && !c.raisingFence && c.boot != "" && c.fencedBoot != c.boot &&
		now.Before(c.lastValidUntil.Add(c.cfg.MaxUnleased)) && !now.Before(c.nextCallAt)
}

// planWrite returns the ownership record to write next, and whether a write is needed. If
// this daemon should own the upstream but cannot acquire it yet, planWrite schedules a read
// of the record instead.
func (c *Core) planWrite(now time.Time) (Record, bool) {
	switch {
	case c.owns() && !c.assigned:
		return c.releasedRecord(), true
	case c.owns() && (c.mustRaiseEpoch || c.releaseMayLand):
		next := c.prunedRecord()
		next.Epoch++
		return next, true
	case c.owns() && (len(c.unloadsToRecord) > 0 || c.recordOutdated(now)):
		return c.recordWithUnloads(), true
	case c.owns() || !c.assigned:
		return Record{}, false
	case c.canAcquire():
		return c.acquiredRecord(), true
	}
	c.stale = true // the owner may release the upstream at any time
	c.nextCallAt = now.Add(c.cfg.RetryDelay)
	return Record{}, false
}

// canAcquire reports whether this daemon may write itself into the record as the owner now.
func (c *Core) canAcquire() bool {
	previous := c.record.Owner
	switch {
	case c.version == 0 || c.record.Released || previous == c.session:
		return true
	case c.cfg.Engine && !c.cfg.Fenced:
		return slices.Contains(c.ordersKnown, previous)
	}
	return slices.Contains(c.lapsedSessions, previous)
}

// acquiredRecord returns the record with this daemon as the owner, in a new epoch. It
// lists the unloads that this daemon promised to honor. It lists the claim of the previous
// owner as unresolved unless the claim is resolved.
func (c *Core) acquiredRecord() Record {
	next := c.prunedRecord()
	previous := c.record.Claim()
	if c.version != 0 && !c.isResolved(previous) {
		next.Unresolved = appendUnique(next.Unresolved, previous)
	}
	for _, n := range c.promisedUnloads {
		next.Pending = appendUnique(next.Pending, n)
	}
	next.Owner = c.session
	next.Epoch++
	next.Released = false
	return next
}

// releasedRecord returns the record marked as released. It lists the granted unloads, so
// that the next owner does not use the adapters that they unload.
func (c *Core) releasedRecord() Record {
	next := c.prunedRecord()
	for _, p := range c.grantedUnloads {
		next.Pending = appendUnique(next.Pending, p)
	}
	next.Released = true
	return next
}

// prunedRecord returns the record without resolved claims and without unloads that can
// no longer take effect. An unload of this incarnation is kept only if it is granted and
// has not ended.
func (c *Core) prunedRecord() Record {
	next := c.record.clone()
	next.Unresolved = without(next.Unresolved, c.isResolved)
	next.Pending = without(next.Pending, func(p PendingUnload) bool {
		if !c.fromOtherIncarnation(p) {
			return !slices.Contains(c.grantedUnloads, p)
		}
		return c.hasEnded(p) || c.isResolved(p.Claim)
	})
	return next
}

// hasEnded reports whether an unload of an earlier owner has ended.
func (c *Core) hasEnded(p PendingUnload) bool { return slices.Contains(c.endedUnloads, p) }

// handleRead stores the record that a Read returned. After a failed read, the next
// attempt waits for RetryDelay.
func (c *Core) handleRead(now time.Time, e ReadDone) {
	if c.phase != reading {
		return
	}
	c.phase = idle
	if !e.OK {
		c.nextCallAt = now.Add(c.cfg.RetryDelay)
		return
	}
	if c.version != e.Version {
		c.releaseMayLand = false // the release was conditional on the previous version and can no longer succeed
	}
	wasOwner := c.owns()
	c.known, c.stale = true, false
	c.version, c.record = e.Version, e.Record.clone()
	if !e.Found {
		c.version, c.record = 0, Record{}
	}
	c.noteAcquisition(now, wasOwner)
}

// handleWrite handles the outcome of a Write. It grants or denies the unloads that the
// written record was to name.
func (c *Core) handleWrite(now time.Time, e WriteDone) []Action {
	if c.phase != writing {
		return nil
	}
	c.phase = idle
	unloads := c.unloadsInWrite
	c.unloadsInWrite = nil
	switch e.Outcome {
	case lease.WriteOK:
		wasOwner := c.owns()
		c.version, c.record = e.Version, c.nextRecord.clone()
		c.releaseMayLand, c.mustRaiseEpoch = false, false
		c.noteAcquisition(now, wasOwner)
		return c.grantRecorded(now, unloads)
	case lease.WriteConflict:
		c.stale = true
	case lease.WriteUnknown:
		c.stale = true
		c.releaseMayLand = c.releaseMayLand || c.nextRecord.Released
	case lease.WriteFailed:
		c.nextCallAt = now.Add(c.cfg.RetryDelay)
	}
	return c.deny(unloads)
}

// noteAcquisition stores when this daemon acquired the upstream or started a new epoch. It
// discards the confirmation of a fence of an earlier epoch.
func (c *Core) noteAcquisition(now time.Time, wasOwner bool) {
	if !c.owns() {
		return
	}
	if !wasOwner || c.fencedEpoch != c.record.Epoch {
		c.acquiredAt = now
		c.fencedBoot = ""
		c.fencedEpoch = c.record.Epoch
	}
}
