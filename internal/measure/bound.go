package measure

import (
	"container/heap"
	"math"
	"time"
)

// stallBounds returns two mean stalls of an offline policy that knows all arrivals. The
// policy treats the fleet as one cache with the slots of all engines and evicts the adapter
// whose next use is farthest away (Belady's algorithm), which needs the fewest loads. For
// prefetching, each load starts as early as the store's rate allows. For onDemand, each
// load starts when its request arrives.
func (r *simulation) stallBounds() (prefetching, onDemand float64) {
	arrivals := make([]*Arrival, len(r.calls))
	for i, c := range r.calls {
		arrivals[i] = c.arrival
	}
	misses := optimalMisses(arrivals, r.size.Slots*r.size.Engines)
	loadTime := r.size.Store.LoadTime
	interval := time.Duration(float64(time.Second) / r.size.Store.Rate)
	counted := 0
	for _, a := range arrivals {
		counted += int(indicator(a.At >= warmUp))
	}
	var prefetchStall, onDemandStall time.Duration
	for i, at := range misses {
		if at < warmUp {
			continue
		}
		burst := int(r.size.Store.Rate)
		prefetchStall += max(0, loadTime+time.Duration(max(0, i-burst))*interval-at)
		onDemandStall += loadTime
	}
	n := math.Max(1, float64(counted))
	return prefetchStall.Seconds() / n, onDemandStall.Seconds() / n
}

// nextUse is an adapter with the index of the arrival that uses it next.
type nextUse struct {
	adapter int
	next    int
}

// nextUseHeap is a heap with the farthest next use first.
type nextUseHeap []nextUse

func (f nextUseHeap) Len() int           { return len(f) }
func (f nextUseHeap) Less(i, j int) bool { return f[i].next > f[j].next }
func (f nextUseHeap) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *nextUseHeap) Push(x any) { *f = append(*f, x.(nextUse)) }

// Pop implements heap.Interface.
func (f *nextUseHeap) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// optimalMisses returns the times of the misses of a cache that evicts the adapter with the
// farthest next use.
func optimalMisses(arrivals []*Arrival, slots int) []time.Duration {
	next := make([]int, len(arrivals))
	seen := make(map[int]int)
	for i := len(arrivals) - 1; i >= 0; i-- {
		n, ok := seen[arrivals[i].Adapter]
		if !ok {
			n = math.MaxInt
		}
		next[i] = n
		seen[arrivals[i].Adapter] = i
	}
	resident := make(map[int]int) // index of the next use by adapter
	var uses nextUseHeap
	var misses []time.Duration
	for i, a := range arrivals {
		if _, ok := resident[a.Adapter]; !ok {
			misses = append(misses, a.At)
			if len(resident) == slots {
				evictFarthest(resident, &uses)
			}
		}
		resident[a.Adapter] = next[i]
		heap.Push(&uses, nextUse{adapter: a.Adapter, next: next[i]})
	}
	return misses
}

// evictFarthest removes the resident adapter with the farthest next use. It skips stale
// entries of the heap.
func evictFarthest(resident map[int]int, uses *nextUseHeap) {
	for {
		u := heap.Pop(uses).(nextUse)
		if n, ok := resident[u.adapter]; ok && n == u.next {
			delete(resident, u.adapter)
			return
		}
	}
}
