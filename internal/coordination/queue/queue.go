package queue

import (
	"container/heap"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Item is a waiting request.
type Item struct {
	ID       string
	Class    state.Class
	Adapter  state.AdapterRef
	Arrived  time.Time
	Due      time.Time // when the first token should be out
	Deadline time.Time
	Excess   bool // beyond the usual rate of its class
	Alone    bool // nothing else may run at the same time

	seq   uint64
	index int // place in its heap
	home  *line
}

// lineKey names the requests of a class within or beyond its usual rate.
type lineKey struct {
	class  state.Class
	excess bool
}

// line is a heap of items by due time.
type line struct {
	key   lineKey // of runnable requests
	items []*Item
}

func (l *line) Len() int { return len(l.items) }

// Less implements sort.Interface.
func (l *line) Less(i, j int) bool { return earlier(l.items[i], l.items[j]) }

// Swap implements sort.Interface.
func (l *line) Swap(i, j int) {
	l.items[i], l.items[j] = l.items[j], l.items[i]
	l.items[i].index, l.items[j].index = i, j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	it := x.(*Item)
	it.index = len(l.items)
	l.items = append(l.items, it)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	last := l.items[len(l.items)-1]
	l.items[len(l.items)-1] = nil
	l.items = l.items[:len(l.items)-1]
	return last
}

func earlier(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.seq < b.seq
}

// Queue holds waiting requests: runnable ones by class, and those whose adapter
// is not usable by adapter. It is not safe for concurrent use.
type Queue struct {
	seq     uint64
	items   map[string]*Item
	classes map[lineKey]*line
	order   []*line // lines of classes in order of first use
	groups  map[state.AdapterRef]*Group
	blocked []*Group // groups in order of first use
	waiting map[state.AdapterRef]int
}

// Group is the requests that wait for one adapter.
type Group struct {
	Adapter state.AdapterRef
	line    line
}

// Len returns the number of requests.
func (g *Group) Len() int { return len(g.line.items) }

// Items returns the requests. Callers must not change them.
func (g *Group) Items() []*Item { return g.line.items }

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		items:   make(map[string]*Item),
		classes: make(map[lineKey]*line),
		groups:  make(map[state.AdapterRef]*Group),
		waiting: make(map[state.AdapterRef]int),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Get returns a waiting request, or nil.
func (q *Queue) Get(id string) *Item { return q.items[id] }

// Waiting returns the number of requests that wait for an adapter.
func (q *Queue) Waiting(ref state.AdapterRef) int { return q.waiting[ref] }

// Runnable returns the number of runnable requests of a rank within or beyond the
// usual rates of their classes.
func (q *Queue) Runnable(rank state.Rank, excess bool) int {
	n := 0
	for _, l := range q.order {
		if l.key.class.Rank == rank && l.key.excess == excess {
			n += len(l.items)
		}
	}
	return n
}

// RunnableLen returns the number of runnable requests.
func (q *Queue) RunnableLen() int {
	n := 0
	for _, l := range q.order {
		n += len(l.items)
	}
	return n
}

// Add adds a request. Usable says whether its adapter can be used at once.
func (q *Queue) Add(it *Item, usable bool) {
	q.seq++
	it.seq = q.seq
	q.items[it.ID] = it
	q.waiting[it.Adapter]++
	q.put(it, usable)
}

func (q *Queue) put(it *Item, usable bool) {
	if usable {
		it.home = q.line(lineKey{class: it.Class, excess: it.Excess})
	} else {
		it.home = &q.group(it.Adapter).line
	}
	heap.Push(it.home, it)
}

func (q *Queue) line(key lineKey) *line {
	l := q.classes[key]
	if l == nil {
		l = &line{key: key}
		q.classes[key] = l
		q.order = append(q.order, l)
	}
	return l
}

func (q *Queue) group(ref state.AdapterRef) *Group {
	g := q.groups[ref]
	if g == nil {
		g = &Group{Adapter: ref}
		q.groups[ref] = g
		q.blocked = append(q.blocked, g)
	}
	return g
}

// Remove removes a request.
func (q *Queue) Remove(it *Item) {
	heap.Remove(it.home, it.index)
	delete(q.items, it.ID)
	q.waiting[it.Adapter]--
	if q.waiting[it.Adapter] == 0 {
		delete(q.waiting, it.Adapter)
	}
	q.drop(it.Adapter)
}

// drop removes the group of an adapter when it is empty.
func (q *Queue) drop(ref state.AdapterRef) {
	g := q.groups[ref]
	if g == nil || g.Len() > 0 {
		return
	}
	delete(q.groups, ref)
	for i, other := range q.blocked {
		if other == g {
			q.blocked = append(q.blocked[:i], q.blocked[i+1:]...)
			return
		}
	}
}

// Unblock makes the requests of an adapter runnable.
func (q *Queue) Unblock(ref state.AdapterRef) {
	g := q.groups[ref]
	if g == nil {
		return
	}
	for g.Len() > 0 {
		q.put(heap.Pop(&g.line).(*Item), true)
	}
	q.drop(ref)
}

// Block makes the runnable requests of an adapter wait for it.
func (q *Queue) Block(ref state.AdapterRef) {
	if q.waiting[ref] == 0 {
		return
	}
	for _, l := range q.order {
		var moved []*Item
		for _, it := range l.items {
			if it.Adapter == ref {
				moved = append(moved, it)
			}
		}
		for _, it := range moved {
			heap.Remove(l, it.index)
			q.put(it, false)
		}
	}
}

// BlockedGroups returns the groups that wait for adapters. Callers must not change it.
func (q *Queue) BlockedGroups() []*Group { return q.blocked }

// All returns the waiting requests in order of arrival at the queue.
func (q *Queue) All() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, l := range q.order {
		all = append(all, l.items...)
	}
	for _, g := range q.blocked {
		all = append(all, g.line.items...)
	}
	return all
}

// Next returns the runnable request that goes first, or nil. May says whether a
// request may run now.
func (q *Queue) Next(may func(*Item) bool) *Item {
	var best *Item
	for _, l := range q.order {
		if len(l.items) == 0 {
			continue
		}
		if it := l.first(may); it != nil && (best == nil || precedes(it, best)) {
			best = it
		}
	}
	return best
}

// first returns the first request of the line that may run, looking at a bounded
// number of them.
func (l *line) first(may func(*Item) bool) *Item {
	const maxLooked = 16
	if may(l.items[0]) {
		return l.items[0]
	}
	var best *Item
	for _, it := range l.items[1:min(len(l.items), maxLooked)] {
		if (best == nil || earlier(it, best)) && may(it) {
			best = it
		}
	}
	return best
}

func precedes(a, b *Item) bool {
	if a.Excess != b.Excess {
		return b.Excess
	}
	if a.Class.Rank != b.Class.Rank {
		return a.Class.Rank < b.Class.Rank
	}
	return earlier(a, b)
}
