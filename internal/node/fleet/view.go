// Package fleet keeps a daemon's view of the fleet: the configuration, the upstreams with
// their resident adapters, the peers, and the lease holder of each engine. The decisions
// are made by the packages in internal/coordination.
package fleet

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/pacing"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/quota"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/retrybudget"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/coordination/versions"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// engineStateTTL is how long a lease holder's report on its engine takes precedence
	// over the engine's entry in the store.
	engineStateTTL = 3 * time.Second
	// holderTTL is how long after the last message from a lease holder it may be sent load
	// requests.
	holderTTL = 1500 * time.Millisecond
	// missTTL is how long an engine is not chosen as a replica of an adapter after it rejected
	// a request because the adapter was missing.
	missTTL = 700 * time.Millisecond
	// minReplicationInterval is the minimum time between two requests for a further replica of
	// an adapter.
	minReplicationInterval = 700 * time.Millisecond
	// minUseNoticeInterval is the minimum time between two notices that an idle adapter of an
	// engine is in use. The lease holder's reports on idle adapters are more frequent.
	minUseNoticeInterval = 800 * time.Millisecond
	// modelRequestsDecay is the factor that a round of gossip applies to the request
	// counts of models. With it, a count halves in seven seconds.
	modelRequestsDecay = 0.98
	// minDaemonCount is the least number of daemons by which shared budgets are divided. It
	// limits this daemon's share while its peers are not known yet.
	minDaemonCount = 4
)

// RetryLimits are the limits of retries of all daemons together.
type RetryLimits struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// ViewOptions configures a View.
type ViewOptions struct {
	Zone    state.Zone
	Retries RetryLimits
	// OutdatedGracePeriod is how long a version of an adapter may begin runs after the next newer
	// version was announced.
	OutdatedGracePeriod time.Duration
	// ConfigApplyTime is the time within which a configuration is in force at every daemon that
	// reaches the store or its peers. Zero means that this daemon always has the newest one.
	ConfigApplyTime time.Duration
	Quotas          quota.Options
	// IsConnected reports whether this daemon has an idle connection to an address. Nil if that is
	// not known.
	IsConnected func(addr string) bool
	Log         *decisionlog.Log
	Clock       func() time.Time
	// BootClock also counts while the machine is suspended. Without it, times are those of Clock.
	BootClock func() time.Duration
}

// engineState is a lease holder's report on its engine.
type engineState struct {
	at           time.Time
	models       []string // resident
	canOrder     bool
	loadCapacity int
	loadDelay    time.Duration
	adapters     map[upstreams.Adapter]residency.ResidentAdapter
}

// engineAdapter identifies an adapter at one engine.
type engineAdapter struct {
	engine  state.UpstreamID
	adapter upstreams.Adapter
}

// View is a daemon's view of the fleet. It is safe for concurrent use.
type View struct {
	opts    ViewOptions
	inForce atomic.Pointer[ConfigInForce]

	confirmation configConfirmation
	onConfig     func(*routes.Table)

	mu              sync.Mutex // guards the fields below; not held across I/O
	listConfirmedAt time.Time  // when byID last agreed with the store
	byID            map[state.UpstreamID]*upstreams.Upstream
	byService       map[string][]*upstreams.Upstream
	engineStates    map[state.UpstreamID]engineState
	missedAt        map[engineAdapter]time.Time // when a request last found the adapter missing
	versions        map[upstreams.Adapter]*versions.History
	tracker         *balance.Tracker
	signals         *eligibility.Table // what upstreams said in their responses
	crashes         *quarantine.Table
	newCrashes      []crashReport                            // not yet sent to the peers
	droppedReports  int                                      // of crashes, for lack of room in newCrashes
	newSurvivals    map[quarantine.Trait]time.Time           // when they came; not yet sent to the peers
	adapterRequests map[engineAdapter]int                    // requests in flight
	newlyUsed       map[state.UpstreamID][]upstreams.Adapter // not yet sent to the lease holders
	newlyMissing    map[state.UpstreamID][]upstreams.Adapter // not yet sent to the lease holders
	lastReplicated  map[upstreams.Adapter]time.Time
	replicaRatios   map[upstreams.Adapter]replicaRatio
	paces           map[string]*pacing.Pace // by service
	modelRequests   map[string]float64      // decaying count of requests by model
	useNotifiedAt   map[engineAdapter]time.Time
	retryBudgets    map[string]*retrybudget.Budget // by service
	loadable        map[state.UpstreamID]bool      // whether loads can be requested from the lease holder
	daemonCount     int
	promptNotices   bool                  // whether the daemons send notices of prompts
	notice          protocol.PromptNotice // not yet sent to the peers
	noticePending   chan struct{}         // has an element if notice is not empty

	quotas quotaLedger // has its own lock
}

