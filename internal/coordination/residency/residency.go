// Package residency decides which adapters one engine holds. Its owner keeps one
// Ledger per engine; nothing else orders loads there.
package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// maxTransit is how many adapters an engine takes in at the same time.
	maxTransit = 4
	// coldLoad and warmLoad are estimates of a load from the weight store and from
	// the engine's own copy. A request that comes earlier is refused by the engine.
	coldLoad = 300 * time.Millisecond
	warmLoad = 40 * time.Millisecond
	// replaceLoad includes the wait for the runs on the older version.
	replaceLoad = 1500 * time.Millisecond
	// reportLag bounds how old the values of a report are.
	reportLag = 400 * time.Millisecond
	// checkInterval is how often a ledger with recent orders is compared with a report.
	checkInterval = 1500 * time.Millisecond
	// keepUsed protects an adapter after its last request was seen in flight; the
	// daemons tell several times a second.
	keepUsed = 500 * time.Millisecond
	// keepOutdated leaves time to the requests that were sent to an older version.
	keepOutdated = 200 * time.Millisecond
	// wantFor is how long a wish is kept.
	wantFor = 1500 * time.Millisecond
	// lateLoadStep is added to a load that takes longer than estimated, up to lateLoadLimit.
	lateLoadStep  = 120 * time.Millisecond
	lateLoadLimit = 1500 * time.Millisecond
	// maxWants bounds the wishes that wait for an engine.
	maxWants = 12
	// fullPause follows an order that the engine rejected while it takes adapters in.
	fullPause = 60 * time.Millisecond
	// maxTries is how often an order without an answer is given before a report is read.
	maxTries = 5
	// maxFull is the number of rejections in a row after which the ledger is taken to be wrong.
	maxFull = 6
	// blockedPause is the time between two orders to an engine that waits for the runs
	// of an adapter that it unloads; it rejects all others meanwhile.
	blockedPause = 150 * time.Millisecond
	// maxBlocked is how long rejections are put down to such an unload.
	maxBlocked = 6 * time.Second
	// doubtFor is how long an order without an answer may still be carried out.
	doubtFor = 10 * time.Second
	// reportMemory is how long after an unload reports may still list the adapter.
	reportMemory = time.Second
	// maxWarm bounds the adapters of which the engine is thought to have a copy.
	maxWarm = 60
)

type phase uint8

const (
	loading phase = iota
	resident
	unloading
)

type entry struct {
	version int
	phase   phase
	since   time.Time // of the phase
	readyAt time.Time
	used    time.Time
	// replaces says that the engine holds an older version beside it until the runs on
	// that have ended.
	replaces bool
	// expected is the count of orders with which a load without an answer was sent.
	expected int
}

type want struct {
	adapter upstreams.Adapter
	version int
	rank    int
	due     time.Time // the load must be done for the request to be on time
	until   time.Time
	waiters int
}

// Planner is what the owner of an engine knows of the adapters there. It is not safe
// for concurrent use.
//
// Invariant: the places taken, whatever the phase of their entries, never exceed the
// engine's capacity.
type Planner struct {
	capacity  int
	wanted    []string        // models that the engine is to hold
	models    map[string]bool // that it holds
	loadModel time.Time       // last order to load a model
	synced    bool
	born      int64
	accepted  int
	lastOrder time.Time
	nextSync  time.Time
	entries   map[upstreams.Adapter]*entry
	wants     []want
	newest    map[upstreams.Adapter]int
	warm      map[upstreams.Adapter]time.Time
	unsure    *Order                          // whose outcome is unknown
	tries     int                             // of the unsure order
	pace      float64                         // actual over estimated time of loads from the weight store
	unloaded  map[upstreams.Adapter]time.Time // recently
	// doubtful are the adapters of recent orders without an answer. An unload of one that
	// is not there any more holds already and is not counted by the engine; with a
	// count that is too high, a later order may be carried out when nobody expects it.
	doubtful  map[upstreams.Adapter]time.Time
	full      int       // rejections in a row while adapters were on their way
	notBefore time.Time // of the next order
}

// NewPlanner returns the ledger of an engine that holds at most capacity adapters. It
// orders nothing before the first report. What the engine holds then, it goes on to
// hold; if it holds no model, the given one is loaded.
func NewPlanner(model string, capacity int) *Planner {
	return &Planner{
		capacity: capacity,
		wanted:   []string{model},
		models:   make(map[string]bool),
		pace:     1,
		entries:  make(map[upstreams.Adapter]*entry),
		newest:   make(map[upstreams.Adapter]int),
		warm:     make(map[upstreams.Adapter]time.Time),
		unloaded: make(map[upstreams.Adapter]time.Time),
		doubtful: make(map[upstreams.Adapter]time.Time),
	}
}

// SetLoadSlowdown tells how much longer than at full speed loads from the weight store take.
func (l *Planner) SetLoadSlowdown(p float64) { l.pace = p }

// SetCapacity changes how many adapters fit.
func (l *Planner) SetCapacity(n int) { l.capacity = n }

