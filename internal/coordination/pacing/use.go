package pacing

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// targetShare is the share of an engine's slots that the requests of one adapter should take.
	// Beyond it, a burst of requests for the adapter fills the engine.
	targetShare = 0.4
	// minUse is the use below which an adapter is forgotten.
	minUse = 0.1
)

// Use estimates how many requests of each adapter run at an engine, from the requests that were
// scheduled there. It is not safe for concurrent use.
type Use struct {
	byAdapter map[upstreams.Adapter]use
}

// use is a decaying count of requests.
type use struct {
	count float64
	at    time.Time
}

func (u use) decayed(now time.Time, streamTime time.Duration) float64 {
	age := max(now.Sub(u.at), 0) // the clock may have been set back
	return u.count * math.Exp(-float64(age)/float64(max(streamTime, time.Millisecond)))
}

// Record counts a request of an adapter. streamTime is the mean time that a request runs. It returns
// how many replicas the adapter should have for each one that it has, 1 if it has enough.
func (u *Use) Record(now time.Time, a upstreams.Adapter, streamTime time.Duration, slots int) float64 {
	if u.byAdapter == nil {
		u.byAdapter = make(map[upstreams.Adapter]use)
	}
	count := u.byAdapter[a].decayed(now, streamTime) + 1
	u.byAdapter[a] = use{count, now}
	if len(u.byAdapter) > 4*max(slots, 1) {
		for b, other := range u.byAdapter {
			if other.decayed(now, streamTime) < minUse {
				delete(u.byAdapter, b)
			}
		}
	}
	return u.ReplicaRatio(now, a, streamTime, slots)
}

// ReplicaRatio returns what Record returns, without counting a request.
func (u *Use) ReplicaRatio(now time.Time, a upstreams.Adapter, streamTime time.Duration, slots int) float64 {
	return max(1, u.byAdapter[a].decayed(now, streamTime)/(targetShare*float64(max(slots, 1))))
}
