package balance

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Fill returns the requests at upstreams, of all daemons, as a share of the upstreams' slots. It is 1
// without upstreams.
func (t *Tracker) Fill(now time.Time, list []*upstreams.Upstream) float64 {
	busy, slots := 0, 0
	for _, u := range list {
		if u.Draining {
			continue
		}
		busy += t.busy(now, u.ID)
		slots += max(u.Slots, 1)
	}
	if slots == 0 {
		return 1
	}
	return float64(busy) / float64(slots)
}

// busy returns the requests at an upstream: those in flight, or those of its last report if they are
// more.
func (t *Tracker) busy(now time.Time, id state.UpstreamID) int {
	w, h := t.InFlight(now, id), t.healthOf(id)
	if h.hasReportedLoad && now.Sub(h.reportedAt) < reportedLoadTTL {
		return max(w.Requests, h.reportedLoad.Running+h.reportedLoad.Waiting)
	}
	return w.Requests
}

// HasFailed reports whether the last attempt at an upstream broke off, or whether the upstream is
// ejected.
func (t *Tracker) HasFailed(now time.Time, id state.UpstreamID) bool {
	h := t.health[id]
	return h != nil && (h.consecutiveFailures > 0 || now.Before(h.ejectedUntil))
}

// ObserveServiceTimeAtLeast records that a plain request took longer than the given time, which
// tells something only if that is above the average.
func (t *Tracker) ObserveServiceTimeAtLeast(id state.UpstreamID, open time.Duration) {
	if open.Seconds() > t.healthOf(id).serviceTime {
		t.ObserveServiceTime(id, open)
	}
}
