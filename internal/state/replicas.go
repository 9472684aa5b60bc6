package state

import (
	"cmp"
	"slices"
	"sync"
)

const replicaShards = 64

// Replica is an engine on which an adapter is resident or loading.
type Replica struct {
	Entry *Entry
	Ready bool // the adapter is resident
}

// replicaIndex maps adapters to their replicas, sorted by hash of the engine. Slices are
// replaced and never modified, so that readers use them without a lock.
type replicaIndex struct {
	shards [replicaShards]replicaShard
}

type replicaShard struct {
	mu       sync.RWMutex
	adapters map[AdapterRef][]Replica
}

func (x *replicaIndex) init() {
	for i := range x.shards {
		x.shards[i].adapters = make(map[AdapterRef][]Replica)
	}
}

func (x *replicaIndex) shard(a AdapterRef) *replicaShard {
	return &x.shards[a.Hash()%replicaShards]
}

func (x *replicaIndex) get(a AdapterRef) []Replica {
	s := x.shard(a)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.adapters[a]
}

// update applies the difference between two values of an entry. Either value may be
// nil.
func (x *replicaIndex) update(e *Entry, old, next *Upstream) {
	var previous, current Upstream
	if old != nil {
		previous = *old
	}
	if next != nil {
		current = *next
	}
	for _, a := range previous.Resident {
		if !current.HasResident(a) && !slices.Contains(current.Loading, a) {
			x.remove(a, e)
		}
	}
	for _, a := range previous.Loading {
		if !current.HasResident(a) && !slices.Contains(current.Loading, a) {
			x.remove(a, e)
		}
	}
	for _, a := range current.Loading {
		wasLoading := slices.Contains(previous.Loading, a) && !previous.HasResident(a)
		if !wasLoading && !current.HasResident(a) {
			x.set(a, Replica{Entry: e})
		}
	}
	for _, a := range current.Resident {
		if !previous.HasResident(a) {
			x.set(a, Replica{Entry: e, Ready: true})
		}
	}
}

func (x *replicaIndex) set(a AdapterRef, replica Replica) {
	s := x.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.adapters[a]
	at, found := FindReplica(old, replica.Entry)
	if found {
		next := slices.Clone(old)
		next[at] = replica
		s.adapters[a] = next
		return
	}
	next := make([]Replica, 0, len(old)+1)
	next = append(next, old[:at]...)
	next = append(next, replica)
	s.adapters[a] = append(next, old[at:]...)
}

func (x *replicaIndex) remove(a AdapterRef, e *Entry) {
	s := x.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.adapters[a]
	at, found := FindReplica(old, e)
	if !found {
		return
	}
	if len(old) == 1 {
		delete(s.adapters, a)
		return
	}
	next := make([]Replica, 0, len(old)-1)
	next = append(next, old[:at]...)
	s.adapters[a] = append(next, old[at+1:]...)
}

// FindReplica returns the position of an engine in the sorted replicas of an adapter, and
// whether the engine is among the replicas.
func FindReplica(replicas []Replica, e *Entry) (int, bool) {
	return slices.BinarySearchFunc(replicas, e, func(replica Replica, e *Entry) int {
		return compareEntries(replica.Entry, e)
	})
}

func compareEntries(a, b *Entry) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}
