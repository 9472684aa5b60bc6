package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// minOrderWait is the minimum time that a load may wait for its order before another
	// engine is asked.
	minOrderWait = 200 * time.Millisecond
	// loadAndFirstEvent estimates the time from the order of a load to the first event.
	loadAndFirstEvent = 400 * time.Millisecond
)

// orderWait returns how long a load may wait for its order. If it were ordered later, the
// request would not start in time.
func (c *call) orderWait() time.Duration {
	return max(c.limits().MaxStartDelay-loadAndFirstEvent, minOrderWait)
}

// awaitLoad requests a load of the adapter if necessary, and waits until the estimated end of
// the load. If the load was refused, it excludes the engine and returns false. It sets the version
// that the engine loads, as a newer one may have been announced since the choice.
func (c *call) awaitLoad(placement *fleet.Placement) bool {
	wait := placement.ReadyIn
	if placement.Load {
		ctx, cancel := context.WithTimeout(c.ctx, c.orderWait())
		reply := c.g.opts.Loader.RequestLoad(ctx, protocol.LoadRequest{
			Upstream: placement.Upstream.ID, Adapter: c.meta.Adapter, Version: placement.Version, Rank: c.precedence.Rank, Slack: c.timeToObjective() - firstEventAfterLoad,
			OrderTimeout: c.orderWait(),
		})
		cancel()
		c.g.opts.Log.Event("load wanted", slog.String("request", c.meta.RequestID), slog.String("upstream", string(placement.Upstream.ID)),
			slog.String("adapter", c.meta.Adapter.String()), slog.Int("version", placement.Version), slog.Bool("ok", reply.Accepted),
			slog.Duration("ready_in", reply.ReadyIn), slog.String("reason", reply.Reason))
		if !reply.Accepted {
			c.failedLoads++
			c.excluded[placement.Upstream.ID] = true
			return false
		}
		if reply.Version > placement.Version {
			placement.RunsVersion = reply.Version
			if placement.Version > 0 {
				placement.Version = reply.Version
			}
		}
		wait = reply.ReadyIn
		c.loadingAt = placement.Upstream.ID
	} else if wait > 0 {
		c.loadingAt = placement.Upstream.ID
	}
	c.sleep(min(wait, max(0, c.timeLeft()-minTimeLeft)))
	c.loadWait += wait
	return true
}

// hasLeft reports whether the upstream of a placement began to leave, left, or named a wait, while
// the request waited for a load there.
func (c *call) hasLeft(placement fleet.Placement) bool {
	if !placement.Load && placement.ReadyIn == 0 {
		return false
	}
	d := c.g.opts.View.Eligibility(placement.Upstream, true)
	if !d.IsBarred() {
		return false
	}
	c.logStep("upstream left during a load: "+d.Reason.String(), placement.Upstream, fateNone, nil)
	return true
}

// sleep waits for d, or until the call ends.
func (c *call) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// replicate requests a load of an adapter at an engine that is to become a further replica.
func (g *Gateway) replicate(id state.UpstreamID, a upstreams.Adapter, version int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := g.opts.Loader.RequestLoad(ctx, protocol.LoadRequest{Upstream: id, Adapter: a, Version: version, Rank: balance.RankCount})
	g.opts.Log.Event("adapter replicated", slog.String("upstream", string(id)), slog.String("adapter", a.String()),
		slog.Bool("ok", reply.Accepted), slog.String("reason", reply.Reason))
}

// useNoticeTimeout limits the time for a notice of a use to a lease holder. A lost notice costs
// at most a rejected request.
const useNoticeTimeout = 300 * time.Millisecond

// announceUse notifies the lease holder of an engine that an idle adapter is now in use.
// Gossip would be too late: the adapter that has been idle for longest is evicted next, and
// the engine rejects all orders until the requests on that adapter have ended.
func (g *Gateway) announceUse(id state.UpstreamID, a upstreams.Adapter) {
	ctx, cancel := context.WithTimeout(context.Background(), useNoticeTimeout)
	defer cancel()
	if reply := g.opts.Loader.RequestLoad(ctx, protocol.LoadRequest{Upstream: id, Adapter: a, UsageOnly: true}); !reply.Accepted {
		g.opts.Log.Event("use not told", slog.String("upstream", string(id)), slog.String("adapter", a.String()), slog.String("reason", reply.Reason))
	}
}
