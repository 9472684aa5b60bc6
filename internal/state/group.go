package state

import (
	"slices"
	"sync"
)

const (
	// OrderLength is the maximum number of upstreams in an Order.
	OrderLength = 6

	groupPartitions = 1 << 14 // partitions of a group's key space
)

// EngineGroup is the index key of the engines of a base model in a region.
type EngineGroup struct {
	Base   string
	Region Region
}

// ServiceGroup is the index key of the instances of a plain service in a region or, if
// Zone is set, in a zone.
type ServiceGroup struct {
	Service ServiceID
	Region  Region
	Zone    Zone
}

// Order holds the first upstreams of a key's rendezvous order. In a group with fewer than
// OrderLength members, the elements at the end are nil.
type Order [OrderLength]*Entry

// Group is a set of upstreams over which rendezvous hashing distributes keys. Keys fall
// into a fixed number of partitions. For each partition in use the group caches the
// first upstreams of the rendezvous order, so that Order visits no members. Daemons
// with the same members compute the same orders. It is safe for concurrent use.
type Group struct {
	mu      sync.RWMutex
	members []*Entry // sorted by hash; replaced, never modified
	orders  []Order  // by partition; an empty element is computed at its next use
}

// Members returns the upstreams of the group. Callers must not modify the slice.
func (g *Group) Members() []*Entry {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.members
}

// Order returns the first upstreams of the rendezvous order of a key.
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
		g.computeOrder(p)
	}
	return g.orders[p]
}

// First returns the first member in the rendezvous order of a key for which accept
// returns true, or nil if accept returns true for no member. It visits every member;
// callers use it if no upstream that Group.Order returns is acceptable.
func (g *Group) First(key uint64, accept func(*Entry) bool) *Entry {
	p := key % groupPartitions
	var best *Entry
	for _, e := range g.Members() {
		if (best == nil || precedes(p, e, best)) && accept(e) {
			best = e
		}
	}
	return best
}

// computeOrder caches the order of a partition. The caller must hold mu.
func (g *Group) computeOrder(p uint64) {
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

// insert adds e at its position if it belongs to the first upstreams of partition p.
func (o *Order) insert(p uint64, e *Entry) {
	at := OrderLength
	for at > 0 && (o[at-1] == nil || precedes(p, e, o[at-1])) {
		at--
	}
	if at == OrderLength {
		return
	}
	copy(o[at+1:], o[at:OrderLength-1])
	o[at] = e
}

// precedes reports whether a precedes b in the rendezvous order of a partition.
func precedes(p uint64, a, b *Entry) bool {
	key := Mix(p + 1)
	wa, wb := Mix(key^a.hash), Mix(key^b.hash)
	if wa != wb {
		return wa > wb
	}
	return a.id < b.id
}

// groupIndex maps keys to groups of upstreams.
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
