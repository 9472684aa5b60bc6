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
	Due      time.Time // when the first token is due to meet the latency objective
	Deadline time.Time
	Excess   bool // beyond the usual rate of its class
	Alone    bool // must not run at the same time as any other request

	seq       uint64 // order of arrival in the queue
	heapIndex int
	heap      *requestHeap // the heap that contains the item
}

// classKey identifies the requests of a class that are within the usual rate of the class or,
// if excess is set, beyond it.
type classKey struct {
	class  state.Class
	excess bool
}

// requestHeap is a heap of requests with the earliest due time first.
type requestHeap struct {
	key   classKey // zero for the heap of a Group
	items []*Item
}

func (h *requestHeap) Len() int { return len(h.items) }

// Less implements sort.Interface.
func (h *requestHeap) Less(i, j int) bool { return isDueBefore(h.items[i], h.items[j]) }

// Swap implements sort.Interface.
func (h *requestHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex, h.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	return last
}

// isDueBefore reports whether a is due before b, or at the same time and arrived earlier.
func isDueBefore(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.seq < b.seq
}

// Queue holds waiting requests. Runnable requests are in a heap per classKey. Blocked requests,
// whose adapter is not usable, are in a group per adapter. It is not safe for concurrent use.
type Queue struct {
	seq           uint64
	items         map[string]*Item
	runnable      map[classKey]*requestHeap
	runnableOrder []*requestHeap // the heaps of runnable, in order of first use
	groups        map[state.AdapterRef]*Group
	blockedOrder  []*Group                 // the groups, in order of first use
	waiting       map[state.AdapterRef]int // runnable and blocked requests
}

// Group holds the blocked requests for one adapter.
type Group struct {
	Adapter  state.AdapterRef
	requests requestHeap
}

// Len returns the number of requests in the group.
func (g *Group) Len() int { return len(g.requests.items) }

// Items returns the requests of the group. Callers must not change the slice.
func (g *Group) Items() []*Item { return g.requests.items }

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		items:    make(map[string]*Item),
		runnable: make(map[classKey]*requestHeap),
		groups:   make(map[state.AdapterRef]*Group),
		waiting:  make(map[state.AdapterRef]int),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Get returns a waiting request, or nil.
func (q *Queue) Get(id string) *Item { return q.items[id] }

// Waiting returns the number of runnable and blocked requests for an adapter.
func (q *Queue) Waiting(ref state.AdapterRef) int { return q.waiting[ref] }

// Runnable returns the number of runnable requests of a rank that are within the usual rates
// of their classes or, if excess is set, beyond them.
func (q *Queue) Runnable(rank state.Rank, excess bool) int {
	n := 0
	for _, h := range q.runnableOrder {
		if h.key.class.Rank == rank && h.key.excess == excess {
			n += len(h.items)
		}
	}
	return n
}

// RunnableLen returns the number of runnable requests.
func (q *Queue) RunnableLen() int {
	n := 0
	for _, h := range q.runnableOrder {
		n += len(h.items)
	}
	return n
}

// Add adds a request. usable is whether its adapter is usable now: the request is then
// runnable, otherwise blocked.
func (q *Queue) Add(it *Item, usable bool) {
	q.seq++
	it.seq = q.seq
	q.items[it.ID] = it
	q.waiting[it.Adapter]++
	q.enqueue(it, usable)
}

// enqueue pushes a request onto the heap of its class if its adapter is usable, otherwise onto
// the heap of its adapter's group.
func (q *Queue) enqueue(it *Item, usable bool) {
	if usable {
		it.heap = q.runnableHeap(classKey{class: it.Class, excess: it.Excess})
	} else {
		it.heap = &q.group(it.Adapter).requests
	}
	heap.Push(it.heap, it)
}

// runnableHeap returns the heap for a key. It creates the heap if necessary.
func (q *Queue) runnableHeap(key classKey) *requestHeap {
	h := q.runnable[key]
	if h == nil {
		h = &requestHeap{key: key}
		q.runnable[key] = h
		q.runnableOrder = append(q.runnableOrder, h)
	}
	return h
}

