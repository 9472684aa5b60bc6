package state

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const fleetShards = 16

// Upstream is what a daemon knows of one upstream.
type Upstream struct {
	ID      UpstreamID
	VM      string
	Zone    Zone
	Region  Region
	Addr    string
	Kind    UpstreamKind
	Service ServiceID // set for plain services only
	Base    string    // base model, set for engines only
	Fenced  bool      // the engine refuses orders with an old fencing number
	Leaving bool
	Role    Role

	Owner   DaemonID
	Epoch   Epoch
	Boot    BootID
	Slots   int // adapters held at once
	Batch   int // requests run at once
	Healthy bool

	Running  int
	Queued   int
	Resident []AdapterRef
}

// Holds reports whether the upstream has the adapter loaded.
func (u *Upstream) Holds(a AdapterRef) bool { return slices.Contains(u.Resident, a) }

// Fleet is the sharded table of upstreams. It is safe for concurrent use.
// Values are immutable: Put replaces a whole entry.
type Fleet struct {
	shards [fleetShards]fleetShard
}

type fleetShard struct {
	mu        sync.RWMutex
	upstreams map[UpstreamID]*Upstream
}

// NewFleet returns an empty table.
func NewFleet() *Fleet {
	f := &Fleet{}
	for i := range f.shards {
		f.shards[i].upstreams = make(map[UpstreamID]*Upstream)
	}
	return f
}

func (f *Fleet) shard(id UpstreamID) *fleetShard {
	return &f.shards[xxhash.Sum64String(string(id))%fleetShards]
}

// Get returns the entry of an upstream, or nil. Callers must not change it.
func (f *Fleet) Get(id UpstreamID) *Upstream {
	s := f.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.upstreams[id]
}

// Put replaces the entry of u.ID.
func (f *Fleet) Put(u Upstream) {
	s := f.shard(u.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams[u.ID] = &u
}

// Update applies change to a copy of the entry and stores the copy. It reports
// whether the upstream is known.
func (f *Fleet) Update(id UpstreamID, change func(*Upstream)) bool {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.upstreams[id]
	if !ok {
		return false
	}
	next := *old
	change(&next)
	s.upstreams[id] = &next
	return true
}

// Delete removes an upstream.
func (f *Fleet) Delete(id UpstreamID) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upstreams, id)
}

// All returns every entry in the order of the identifiers.
func (f *Fleet) All() []*Upstream {
	var all []*Upstream
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.RLock()
		for _, u := range s.upstreams {
			all = append(all, u)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b *Upstream) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all
}
