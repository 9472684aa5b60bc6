package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Order instructs an engine to load or unload an adapter, or to load a model.
type Order struct {
	Adapter upstreams.Adapter // without a name: the weights of the model
	Version int               // of the adapter; 0 for the newest
	Unload  bool
	// ExpectedOrderCount is the number of orders that the engine has accepted so far. The
	// engine rejects an order with another count, for example a delayed order.
	ExpectedOrderCount int
	Holder             string // VM of the lease holder
	FencingToken       uint64
}

// Outcome is the result of an order.
type Outcome uint8

// Results of orders.
const (
	OutcomeUnknown     Outcome = iota // no answer: the engine may accept the order up to seconds later
	OutcomeAccepted                   // accepted and in progress
	OutcomeDone                       // completed at once, or already fulfilled
	OutcomeConflict                   // the engine accepted another order first, or is busy
	OutcomeWrongEngine                // another engine now has the address
)

// isWaitingForUnload reports whether the engine is waiting for running requests to end
// before it unloads their adapter. Until then it accepts no other order.
func (p *Planner) isWaitingForUnload(now time.Time) bool {
	for _, e := range p.adapters {
		if e.phase == unloading && now.Sub(e.phaseSince) < maxUnloadTime {
			return true
		}
	}
	return false
}

// estimatedLoadTime estimates how long a load of an adapter takes.
func (p *Planner) estimatedLoadTime(a upstreams.Adapter) time.Duration {
	if _, ok := p.localCopies[a]; ok {
		return warmLoadTime
	}
	return time.Duration(p.loadSlowdown * float64(coldLoadTime))
}

// AllowedLoads is what the limits of the weight store allow at present.
type AllowedLoads struct {
	Model       bool // a load of a model's weights
	ColdAdapter bool // a load of an adapter that the engine has no local copy of
}

// IsColdLoad reports whether an order loads an adapter that the engine has no local copy of.
func (p *Planner) IsColdLoad(o Order) bool {
	_, warm := p.localCopies[o.Adapter]
	return !o.Unload && o.Adapter.Name != "" && !warm
}

