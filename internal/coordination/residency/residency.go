// Package residency decides which adapters a model engine loads and unloads. The
// daemon that holds the engine's lease runs one Planner for it; no other component
// orders loads at that engine.
package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// maxConcurrentLoads is how many adapter loads one engine runs at the same time.
	maxConcurrentLoads = 4
	// coldLoadTime estimates the time of a load from the weight store. An engine rejects
	// requests that arrive before their adapter is loaded.
	coldLoadTime = 300 * time.Millisecond
	// warmLoadTime estimates the time of a load from the engine's local copy.
	warmLoadTime = 40 * time.Millisecond
	// replacementLoadTime estimates the time of a load of a newer version, including the wait
	// for the requests that still run on the older version.
	replacementLoadTime = 1500 * time.Millisecond
	// maxReportAge is the maximum age of the values in an engine's report.
	maxReportAge = 400 * time.Millisecond
	// reconcileInterval is the interval between reads of the engine's report after an order.
	reconcileInterval = 1500 * time.Millisecond
	// idleAfter is the time after the last known use of an adapter from which it may be
	// evicted. Daemons announce the adapters that they use several times a second.
	idleAfter = 500 * time.Millisecond
	// outdatedGracePeriod is the time after the last use of an outdated version before it is
	// unloaded, for requests that were already sent to the engine.
	outdatedGracePeriod = 200 * time.Millisecond
	// pendingLoadTTL is how long a load waits for its order before it expires.
	pendingLoadTTL = 1500 * time.Millisecond
	// overdueLoadExtension is the additional time that is estimated for a load that has not
	// ended when expected.
	overdueLoadExtension = 120 * time.Millisecond
	// overdueLoadLimit is the time since its order after which the estimate of an overdue
	// load is no longer extended; a report is read instead.
	overdueLoadLimit = 1500 * time.Millisecond
	// maxPendingLoads limits the loads that wait for an order at one engine.
	maxPendingLoads = 12
	// conflictBackoff is the pause after an engine rejected an order while a load or an
	// unload was in progress.
	conflictBackoff = 60 * time.Millisecond
	// maxOrderAttempts is how often an order of unknown outcome is sent before the planner
	// reads a report instead.
	maxOrderAttempts = 5
	// maxConflicts is the number of consecutive conflicts after which the planner no longer
	// trusts its own state and reads a report.
	maxConflicts = 6
	// unloadBackoff is the pause between orders to an engine that waits for running
	// requests to finish before it unloads their adapter. Until then the engine rejects all
	// other orders.
	unloadBackoff = 150 * time.Millisecond
	// maxUnloadTime is how long after the order to unload an adapter conflicts are attributed
	// to an engine that waits for running requests to finish first.
	maxUnloadTime = 6 * time.Second
	// unresolvedOrderTTL is how long an engine may still execute an order of unknown outcome.
	unresolvedOrderTTL = 10 * time.Second
	// staleReportPeriod is how long after the unload of an adapter a stale report may still
	// list it.
	staleReportPeriod = time.Second
	// maxLocalCopies limits the adapters that the engine is assumed to have local copies of.
	maxLocalCopies = 60
)

// phase is the state of an adapter at the engine.
type phase uint8

const (
	loading phase = iota
	resident
	unloading
)

// entry describes an adapter that is resident, loading or unloading. The version is 0 for a
// load of unknown outcome.
type entry struct {
	version    int
	phase      phase
	phaseSince time.Time
	readyAt    time.Time // end of the load, estimated while it is in progress
	lastUsed   time.Time
	// replacesOlder is set while the engine also keeps an older version in a second slot,
	// until the requests that run on the older version have ended.
	replacesOlder bool
	replacementAt time.Time // of the last order to replace a resident version whose outcome is unknown
	// isInherited is set if the engine reported an adapter that this planner had not ordered, and
	// has accepted orders. The adapter may have left the engine since, by an unload of an earlier
	// lease holder.
	isInherited bool
	// expectedOrderCount is Order.ExpectedOrderCount of a load of unknown outcome.
	expectedOrderCount int
}

// pendingLoad is a load that requests wait for and that is not yet ordered.
type pendingLoad struct {
	adapter   upstreams.Adapter
	version   int
	rank      int
	loadBy    time.Time // latest end of the load with which a request meets its latency objective
	expiresAt time.Time
	waiters   int
}

