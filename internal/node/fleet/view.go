// Package fleet keeps what a daemon believes of the fleet: the configuration, the
// upstreams and what they hold, its peers, and which daemon orders loads at which
// engine. The decisions stand in internal/coordination.
package fleet

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/retrybudget"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// heldFresh is how long an owner's word on an engine goes before the engine's
	// own entry in the store.
	heldFresh = 3 * time.Second
	// ownerFresh is how long after its last message an owner is asked for loads.
	ownerFresh = 1500 * time.Millisecond
	// absentFor is how long an engine is not chosen for an adapter that it did not have.
	absentFor = 700 * time.Millisecond
	// replicateEvery is the least time between two further copies of an adapter.
	replicateEvery = 700 * time.Millisecond
	// touchEvery is the least time between two messages of a use of an adapter. The
	// owner's word on idle adapters is renewed in less.
	touchEvery = 800 * time.Millisecond
	// modelUseKeep is what stays of the count of requests by model in a round of gossip:
	// half of it in seven seconds.
	modelUseKeep = 0.98
	// minDaemons divides shared budgets while the peers are not known yet.
	minDaemons = 4
)

// RetryLimits are the limits of retries over all daemons.
type RetryLimits struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// ViewOptions sets up a View.
type ViewOptions struct {
	Zone    state.Zone
	Retries RetryLimits
	// OutdatedGracePeriod is how long an older version of an adapter may serve after a newer one was announced.
	OutdatedGracePeriod time.Duration
	Log                 *decisionlog.Log
	Clock               func() time.Time
}

type heldBy struct {
	at       time.Time
	models   []string
	canOrder bool
	room     int
	queue    time.Duration
	list     map[upstreams.Adapter]residency.ResidentAdapter
}

type announced struct {
	version int
	at      time.Time
}

type absence struct {
	id      state.UpstreamID
	adapter upstreams.Adapter
}

// View is safe for concurrent use.
type View struct {
	opts  ViewOptions
	table atomic.Pointer[routes.Table]

	mu         sync.Mutex // guards everything below; not held across I/O
	listAt     time.Time  // when the list of upstreams was last known to be the store's
	ups        map[state.UpstreamID]*upstreams.Upstream
	byService  map[string][]*upstreams.Upstream
	held       map[state.UpstreamID]heldBy
	absent     map[absence]time.Time
	versions   map[upstreams.Adapter]announced
	tracker    *balance.Tracker
	crashes    *quarantine.Table
	strikes    []quarantine.Crash // not yet told to the peers
	inFlight   map[absence]int    // requests by engine and adapter
	uses       map[state.UpstreamID][]upstreams.Adapter
	missing    map[state.UpstreamID][]upstreams.Adapter
	replicated map[upstreams.Adapter]time.Time // when another copy was asked for
	modelUse   map[string]float64              // requests by model, of the last seconds
	touched    map[absence]time.Time           // when the owner was told of a use at once
	budgets    map[string]*retrybudget.Budget
	loadable   map[state.UpstreamID]bool // whose holder can be asked for loads
	daemons    int
}

// NewView returns an empty view.
func NewView(opts ViewOptions) *View {
	return &View{
		opts:       opts,
		ups:        make(map[state.UpstreamID]*upstreams.Upstream),
		byService:  make(map[string][]*upstreams.Upstream),
		held:       make(map[state.UpstreamID]heldBy),
		absent:     make(map[absence]time.Time),
		versions:   make(map[upstreams.Adapter]announced),
		tracker:    balance.NewTracker(),
		crashes:    quarantine.New(),
		inFlight:   make(map[absence]int),
		uses:       make(map[state.UpstreamID][]upstreams.Adapter),
		missing:    make(map[state.UpstreamID][]upstreams.Adapter),
		replicated: make(map[upstreams.Adapter]time.Time),
		modelUse:   make(map[string]float64),
		touched:    make(map[absence]time.Time),
		budgets:    make(map[string]*retrybudget.Budget),
	}
}

// Table returns the configuration in force, or nil before the first one.
func (v *View) Table() *routes.Table { return v.table.Load() }

