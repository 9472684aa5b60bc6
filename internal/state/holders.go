package state

import (
	"cmp"
	"slices"
	"sync"
)

const holderShards = 64

// Holder is an engine that holds or loads an adapter.
type Replica struct {
	Entry *Entry
	Ready bool // loaded, not only loading
}

// holderIndex maps adapters to their holders, sorted by hash. Slices are
// replaced and never edited, so that readers keep them without a lock.
type holderIndex struct {
	shards [holderShards]holderShard
}

type holderShard struct {
	mu       sync.RWMutex
	adapters map[AdapterRef][]Replica
}

func (x *holderIndex) init() {
	for i := range x.shards {
		x.shards[i].adapters = make(map[AdapterRef][]Replica)
	}
}

func (x *holderIndex) shard(a AdapterRef) *holderShard {
	return &x.shards[a.Hash()%holderShards]
}

func (x *holderIndex) get(a AdapterRef) []Replica {
	s := x.shard(a)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.adapters[a]
}

// update applies the difference between two values of an entry. Either may be nil.
func (x *holderIndex) update(e *Entry, old, next *Upstream) {
	var before, after Upstream
	if old != nil {
		before = *old
	}
	if next != nil {
		after = *next
	}
	for _, a := range before.Resident {
		if !after.HasResident(a) && !slices.Contains(after.Loading, a) {
			x.remove(a, e)
		}
	}
	for _, a := range before.Loading {
		if !after.HasResident(a) && !slices.Contains(after.Loading, a) {
			x.remove(a, e)
		}
	}
	for _, a := range after.Loading {
		wasLoading := slices.Contains(before.Loading, a) && !before.HasResident(a)
		if !wasLoading && !after.HasResident(a) {
			x.set(a, Replica{Entry: e})
		}
	}
	for _, a := range after.Resident {
		if !before.HasResident(a) {
			x.set(a, Replica{Entry: e, Ready: true})
		}
	}
}

func (x *holderIndex) set(a AdapterRef, h Replica) {
	s := x.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.adapters[a]
	at, found := FindReplica(old, h.Entry)
	if found {
		next := slices.Clone(old)
		next[at] = h
		s.adapters[a] = next
		return
	}
	next := make([]Replica, 0, len(old)+1)
	next = append(next, old[:at]...)
	next = append(next, h)
	s.adapters[a] = append(next, old[at:]...)
}

func (x *holderIndex) remove(a AdapterRef, e *Entry) {
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

// FindHolder returns the position of an engine in the holders of an adapter, and
// whether it is there.
func FindReplica(holders []Replica, e *Entry) (int, bool) {
	return slices.BinarySearchFunc(holders, e, func(h Replica, e *Entry) int {
		return compareEntries(h.Entry, e)
	})
}

func compareEntries(a, b *Entry) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}