// NewView returns an empty view.
func NewView(opts ViewOptions) *View {
	v := &View{
		opts:            opts,
		byID:            make(map[state.UpstreamID]*upstreams.Upstream),
		byService:       make(map[string][]*upstreams.Upstream),
		engineStates:    make(map[state.UpstreamID]engineState),
		missedAt:        make(map[engineAdapter]time.Time),
		versions:        make(map[upstreams.Adapter]*versions.History),
		tracker:         balance.NewTracker(),
		signals:         eligibility.NewTable(),
		crashes:         quarantine.New(),
		newSurvivals:    make(map[quarantine.Trait]time.Time),
		adapterRequests: make(map[engineAdapter]int),
		newlyUsed:       make(map[state.UpstreamID][]upstreams.Adapter),
		newlyMissing:    make(map[state.UpstreamID][]upstreams.Adapter),
		lastReplicated:  make(map[upstreams.Adapter]time.Time),
		replicaRatios:   make(map[upstreams.Adapter]replicaRatio),
		paces:           make(map[string]*pacing.Pace),
		modelRequests:   make(map[string]float64),
		useNotifiedAt:   make(map[engineAdapter]time.Time),
		retryBudgets:    make(map[string]*retrybudget.Budget),
		noticePending:   make(chan struct{}, 1),
		confirmation:    configConfirmation{at: neverConfirmed},
	}
	if v.opts.BootClock == nil {
		start := opts.Clock()
		v.opts.BootClock = func() time.Duration { return opts.Clock().Sub(start) }
	}
	v.tracker.SetDaemons(minDaemonCount, 0)
	v.quotas.ledger = quota.New(opts.Clock(), opts.Quotas)
	v.quotas.ledger.SetDaemons(minDaemonCount)
	return v
}

// Table returns the configuration in force, or nil if there is none yet.
func (v *View) Table() *routes.Table {
	if c := v.inForce.Load(); c != nil {
		return c.Table
	}
	return nil
}

// SetConfig is SetConfigFrom for a configuration of unknown origin.
func (v *View) SetConfig(c *routes.Config) bool { return v.SetConfigFrom(c, ConfigOrigin{}) }

// SetConfigFrom puts a configuration in force if it is newer than the current configuration. It
// reports whether it did.
func (v *View) SetConfigFrom(c *routes.Config, origin ConfigOrigin) bool {
	isNewer := func() bool {
		t := v.Table()
		return t == nil || t.Config.Version < c.Version
	}
	if !isNewer() {
		return false
	}
	table := routes.NewTable(c) // takes long with many accounts
	v.mu.Lock()
	defer v.mu.Unlock()
	if !isNewer() {
		return false
	}
	before := v.ConfigBasis(v.ConfigInForce())
	v.inForce.Store(&ConfigInForce{Table: table, Since: v.opts.BootClock(), Origin: origin})
	if v.onConfig != nil {
		go v.onConfig(table) // it may take long, and must not run under the lock
	}
	v.quotas.setAccounts(v.opts.Clock(), c.Accounts)
	for name, s := range c.Services {
		if s.Engine != nil {
			v.tracker.SetMemory(name, s.Engine.KVTokens)
		}
	}
	v.opts.Log.Event("configuration in force", slog.Uint64("version", c.Version), slog.Int("routes", len(c.Routes)),
		slog.String("way", origin.Way), slog.String("peer", origin.Peer), slog.Uint64("before", before.Version),
		slog.Duration("before_held", before.Held), slog.Duration("before_age", before.Age), slog.Duration("newer_known", before.NewerKnown))
	if list := unusableAccounts(c); len(list) > 0 {
		v.opts.Log.Event("unusable account entries", slog.Uint64("version", c.Version), slog.Any("positions", list))
	}
	return true
}

// SetUpstreams replaces the list of upstreams and logs the changes. It also discards the data
// of upstreams that are no longer listed, and expired times of misses, notices of use and
// replications, and expired figures on replicas.
func (v *View) SetUpstreams(now time.Time, list []upstreams.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous := v.byID
	v.listConfirmedAt = now
	v.byID = make(map[state.UpstreamID]*upstreams.Upstream, len(list))
	v.byService = make(map[string][]*upstreams.Upstream)
	for i := range list {
		u := &list[i]
		if before := previous[u.ID]; u.Residency.Adapters == nil && before != nil && before.StartTime == u.StartTime {
			u.Residency.Adapters = before.Residency.Adapters // lists from peers omit them
		}
		v.byID[u.ID] = u
		v.byService[u.Service] = append(v.byService[u.Service], u)
		if before := previous[u.ID]; before == nil || before.Draining != u.Draining || before.StartTime != u.StartTime {
			v.opts.Log.Event("upstream", slog.String("upstream", string(u.ID)), slog.String("addr", u.Addr),
				slog.String("service", u.Service), slog.Bool("draining", u.Draining))
		}
	}
	for id := range previous {
		if v.byID[id] == nil {
			v.opts.Log.Event("upstream gone", slog.String("upstream", string(id)))
			delete(v.engineStates, id)
		}
	}
	for k, at := range v.missedAt {
		if now.Sub(at) > missTTL {
			delete(v.missedAt, k)
		}
	}
	for k, at := range v.useNotifiedAt {
		if now.Sub(at) > minUseNoticeInterval {
			delete(v.useNotifiedAt, k)
		}
	}
	for k, at := range v.lastReplicated {
		if now.Sub(at) > minReplicationInterval {
			delete(v.lastReplicated, k)
		}
	}
	v.expireReplicaRatios(now)
	v.tracker.Retain(func(id state.UpstreamID) bool { return v.byID[id] != nil })
	v.signals.Retain(now, func(run eligibility.Run) bool {
		u := v.byID[run.ID]
		return u != nil && u.StartTime == run.StartTime
	})
}

