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
	// MaxUnleased is the longest time that an owner dispatches without a lease.
	MaxUnleased time.Duration
	// MaxReportAge is the greatest age of a load report.
	MaxReportAge time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
	// EndedRetention is how long finished unloads stay in the record.
	EndedRetention time.Duration
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
	case Assignment:
		c.want = e.Assigned
	case LeaseUpdate:
		c.lease(e)
	case ReadDone:
		c.readDone(now, e)
	case WriteDone:
		out = c.writeDone(now, e)
	case SessionLapsed:
		c.lapsed = appendNew(c.lapsed, e.Session)
		if e.OrdersKnown {
			c.settled = appendNew(c.settled, e.Session)
		}
	case RefreshRecord:
		c.stale = true
	case ClaimResolved:
		c.resolved = appendNew(c.resolved, e.Claim)
		c.notices = without(c.notices, func(p PendingUnload) bool { return c.isResolved(p.Claim) })
	case LoadReport:
		c.report(e)
	case RaiseFenceDone:
		c.fenceRaised(now, e)
	case RequestUnload:
		out = c.askUnload(now, e.Adapter)
	case PromiseResult:
		out = c.promised(now, e)
	case UnloadEnded:
		c.unloadEnded(now, e.Adapter)
	case UnloadNotice:
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

// Owns reports whether the record names the present session of this daemon.
func (c *Core) Owns() bool { return c.mine() }

func (c *Core) mine() bool {
	return c.known && !c.session.IsZero() && c.record.Owner == c.session && !c.record.Released
}

// Record returns the last known record and whether one is known.
func (c *Core) Record() (Record, bool) { return c.record.clone(), c.known }

// BlockingSession returns the session that must lapse before this daemon can acquire
// the upstream.
func (c *Core) BlockingSession() (lease.Session, bool) {
	if !c.want || !c.known || c.version == 0 || c.mine() || c.acquirable() {
		return lease.Session{}, false
	}
	return c.record.Owner, true
}

// UnresolvedClaims returns the claims that must be resolved before this daemon may
// unload, and those of pending unloads of earlier owners.
func (c *Core) UnresolvedClaims() []Claim {
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
		if c.foreign(p) && !c.isResolved(p.Claim) {
			all = appendNew(all, p.Claim)
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
func (c *Core) foreign(p PendingUnload) bool { return !p.Claim.Session.SameIncarnation(c.session) }

// Authority returns what this daemon may do with the upstream now. It must be
// asked again right before each dispatch and order.
func (c *Core) Authority(now time.Time) owner.Authority {
	if !c.mine() {
		return owner.Authority{}
	}
	valid := now.Before(c.until)
	if !valid && !now.Before(c.lastEnd.Add(c.cfg.MaxUnleased)) {
		return owner.Authority{Epoch: c.record.Epoch}
	}
	auth := owner.Authority{Epoch: c.record.Epoch, MayDispatch: true}
	if !c.cfg.Engine {
		return auth
	}
	if c.cfg.Fenced && (c.boot == "" || c.fenced != c.boot) {
		return owner.Authority{Epoch: c.record.Epoch}
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
	case !valid && !c.cfg.Fenced && now.Before(c.promiseAt.Add(c.cfg.RetryDelay)):
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

func (c *Core) lease(e LeaseUpdate) {
	c.session = e.Session
	c.until = e.ValidUntil
	if e.ValidUntil.After(c.lastEnd) {
		c.lastEnd = e.ValidUntil
	}
}

func (c *Core) report(e LoadReport) {
	c.boot = e.Boot
	if !c.mine() || !e.RequestedAt.After(c.tookAt.Add(c.cfg.MaxReportAge)) {
		return
	}
	for _, p := range c.record.Pending {
		if c.foreign(p) && p.Boot == e.Boot && !slices.Contains(e.Resident, p.Adapter) && !c.isEnded(p) {
			c.ended = append(slices.Clone(c.ended), p)
			c.endedAt = e.RequestedAt
		}
	}
}

func (c *Core) fenceRaised(now time.Time, e RaiseFenceDone) {
	c.raising = false
	c.nextAt = now.Add(c.cfg.RetryDelay)
	switch {
	case e.OK && e.Epoch == c.record.Epoch && e.Epoch == c.fencedEpoch && c.mine():
		c.fenced = e.Boot
		c.boot = e.Boot
	case e.Rejected && e.Epoch == c.record.Epoch:
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