// Planner tracks the adapters of one engine and plans its loads and unloads. It is not
// safe for concurrent use.
//
// Invariant: the slots in use, whatever the phase of their adapters, never exceed the
// engine's capacity.
type Planner struct {
	capacity       int             // slots for adapters
	targetModels   []string        // models that the engine should have resident
	residentModels map[string]bool // as of the last report
	lastModelOrder time.Time       // last order to load a model
	synced         bool            // the state was reconciled with a report and is trusted
	startTime      int64           // of the engine's boot, as the engine reports it
	acceptedOrders int             // number of orders that this boot of the engine accepted
	lastOrder      time.Time
	nextReport     time.Time // when the next report is due
	firstAccepted  time.Time // first order that the engine accepted: no earlier unload was in progress
	// isReportRequired is set until the next report, see RequireReport.
	isReportRequired bool
	adapters         map[upstreams.Adapter]*entry
	pending          []pendingLoad
	newestVersions   map[upstreams.Adapter]int
	// localCopies are the adapters that the engine is assumed to have copies of outside
	// its slots, with the time of their last load.
	localCopies      map[upstreams.Adapter]time.Time
	unresolved       *Order  // order of unknown outcome that must be sent again, or nil
	attempts         int     // number of times that the unresolved order was sent
	loadSlowdown     float64 // actual over estimated time of loads from the weight store
	recentlyUnloaded map[upstreams.Adapter]time.Time
	// recentlyUnresolved are the adapters of recent orders of unknown outcome. Such an
	// adapter may be absent. The engine answers an unload of an absent adapter with
	// OutcomeDone and does not count that order. If the planner counted it, its order count
	// would be too high, and the engine could execute a delayed order that the planner takes
	// for void.
	recentlyUnresolved map[upstreams.Adapter]time.Time
	conflicts          int       // consecutive conflicts while a load or unload was in progress
	notBefore          time.Time // no order before this time
}

// NewPlanner returns the planner of an engine with slots for capacity adapters. The planner
// plans no order before the first report. The models in that report become the target
// models; if there are none, the given model is the target.
func NewPlanner(model string, capacity int) *Planner {
	return &Planner{
		capacity:           capacity,
		targetModels:       []string{model},
		residentModels:     make(map[string]bool),
		loadSlowdown:       1,
		adapters:           make(map[upstreams.Adapter]*entry),
		newestVersions:     make(map[upstreams.Adapter]int),
		localCopies:        make(map[upstreams.Adapter]time.Time),
		recentlyUnloaded:   make(map[upstreams.Adapter]time.Time),
		recentlyUnresolved: make(map[upstreams.Adapter]time.Time),
	}
}

// SetLoadSlowdown sets the ratio of actual to estimated time of loads from the weight store.
func (p *Planner) SetLoadSlowdown(ratio float64) { p.loadSlowdown = ratio }

// SetCapacity sets the number of slots for adapters.
func (p *Planner) SetCapacity(n int) { p.capacity = n }

// NeedsReport reports whether the planner needs a report from the engine now.
func (p *Planner) NeedsReport(now time.Time) bool {
	isNeeded := !p.synced || p.isReportRequired || !p.lastOrder.IsZero()
	return isNeeded && !now.Before(p.nextReport)
}

// RequireReport makes the planner need a report even if it has sent no order.
func (p *Planner) RequireReport() { p.isReportRequired = true }

// ReportFailed delays the next read of a report after a read failed.
func (p *Planner) ReportFailed(now time.Time) { p.nextReport = now.Add(maxReportAge) }

// ApplyReport reconciles the state with a report from the engine, which may be older than
// the last orders. The report contains the start time of the engine's boot, the number of
// orders that the boot has accepted, the resident models and adapters, and the loads in
// flight. ApplyReport also discards expired records of unresolved orders and unloads, and
// schedules the next report.
func (p *Planner) ApplyReport(now time.Time, startTime int64, acceptedOrders int, h upstreams.Residency, inFlight []upstreams.Adapter) {
	p.isReportRequired = false
	if p.startTime != 0 && startTime != p.startTime { // the engine restarted and lost its adapters
		p.adapters = make(map[upstreams.Adapter]*entry)
	}
	if !p.synced || startTime != p.startTime || now.Sub(p.lastOrder) > maxReportAge {
		p.acceptedOrders = acceptedOrders
	}
	p.applyModels(h.Models)
	for a, version := range h.Adapters {
		e := p.adapters[a]
		switch {
		case e == nil && p.mayPredateUnload(now, a):
		case e == nil:
			p.adapters[a] = &entry{version: version, phase: resident, phaseSince: now, readyAt: now, lastUsed: now, isInherited: acceptedOrders > 0}
		case e.phase == loading && version >= e.version:
			e.phase, e.version, e.readyAt, e.replacesOlder = resident, version, now, false
		case e.phase == resident:
			e.version = version
		}
	}
	for _, a := range inFlight {
		if p.adapters[a] == nil && !p.mayPredateUnload(now, a) {
			p.adapters[a] = &entry{phase: loading, phaseSince: now, readyAt: now.Add(coldLoadTime), lastUsed: now, isInherited: acceptedOrders > 0}
		}
	}
	isConfirmed := !p.firstAccepted.IsZero() && now.Sub(p.firstAccepted) >= maxReportAge
	for a, e := range p.adapters {
		_, isResident := h.Adapters[a]
		if isResident && isConfirmed {
			e.isInherited = false
		}
		if isResident || slices.Contains(inFlight, a) || e.mayStillLoad(now, acceptedOrders) {
			continue
		}
		// The report may be older than an order of this planner, but not older than an earlier report.
		if !e.isInherited && now.Sub(e.phaseSince) < reconcileInterval {
			continue
		}
		delete(p.adapters, a)
	}
	for a, e := range p.adapters {
		if e.phase == resident {
			e.replacesOlder = slices.Contains(inFlight, a) || e.mayStillBeReplaced(now, acceptedOrders)
		}
	}
	for a, at := range p.recentlyUnresolved {
		if now.Sub(at) >= unresolvedOrderTTL {
			delete(p.recentlyUnresolved, a)
		}
	}
	for a, at := range p.recentlyUnloaded {
		if now.Sub(at) >= staleReportPeriod {
			delete(p.recentlyUnloaded, a)
		}
	}
	p.synced, p.startTime = true, startTime
	p.nextReport = now.Add(reconcileInterval)
	if now.Sub(p.lastOrder) > 2*reconcileInterval && p.missingModel() == "" {
		p.lastOrder = time.Time{}
	}
}

