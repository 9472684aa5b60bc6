package ownership

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Config sets up a Core.
type Config struct {
	Upstream state.UpstreamID
	Engine   bool // false for plain services, which take no orders
	Fenced   bool // the engine refuses orders with an old fencing number
	// Bound is the longest time that an owner dispatches without a lease.
	Bound time.Duration
	// ReportLag is the greatest age of a load report.
	ReportLag time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// ClearAfter is how long finished unloads stay in the record.
	ClearAfter time.Duration
}

type phase uint8

const (
	idle phase = iota
	reading
	writing
)

// Core decides on the ownership of one upstream.
type Core struct {
	cfg     Config
	want    bool
	session lease.Session
	until   time.Time // end of the lease
	lastEnd time.Time // end of the last lease, also after it was lost

	phase       phase
	known       bool // a record was read or written
	stale       bool // the record must be read before the next write
	version     lease.Version
	record      Record
	next        Record // record of the last write
	lateRelease bool   // a release may still take effect
	raiseEpoch  bool   // the engine has seen a higher epoch than the record's
	nextAt      time.Time
	tookAt      time.Time

	lapsed   []lease.Session // sessions that lost their lease for good
	settled  []lease.Session // those whose unload orders are all known
	resolved []Claim         // claims that can have no effect any more, with all earlier ones

	boot        state.BootID
	fenced      state.BootID // boot on which the fence of fencedEpoch was raised
	fencedEpoch state.Epoch
	raising     bool
	asked       []state.AdapterRef // unloads that wait for a write of the record
	inWrite     []state.AdapterRef // unloads named by the write in progress
	asking      []state.AdapterRef // unloads that wait for promises
	granted     []PendingUnload    // unloads under way
	ended       []PendingUnload    // finished unloads that the record still names
	endedAt     time.Time
	notices     []PendingUnload // unloads of other owners that were promised
	promiseAt   time.Time       // when a promise was last refused
}

// New returns a core of an upstream that nobody owns yet.
func New(cfg Config) Core { return Core{cfg: cfg} }

// Handle takes an event and returns what to do.
func (c *Core) Handle(now time.Time, event Event) []Action {
	var out []Action
	switch e := event.(type) {
	case Want:
		c.want = e.Mine
	case Lease:
		c.lease(e)
	case ReadDone:
		c.readDone(now, e)
	case WriteDone:
		out = c.writeDone(now, e)
	case Lapsed:
		c.lapsed = appendNew(c.lapsed, e.Session)
		if e.Settled {
			c.settled = appendNew(c.settled, e.Session)
		}
	case Refresh:
		c.stale = true
	case Resolved:
		c.resolved = appendNew(c.resolved, e.Claim)
		c.notices = without(c.notices, func(p PendingUnload) bool { return c.isResolved(p.By) })
	case Report:
		c.report(e)
	case FenceRaised:
		c.fenceRaised(now, e)
	case AskUnload:
		out = c.askUnload(now, e.Adapter)
	case Promised:
		out = c.promised(now, e)
	case UnloadEnded:
		c.unloadEnded(now, e.Adapter)
	case Notice:
		c.notice(e.Pending)
	}
	out = append(out, c.step(now)...)
	out = append(out, c.denyStranded(now)...)
	c.check()
	return out
}

// check asserts what must hold after every event.
func (c *Core) check() {
	if c.phase == writing && c.next.Epoch < c.record.Epoch {
		panic(fmt.Sprintf("ownership: epoch of %s would fall from %d to %d", c.cfg.Upstream, c.record.Epoch, c.next.Epoch))
	}
	for i, p := range c.granted {
		for _, q := range c.granted[:i] {
			if p.Adapter == q.Adapter {
				panic(fmt.Sprintf("ownership: two unloads of %s on %s at once", p.Adapter, c.cfg.Upstream))
			}
		}
	}
}

// Mine reports whether the record names the present session of this daemon.
func (c *Core) Mine() bool { return c.mine() }

func (c *Core) mine() bool {
	return c.known && !c.session.IsZero() && c.record.Owner == c.session && !c.record.Released
}

// Record returns the last known record and whether one is known.
func (c *Core) Record() (Record, bool) { return c.record.clone(), c.known }

