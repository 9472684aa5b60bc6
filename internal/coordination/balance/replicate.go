package balance

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Load pattern: demand moves to an adapter with few replicas. Their slots fill within a second,
// long before the estimated time to a first event shows it, and each further stream slows those
// that run there. Engines without the adapter are hardly used meanwhile. Lease holders see how
// many of their engine's slots each adapter takes, and say how many replicas it should have.

// maxMissingReplicas limits how many replicas are loaded in one step. What the daemons know of each
// other's loads is some tenths of a second old.
const maxMissingReplicas = 8

// fill returns the share of an engine's slots that is in use by the requests of all daemons. It
// may exceed 1.
func (t *Tracker) fill(now time.Time, u *upstreams.Upstream) float64 {
	return float64(t.InFlight(now, u.ID).Requests) / float64(max(u.Slots, 1))
}

// replicaTarget returns an engine that should load another replica of an adapter, or nil. ratio is
// how many replicas the adapter should have for each one that it has. The engine must be less full
// than the replicas. Engines come in rendezvous order, so that all daemons name the same few.
// positions are the rendezvous positions of the candidates; draw is a random number in [0, 1).
func (t *Tracker) replicaTarget(now time.Time, ratio float64, list []Candidate, positions []int, draw float64) *upstreams.Upstream {
	isMore := ratio > 1 // false for what is no number
	if !isMore {
		return nil
	}
	used, replicas := 0.0, 0
	for i := range list {
		if c := &list[i]; c.Resident && !t.IsEjected(now, c.Upstream.ID) {
			used += t.fill(now, c.Upstream)
			replicas++
		}
	}
	if replicas == 0 {
		return nil
	}
	missing := min(math.Ceil(float64(replicas)*(ratio-1)), maxMissingReplicas)
	skip := int(draw * missing)
	targets := make([]*upstreams.Upstream, len(list))
	for i := range list {
		c := &list[i]
		if c.Resident || !c.Loadable || c.AtCapacity || t.IsEjected(now, c.Upstream.ID) || t.fill(now, c.Upstream) > used/float64(replicas) {
			continue
		}
		targets[positions[i]] = c.Upstream
	}
	for _, u := range targets {
		if u == nil {
			continue
		}
		if skip == 0 {
			return u
		}
		skip--
	}
	return nil
}