// group returns the group of an adapter. It creates the group if necessary.
func (q *Queue) group(ref state.AdapterRef) *Group {
	g := q.groups[ref]
	if g == nil {
		g = &Group{Adapter: ref}
		q.groups[ref] = g
		q.blockedOrder = append(q.blockedOrder, g)
	}
	return g
}

// Remove removes a waiting request, and its adapter's group if that becomes empty.
func (q *Queue) Remove(it *Item) {
	heap.Remove(it.heap, it.heapIndex)
	delete(q.items, it.ID)
	q.waiting[it.Adapter]--
	if q.waiting[it.Adapter] == 0 {
		delete(q.waiting, it.Adapter)
	}
	q.removeIfEmpty(it.Adapter)
}

// removeIfEmpty removes the group of an adapter if it is empty.
func (q *Queue) removeIfEmpty(ref state.AdapterRef) {
	g := q.groups[ref]
	if g == nil || g.Len() > 0 {
		return
	}
	delete(q.groups, ref)
	for i, other := range q.blockedOrder {
		if other == g {
			q.blockedOrder = append(q.blockedOrder[:i], q.blockedOrder[i+1:]...)
			return
		}
	}
}

// Unblock makes the blocked requests for an adapter runnable.
func (q *Queue) Unblock(ref state.AdapterRef) {
	g := q.groups[ref]
	if g == nil {
		return
	}
	for g.Len() > 0 {
		q.enqueue(heap.Pop(&g.requests).(*Item), true)
	}
	q.removeIfEmpty(ref)
}

// Block makes the runnable requests for an adapter blocked until Unblock is called for it.
func (q *Queue) Block(ref state.AdapterRef) {
	if q.waiting[ref] == 0 {
		return
	}
	for _, h := range q.runnableOrder {
		var moved []*Item
		for _, it := range h.items {
			if it.Adapter == ref {
				moved = append(moved, it)
			}
		}
		for _, it := range moved {
			heap.Remove(h, it.heapIndex)
			q.enqueue(it, false)
		}
	}
}

// BlockedGroups returns the groups of blocked requests. Callers must not change the slice.
func (q *Queue) BlockedGroups() []*Group { return q.blockedOrder }

// All returns all waiting requests: runnable requests by class, then blocked requests by
// adapter.
func (q *Queue) All() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, h := range q.runnableOrder {
		all = append(all, h.items...)
	}
	for _, g := range q.blockedOrder {
		all = append(all, g.requests.items...)
	}
	return all
}

// Next returns the first of the runnable requests that mayRun allows, or nil. It does not
// remove the request, and scans a bounded number of requests per class.
func (q *Queue) Next(mayRun func(*Item) bool) *Item {
	var best *Item
	for _, h := range q.runnableOrder {
		if len(h.items) == 0 {
			continue
		}
		if it := h.firstAllowed(mayRun); it != nil && (best == nil || precedes(it, best)) {
			best = it
		}
	}
	return best
}

// firstAllowed returns the earliest due request that mayRun allows among the first maxScanned
// items of the heap, or nil. The heap must not be empty.
func (h *requestHeap) firstAllowed(mayRun func(*Item) bool) *Item {
	const maxScanned = 16
	if mayRun(h.items[0]) {
		return h.items[0]
	}
	var best *Item
	for _, it := range h.items[1:min(len(h.items), maxScanned)] {
		if (best == nil || isDueBefore(it, best)) && mayRun(it) {
			best = it
		}
	}
	return best
}

// precedes reports whether a is to run before b. Requests within the usual rate of their class
// run first. Other differences are decided by rank, then by due time.
func precedes(a, b *Item) bool {
	if a.Excess != b.Excess {
		return b.Excess
	}
	if a.Class.Rank != b.Class.Rank {
		return a.Class.Rank < b.Class.Rank
	}
	return isDueBefore(a, b)
}
