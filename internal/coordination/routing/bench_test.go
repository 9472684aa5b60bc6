package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

const slotsPerEngine = 16

// fullFleet returns engines of one region whose slots are all occupied. Adapters are
// drawn from a Zipf distribution.
func fullFleet(engines, adapters int) *state.Fleet {
	rng := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.1, 1, uint64(adapters-1))
	fleet := state.NewFleet()
	for i := range engines {
		u := engine(i)
		resident := make(map[uint64]bool)
		for len(resident) < slotsPerEngine {
			a := zipf.Uint64()
			if !resident[a] {
				resident[a] = true
				u.Resident = append(u.Resident, ref(int(a)))
			}
		}
		u.Running = rng.IntN(12)
		fleet.Put(u)
	}
	return fleet
}

func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{12, 300, 6200} {
		for _, adapters := range []int{3000, 82000} {
			b.Run(fmt.Sprintf("scored/engines=%d/adapters=%d", engines, adapters), func(b *testing.B) {
				benchmark(b, newRouter(fullFleet(engines, adapters), 1), adapters)
			})
		}
	}
	b.Run("simple/engines=6200/adapters=82000", func(b *testing.B) {
		benchmark(b, routing.NewBaselineRouter(fullFleet(6200, 82000)), 82000)
	})
}

func benchmark(b *testing.B, r routing.Router, adapters int) {
	rng := rand.New(rand.NewPCG(3, 4))
	zipf := rand.NewZipf(rng, 1.1, 1, uint64(adapters-1))
	requests := make([]*routing.Request, 1<<14)
	for i := range requests {
		requests[i] = request(int(zipf.Uint64()))
		requests[i].Prefix = rng.Uint64()
	}
	if _, ok := r.(*routing.Scored); ok {
		for _, req := range requests {
			r.Pick(start, req) // computes and caches the rendezvous orders in use
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if r.Pick(start, requests[i%len(requests)]).Upstream == nil {
			b.Fatal("no upstream")
		}
	}
}

// BenchmarkFirstOrder measures the first rendezvous order of a partition in a group of
// engines, before it is cached.
func BenchmarkFirstOrder(b *testing.B) {
	for _, engines := range []int{12, 300, 6200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			fleet := fullFleet(engines, 82000)
			group := fleet.Engines(base, region)
			for i := range b.N {
				if i%(1<<14) == 0 {
					b.StopTimer()
					fleet = fullFleet(engines, 82000)
					group = fleet.Engines(base, region)
					b.StartTimer()
				}
				group.Order(uint64(i))
			}
		})
	}
}
