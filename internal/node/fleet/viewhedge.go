package fleet

import "github.com/celerydeck/celerydeck/internal/state"

// HedgeState returns the fill of the upstreams of a plain service, see balance.Tracker.Fill, and the
// upstreams that have failed since their last success. A hedge is no probe of them.
func (v *View) HedgeState(service string) (fill float64, failed map[state.UpstreamID]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	failed = make(map[state.UpstreamID]bool)
	for _, u := range v.byService[service] {
		if v.tracker.HasFailed(now, u.ID) {
			failed[u.ID] = true
		}
	}
	return v.tracker.Fill(now, v.byService[service]), failed
}
