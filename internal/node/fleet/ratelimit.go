package fleet

import (
	"log/slog"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/state"
)

// SetRateLimit records the limit that an upstream named in a response to this daemon.
func (v *View) SetRateLimit(id state.UpstreamID, l balance.RateLimit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.tracker.SetRateLimit(v.opts.Clock(), id, l) {
		v.logRateLimit(id, l, "")
	}
}

// MergeRateLimits records the limits that upstreams named in responses to a peer.
func (v *View) MergeRateLimits(peer string, limits map[state.UpstreamID]balance.RateLimit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, l := range limits {
		if v.tracker.MergeRateLimit(v.opts.Clock(), id, l) {
			v.logRateLimit(id, l, peer)
		}
	}
}

// OwnRateLimits returns the limits that upstreams have recently named in responses to this daemon.
func (v *View) OwnRateLimits() map[state.UpstreamID]balance.RateLimit {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.RateLimits(v.opts.Clock())
}

func (v *View) logRateLimit(id state.UpstreamID, l balance.RateLimit, peer string) {
	if l.Ended {
		v.opts.Log.Event("request limit ended", slog.String("upstream", string(id)), slog.String("peer", peer))
		return
	}
	v.opts.Log.Event("request limit", slog.String("upstream", string(id)), slog.Float64("limit", l.PerSecond), slog.Int("daemons", v.daemonCount), slog.String("peer", peer))
}
