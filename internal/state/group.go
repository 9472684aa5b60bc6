package state

import (
	"slices"
	"sync"
)

const (
	// GroupWidth is the number of engines of a rendezvous order that a group
	// keeps for every partition.
	GroupWidth = 6

	groupPartitions = 1 << 14
)

// EngineGroup names the engines of a base model in a region.
type EngineGroup struct {
	Base   string
	Region Region
}

// ServiceGroup names the instances of a plain service in a region or, when Zone
// is set, in a zone.
type ServiceGroup struct {
	Service ServiceID
	Region  Region
	Zone    Zone
}

// Order is the start of a rendezvous order. Entries after the last are nil.
type Order [GroupWidth]*Entry

// Group is a set of upstreams among which adapters are spread. Keys fall into a
// fixed number of partitions, and for each partition in use the group keeps the
// first upstreams of its rendezvous order, so that Order needs no search. All
// daemons with the same members have the same orders. It is safe for concurrent
// use.
type Group struct {
	mu      sync.RWMutex
	members []*Entry // in the order of hashes; replaced, never edited
	orders  []Order  // by partition; an empty one is computed when it is needed
}

// Members returns the upstreams of the group. Callers must not change the slice.
func (g *Group) Members() []*Entry {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.members
}

// Order returns the start of the rendezvous order of a key.
func (g *Group) Order(key uint64) Order {
	p := key % groupPartitions
	g.mu.RLock()
	if g.orders != nil && g.orders[p][0] != nil {
		defer g.mu.RUnlock()
		return g.orders[p]
	}
	g.mu.RUnlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.orders == nil {
		g.orders = make([]Order, groupPartitions)
	}
	if g.orders[p][0] == nil {
		g.fill(p)
	}
	return g.orders[p]
}

// First returns the first member of the rendezvous order of a key that accept
// takes. It visits every member; callers use it when Order has none to offer.
func (g *Group) First(key uint64, accept func(*Entry) bool) *Entry {
	p := key % groupPartitions
	var best *Entry
	for _, e := range g.Members() {
		if (best == nil || before(p, e, best)) && accept(e) {
			best = e
		}
	}
	return best
}

// fill computes the order of a partition. The caller must hold mu.
func (g *Group) fill(p uint64) {
	var order Order
	for _, e := range g.members {
		order.insert(p, e)
	}
	g.orders[p] = order
}

func (g *Group) join(e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, found := slices.BinarySearchFunc(g.members, e, compareEntries)
	if found {
		return
	}
	g.members = slices.Insert(slices.Clone(g.members), at, e)
	for p := range g.orders {
		if g.orders[p][0] != nil {
			g.orders[p].insert(uint64(p), e)
		}
	}
}

func (g *Group) leave(e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, found := slices.BinarySearchFunc(g.members, e, compareEntries)
	if !found {
		return
	}
	g.members = slices.Delete(slices.Clone(g.members), at, at+1)
	for p := range g.orders {
		if slices.Contains(g.orders[p][:], e) {
			g.orders[p] = Order{}
		}
	}
}

// insert puts e in its place among the first members of the order.
func (o *Order) insert(p uint64, e *Entry) {
	at := GroupWidth
	for at > 0 && (o[at-1] == nil || before(p, e, o[at-1])) {
		at--
	}
	if at == GroupWidth {
		return
	}
	copy(o[at+1:], o[at:GroupWidth-1])
	o[at] = e
}

// before reports whether a precedes b in the rendezvous order of a partition.
func before(p uint64, a, b *Entry) bool {
	key := Mix(p + 1)
	wa, wb := Mix(key^a.hash), Mix(key^b.hash)
	if wa != wb {
		return wa > wb
	}
	return a.id < b.id
}

// groupIndex holds the groups by name.
type groupIndex[K comparable] struct {
	mu     sync.RWMutex
	groups map[K]*Group
}

func (x *groupIndex[K]) init() { x.groups = make(map[K]*Group) }

func (x *groupIndex[K]) get(key K) *Group {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.groups[key]
}

func (x *groupIndex[K]) join(key K, e *Entry) {
	x.mu.Lock()
	g := x.groups[key]
	if g == nil {
		g = &Group{}
		x.groups[key] = g
	}
	x.mu.Unlock()
	g.join(e)
}

func (x *groupIndex[K]) leave(key K, e *Entry) {
	if g := x.get(key); g != nil {
		g.leave(e)
	}
}
