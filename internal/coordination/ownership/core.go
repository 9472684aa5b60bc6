package ownership

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Config describes an upstream and the time limits of its ownership.
type Config struct {
	Upstream state.UpstreamID
	Engine   bool // false for plain services, which take no orders
	Fenced   bool // the engine rejects orders with a stale fencing token
	// MaxUnleased is the longest time that an owner dispatches without a valid lease.
	MaxUnleased time.Duration
	// MaxReportAge is the greatest age of the engine state in a load report at the time
	// when the report is requested.
	MaxReportAge time.Duration
	// RetryDelay is the delay between a failed call and the next attempt.
	RetryDelay time.Duration
	// EndedRetention is how long an ended unload stays in the record.
	EndedRetention time.Duration
}

// phase is the call to the object store that is in flight.
type phase uint8

const (
	idle phase = iota
	reading
	writing
)

// Core is the state machine of the ownership of one upstream at one daemon. It does
// no I/O: Handle takes events and returns the calls to make.
type Core struct {
	cfg            Config
	assigned       bool // this daemon should own the upstream
	session        lease.Session
	validUntil     time.Time // end of the lease
	lastValidUntil time.Time // latest end of a lease of this daemon, kept when the lease is lost

	phase          phase
	known          bool // version and record hold the content of the object store, as last read or written
	stale          bool // the record must be read before the next write
	version        lease.Version
	record         Record
	nextRecord     Record // record of the write in flight or of the last write
	releaseMayLand bool   // a release with unknown outcome may still take effect
	mustRaiseEpoch bool   // the engine rejected the epoch of the record
	nextCallAt     time.Time
	acquiredAt     time.Time

	lapsedSessions []lease.Session // sessions that can never hold a valid lease again
	ordersKnown    []lease.Session // lapsed sessions whose unload orders are all known here
	resolvedClaims []Claim         // claims with nothing in flight; each covers the earlier epochs of its session

	boot         state.BootID
	fencedBoot   state.BootID // boot on which the fence of fencedEpoch was raised
	fencedEpoch  state.Epoch
	raisingFence bool

	unloadsToRecord         []state.AdapterRef // requested; granted after a write of the record names them
	unloadsInWrite          []state.AdapterRef // requested; named by the record of the write in flight
	unloadsAwaitingPromises []state.AdapterRef // requested; granted when all peers have promised to honor them
	grantedUnloads          []PendingUnload    // granted and in flight
	endedUnloads            []PendingUnload    // unloads of earlier owners that have ended; the record may still name them
	lastEndedAt             time.Time
	promisedUnloads         []PendingUnload // unloads of other owners that this daemon promised to honor
	promiseRefusedAt        time.Time       // when a peer last refused a promise
}

// New returns the core of an upstream whose ownership record has not been read.
func New(cfg Config) Core { return Core{cfg: cfg} }

// Handle updates the state for an event and returns the actions to carry out.
func (c *Core) Handle(now time.Time, event Event) []Action {
	var out []Action
	switch e := event.(type) {
	case Assignment:
		c.assigned = e.Assigned
	case LeaseUpdate:
		c.handleLeaseUpdate(e)
	case ReadDone:
		c.handleRead(now, e)
	case WriteDone:
		out = c.handleWrite(now, e)
	case SessionLapsed:
		c.lapsedSessions = appendUnique(c.lapsedSessions, e.Session)
		if e.OrdersKnown {
			c.ordersKnown = appendUnique(c.ordersKnown, e.Session)
		}
	case RefreshRecord:
		c.stale = true
	case ClaimResolved:
		c.resolvedClaims = appendUnique(c.resolvedClaims, e.Claim)
		c.promisedUnloads = without(c.promisedUnloads, func(p PendingUnload) bool { return c.isResolved(p.Claim) })
	case LoadReport:
		c.handleLoadReport(e)
	case RaiseFenceDone:
		c.handleFence(now, e)
	case RequestUnload:
		out = c.handleUnloadRequest(now, e.Adapter)
	case PromiseResult:
		out = c.handlePromises(now, e)
	case UnloadEnded:
		c.handleUnloadEnded(now, e.Adapter)
	case UnloadNotice:
		c.handleNotice(e.Pending)
	}
	out = append(out, c.nextActions(now)...)
	out = append(out, c.denyUnrecordable(now)...)
	c.assertInvariants()
	return out
}

// assertInvariants panics if the epoch would decrease or if two unloads of one adapter are
// in flight.
func (c *Core) assertInvariants() {
	if c.phase == writing && c.nextRecord.Epoch < c.record.Epoch {
		panic(fmt.Sprintf("ownership: the epoch of %s would decrease from %d to %d", c.cfg.Upstream, c.record.Epoch, c.nextRecord.Epoch))
	}
	for i, p := range c.grantedUnloads {
		for _, q := range c.grantedUnloads[:i] {
			if p.Adapter == q.Adapter {
				panic(fmt.Sprintf("ownership: two unloads of %s on %s in flight at once", p.Adapter, c.cfg.Upstream))
			}
		}
	}
}

// Owns reports whether the last known record names the current session of this daemon as
// the owner and is not released.
func (c *Core) Owns() bool { return c.owns() }

func (c *Core) owns() bool {
	return c.known && !c.session.IsZero() && c.record.Owner == c.session && !c.record.Released
}

// Record returns the last known ownership record, and whether one is known.
func (c *Core) Record() (Record, bool) { return c.record.clone(), c.known }

// BlockingSession returns the session that must lapse or release the upstream before this
// daemon can acquire the upstream, and whether such a session exists.
func (c *Core) BlockingSession() (lease.Session, bool) {
	if !c.assigned || !c.known || c.version == 0 || c.owns() || c.canAcquire() {
		return lease.Session{}, false
	}
	return c.record.Owner, true
}