// ConfirmUpstreams records that the list of upstreams agreed with the store at the given time.
func (v *View) ConfirmUpstreams(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.listConfirmedAt) {
		v.listConfirmedAt = at
	}
}

// Upstreams returns the listed upstreams.
func (v *View) Upstreams() []*upstreams.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]*upstreams.Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		out = append(out, u)
	}
	return out
}

// Upstream returns a listed upstream, or nil.
func (v *View) Upstream(id state.UpstreamID) *upstreams.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byID[id]
}

// SetEngineState replaces a lease holder's report on its engine.
func (v *View) SetEngineState(e protocol.EngineState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	h := engineState{at: now, models: e.Models, canOrder: e.CanOrder, loadCapacity: e.LoadCapacity, loadDelay: e.LoadDelay, adapters: make(map[upstreams.Adapter]residency.ResidentAdapter, len(e.Resident))}
	for _, item := range e.Resident {
		h.adapters[item.Adapter] = item
	}
	v.engineStates[e.Upstream] = h
}

// SetLoadable sets for each engine whether loads can be requested from its lease holder.
func (v *View) SetLoadable(list map[state.UpstreamID]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loadable = list
}

// SetPeerInFlight replaces the report of a peer's requests in flight.
func (v *View) SetPeerInFlight(id state.DaemonID, inFlight map[state.UpstreamID]balance.InFlight) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.SetPeerInFlight(v.opts.Clock(), id, inFlight)
}

// OwnInFlight returns this daemon's requests in flight.
func (v *View) OwnInFlight() map[state.UpstreamID]balance.InFlight {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.OwnInFlight(v.opts.Clock())
}

// SetDaemons sets the number of daemons that share the budgets and the limits of upstreams, and the
// position of this daemon among them, from 0.
func (v *View) SetDaemons(count, position int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemonCount = count
	v.tracker.SetDaemons(count, position)
	v.quotas.setDaemons(count)
}

// Outgoing is what this daemon reports to its peers about its requests: those in flight, the
// upstreams that they crashed and, by engine, the adapters in use and the adapters that
// requests found missing.
type Outgoing struct {
	InFlight map[state.UpstreamID]balance.InFlight
	Crashes  []quarantine.Crash
	// DroppedReports is the number of crashes that are not reported, as there were too many.
	DroppedReports int
	Survivals      []quarantine.Survival // of traits of which peers may have recorded crashes
	InUse          map[state.UpstreamID][]upstreams.Adapter
	Missing        map[state.UpstreamID][]upstreams.Adapter
}

// DrainOutgoing returns the requests in flight and the adapters in use. It returns and removes
// the crashes, the survivals, the ended uses and the missing adapters that are not yet reported
// to the peers. It also applies modelRequestsDecay, and is called once per round of gossip.
func (v *View) DrainOutgoing() Outgoing {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	out := Outgoing{InFlight: v.tracker.OwnInFlight(now), InUse: v.newlyUsed, Missing: v.newlyMissing, DroppedReports: v.droppedReports}
	for _, c := range v.newCrashes {
		c.Age = now.Sub(c.at)
		out.Crashes = append(out.Crashes, c.Crash)
	}
	for trait, at := range v.newSurvivals {
		out.Survivals = append(out.Survivals, quarantine.Survival{Kind: trait.Kind, ID: trait.ID, Age: now.Sub(at)})
	}
	for key := range v.adapterRequests {
		out.InUse[key.engine] = append(out.InUse[key.engine], key.adapter)
	}
	for model, n := range v.modelRequests {
		v.modelRequests[model] = n * modelRequestsDecay
	}
	v.newCrashes, v.droppedReports = nil, 0
	clear(v.newSurvivals)
	v.newlyMissing = make(map[state.UpstreamID][]upstreams.Adapter)
	v.newlyUsed = make(map[state.UpstreamID][]upstreams.Adapter)
	return out
}

// WithTracker calls a function with the tracker of requests in flight, under the lock.
func (v *View) WithTracker(do func(t *balance.Tracker)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	do(v.tracker)
}

// AllowReplication reports whether another replica of an adapter may be requested now. If so,
// it returns false for the next minReplicationInterval.
func (v *View) AllowReplication(a upstreams.Adapter) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	if now.Sub(v.lastReplicated[a]) < minReplicationInterval {
		return false
	}
	v.lastReplicated[a] = now
	return true
}
