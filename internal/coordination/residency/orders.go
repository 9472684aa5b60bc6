package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Order is an order to an engine. Expected is the number of orders that the engine
// has accepted; it rejects an order that comes late, after another one.
type Order struct {
	Adapter            upstreams.Adapter
	Version            int // 0 for the newest
	Unload             bool
	ExpectedOrderCount int
	Holder             string
	FencingToken       uint64
}

// Outcome is the outcome of an order.
type Outcome uint8

// Outcomes of orders.
const (
	OutcomeUnknown     Outcome = iota // no answer: may be accepted, now or seconds later
	OutcomeAccepted                   // in progress
	OutcomeDone                       // held already, or done at once
	OutcomeConflict                   // another order came in between
	OutcomeWrongEngine                // another engine has the address
)

// isBlocked reports whether the engine waits for the runs of an adapter that it
// unloads. It takes no other order until they have ended.
func (l *Planner) isBlocked(now time.Time) bool {
	for _, e := range l.entries {
		if e.phase == unloading && now.Sub(e.since) < maxBlocked {
			return true
		}
	}
	return false
}

func (l *Planner) loadTime(a upstreams.Adapter) time.Duration {
	if _, ok := l.warm[a]; ok {
		return warmLoad
	}
	return time.Duration(l.pace * float64(coldLoad))
}

// AllowedLoads says which loads from the weight store its limits allow at present.
type AllowedLoads struct {
	Model       bool // the weights of a model
	ColdAdapter bool // an adapter of which the engine has no copy
}

// IsColdLoad reports whether an order loads an adapter of which the engine has no copy.
func (l *Planner) IsColdLoad(o Order) bool {
	_, warm := l.warm[o.Adapter]
	return !o.Unload && o.Adapter.Name != "" && !warm
}

// NextOrder returns the next order, if there is one. Its holder and fence are the
// caller's to set. The caller reports the outcome with Done before it asks again.
func (l *Planner) NextOrder(now time.Time, may AllowedLoads) (Order, bool) {
	if !l.synced || now.Before(l.notBefore) {
		return Order{}, false
	}
	if l.unsure != nil {
		return *l.unsure, true
	}
	if missing := l.missingModel(); missing != "" {
		if may.Model && now.Sub(l.loadModel) >= checkInterval {
			return Order{Adapter: upstreams.Adapter{Model: missing}, ExpectedOrderCount: l.accepted}, true
		}
		if len(l.models) == 0 {
			return Order{}, false
		}
	}
	l.wants = slices.DeleteFunc(l.wants, func(w want) bool { return l.settled(now, w) })
	if w := l.first(now, may.ColdAdapter); w != nil && l.inTransit(now) < maxTransit {
		// A newer version takes a place beside the older one until its runs have ended.
		if l.taken() < l.capacity {
			return Order{Adapter: w.adapter, Version: w.version, ExpectedOrderCount: l.accepted}, true
		}
		if v := l.victim(now); v != nil {
			return Order{Adapter: *v, Unload: true, ExpectedOrderCount: l.accepted}, true
		}
	}
	for a, e := range l.entries {
		if e.phase == resident && e.version < l.newest[a] && now.Sub(e.used) > keepOutdated {
			return Order{Adapter: a, Unload: true, ExpectedOrderCount: l.accepted}, true
		}
	}
	return Order{}, false
}

// first returns the wish to meet next: one whose request can still be on time before
// one whose request is late anyway, then the more urgent, then the older one. In a
// flood of rare adapters the order of arrival would make all of them late.
func (l *Planner) first(now time.Time, cold bool) *want {
	var best *want
	bestOnTime := false
	for i := range l.wants {
		w := &l.wants[i]
		if _, warm := l.warm[w.adapter]; !warm && !cold {
			continue
		}
		onTime := !now.Add(l.loadTime(w.adapter)).After(w.due)
		if best == nil || onTime && !bestOnTime || onTime == bestOnTime && w.rank < best.rank {
			best, bestOnTime = w, onTime
		}
	}
	return best
}

// settled reports whether a wish is met or too old.
func (l *Planner) settled(now time.Time, w want) bool {
	e := l.entries[w.adapter]
	return now.After(w.until) || e != nil && e.phase != unloading && e.version >= w.version
}