// UnresolvedClaims returns the claims that this daemon, as the owner, needs to be resolved:
//   - claims of earlier owners, which block all unloads;
//   - claims of pending unloads of earlier owners, which freeze the adapters concerned.
func (c *Core) UnresolvedClaims() []Claim {
	if !c.owns() {
		return nil
	}
	var all []Claim
	for _, claim := range c.record.Unresolved {
		if !c.isResolved(claim) {
			all = appendUnique(all, claim)
		}
	}
	for _, p := range c.record.Pending {
		if c.fromOtherIncarnation(p) && !c.isResolved(p.Claim) {
			all = appendUnique(all, p.Claim)
		}
	}
	return all
}

// isResolved reports whether nothing is in flight under a claim and never will be again.
func (c *Core) isResolved(claim Claim) bool {
	for _, r := range c.resolvedClaims {
		if r.Session == claim.Session && claim.Epoch <= r.Epoch {
			return true
		}
	}
	return false
}

// fromOtherIncarnation reports whether another daemon, or another incarnation of this
// daemon, ordered the unload.
func (c *Core) fromOtherIncarnation(p PendingUnload) bool {
	return !p.Claim.Session.SameIncarnation(c.session)
}

// Permissions returns what this daemon may do at the upstream now. The caller must check
// the permissions again immediately before each dispatch and order.
func (c *Core) Permissions(now time.Time) owner.Permissions {
	if !c.owns() {
		return owner.Permissions{}
	}
	valid := now.Before(c.validUntil)
	if !valid && !now.Before(c.lastValidUntil.Add(c.cfg.MaxUnleased)) {
		return owner.Permissions{Epoch: c.record.Epoch}
	}
	perms := owner.Permissions{Epoch: c.record.Epoch, MayDispatch: true}
	if !c.cfg.Engine {
		return perms
	}
	if c.cfg.Fenced && (c.boot == "" || c.fencedBoot != c.boot) {
		return owner.Permissions{Epoch: c.record.Epoch}
	}
	perms.MayLoad = true
	perms.MayUnload = c.unloadBlockedBy(now) == ""
	return perms
}

// unloadBlockedBy returns the reason for which the owner may unload no adapter, or an
// empty reason if the owner may unload.
func (c *Core) unloadBlockedBy(now time.Time) Reason {
	valid := now.Before(c.validUntil)
	switch {
	case c.mayBeReleased():
		return ReasonReleasing
	case c.hasUnresolvedOwner():
		return ReasonPredecessor
	case !valid && !c.cfg.Fenced && now.Before(c.promiseRefusedAt.Add(c.cfg.RetryDelay)):
		return ReasonPromise
	}
	return ""
}

// hasUnresolvedOwner reports whether an earlier owner may still have requests or orders
// in flight.
func (c *Core) hasUnresolvedOwner() bool {
	return slices.ContainsFunc(c.record.Unresolved, func(claim Claim) bool { return !c.isResolved(claim) })
}

// mayBeReleased reports whether a release of the upstream is in flight, or was sent and has
// an unknown outcome.
func (c *Core) mayBeReleased() bool {
	return c.releaseMayLand || c.phase == writing && c.nextRecord.Released
}

// handleLeaseUpdate stores the session of this daemon and the end of its lease.
func (c *Core) handleLeaseUpdate(e LeaseUpdate) {
	c.session = e.Session
	c.validUntil = e.ValidUntil
	if e.ValidUntil.After(c.lastValidUntil) {
		c.lastValidUntil = e.ValidUntil
	}
}

// handleLoadReport stores the boot of the engine. It also ends the pending unloads of
// earlier owners whose adapter is no longer resident, if the report was requested more
// than MaxReportAge after the acquisition: the state in an earlier report may be older
// than the acquisition.
func (c *Core) handleLoadReport(e LoadReport) {
	c.boot = e.Boot
	if !c.owns() || !e.RequestedAt.After(c.acquiredAt.Add(c.cfg.MaxReportAge)) {
		return
	}
	for _, p := range c.record.Pending {
		if c.fromOtherIncarnation(p) && p.Boot == e.Boot && !slices.Contains(e.Resident, p.Adapter) && !c.hasEnded(p) {
			c.endedUnloads = append(slices.Clone(c.endedUnloads), p)
			c.lastEndedAt = e.RequestedAt
		}
	}
}

// handleFence handles the engine's answer to RaiseFence. A confirmation counts only for the
// current epoch. After a rejection, this daemon reads the record again and increases the
// epoch.
func (c *Core) handleFence(now time.Time, e RaiseFenceDone) {
	c.raisingFence = false
	c.nextCallAt = now.Add(c.cfg.RetryDelay)
	switch {
	case e.OK && e.Epoch == c.record.Epoch && e.Epoch == c.fencedEpoch && c.owns():
		c.fencedBoot = e.Boot
		c.boot = e.Boot
	case e.Rejected && e.Epoch == c.record.Epoch:
		// Another daemon has acquired the upstream, or the object store has lost writes.
		c.known = false
		c.stale = true
		c.mustRaiseEpoch = true
	}
}

// appendUnique returns s with v appended if s does not contain v. It does not change s in
// place.
func appendUnique[T comparable](s []T, v T) []T {
	if slices.Contains(s, v) {
		return s
	}
	return append(slices.Clone(s), v)
}

// without returns a copy of s without the elements that drop selects.
func without[T any](s []T, drop func(T) bool) []T {
	var kept []T
	for _, v := range s {
		if !drop(v) {
			kept = append(kept, v)
		}
	}
	return kept
}
