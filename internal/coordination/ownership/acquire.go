package ownership

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
)

// step returns the next call, at most one to the platform at a time.
func (c *Core) step(now time.Time) []Action {
	var out []Action
	if c.needsFence(now) {
		c.raising = true
		out = append(out, RaiseFence{Epoch: c.record.Epoch})
	}
	if c.phase != idle || now.Before(c.nextAt) {
		return out
	}
	if c.stale || !c.known && c.want {
		c.phase = reading
		return append(out, Read{})
	}
	if !c.known || !now.Before(c.until) {
		return out
	}
	next, ok := c.plan(now)
	if !ok {
		return out
	}
	c.phase = writing
	c.next = next
	return append(out, Write{Base: c.version, Record: next.clone()})
}

func (c *Core) needsFence(now time.Time) bool {
	return c.cfg.Engine && c.cfg.Fenced && c.mine() && !c.raising && c.boot != "" && c.fenced != c.boot &&
		now.Before(c.lastEnd.Add(c.cfg.MaxUnleased)) && !now.Before(c.nextAt)
}

// plan returns the record that the platform should hold next.
func (c *Core) plan(now time.Time) (Record, bool) {
	switch {
	case c.mine() && !c.want:
		return c.released(), true
	case c.mine() && (c.raiseEpoch || c.lateRelease):
		next := c.cleaned()
		next.Epoch++
		return next, true
	case c.mine() && (len(c.asked) > 0 || c.dirty(now)):
		return c.withAsked(), true
	case c.mine() || !c.want:
		return Record{}, false
	case c.acquirable():
		return c.acquired(), true
	}
	c.stale = true // the record may change hands at any time
	c.nextAt = now.Add(c.cfg.RetryDelay)
	return Record{}, false
}

// acquirable reports whether the record may be taken over now.
func (c *Core) acquirable() bool {
	previous := c.record.Owner
	switch {
	case c.version == 0 || c.record.Released || previous == c.session:
		return true
	case c.cfg.Engine && !c.cfg.Fenced:
		return slices.Contains(c.settled, previous)
	}
	return slices.Contains(c.lapsed, previous)
}

func (c *Core) acquired() Record {
	next := c.cleaned()
	previous := c.record.Claim()
	if c.version != 0 && !c.isResolved(previous) {
		next.Unresolved = appendNew(next.Unresolved, previous)
	}
	for _, n := range c.notices {
		next.Pending = appendNew(next.Pending, n)
	}
	next.Owner = c.session
	next.Epoch++
	next.Released = false
	return next
}

func (c *Core) released() Record {
	next := c.cleaned()
	for _, p := range c.granted {
		next.Pending = appendNew(next.Pending, p)
	}
	next.Released = true
	return next
}

// cleaned returns the record without what is resolved or ended. The unloads of
// this run are those that it has granted.
func (c *Core) cleaned() Record {
	next := c.record.clone()
	next.Unresolved = without(next.Unresolved, c.isResolved)
	next.Pending = without(next.Pending, func(p PendingUnload) bool {
		if !c.foreign(p) {
			return !slices.Contains(c.granted, p)
		}
		return c.isEnded(p) || c.isResolved(p.Claim)
	})
	return next
}

func (c *Core) isEnded(p PendingUnload) bool { return slices.Contains(c.ended, p) }

func (c *Core) readDone(now time.Time, e ReadDone) {
	if c.phase != reading {
		return
	}
	c.phase = idle
	if !e.OK {
		c.nextAt = now.Add(c.cfg.RetryDelay)
		return
	}
	if c.version != e.Version {
		c.lateRelease = false // a late release can no longer take effect
	}
	wasMine := c.mine()
	c.known, c.stale = true, false
	c.version, c.record = e.Version, e.Record.clone()
	if !e.Found {
		c.version, c.record = 0, Record{}
	}
	c.noteTaken(now, wasMine)
}

func (c *Core) writeDone(now time.Time, e WriteDone) []Action {
	if c.phase != writing {
		return nil
	}
	c.phase = idle
	asked := c.inWrite
	c.inWrite = nil
	switch e.Outcome {
	case lease.WriteOK:
		wasMine := c.mine()
		c.version, c.record = e.Version, c.next.clone()
		c.lateRelease, c.raiseEpoch = false, false
		c.noteTaken(now, wasMine)
		return c.grantWritten(now, asked)
	case lease.WriteConflict:
		c.stale = true
	case lease.WriteUnknown:
		c.stale = true
		c.lateRelease = c.lateRelease || c.next.Released
	case lease.WriteFailed:
		c.nextAt = now.Add(c.cfg.RetryDelay)
	}
	return c.deny(asked)
}

// noteTaken notes when the upstream came to this daemon. What is known of the
// engine's fence belongs to the epoch before.
func (c *Core) noteTaken(now time.Time, wasMine bool) {
	if !c.mine() {
		return
	}
	if !wasMine || c.fencedEpoch != c.record.Epoch {
		c.tookAt = now
		c.fenced = ""
		c.fencedEpoch = c.record.Epoch
	}
}
