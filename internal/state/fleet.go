package state

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const fleetShards = 16

// Upstream is a daemon's view of one upstream: its registration, its owner and the
// owner's last report.
type Upstream struct {
	ID              UpstreamID
	VM              string
	Zone            Zone
	Region          Region
	Addr            string
	Kind            UpstreamKind
	Service         ServiceID // set for plain services only
	Base            string    // base model, set for engines only
	SupportsFencing bool      // the engine rejects orders with a stale fencing token
	Leaving         bool
	Role            Role

	Owner   DaemonID
	Epoch   Epoch
	Boot    BootID
	Slots   int // adapters resident at the same time, at most
	Batch   int // requests running at the same time, at most
	Healthy bool

	// ReportedAt is the time at which this daemon received the owner's last report, or
	// zero before the first report.
	ReportedAt time.Time
	Running    int
	Queued     int
	// QueuedByRank splits Queued by rank. It is empty if the owner does not report it.
	QueuedByRank []int
	Resident     []AdapterRef
	Loading      []AdapterRef
}

// HasResident reports whether the adapter is resident. An adapter that is still loading
// does not count.
func (u *Upstream) HasResident(a AdapterRef) bool { return slices.Contains(u.Resident, a) }

// Fleet is the sharded table of upstreams with its indexes by adapter, by base
// model and by service. It is safe for concurrent use. Values are immutable: Put and
// Update replace them.
//
// Lock order: fleet shard first, then index shard or group. Readers of an index lock
// no fleet shard.
type Fleet struct {
	shards   [fleetShards]fleetShard
	replicas replicaIndex
	engines  groupIndex[EngineGroup]
	services groupIndex[ServiceGroup]
}

type fleetShard struct {
	mu      sync.RWMutex
	entries map[UpstreamID]*Entry
}

// NewFleet returns an empty table.
func NewFleet() *Fleet {
	f := &Fleet{}
	for i := range f.shards {
		f.shards[i].entries = make(map[UpstreamID]*Entry)
	}
	f.replicas.init()
	f.engines.init()
	f.services.init()
	return f
}

func (f *Fleet) shard(id UpstreamID) *fleetShard {
	return &f.shards[xxhash.Sum64String(string(id))%fleetShards]
}

// Get returns the value of an upstream, or nil if it is not listed. Callers must not
// modify it.
func (f *Fleet) Get(id UpstreamID) *Upstream {
	if e := f.Entry(id); e != nil {
		return e.Upstream()
	}
	return nil
}

// Entry returns the entry of an upstream, or nil if it is not listed.
func (f *Fleet) Entry(id UpstreamID) *Entry {
	s := f.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entries[id]
}

// Put adds the upstream u.ID or replaces its value.
func (f *Fleet) Put(u Upstream) {
	s := f.shard(u.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[u.ID]
	if e == nil {
		e = newEntry(u.ID)
		s.entries[u.ID] = e
	}
	f.store(e, &u)
}

// Update applies change to a copy of the value and stores the copy. It reports
// whether the upstream is listed. The function must replace slices, not modify their
// elements, as the copy shares them with the stored value.
func (f *Fleet) Update(id UpstreamID, change func(*Upstream)) bool {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return false
	}
	next := *e.Upstream()
	change(&next)
	f.store(e, &next)
	return true
}

// Delete removes an upstream.
func (f *Fleet) Delete(id UpstreamID) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return
	}
	delete(s.entries, id)
	f.index(e, e.Upstream(), nil)
}

// All returns every value, sorted by identifier.
func (f *Fleet) All() []*Upstream {
	var all []*Upstream
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			all = append(all, e.Upstream())
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b *Upstream) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all
}

// Replicas returns the engines on which an adapter is resident or loading, sorted by
// hash. Callers must not modify the slice.
func (f *Fleet) Replicas(a AdapterRef) []Replica { return f.replicas.get(a) }

// Engines returns the engines of a base model in a region, or nil if there are none.
func (f *Fleet) Engines(base string, region Region) *Group {
	return f.engines.get(EngineGroup{Base: base, Region: region})
}

// Services returns the instances of a plain service in a zone, or nil if there are
// none. An empty zone stands for the whole region.
func (f *Fleet) Services(service ServiceID, region Region, zone Zone) *Group {
	return f.services.get(ServiceGroup{Service: service, Region: region, Zone: zone})
}

// store sets the value of e and updates the indexes. The caller must hold the
// lock of the shard of e.
func (f *Fleet) store(e *Entry, next *Upstream) {
	old := e.Upstream()
	if old != nil && !old.ReportedAt.Equal(next.ReportedAt) {
		e.sent.reported(next.ReportedAt)
	}
	e.current.Store(next)
	f.index(e, old, next)
}

// index updates the indexes for a change of e from old to next. Old is nil for a new
// entry, and next is nil for a deleted entry. The caller must hold the lock of the shard
// of e.
func (f *Fleet) index(e *Entry, old, next *Upstream) {
	f.replicas.update(e, old, next)
	was, is := acceptsWork(old), acceptsWork(next)
	if was && is && sameGroups(old, next) {
		return
	}
	if was {
		f.leaveGroups(e, old)
	}
	if is {
		f.joinGroups(e, next)
	}
}

// acceptsWork reports whether u exists and is not leaving, so that routing may consider it.
func acceptsWork(u *Upstream) bool { return u != nil && !u.Leaving }

func sameGroups(a, b *Upstream) bool {
	return a.Kind == b.Kind && a.Base == b.Base && a.Service == b.Service && a.Region == b.Region && a.Zone == b.Zone
}

func (f *Fleet) joinGroups(e *Entry, u *Upstream) {
	if u.Kind == KindEngine {
		f.engines.join(EngineGroup{Base: u.Base, Region: u.Region}, e)
		return
	}
	f.services.join(ServiceGroup{Service: u.Service, Region: u.Region}, e)
	f.services.join(ServiceGroup{Service: u.Service, Region: u.Region, Zone: u.Zone}, e)
}

func (f *Fleet) leaveGroups(e *Entry, u *Upstream) {
	if u.Kind == KindEngine {
		f.engines.leave(EngineGroup{Base: u.Base, Region: u.Region}, e)
		return
	}
	f.services.leave(ServiceGroup{Service: u.Service, Region: u.Region}, e)
	f.services.leave(ServiceGroup{Service: u.Service, Region: u.Region, Zone: u.Zone}, e)
}
