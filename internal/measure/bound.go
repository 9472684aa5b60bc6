package measure

import (
	"container/heap"
	"math"
	"time"
)

// bounds returns two mean stalls of an offline optimum that knows all arrivals.
// It treats the fleet as one cache with all slots and evicts the adapter whose
// next use is farthest away, which needs the fewest loads. The first result lets
// the optimum start each load as early as the store's rate allows; the second
// makes it wait for the request.
func (r *run) bounds() (ahead, onDemand float64) {
	arrivals := make([]*Arrival, len(r.calls))
	for i, c := range r.calls {
		arrivals[i] = c.arrival
	}
	misses := farthestMisses(arrivals, r.size.Slots*r.size.Engines)
	load := r.size.Store.LoadTime
	gap := time.Duration(float64(time.Second) / r.size.Store.Rate)
	counted := 0
	for _, a := range arrivals {
		counted += int(oneIf(a.At >= warmUp))
	}
	var early, late time.Duration
	for i, at := range misses {
		if at < warmUp {
			continue
		}
		burst := int(r.size.Store.Rate)
		early += max(0, load+time.Duration(max(0, i-burst))*gap-at)
		late += load
	}
	n := math.Max(1, float64(counted))
	return early.Seconds() / n, late.Seconds() / n
}

type use struct {
	adapter int
	next    int
}

type farthest []use

func (f farthest) Len() int           { return len(f) }
func (f farthest) Less(i, j int) bool { return f[i].next > f[j].next }
func (f farthest) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *farthest) Push(x any) { *f = append(*f, x.(use)) }

// Pop implements heap.Interface.
func (f *farthest) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// farthestMisses returns the times of the misses of a cache with perfect
// knowledge of the future.
func farthestMisses(arrivals []*Arrival, slots int) []time.Duration {
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
	held := make(map[int]int) // adapter to its next use
	var order farthest
	var misses []time.Duration
	for i, a := range arrivals {
		if _, ok := held[a.Adapter]; !ok {
			misses = append(misses, a.At)
			if len(held) == slots {
				evictFarthest(held, &order)
			}
		}
		held[a.Adapter] = next[i]
		heap.Push(&order, use{adapter: a.Adapter, next: next[i]})
	}
	return misses
}

// evictFarthest drops the held adapter with the farthest next use. Entries of
// order that are out of date are skipped.
func evictFarthest(held map[int]int, order *farthest) {
	for {
		u := heap.Pop(order).(use)
		if n, ok := held[u.adapter]; ok && n == u.next {
			delete(held, u.adapter)
			return
		}
	}
}
