package app

import (
	"crypto/rand"
	"time"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/entry"
	"github.com/celerydeck/celerydeck/internal/node/once"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const secretBytes = 32

func newIncarnation() state.Incarnation { return state.Incarnation(newID()) }

type onceParams struct {
	fx.In
	Settings    Settings
	Incarnation state.Incarnation
	Gateway     *entry.Gateway
	Pool        *peer.Pool
	Cluster     *cluster.Cluster
	Platform    *platform.Client
}

func newOnce(lc fx.Lifecycle, p onceParams) *once.Gateway {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	g := once.New(once.Options{
		Self:        state.DaemonID(p.Settings.ID),
		Incarnation: p.Incarnation,
		Next:        p.Gateway,
		Peers:       ownerCaller{pool: p.Pool, cluster: p.Cluster},
		Objects:     p.Platform,
		Clock:       time.Now,
		Secret:      secret,
		NewNonce:    newID,
		DaemonCount: p.Cluster.DaemonCount,
		DaemonLost:  p.Cluster.IncarnationLost,
	})
	lc.Append(fx.StartStopHook(g.Start, g.Close))
	return g
}