// mayPredateUnload reports whether a report that names an adapter may be older than its unload. If
// an order for the adapter has an unknown outcome, the engine may have loaded it again since.
func (p *Planner) mayPredateUnload(now time.Time, a upstreams.Adapter) bool {
	isUnresolved := now.Sub(p.recentlyUnresolved[a]) < unresolvedOrderTTL
	return now.Sub(p.recentlyUnloaded[a]) < staleReportPeriod && !isUnresolved
}

// applyModels sets the resident models from a report. If a model is new, the reported
// models become the target models. Otherwise the target models stay, so that a restarted
// engine loads its earlier models again.
func (p *Planner) applyModels(reported map[string]int) {
	p.residentModels = make(map[string]bool, len(reported))
	hasNew := false
	for name := range reported {
		p.residentModels[name] = true
		hasNew = hasNew || !slices.Contains(p.targetModels, name)
	}
	if hasNew {
		p.targetModels = slices.Sorted(maps.Keys(reported))
	}
}

// missingModel returns a target model that is not resident, or "".
func (p *Planner) missingModel() string {
	for _, name := range p.targetModels {
		if !p.residentModels[name] {
			return name
		}
	}
	return ""
}

// TargetModels returns the models that the engine should have resident.
func (p *Planner) TargetModels() []string { return p.targetModels }

// SetNewestVersion sets the newest announced version of an adapter. A lower version is ignored.
func (p *Planner) SetNewestVersion(a upstreams.Adapter, version int) {
	if version > p.newestVersions[a] {
		p.newestVersions[a] = version
	}
}

// RecordUse records that a request uses an adapter, which protects it from eviction.
func (p *Planner) RecordUse(now time.Time, a upstreams.Adapter) {
	if e := p.adapters[a]; e != nil {
		e.lastUsed = now
	}
}

// RequestLoad adds a pending load of an adapter in the given version or a newer one. The
// load is for a request of the given rank, which meets its latency objective if the load
// ends within slack. RequestLoad reports whether the adapter is resident, loading or now
// pending; a load is refused if the model is not resident or the engine has no capacity.
// The caller polls TimeUntilReady and calls WithdrawLoad when it stops waiting.
func (p *Planner) RequestLoad(now time.Time, a upstreams.Adapter, version, rank int, slack time.Duration) bool {
	if !p.synced || !p.residentModels[a.Model] {
		return false
	}
	version = max(version, p.newestVersions[a])
	if e := p.adapters[a]; e != nil && e.phase != unloading && e.version >= version {
		e.lastUsed = now
		return true
	}
	if i := slices.IndexFunc(p.pending, func(w pendingLoad) bool { return w.adapter == a }); i >= 0 {
		w := &p.pending[i]
		w.version, w.rank, w.expiresAt = max(w.version, version), min(w.rank, rank), now.Add(pendingLoadTTL)
		if loadBy := now.Add(slack); loadBy.After(w.loadBy) {
			w.loadBy = loadBy
		}
		w.waiters++
		return true
	}
	if len(p.pending) >= maxPendingLoads || p.availableSlots(now) <= len(p.pending) || p.isWaitingForUnload(now) {
		return false
	}
	p.pending = append(p.pending, pendingLoad{adapter: a, version: version, rank: rank, loadBy: now.Add(slack), expiresAt: now.Add(pendingLoadTTL), waiters: 1})
	return true
}

