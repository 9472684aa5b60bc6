package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	service        = "advice"
	baseModel      = "base"
	followUpPart   = 0.3 // part of the requests that continue a conversation
	conversations  = 256 // recent conversations that may continue
	maxLengthRatio = 4.0 // longest prompt or output in means
	shiftedPart    = 0.5 // part of the adapters whose popularity changes in a shift
)

// Arrival is a request of the workload.
type Arrival struct {
	At       time.Duration
	Customer int
	Rank     state.Rank
	Adapter  int
	Prompt   int
	Output   int
	Prefix   uint64
	Zone     int
}

type conversation struct {
	adapter int
	prefix  uint64
}

// generator draws arrivals. Ordinary work and floods use separate random
// sources, so that ordinary work is the same with and without a flood.
type generator struct {
	size   Size
	rng    *rand.Rand
	cum    []float64
	order  []int // adapter by popularity
	recent []conversation
	prefix uint64
}

func newGenerator(size Size, seed, stream uint64) *generator {
	g := &generator{size: size, rng: rand.New(rand.NewPCG(seed, stream))}
	total := 0.0
	for i := range size.Adapters {
		total += math.Pow(float64(i+1), -size.ZipfS)
		g.cum = append(g.cum, total)
	}
	g.order = rand.New(rand.NewPCG(seed, 1)).Perm(size.Adapters)
	return g
}

// shift changes the popularity of part of the adapters.
func (g *generator) shift() {
	var places []int
	for i := range g.order {
		if g.rng.Float64() < shiftedPart {
			places = append(places, i)
		}
	}
	g.rng.Shuffle(len(places), func(i, j int) {
		a, b := places[i], places[j]
		g.order[a], g.order[b] = g.order[b], g.order[a]
	})
}

func (g *generator) adapter() int {
	x := g.rng.Float64() * g.cum[len(g.cum)-1]
	return g.order[sort.SearchFloat64s(g.cum, x)]
}

func (g *generator) rank() state.Rank {
	x := g.rng.Float64()
	for r, w := range g.size.Work {
		if x -= w.Part; x < 0 {
			return state.Rank(r)
		}
	}
	return state.Rank(len(g.size.Work) - 1)
}

func (g *generator) length(mean float64) int {
	x := mean * g.rng.ExpFloat64()
	return 1 + int(min(x, mean*maxLengthRatio))
}

func (g *generator) arrival(at time.Duration, rank state.Rank) Arrival {
	var talk conversation
	if len(g.recent) > 0 && g.rng.Float64() < followUpPart {
		talk = g.recent[g.rng.IntN(len(g.recent))]
	} else {
		g.prefix++
		talk = conversation{adapter: g.adapter(), prefix: g.prefix}
		g.recent = append(g.recent, talk)
		if len(g.recent) > conversations {
			g.recent = g.recent[1:]
		}
	}
	w := g.size.Work[rank]
	return Arrival{
		At:       at,
		Customer: talk.adapter % g.size.Customers,
		Rank:     rank,
		Adapter:  talk.adapter,
		Prompt:   g.length(w.Prompt),
		Output:   g.length(w.Output),
		Prefix:   talk.prefix,
		Zone:     g.rng.IntN(g.size.Zones),
	}
}

// arrivals draws a Poisson process between two times.
func (g *generator) arrivals(from, to time.Duration, rate float64, pick func() state.Rank) []Arrival {
	var all []Arrival
	at := from
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return all
		}
		all = append(all, g.arrival(at, pick()))
	}
}

func adapterRef(i int) state.AdapterRef {
	return state.AdapterRef{Service: service, Adapter: fmt.Sprintf("a%04d", i), Version: "v1"}
}

func compareRefs(a, b state.AdapterRef) int {
	if c := strings.Compare(a.Adapter, b.Adapter); c != 0 {
		return c
	}
	return strings.Compare(a.Version, b.Version)
}