// SetConfig puts a configuration in force unless it is older than the current one.
func (v *View) SetConfig(c *routes.Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.table.Load(); t != nil && t.Config.Version >= c.Version {
		return false
	}
	v.table.Store(routes.NewTable(c))
	v.opts.Log.Event("configuration in force", slog.Uint64("version", c.Version), slog.Int("routes", len(c.Routes)))
	return true
}

// SetUpstreams replaces the list of upstreams.
func (v *View) SetUpstreams(now time.Time, list []upstreams.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.ups
	v.listAt = now
	v.ups = make(map[state.UpstreamID]*upstreams.Upstream, len(list))
	v.byService = make(map[string][]*upstreams.Upstream)
	for i := range list {
		u := &list[i]
		if before := old[u.ID]; u.Holding.Adapters == nil && before != nil && before.Born == u.Born {
			u.Holding.Adapters = before.Holding.Adapters // a peer's list does not tell them
		}
		v.ups[u.ID] = u
		v.byService[u.Service] = append(v.byService[u.Service], u)
		if before := old[u.ID]; before == nil || before.Draining != u.Draining || before.Born != u.Born {
			v.opts.Log.Event("upstream", slog.String("upstream", string(u.ID)), slog.String("addr", u.Addr),
				slog.String("service", u.Service), slog.Bool("draining", u.Draining))
		}
	}
	for id := range old {
		if v.ups[id] == nil {
			v.opts.Log.Event("upstream gone", slog.String("upstream", string(id)))
			delete(v.held, id)
		}
	}
	for k, at := range v.absent {
		if now.Sub(at) > absentFor {
			delete(v.absent, k)
		}
	}
	for k, at := range v.touched {
		if now.Sub(at) > touchEvery {
			delete(v.touched, k)
		}
	}
	for k, at := range v.replicated {
		if now.Sub(at) > replicateEvery {
			delete(v.replicated, k)
		}
	}
	v.tracker.Retain(func(id state.UpstreamID) bool { return v.ups[id] != nil })
}

// ConfirmUpstreams notes that the list of upstreams was the store's at a time.
func (v *View) ConfirmUpstreams(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.listAt) {
		v.listAt = at
	}
}

// Upstreams returns the listed upstreams.
func (v *View) Upstreams() []*upstreams.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]*upstreams.Upstream, 0, len(v.ups))
	for _, u := range v.ups {
		out = append(out, u)
	}
	return out
}

// Upstream returns a listed upstream, or nil.
func (v *View) Upstream(id state.UpstreamID) *upstreams.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ups[id]
}

// SetNewestVersion notes the newest version of an adapter.
func (v *View) SetNewestVersion(a upstreams.Adapter, version int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.versions[a].version {
		return false
	}
	v.versions[a] = announced{version: version, at: v.opts.Clock()}
	return true
}

// EachNewestVersion returns the newest announced versions of adapters.
func (v *View) EachNewestVersion(each func(upstreams.Adapter, int)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for a, n := range v.versions {
		each(a, n.version)
	}
}

// IsSuperseded reports whether a request that was sent for a version of an adapter, zero
// for any, must not begin any more: a newer version was announced too long ago.
func (v *View) IsSuperseded(a upstreams.Adapter, version int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := v.versions[a]
	return newest.version > version && v.opts.Clock().Sub(newest.at) >= v.opts.OutdatedGracePeriod
}

// SetEngineState takes an owner's word on what its engine holds.
func (v *View) SetEngineState(e protocol.EngineState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	h := heldBy{at: now, models: e.Models, canOrder: e.CanOrder, room: e.Room, queue: e.Queue, list: make(map[upstreams.Adapter]residency.ResidentAdapter, len(e.Held))}
	for _, item := range e.Held {
		h.list[item.Adapter] = item
	}
	v.held[e.Upstream] = h
}

// SetLoadable takes the engines whose holders can be asked for loads.
func (v *View) SetLoadable(list map[state.UpstreamID]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loadable = list
}

// SetPeerInFlight takes what a peer has in flight.
func (v *View) SetPeerInFlight(id state.DaemonID, works map[state.UpstreamID]balance.InFlight) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.SetPeerInFlight(v.opts.Clock(), id, works)
}

// OwnInFlight returns what this daemon has in flight.
func (v *View) OwnInFlight() map[state.UpstreamID]balance.InFlight {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.OwnInFlight()
}