// WithdrawLoad ends the wait of a request for a load of an adapter. A pending load that no
// request waits for is dropped.
func (p *Planner) WithdrawLoad(a upstreams.Adapter) {
	for i := range p.pending {
		if p.pending[i].adapter != a {
			continue
		}
		if p.pending[i].waiters--; p.pending[i].waiters <= 0 {
			p.pending = slices.Delete(p.pending, i, i+1)
		}
		return
	}
}

// startDelay estimates how long a further load waits. others is the number of loads at this
// engine, backlog the number of pending loads at all engines that share a window of the
// given number of parallel loads.
func (p *Planner) startDelay(others int, parallel float64, backlog int) time.Duration {
	parallel = max(1, parallel)
	rounds := max(float64(others)/min(parallel, maxConcurrentLoads), float64(backlog)/parallel)
	return time.Duration(rounds * p.loadSlowdown * float64(coldLoadTime))
}

// PendingLoads returns the number of loads that wait for an order.
func (p *Planner) PendingLoads() int { return len(p.pending) }

// availableSlots returns the number of adapters that could be loaded without waiting for
// running requests to end: free slots plus the slots of idle adapters. The slot of an adapter
// that is being unloaded does not count.
func (p *Planner) availableSlots(now time.Time) int {
	n := p.capacity - p.usedSlots()
	for _, e := range p.adapters {
		if e.isIdle(now) {
			n++
		}
	}
	return n
}

// mayStillLoad reports whether an engine that has accepted the given number of orders may
// still execute a load of unknown outcome. The engine executes it only while its number of
// accepted orders equals the number that the order expects.
func (e *entry) mayStillLoad(now time.Time, accepted int) bool {
	return e.version == 0 && e.expectedOrderCount >= accepted && now.Sub(e.phaseSince) < unresolvedOrderTTL
}

// mayStillBeReplaced is mayStillLoad for the load of a newer version of a resident adapter.
func (e *entry) mayStillBeReplaced(now time.Time, accepted int) bool {
	return !e.replacementAt.IsZero() && e.expectedOrderCount >= accepted && now.Sub(e.replacementAt) < unresolvedOrderTTL
}

// usedSlots returns an upper bound of the slots in use at the engine.
func (p *Planner) usedSlots() int {
	n := len(p.adapters)
	for _, e := range p.adapters {
		if e.replacesOlder {
			n++
		}
	}
	return n
}

// isIdle reports whether an adapter is loaded and no request is known to use the adapter. A
// load of unknown outcome is never idle: the engine does not count an unload of an absent
// adapter, so such an unload would make the planner's order count wrong while the load
// may still be executed.
func (e *entry) isIdle(now time.Time) bool {
	return e.phase != unloading && e.version > 0 && now.After(e.readyAt) && now.Sub(e.lastUsed) > idleAfter
}

// TimeUntilReady returns the estimated time until an adapter is ready, and whether it is
// resident or loading in the given version or a newer one.
func (p *Planner) TimeUntilReady(now time.Time, a upstreams.Adapter, version int) (time.Duration, bool) {
	e := p.adapters[a]
	if e == nil || e.phase == unloading || e.version < version {
		return 0, false
	}
	return max(0, e.readyAt.Sub(now)), true
}

// IsResidentOrLoading reports whether an adapter is resident or loading in the given
// version or a newer one.
func (p *Planner) IsResidentOrLoading(now time.Time, a upstreams.Adapter, version int) bool {
	_, ok := p.TimeUntilReady(now, a, version)
	return ok
}

// IsPending reports whether a load of an adapter still waits for its order.
func (p *Planner) IsPending(now time.Time, a upstreams.Adapter) bool {
	return slices.ContainsFunc(p.pending, func(w pendingLoad) bool { return w.adapter == a && now.Before(w.expiresAt) })
}

// RecordMiss records that the engine rejected a request because it did not have an adapter.
// If the adapter's load is overdue, RecordMiss extends the estimated end of the load, and
// returns that end and the ratio of the new load time to the expected load time. Otherwise
// it returns zero values, and makes a report due if the adapter should be ready.
func (p *Planner) RecordMiss(now time.Time, a upstreams.Adapter) (end time.Time, ratio float64) {
	e := p.adapters[a]
	if e == nil || now.Before(e.readyAt) {
		return time.Time{}, 0
	}
	if now.Sub(e.phaseSince) < overdueLoadLimit && e.phase == loading {
		e.readyAt = now.Add(overdueLoadExtension)
		return e.readyAt, float64(e.readyAt.Sub(e.phaseSince)) / float64(coldLoadTime)
	}
	p.scheduleReport(now, 0)
	return time.Time{}, 0
}