// NextOrder returns the next order, if there is one, and drops obsolete pending loads. The
// caller sets its holder and fencing
// token, and must call RecordOutcome before it calls NextOrder again.
func (p *Planner) NextOrder(now time.Time, allowed AllowedLoads) (Order, bool) {
	if !p.synced || now.Before(p.notBefore) {
		return Order{}, false
	}
	if p.unresolved != nil {
		return *p.unresolved, true
	}
	if missing := p.missingModel(); missing != "" {
		if allowed.Model && now.Sub(p.lastModelOrder) >= reconcileInterval {
			return Order{Adapter: upstreams.Adapter{Model: missing}, ExpectedOrderCount: p.acceptedOrders}, true
		}
		if len(p.residentModels) == 0 {
			return Order{}, false
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(w pendingLoad) bool { return p.isObsolete(now, w) })
	if w := p.nextPendingLoad(now, allowed.ColdAdapter); w != nil && p.loadsInFlight(now) < maxConcurrentLoads {
		// A newer version needs a second slot until the requests on the older version have ended.
		if p.usedSlots() < p.capacity {
			return Order{Adapter: w.adapter, Version: w.version, ExpectedOrderCount: p.acceptedOrders}, true
		}
		if v := p.evictionCandidate(now); v != nil {
			return Order{Adapter: *v, Unload: true, ExpectedOrderCount: p.acceptedOrders}, true
		}
	}
	for a, e := range p.adapters {
		if e.phase == resident && e.version < p.newestVersions[a] && now.Sub(e.lastUsed) > outdatedGracePeriod {
			return Order{Adapter: a, Unload: true, ExpectedOrderCount: p.acceptedOrders}, true
		}
	}
	return Order{}, false
}

// nextPendingLoad returns the pending load to order next, or nil. Loads whose request can
// still meet its latency objective come first, then loads for more urgent requests, then
// loads that were requested earlier. In a flood of rare adapters, order of arrival alone would make all
// requests late.
func (p *Planner) nextPendingLoad(now time.Time, allowCold bool) *pendingLoad {
	var best *pendingLoad
	bestOnTime := false
	for i := range p.pending {
		w := &p.pending[i]
		if _, warm := p.localCopies[w.adapter]; !warm && !allowCold {
			continue
		}
		onTime := !now.Add(p.estimatedLoadTime(w.adapter)).After(w.loadBy)
		if best == nil || onTime && !bestOnTime || onTime == bestOnTime && w.rank < best.rank {
			best, bestOnTime = w, onTime
		}
	}
	return best
}

// isObsolete reports whether a pending load has expired or needs no order any more.
func (p *Planner) isObsolete(now time.Time, w pendingLoad) bool {
	e := p.adapters[w.adapter]
	return now.After(w.expiresAt) || e != nil && e.phase != unloading && e.version >= w.version
}

// RecordOutcome updates the state with the result of an order and schedules the next
// report. After a conflict during a load or unload, it only delays the next order. After an
// unknown outcome, NextOrder repeats the order up to maxOrderAttempts times in all.
func (p *Planner) RecordOutcome(now time.Time, o Order, r Outcome) {
	p.lastOrder = now
	if o.Adapter.Name == "" {
		p.lastModelOrder = now
	}
	if r == OutcomeConflict && p.isWaitingForUnload(now) {
		p.notBefore = now.Add(unloadBackoff)
		return
	}
	if r == OutcomeConflict && p.hasChangeInProgress(now) && p.conflicts < maxConflicts {
		p.conflicts++
		p.notBefore = now.Add(conflictBackoff)
		return
	}
	p.conflicts = 0
	wasRepeated := p.unresolved != nil
	p.unresolved = nil
	switch r {
	case OutcomeAccepted:
		p.acceptedOrders++
		if p.firstAccepted.IsZero() {
			p.firstAccepted = now
		}
		p.applyOrder(now, o, false)
		p.scheduleReport(now, reconcileInterval)
	case OutcomeDone:
		e := p.adapters[o.Adapter]
		p.applyOrder(now, o, true)
		switch {
		case o.Unload && (now.Sub(p.recentlyUnresolved[o.Adapter]) < unresolvedOrderTTL || e != nil && e.isInherited):
			p.requireReport(now) // the engine does not count the unload of an absent adapter
		case o.Unload: // a load completed at once is not counted: the engine already had the adapter
			p.acceptedOrders++
		}
		p.scheduleReport(now, reconcileInterval)
	case OutcomeUnknown:
		p.recentlyUnresolved[o.Adapter] = now
		if !o.Unload && o.Adapter.Name != "" {
			p.reserveSlot(now, o)
		}
		if p.attempts++; p.attempts < maxOrderAttempts {
			// Sending the same order again is safe. If the engine accepts the repeated order,
			// its order count rises and a delayed first attempt becomes void. If the engine
			// accepted the first attempt, it rejects the repeated order as a conflict.
			p.unresolved = &o
			return
		}
		p.requireReport(now)
	case OutcomeConflict, OutcomeWrongEngine:
		p.requireReport(now)
	}
	p.attempts = 0
	if wasRepeated && r == OutcomeDone {
		p.requireReport(now) // the engine may have executed an earlier attempt
	}
}

// reserveSlot counts a slot for a load of unknown outcome until a report shows that the engine does
// not execute it. A load of a newer version needs a slot beside that of the older one.
func (p *Planner) reserveSlot(now time.Time, o Order) {
	e := p.adapters[o.Adapter]
	if e == nil {
		p.adapters[o.Adapter] = &entry{phase: loading, phaseSince: now, readyAt: now.Add(coldLoadTime), lastUsed: now, expectedOrderCount: o.ExpectedOrderCount}
		return
	}
	if e.phase == resident {
		e.replacesOlder, e.replacementAt, e.expectedOrderCount = true, now, o.ExpectedOrderCount
	}
}

// requireReport suspends orders until a report that reflects all earlier orders.
func (p *Planner) requireReport(now time.Time) {
	p.synced = false
	p.nextReport = now.Add(maxReportAge)
}

// hasChangeInProgress reports whether a load or unload may still be in progress. The engine
// may then reject an order although its expected count is right.
func (p *Planner) hasChangeInProgress(now time.Time) bool {
	for _, e := range p.adapters {
		if e.phase != resident && now.Sub(e.phaseSince) < pendingLoadTTL {
			return true
		}
	}
	return false
}

// scheduleReport makes a report due after d unless a report is due earlier.
func (p *Planner) scheduleReport(now time.Time, d time.Duration) {
	if at := now.Add(d); p.nextReport.Before(now) || at.Before(p.nextReport) {
		p.nextReport = at
	}
}

// applyOrder updates the adapters for an order that the engine accepted. done is whether the
// engine has also completed it.
func (p *Planner) applyOrder(now time.Time, o Order, done bool) {
	if o.Adapter.Name == "" {
		return
	}
	if o.Unload {
		if done {
			delete(p.adapters, o.Adapter)
			p.recentlyUnloaded[o.Adapter] = now
		} else if e := p.adapters[o.Adapter]; e != nil {
			e.phase, e.phaseSince = unloading, now
		}
		return
	}
	loadTime := p.estimatedLoadTime(o.Adapter)
	delete(p.recentlyUnloaded, o.Adapter)
	older := p.adapters[o.Adapter]
	replaces := older != nil && !done
	if replaces {
		loadTime = replacementLoadTime
	}
	e := &entry{version: max(o.Version, 1), phase: loading, phaseSince: now, readyAt: now.Add(loadTime), lastUsed: now, replacesOlder: replaces}
	switch {
	case done && older != nil && older.version < e.version:
		// An earlier attempt of unknown outcome may still be loading beside the older version.
		e.replacesOlder, e.readyAt = true, now
	case done:
		e.phase, e.readyAt = resident, now
	}
	p.adapters[o.Adapter] = e
	p.recordLocalCopy(now, o.Adapter)
}

// recordLocalCopy records that the engine has a local copy of an adapter, and drops the
// record of the oldest copy if there are more than maxLocalCopies.
func (p *Planner) recordLocalCopy(now time.Time, a upstreams.Adapter) {
	p.localCopies[a] = now
	if len(p.localCopies) <= maxLocalCopies {
		return
	}
	var oldest upstreams.Adapter
	for b, at := range p.localCopies {
		if oldest.Name == "" || at.Before(p.localCopies[oldest]) {
			oldest = b
		}
	}
	delete(p.localCopies, oldest)
}

// loadsInFlight returns the number of loads whose estimated end is in the future.
func (p *Planner) loadsInFlight(now time.Time) int {
	n := 0
	for _, e := range p.adapters {
		if e.phase == loading && now.Before(e.readyAt) {
			n++
		}
	}
	return n
}

// evictionCandidate returns the idle adapter to unload to free a slot, or nil. It prefers
// outdated versions, then the least recently used adapter. An unload in progress is no
// reason to wait: it ends only with the requests that use its adapter, possibly seconds
// later.
func (p *Planner) evictionCandidate(now time.Time) *upstreams.Adapter {
	var candidates []upstreams.Adapter
	for a, e := range p.adapters {
		if e.isIdle(now) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	worst := slices.MinFunc(candidates, func(a, b upstreams.Adapter) int {
		x, y := p.adapters[a], p.adapters[b]
		xOutdated, yOutdated := x.version < p.newestVersions[a], y.version < p.newestVersions[b]
		if xOutdated != yOutdated {
			if xOutdated {
				return -1
			}
			return 1
		}
		return cmp.Or(x.lastUsed.Compare(y.lastUsed), cmp.Compare(a.Name, b.Name))
	})
	return &worst
}
