package routing

import (
	"math"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxReplicas     = 8 // most replicas of an adapter that are all candidates; more are sampled
	sampledReplicas = 4 // replicas in the sample of an adapter with more than maxReplicas
	maxColdEngines  = 3 // engines without the adapter that are candidates
	plainSamples    = 2 // instances of a plain service sampled from the zone, and from the region
	maxCandidates   = maxReplicas + MaxPrefixLocations + maxColdEngines
)

// candidate is an upstream that may be chosen for a request, with the state of the
// request's adapter on the upstream.
type candidate struct {
	entry    *state.Entry
	upstream *state.Upstream
	resident bool
	loading  bool
	position int // in the rendezvous order of the adapter
}

// selection is the state of one call of Pick. Its fixed size keeps it on the stack.
type selection struct {
	router      *Scored
	now         time.Time
	req         *Request
	order       state.Order
	prefixes    PrefixLocations
	random      uint64
	daemons     float64
	queueCost   float64 // seconds of delay per request ahead in the queue
	anyResident bool
	count       int
	candidates  [maxCandidates]candidate
}

func (s *Scored) newSelection(now time.Time, req *Request) selection {
	return selection{
		router:    s,
		now:       now,
		req:       req,
		random:    s.random(),
		daemons:   float64(s.daemons.Load()),
		queueCost: math.Float64frombits(s.serviceTime.Load()) * s.weights.QueueShare,
	}
}

// collect adds the candidates for the request.
func (p *selection) collect() {
	if p.req.Adapter.IsZero() {
		p.collectPlain()
		return
	}
	group := p.router.fleet.Engines(p.req.Base, p.req.Region)
	if group == nil {
		return
	}
	p.order = group.Order(p.req.Adapter.Hash())
	replicas := p.router.fleet.Replicas(p.req.Adapter)
	if p.router.prefixIndex != nil && p.req.Prefix != 0 {
		p.prefixes = p.router.prefixIndex.Locations(p.req.Adapter, p.req.Prefix)
		p.collectPrefixLocations(replicas)
	}
	p.collectReplicas(replicas)
	p.collectCold(replicas)
}

// collectPrefixLocations adds the replicas that have the prefix of the prompt cached.
func (p *selection) collectPrefixLocations(replicas []state.Replica) {
	for _, location := range p.prefixes {
		if location.Upstream == "" {
			return
		}
		e := p.router.fleet.Entry(location.Upstream)
		if e == nil {
			continue
		}
		if at, ok := state.FindReplica(replicas, e); ok {
			p.addReplica(replicas[at])
		}
	}
}

// collectReplicas adds all replicas of the adapter, or a sample if there are more than
// maxReplicas. Half of the sample are the replicas whose engine hashes follow the hash of
// the prefix, so that a conversation reaches the same engines again. The other half is
// random.
func (p *selection) collectReplicas(replicas []state.Replica) {
	n := len(replicas)
	if n <= maxReplicas {
		for _, h := range replicas {
			p.addReplica(h)
		}
		return
	}
	near := p.random
	if p.req.Prefix != 0 {
		near = p.req.Prefix
	}
	start := firstAtOrAfter(replicas, state.Mix(near))
	other := int(state.Mix(p.random+1) % uint64(n))
	for i := range sampledReplicas / 2 {
		p.addReplica(replicas[(start+i)%n])
		p.addReplica(replicas[(other+i*(n/2))%n])
	}
}

// firstAtOrAfter returns the position of the first replica whose engine hash is at least
// hash, or 0 if all engine hashes are lower.
func firstAtOrAfter(replicas []state.Replica, hash uint64) int {
	low, high := 0, len(replicas)
	for low < high {
		middle := (low + high) / 2
		if replicas[middle].Entry.Hash() < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low % len(replicas)
}

func (p *selection) addReplica(h state.Replica) {
	p.add(h.Entry, h.Ready, !h.Ready)
}

// collectCold adds the first usable engines of the rendezvous order on which the adapter is
// neither resident nor loading.
func (p *selection) collectCold(replicas []state.Replica) {
	cold := 0
	for _, e := range p.order {
		if e == nil || cold == maxColdEngines {
			return
		}
		if _, ok := state.FindReplica(replicas, e); ok {
			continue
		}
		if p.add(e, false, false) {
			cold++
		}
	}
}

// collectPlain adds instances of a plain service, sampled from the zone of the request and
// from the region.
func (p *selection) collectPlain() {
	zone := p.router.fleet.Services(p.req.Service, p.req.Region, p.req.Zone)
	p.samplePlain(zone, p.random)
	region := p.router.fleet.Services(p.req.Service, p.req.Region, "")
	p.samplePlain(region, state.Mix(p.random+1))
}

// samplePlain adds up to plainSamples usable instances, starting at a random position.
func (p *selection) samplePlain(g *state.Group, random uint64) {
	if g == nil {
		return
	}
	members := g.Members()
	n := len(members)
	added := 0
	for i := 0; i < n && added < plainSamples; i++ {
		e := members[(int(random%uint64(n))+i)%n]
		if p.add(e, true, false) {
			added++
		}
	}
}

// add appends an upstream to the candidates and reports whether it did. It skips an
// upstream that is ejected, unusable or already a candidate.
func (p *selection) add(e *state.Entry, resident, loading bool) bool {
	u := e.Upstream()
	if e.Gate() == state.GateClosed || !p.router.usable(p.now, p.req, u) {
		return false
	}
	for i := range p.count {
		if p.candidates[i].entry == e {
			return false
		}
	}
	if p.count == maxCandidates {
		return false
	}
	position := slices.Index(p.order[:], e)
	if position < 0 {
		position = state.OrderLength
	}
	p.candidates[p.count] = candidate{entry: e, upstream: u, resident: resident, loading: loading, position: position}
	p.count++
	p.anyResident = p.anyResident || resident
	return true
}

// best returns the candidate with the lowest score, and whether there is one. An ejected
// candidate that is due for a probe takes precedence if the request may probe it; best then
// claims the probe, so that a single request is sent.
func (p *selection) best() (Choice, bool) {
	var best *candidate
	var lowest float64
	for i := range p.count {
		c := &p.candidates[i]
		if c.entry.Gate() == state.GateProbe {
			if p.mayProbe(c) && c.entry.ClaimProbe() {
				return Choice{Upstream: c.upstream, Resident: c.resident, Probe: true}, true
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
	return Choice{Upstream: best.upstream, Resident: best.resident && !p.req.Adapter.IsZero()}, true
}

// mayProbe reports whether the request may probe c. The request must be safe to repeat, and
// the probe must not cause a load that another candidate would not need.
func (p *selection) mayProbe(c *candidate) bool {
	if !p.req.Repeatable {
		return false
	}
	return c.resident || !p.anyResident && c.position == 0
}