// WaitsFor returns the session that must lapse before this daemon can acquire
// the upstream.
func (c *Core) WaitsFor() (lease.Session, bool) {
	if !c.want || !c.known || c.version == 0 || c.mine() || c.acquirable() {
		return lease.Session{}, false
	}
	return c.record.Owner, true
}

// Unresolved returns the claims that must be resolved before this daemon may
// unload, and those of pending unloads of earlier owners.
func (c *Core) Unresolved() []Claim {
	if !c.mine() {
		return nil
	}
	var all []Claim
	for _, claim := range c.record.Unresolved {
		if !c.isResolved(claim) {
			all = appendNew(all, claim)
		}
	}
	for _, p := range c.record.Pending {
		if c.foreign(p) && !c.isResolved(p.By) {
			all = appendNew(all, p.By)
		}
	}
	return all
}

func (c *Core) isResolved(claim Claim) bool {
	for _, r := range c.resolved {
		if r.Session == claim.Session && claim.Epoch <= r.Epoch {
			return true
		}
	}
	return false
}

// foreign reports whether another run ordered the unload.
func (c *Core) foreign(p PendingUnload) bool { return !p.By.Session.SameRun(c.session) }

// Authority returns what this daemon may do with the upstream now. It must be
// asked again right before each dispatch and order.
func (c *Core) Authority(now time.Time) owner.Permissions {
	if !c.mine() {
		return owner.Permissions{}
	}
	valid := now.Before(c.until)
	if !valid && !now.Before(c.lastEnd.Add(c.cfg.Bound)) {
		return owner.Permissions{Epoch: c.record.Epoch}
	}
	auth := owner.Permissions{Epoch: c.record.Epoch, MayDispatch: true}
	if !c.cfg.Engine {
		return auth
	}
	if c.cfg.Fenced && (c.boot == "" || c.fenced != c.boot) {
		return owner.Permissions{Epoch: c.record.Epoch}
	}
	auth.MayLoad = true
	auth.MayUnload = c.cannotUnload(now) == ""
	return auth
}

// cannotUnload returns why the owner may not unload at all, or the empty reason.
func (c *Core) cannotUnload(now time.Time) Reason {
	valid := now.Before(c.until)
	switch {
	case c.releasing():
		return ReasonReleasing
	case c.unresolvedOwners():
		return ReasonPredecessor
	case !valid && !c.cfg.Fenced && now.Before(c.promiseAt.Add(c.cfg.Retry)):
		return ReasonPromise
	}
	return ""
}

func (c *Core) unresolvedOwners() bool {
	return slices.ContainsFunc(c.record.Unresolved, func(claim Claim) bool { return !c.isResolved(claim) })
}

// releasing reports that the record may be released by now.
func (c *Core) releasing() bool {
	return c.lateRelease || c.phase == writing && c.next.Released
}

func (c *Core) lease(e Lease) {
	c.session = e.Session
	c.until = e.Until
	if e.Until.After(c.lastEnd) {
		c.lastEnd = e.Until
	}
}

func (c *Core) report(e Report) {
	c.boot = e.Boot
	if !c.mine() || !e.AskedAt.After(c.tookAt.Add(c.cfg.ReportLag)) {
		return
	}
	for _, p := range c.record.Pending {
		if c.foreign(p) && p.Boot == e.Boot && !slices.Contains(e.Resident, p.Adapter) && !c.isEnded(p) {
			c.ended = append(slices.Clone(c.ended), p)
			c.endedAt = e.AskedAt
		}
	}
}

func (c *Core) fenceRaised(now time.Time, e FenceRaised) {
	c.raising = false
	c.nextAt = now.Add(c.cfg.Retry)
	switch {
	case e.OK && e.Epoch == c.record.Epoch && e.Epoch == c.fencedEpoch && c.mine():
		c.fenced = e.Boot
		c.boot = e.Boot
	case e.Refused && e.Epoch == c.record.Epoch:
		// Another daemon owns the upstream by now, or the platform has lost writes.
		c.known = false
		c.stale = true
		c.raiseEpoch = true
	}
}

func appendNew[T comparable](s []T, v T) []T {
	if slices.Contains(s, v) {
		return s
	}
	return append(slices.Clone(s), v)
}

func without[T any](s []T, drop func(T) bool) []T {
	var kept []T
	for _, v := range s {
		if !drop(v) {
			kept = append(kept, v)
		}
	}
	return kept
}
