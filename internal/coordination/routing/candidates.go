package routing

import (
	"math"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxHolders   = 8 // holders that are all considered
	someHolders  = 4 // holders considered when there are more than maxHolders
	coldChoices  = 3 // engines without the adapter that are considered
	plainChoices = 2 // instances of a plain service per zone and per region
	maxChoices   = maxHolders + MaxPrefixLocations + coldChoices
)

// candidate is an upstream with the state of the adapter on it.
type candidate struct {
	entry    *state.Entry
	upstream *state.Upstream
	ready    bool
	loading  bool
	position int // in the rendezvous order
}

// pick is one choice in progress. It stays on the stack.
type pick struct {
	s          *Scored
	now        time.Time
	req        *Request
	order      state.Order
	homes      PrefixLocations
	random     uint64
	daemons    float64
	service    float64 // mean run time in seconds
	anyReady   bool
	count      int
	candidates [maxChoices]candidate
}

func (s *Scored) newPick(now time.Time, req *Request) pick {
	return pick{
		s:       s,
		now:     now,
		req:     req,
		random:  s.random(),
		daemons: float64(s.daemons.Load()),
		service: math.Float64frombits(s.serviceTime.Load()) * s.weights.QueueShare,
	}
}

func (p *pick) collect() {
	if p.req.Adapter.IsZero() {
		p.collectPlain()
		return
	}
	group := p.s.fleet.Engines(p.req.Base, p.req.Region)
	if group == nil {
		return
	}
	p.order = group.Order(p.req.Adapter.Hash())
	holders := p.s.fleet.Holders(p.req.Adapter)
	if p.s.prefixes != nil && p.req.Prefix != 0 {
		p.homes = p.s.prefixes.Locations(p.req.Adapter, p.req.Prefix)
		p.collectHomes(holders)
	}
	p.collectHolders(holders)
	p.collectCold(holders)
}

// collectHomes adds engines that hold the adapter and the prefix.
func (p *pick) collectHomes(holders []state.Holder) {
	for _, home := range p.homes {
		if home.Upstream == "" {
			return
		}
		e := p.s.fleet.Entry(home.Upstream)
		if e == nil {
			continue
		}
		if at, ok := state.FindHolder(holders, e); ok {
			p.addHolder(holders[at])
		}
	}
}

// collectHolders adds all holders, or some of many: half of them next to the
// prefix in the order of hashes, so that a conversation meets the same engines,
// and half at random.
func (p *pick) collectHolders(holders []state.Holder) {
	n := len(holders)
	if n <= maxHolders {
		for _, h := range holders {
			p.addHolder(h)
		}
		return
	}
	near := p.random
	if p.req.Prefix != 0 {
		near = p.req.Prefix
	}
	start := searchHash(holders, state.Mix(near))
	far := int(state.Mix(p.random+1) % uint64(n))
	for i := range someHolders / 2 {
		p.addHolder(holders[(start+i)%n])
		p.addHolder(holders[(far+i*(n/2))%n])
	}
}

// searchHash returns the position of the first holder at or after hash.
func searchHash(holders []state.Holder, hash uint64) int {
	low, high := 0, len(holders)
	for low < high {
		middle := (low + high) / 2
		if holders[middle].Entry.Hash() < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low % len(holders)
}

func (p *pick) addHolder(h state.Holder) {
	p.add(h.Entry, h.Ready, !h.Ready)
}

// collectCold adds the first usable engines of the rendezvous order.
func (p *pick) collectCold(holders []state.Holder) {
	cold := 0
	for _, e := range p.order {
		if e == nil || cold == coldChoices {
			return
		}
		if _, ok := state.FindHolder(holders, e); ok {
			continue
		}
		if p.add(e, false, false) {
			cold++
		}
	}
}

func (p *pick) collectPlain() {
	zone := p.s.fleet.Services(p.req.Service, p.req.Region, p.req.Zone)
	p.samplePlain(zone, p.random)
	region := p.s.fleet.Services(p.req.Service, p.req.Region, "")
	p.samplePlain(region, state.Mix(p.random+1))
}

// samplePlain adds plainChoices instances from a random place on.
func (p *pick) samplePlain(g *state.Group, random uint64) {
	if g == nil {
		return
	}
	members := g.Members()
	n := len(members)
	added := 0
	for i := 0; i < n && added < plainChoices; i++ {
		e := members[(int(random%uint64(n))+i)%n]
		if p.add(e, true, false) {
			added++
		}
	}
}

// add appends a candidate. It reports false for one that may not be chosen.
func (p *pick) add(e *state.Entry, ready, loading bool) bool {
	u := e.Upstream()
	if e.Gate() == state.GateClosed || !p.s.usable(p.now, p.req, u) {
		return false
	}
	for i := range p.count {
		if p.candidates[i].entry == e {
			return false
		}
	}
	if p.count == maxChoices {
		return false
	}
	position := slices.Index(p.order[:], e)
	if position < 0 {
		position = state.GroupWidth
	}
	p.candidates[p.count] = candidate{entry: e, upstream: u, ready: ready, loading: loading, position: position}
	p.count++
	p.anyReady = p.anyReady || ready
	return true
}

// best returns the candidate with the lowest score. A candidate that waits for a
// probe is taken before all others, by one request that may be repeated.
func (p *pick) best() (Choice, bool) {
	var best *candidate
	var lowest float64
	for i := range p.count {
		c := &p.candidates[i]
		if c.entry.Gate() == state.GateProbe {
			if p.mayProbe(c) && c.entry.TakeProbe() {
				return Choice{Upstream: c.upstream, Resident: c.ready, Probe: true}, true
			}
			continue
		}
		if score := p.score(c); best == nil || score < lowest {
			best, lowest = c, score
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.upstream, Resident: best.ready && !p.req.Adapter.IsZero()}, true
}

// mayProbe reports whether a probe at c costs no load that is not needed anyway.
func (p *pick) mayProbe(c *candidate) bool {
	if !p.req.Repeatable {
		return false
	}
	return c.ready || !p.anyReady && c.position == 0
}
