package routing

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// BaselineRouter is the Router with which Scored is compared. It chooses the least loaded
// replica of the adapter, or the first engine of the adapter's rendezvous order if there is
// no replica. The time that a choice takes grows with the number of upstreams.
type BaselineRouter struct {
	fleet *state.Fleet
}

// NewBaselineRouter returns a router over the upstreams of fleet.
func NewBaselineRouter(fleet *state.Fleet) *BaselineRouter { return &BaselineRouter{fleet: fleet} }

// Pick implements Router.
func (s *BaselineRouter) Pick(_ time.Time, req *Request) Choice {
	var best Choice
	var bestScore uint64
	for _, u := range s.fleet.All() {
		if !eligible(u, req) {
			continue
		}
		score := baselineScore(u, req)
		if best.Upstream == nil || score > bestScore {
			best = Choice{Upstream: u, Resident: u.HasResident(req.Adapter)}
			bestScore = score
		}
	}
	return best
}

// baselineScore returns the score of an upstream; the highest score is chosen. Replicas score
// above all other upstreams, ordered by load and then by rendezvous weight.
func baselineScore(u *state.Upstream, req *Request) uint64 {
	const (
		residentBonus = 1 << 62
		loadShift     = 40
		maxLoad       = 1 << 20
	)
	weight := state.RendezvousWeight(req.Adapter.String(), string(u.ID)) >> 24
	if !u.HasResident(req.Adapter) && !req.Adapter.IsZero() {
		return weight
	}
	load := min(u.Running+u.Queued, maxLoad)
	return residentBonus + uint64(maxLoad-load)<<loadShift + weight
}

// eligible reports whether an upstream can serve a request and accepts new requests: it is
// of the service or base model of the request, has an owner, and is healthy, not leaving
// and not excluded by the request.
func eligible(u *state.Upstream, req *Request) bool {
	if u.Leaving || !u.Healthy || u.Owner == "" {
		return false
	}
	if slices.Contains(req.Exclude, u.ID) {
		return false
	}
	if req.Adapter.IsZero() {
		return u.Kind == state.KindPlain && u.Service == req.Service
	}
	return u.Kind == state.KindEngine && u.Base == req.Base
}