// NeedsReport says whether a report is due.
func (l *Planner) NeedsReport(now time.Time) bool {
	if !l.synced {
		return !now.Before(l.nextSync)
	}
	return !l.lastOrder.IsZero() && !now.Before(l.nextSync)
}

// ReportFailed delays the next report.
func (l *Planner) ReportFailed(now time.Time) { l.nextSync = now.Add(reportLag) }

// ApplyReport takes a report. The report may be older than the last orders.
func (l *Planner) ApplyReport(now time.Time, born int64, accepted int, h upstreams.Holding, pending []upstreams.Adapter) {
	if l.synced && born != l.born { // the engine started anew, with nothing
		l.entries = make(map[upstreams.Adapter]*entry)
	}
	if !l.synced || born != l.born || now.Sub(l.lastOrder) > reportLag {
		l.accepted = accepted
	}
	l.syncModels(h.Models)
	for a, version := range h.Adapters {
		e := l.entries[a]
		switch {
		case e == nil && now.Sub(l.unloaded[a]) < reportMemory:
			// The report is older than the unload.
		case e == nil:
			l.entries[a] = &entry{version: version, phase: resident, since: now, readyAt: now, used: now}
		case e.phase == loading && version >= e.version:
			e.phase, e.version, e.readyAt, e.replaces = resident, version, now, false
		case e.phase == resident:
			e.version = version
		}
	}
	for _, a := range pending {
		if l.entries[a] == nil {
			l.entries[a] = &entry{phase: loading, since: now, readyAt: now.Add(coldLoad), used: now}
		}
	}
	for a, e := range l.entries {
		if _, held := h.Adapters[a]; held || slices.Contains(pending, a) || now.Sub(e.since) < checkInterval || e.mayCome(now, accepted) {
			continue
		}
		delete(l.entries, a)
	}
	for a, at := range l.doubtful {
		if now.Sub(at) >= doubtFor {
			delete(l.doubtful, a)
		}
	}
	for a, at := range l.unloaded {
		if now.Sub(at) >= reportMemory {
			delete(l.unloaded, a)
		}
	}
	l.synced, l.born = true, born
	l.nextSync = now.Add(checkInterval)
	if now.Sub(l.lastOrder) > 2*checkInterval && l.missingModel() == "" {
		l.lastOrder = time.Time{}
	}
}

// syncModels takes the models of a report. An engine that started anew is to hold what
// it held before.
func (l *Planner) syncModels(held map[string]int) {
	l.models = make(map[string]bool, len(held))
	news := false
	for name := range held {
		l.models[name] = true
		news = news || !slices.Contains(l.wanted, name)
	}
	if news {
		l.wanted = slices.Sorted(maps.Keys(held))
	}
}

// missingModel returns a model that the engine is to hold and does not, or nothing.
func (l *Planner) missingModel() string {
	for _, name := range l.wanted {
		if !l.models[name] {
			return name
		}
	}
	return ""
}

// TargetModels returns the models that the engine is to hold.
func (l *Planner) TargetModels() []string { return l.wanted }

// SetNewestVersion tells the newest version of an adapter.
func (l *Planner) SetNewestVersion(a upstreams.Adapter, version int) {
	if version > l.newest[a] {
		l.newest[a] = version
	}
}

// RecordUse notes that a request was sent for an adapter.
func (l *Planner) RecordUse(now time.Time, a upstreams.Adapter) {
	if e := l.entries[a]; e != nil {
		e.used = now
	}
}

// RequestLoad asks for an adapter in a version or a newer one, for a request of a rank that
// is on time if the load is done within slack. It reports false if the engine has no room for it at present. The caller calls Leave
// when it does not wait any more, unless Ordered reported true.
func (l *Planner) RequestLoad(now time.Time, a upstreams.Adapter, version, rank int, slack time.Duration) bool {
	if !l.synced || !l.models[a.Model] {
		return false
	}
	version = max(version, l.newest[a])
	if e := l.entries[a]; e != nil && e.phase != unloading && e.version >= version {
		e.used = now
		return true
	}
	if i := slices.IndexFunc(l.wants, func(w want) bool { return w.adapter == a }); i >= 0 {
		w := &l.wants[i]
		w.version, w.rank, w.until = max(w.version, version), min(w.rank, rank), now.Add(wantFor)
		if due := now.Add(slack); due.After(w.due) {
			w.due = due
		}
		w.waiters++
		return true
	}
	if len(l.wants) >= maxWants || l.evictable(now) <= len(l.wants) || l.isBlocked(now) {
		return false
	}
	l.wants = append(l.wants, want{adapter: a, version: version, rank: rank, due: now.Add(slack), until: now.Add(wantFor), waiters: 1})
	return true
}

// WithdrawLoad withdraws a wish of one request; the last one to leave drops it.
func (l *Planner) WithdrawLoad(a upstreams.Adapter) {
	for i := range l.wants {
		if l.wants[i].adapter != a {
			continue
		}
		if l.wants[i].waiters--; l.wants[i].waiters <= 0 {
			l.wants = slices.Delete(l.wants, i, i+1)
		}
		return
	}
}

