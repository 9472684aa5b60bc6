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
	service          = "advice"
	baseModel        = "base"
	followUpFraction = 0.3 // fraction of the requests that continue a conversation
	maxConversations = 256 // number of recent conversations that may continue
	maxLengthFactor  = 4.0 // longest prompt or output as a multiple of the mean
	shiftedFraction  = 0.5 // fraction of the adapters whose popularity changes in a shift
)

// Arrival is a request of the workload. Prompt and Output are numbers of tokens.
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

// conversation is a sequence of requests to one adapter with a common prompt prefix.
type conversation struct {
	adapter int
	prefix  uint64
}

// generator draws arrivals. Steady load and floods use separate random sources, so that the
// steady load is the same with and without a flood.
type generator struct {
	size       Size
	rng        *rand.Rand
	cumulative []float64 // sums of the Zipf weights by popularity
	order      []int     // adapters by descending popularity
	recent     []conversation
	lastPrefix uint64 // id of the newest conversation
}

func newGenerator(size Size, seed, stream uint64) *generator {
	g := &generator{size: size, rng: rand.New(rand.NewPCG(seed, stream))}
	total := 0.0
	for i := range size.Adapters {
		total += math.Pow(float64(i+1), -size.ZipfS)
		g.cumulative = append(g.cumulative, total)
	}
	g.order = rand.New(rand.NewPCG(seed, 1)).Perm(size.Adapters)
	return g
}

// shift swaps the popularity of a fraction of the adapters.
func (g *generator) shift() {
	var indexes []int
	for i := range g.order {
		if g.rng.Float64() < shiftedFraction {
			indexes = append(indexes, i)
		}
	}
	g.rng.Shuffle(len(indexes), func(i, j int) {
		a, b := indexes[i], indexes[j]
		g.order[a], g.order[b] = g.order[b], g.order[a]
	})
}

func (g *generator) drawAdapter() int {
	x := g.rng.Float64() * g.cumulative[len(g.cumulative)-1]
	return g.order[sort.SearchFloat64s(g.cumulative, x)]
}

func (g *generator) drawRank() state.Rank {
	x := g.rng.Float64()
	for r, w := range g.size.Workloads {
		if x -= w.Fraction; x < 0 {
			return state.Rank(r)
		}
	}
	return state.Rank(len(g.size.Workloads) - 1)
}

// drawLength draws an exponentially distributed number of tokens.
func (g *generator) drawLength(mean float64) int {
	x := mean * g.rng.ExpFloat64()
	return 1 + int(min(x, mean*maxLengthFactor))
}

func (g *generator) drawArrival(at time.Duration, rank state.Rank) Arrival {
	var conv conversation
	if len(g.recent) > 0 && g.rng.Float64() < followUpFraction {
		conv = g.recent[g.rng.IntN(len(g.recent))]
	} else {
		g.lastPrefix++
		conv = conversation{adapter: g.drawAdapter(), prefix: g.lastPrefix}
		g.recent = append(g.recent, conv)
		if len(g.recent) > maxConversations {
			g.recent = g.recent[1:]
		}
	}
	w := g.size.Workloads[rank]
	return Arrival{
		At:       at,
		Customer: conv.adapter % g.size.Customers,
		Rank:     rank,
		Adapter:  conv.adapter,
		Prompt:   g.drawLength(w.Prompt),
		Output:   g.drawLength(w.Output),
		Prefix:   conv.prefix,
		Zone:     g.rng.IntN(g.size.Zones),
	}
}

// drawArrivals draws the arrivals of a Poisson process between two times.
func (g *generator) drawArrivals(from, to time.Duration, rate float64, rank func() state.Rank) []Arrival {
	var all []Arrival
	at := from
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return all
		}
		all = append(all, g.drawArrival(at, rank()))
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