// RecordPeerCrash notes a crash that a peer saw.
func (v *View) RecordPeerCrash(s quarantine.Crash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashes.RecordCrash(v.opts.Clock(), s)
}

// SetDaemonCount tells among how many daemons shared budgets are divided.
func (v *View) SetDaemonCount(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemons = n
}

// Outgoing is what the peers are told of this daemon's requests.
type Outgoing struct {
	InFlight map[state.UpstreamID]balance.InFlight
	Crashes  []quarantine.Crash
	Uses     map[state.UpstreamID][]upstreams.Adapter
	Misses   map[state.UpstreamID][]upstreams.Adapter
}

// DrainOutgoing returns what the peers are to be told, and begins anew.
func (v *View) DrainOutgoing() Outgoing {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := Outgoing{InFlight: v.tracker.OwnInFlight(), Crashes: v.strikes, Uses: v.uses, Misses: v.missing}
	for key := range v.inFlight {
		out.Uses[key.id] = append(out.Uses[key.id], key.adapter)
	}
	for model, n := range v.modelUse {
		v.modelUse[model] = n * modelUseKeep
	}
	v.strikes = nil
	v.missing = make(map[state.UpstreamID][]upstreams.Adapter)
	v.uses = make(map[state.UpstreamID][]upstreams.Adapter)
	return out
}

// WithTracker runs a function on the tracker of work in flight.
func (v *View) WithTracker(do func(t *balance.Tracker)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	do(v.tracker)
}

// Begin counts a request that is sent to an upstream, and the use of an adapter.
func (v *View) Begin(id state.UpstreamID, r balance.Request, a upstreams.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Begin(id, r)
	if a.Name != "" {
		v.inFlight[absence{id, a}]++
	}
}

// End ends a request that Begin counted; read tells whether its first event came.
func (v *View) End(id state.UpstreamID, r balance.Request, a upstreams.Adapter, read bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.End(id, r, read)
	if a.Name == "" {
		return
	}
	key := absence{id, a}
	if v.inFlight[key]--; v.inFlight[key] <= 0 {
		delete(v.inFlight, key)
		v.uses[id] = append(v.uses[id], a) // told once more
	}
}

// RecordMiss notes that an engine did not have an adapter.
func (v *View) RecordMiss(id state.UpstreamID, a upstreams.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.absent[absence{id, a}] = v.opts.Clock()
	v.missing[id] = append(v.missing[id], a)
}

// RecordOverdueLoad notes that an engine does not have an adapter yet whose load was waited for.
func (v *View) RecordOverdueLoad(id state.UpstreamID, a upstreams.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.missing[id] = append(v.missing[id], a)
}

// AllowReplication reports whether another copy of an adapter may be asked for now. It says
// so once in a while for each.
func (v *View) AllowReplication(a upstreams.Adapter) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	if now.Sub(v.replicated[a]) < replicateEvery {
		return false
	}
	v.replicated[a] = now
	return true
}

// RecordCrash notes that an upstream crashed under a request.
func (v *View) RecordCrash(s quarantine.Crash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashes.RecordCrash(v.opts.Clock(), s)
	v.strikes = append(v.strikes, s)
}

// ClearCrashes forgets the crashes of a request that ran to its end.
func (v *View) ClearCrashes(fingerprint uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashes.RecordCompletion(fingerprint)
}

// IsQuarantined reports whether a request is kept from all upstreams.
func (v *View) IsQuarantined(fingerprint uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashes.Refused(v.opts.Clock(), fingerprint)
}

func (v *View) budget(service string, now time.Time) *retrybudget.Budget {
	b := v.budgets[service]
	if b == nil {
		b = retrybudget.New(v.opts.Retries.Ratio, v.opts.Retries.Burst, v.opts.Retries.Window, now)
		v.budgets[service] = b
	}
	return b
}

// CountRequest counts the first send of a request to a service.
func (v *View) CountRequest(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	v.budget(service, now).RecordRequest(now)
}

// TakeRetry takes a retry from this daemon's share of the budget.
func (v *View) TakeRetry(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	return v.budget(service, now).AllowRetry(now, max(v.daemons, minDaemons))
}