// queueTime is how long a further wish waits behind others at this engine and behind a
// backlog at all engines that share a window of parallel loads.
func (l *Planner) queueTime(others int, parallel float64, backlog int) time.Duration {
	parallel = max(1, parallel)
	rounds := max(float64(others)/min(parallel, maxTransit), float64(backlog)/parallel)
	return time.Duration(rounds * l.pace * float64(coldLoad))
}

// PendingLoads returns how many wishes wait for an order.
func (l *Planner) PendingLoads() int { return len(l.wants) }

// evictable is the number of adapters that could be loaded without a wait for runs to
// end. An unload in progress waits for some.
func (l *Planner) evictable(now time.Time) int {
	n := l.capacity - l.taken()
	for _, e := range l.entries {
		if e.isIdle(now) {
			n++
		}
	}
	return n
}

// mayCome reports whether a load without an answer may still be carried out by an engine
// that has accepted a number of orders: when the count comes to the one it was sent with.
func (e *entry) mayCome(now time.Time, accepted int) bool {
	return e.version == 0 && e.expected >= accepted && now.Sub(e.since) < doubtFor
}

// taken is how many places the engine may have in use.
func (l *Planner) taken() int {
	n := len(l.entries)
	for _, e := range l.entries {
		if e.replaces {
			n++
		}
	}
	return n
}

// isIdle reports whether no requests are known to use an adapter that is loaded. An
// adapter whose load is in doubt is not: an unload of what is not there is not counted
// by the engine, and puts the count of orders wrong until its load may come late.
func (e *entry) isIdle(now time.Time) bool {
	return e.phase != unloading && e.version > 0 && now.After(e.readyAt) && now.Sub(e.used) > keepUsed
}

// TimeUntilReady reports whether an adapter is loaded or on its way in a version, and how
// long until it is there.
func (l *Planner) TimeUntilReady(now time.Time, a upstreams.Adapter, version int) (time.Duration, bool) {
	e := l.entries[a]
	if e == nil || e.phase == unloading || e.version < max(version, l.newest[a]) {
		return 0, false
	}
	return max(0, e.readyAt.Sub(now)), true
}

// IsResidentOrLoading reports whether an adapter is loaded or on its way in a version.
func (l *Planner) IsResidentOrLoading(now time.Time, a upstreams.Adapter, version int) bool {
	_, ok := l.TimeUntilReady(now, a, version)
	return ok
}

// IsPending reports whether a wish for an adapter is still kept.
func (l *Planner) IsPending(now time.Time, a upstreams.Adapter) bool {
	return slices.ContainsFunc(l.wants, func(w want) bool { return w.adapter == a && now.Before(w.until) })
}

// RecordMiss notes that the engine did not have an adapter when a request came for it.
// It returns when a load that is late should be done, or zero, and its time until then
// over the expected one.
func (l *Planner) RecordMiss(now time.Time, a upstreams.Adapter) (end time.Time, ratio float64) {
	e := l.entries[a]
	if e == nil || now.Before(e.readyAt) {
		return time.Time{}, 0
	}
	if now.Sub(e.since) < lateLoadLimit && e.phase == loading {
		e.readyAt = now.Add(lateLoadStep)
		return e.readyAt, float64(e.readyAt.Sub(e.since)) / float64(coldLoad)
	}
	l.soon(now, 0)
	return time.Time{}, 0
}

// LoadCapacity returns how many more wishes are taken, and how long a new one waits, if the
// daemon's engines share a window of parallel loads and a backlog of wishes.
func (l *Planner) LoadCapacity(now time.Time, parallel float64, backlog int) (int, time.Duration) {
	if !l.synced || len(l.models) == 0 || l.isBlocked(now) {
		return 0, 0
	}
	room := min(maxWants, l.evictable(now)) - len(l.wants)
	return max(0, room), l.queueTime(len(l.wants)+l.inTransit(now), parallel, backlog)
}

// ResidentAdapter is an adapter that an engine holds or will hold.
type ResidentAdapter struct {
	Adapter upstreams.Adapter `cbor:"1,keyasint"`
	Version int               `cbor:"2,keyasint"`
	ReadyIn time.Duration     `cbor:"3,keyasint,omitempty"`
	// Idle says that no request is known to use it: it may be unloaded at any moment.
	Idle bool `cbor:"4,keyasint,omitempty"`
}

// ResidentAdapters lists what requests may count on.
func (l *Planner) ResidentAdapters(now time.Time) []ResidentAdapter {
	list := make([]ResidentAdapter, 0, len(l.entries))
	for a, e := range l.entries {
		if e.phase == unloading || e.version == 0 {
			continue
		}
		list = append(list, ResidentAdapter{Adapter: a, Version: e.version, ReadyIn: max(0, e.readyAt.Sub(now)), Idle: e.isIdle(now)})
	}
	slices.SortFunc(list, func(a, b ResidentAdapter) int { return cmp.Compare(a.Adapter.Name, b.Adapter.Name) })
	return list
}

// ResidentModels lists the models that the engine holds.
func (l *Planner) ResidentModels() []string {
	if !l.synced {
		return nil
	}
	return slices.Sorted(maps.Keys(l.models))
}