// RecordOutcome takes the outcome of an order.
func (l *Planner) RecordOutcome(now time.Time, o Order, r Outcome) {
	l.lastOrder = now
	if o.Adapter.Name == "" {
		l.loadModel = now
	}
	if r == OutcomeConflict && l.isBlocked(now) {
		l.notBefore = now.Add(blockedPause)
		return
	}
	if r == OutcomeConflict && l.anyLoading(now) && l.full < maxFull {
		l.full++
		l.notBefore = now.Add(fullPause)
		return
	}
	l.full = 0
	repeated := l.unsure != nil
	l.unsure = nil
	switch r {
	case OutcomeAccepted:
		l.accepted++
		l.apply(now, o, false)
		l.soon(now, checkInterval)
	case OutcomeDone:
		l.apply(now, o, true)
		switch {
		case o.Unload && now.Sub(l.doubtful[o.Adapter]) < doubtFor:
			l.distrust(now)
		case o.Unload: // a load that holds already is not counted by the engine
			l.accepted++
		}
		l.soon(now, checkInterval)
	case OutcomeUnknown:
		l.doubtful[o.Adapter] = now
		if !o.Unload && o.Adapter.Name != "" && l.entries[o.Adapter] == nil {
			// It takes a slot until a report shows otherwise.
			l.entries[o.Adapter] = &entry{phase: loading, since: now, readyAt: now.Add(coldLoad), used: now, expected: o.ExpectedOrderCount}
		}
		if l.tries++; l.tries < maxTries {
			// Given again, it either is accepted, which voids the first one with its
			// count of orders, or conflicts because the first one was.
			l.unsure = &o
			return
		}
		l.distrust(now)
	case OutcomeConflict, OutcomeWrongEngine:
		l.distrust(now)
	}
	l.tries = 0
	if repeated && r == OutcomeDone {
		l.distrust(now) // the first one may have been carried out
	}
}

// distrust waits until a report must show all earlier orders.
func (l *Planner) distrust(now time.Time) {
	l.synced = false
	l.nextSync = now.Add(reportLag)
}

// anyLoading reports whether an adapter may still be on its way: the engine then
// rejects further orders although the count of orders is right.
func (l *Planner) anyLoading(now time.Time) bool {
	for _, e := range l.entries {
		if e.phase != resident && now.Sub(e.since) < wantFor {
			return true
		}
	}
	return false
}

func (l *Planner) soon(now time.Time, d time.Duration) {
	if at := now.Add(d); l.nextSync.Before(now) || at.Before(l.nextSync) {
		l.nextSync = at
	}
}

func (l *Planner) apply(now time.Time, o Order, done bool) {
	if o.Adapter.Name == "" {
		return
	}
	if o.Unload {
		if done {
			delete(l.entries, o.Adapter)
			l.unloaded[o.Adapter] = now
		} else if e := l.entries[o.Adapter]; e != nil {
			e.phase, e.since = unloading, now
		}
		return
	}
	took := l.loadTime(o.Adapter)
	delete(l.unloaded, o.Adapter)
	replaces := l.entries[o.Adapter] != nil && !done
	if replaces {
		took = replaceLoad
	}
	e := &entry{version: max(o.Version, 1), phase: loading, since: now, readyAt: now.Add(took), used: now, replaces: replaces}
	if done {
		e.phase, e.readyAt = resident, now
	}
	l.entries[o.Adapter] = e
	l.keepWarm(now, o.Adapter)
}

func (l *Planner) keepWarm(now time.Time, a upstreams.Adapter) {
	l.warm[a] = now
	if len(l.warm) <= maxWarm {
		return
	}
	var oldest upstreams.Adapter
	for b, at := range l.warm {
		if oldest.Name == "" || at.Before(l.warm[oldest]) {
			oldest = b
		}
	}
	delete(l.warm, oldest)
}

func (l *Planner) inTransit(now time.Time) int {
	n := 0
	for _, e := range l.entries {
		if e.phase == loading && now.Before(e.readyAt) {
			n++
		}
	}
	return n
}

// victim returns the adapter to unload for another one: outdated ones first, then
// the least recently used. An unload in progress is not waited for: it ends with the
// runs that use the adapter, which may take seconds.
func (l *Planner) victim(now time.Time) *upstreams.Adapter {
	var candidates []upstreams.Adapter
	for a, e := range l.entries {
		if e.isIdle(now) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	worst := slices.MinFunc(candidates, func(a, b upstreams.Adapter) int {
		x, y := l.entries[a], l.entries[b]
		xOld, yOld := x.version < l.newest[a], y.version < l.newest[b]
		if xOld != yOld {
			if xOld {
				return -1
			}
			return 1
		}
		return cmp.Or(x.used.Compare(y.used), cmp.Compare(a.Name, b.Name))
	})
	return &worst
}
