package app

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/node/entry"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/suspects"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const daemonCountInterval = time.Second

func newRouter(fleet *state.Fleet) *routing.Scored {
	return routing.NewScored(routing.Options{
		Fleet:   fleet,
		Weights: routing.DefaultWeights(),
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

type gatewayParams struct {
	fx.In
	Settings Settings
	Fleet    *state.Fleet
	Owner    *owner.Manager
	Pool     *peer.Pool
	Cluster  *cluster.Cluster
	Suspects *suspects.Node
	Router   *routing.Scored
	Config   *config.Node
}

func newGateway(lc fx.Lifecycle, p gatewayParams) *entry.Gateway {
	region := state.Region(p.Settings.Region)
	router := p.Router
	ejector := entry.NewEjector(p.Fleet, region)
	runInBackground(lc, ejector.Run)
	runInBackground(lc, func(ctx context.Context) { countDaemons(ctx, router, p.Cluster) })
	return entry.New(entry.Options{
		Self:     state.DaemonID(p.Settings.ID),
		Zone:     state.Zone(p.Settings.Zone),
		Region:   region,
		Router:   router,
		Trackers: []routing.Tracker{router, ejector},
		Owner:    p.Owner,
		Peers:    ownerCaller{pool: p.Pool, cluster: p.Cluster},
		Suspects: p.Suspects,
		Catalog:  p.Config.Catalog,
		Clock:    time.Now,
	})
}

// countDaemons periodically passes the number of live daemons to the router.
func countDaemons(ctx context.Context, router *routing.Scored, c *cluster.Cluster) {
	ticker := time.NewTicker(daemonCountInterval)
	defer ticker.Stop()
	for {
		router.SetDaemons(c.DaemonCount())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// runInBackground runs a loop from the start of the daemon until it stops.
func runInBackground(lc fx.Lifecycle, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	lc.Append(fx.StartStopHook(
		func() { wg.Go(func() { loop(ctx) }) },
		func() {
			cancel()
			wg.Wait()
		},
	))
}
