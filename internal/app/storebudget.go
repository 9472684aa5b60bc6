package app

import (
	"context"
	"time"

	"go.uber.org/fx"

	budget "github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/storebudget"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// newWeightStoreBudget returns the node that shares the limits of the weight store with
// other daemons, or nil if no limits are set.
func newWeightStoreBudget(lc fx.Lifecycle, s Settings, m *owner.Manager, pool *peer.Pool, c *cluster.Cluster) *storebudget.Node {
	if s.StoreRate == 0 {
		return nil
	}
	n := storebudget.New(storebudget.Options{
		Limits: budget.Limits{
			Total: budget.Amount{
				Rate:     int64(s.StoreRate * budget.Unit),
				InFlight: int64(s.StoreInFlight * budget.Unit),
			},
			Engines:            s.StoreEngines,
			GrantTTL:           budget.DefaultGrantTTL,
			MaxClockDrift:      budget.DefaultMaxClockDrift,
			LossDetectionDelay: budget.DefaultLossDetectionDelay,
		},
		Engines: m,
		Peers:   sharePeers{pool: pool, cluster: c},
		Clock:   time.Now,
	})
	runInBackground(lc, n.Run)
	return n
}

// sharePeers requests shares of the weight store's limits from other daemons.
type sharePeers struct {
	pool    *peer.Pool
	cluster *cluster.Cluster
}

// Lenders implements storebudget.Peers.
func (l sharePeers) Lenders() []peer.Peer { return l.cluster.AllPeers() }

// RequestShare implements storebudget.Peers.
func (l sharePeers) RequestShare(ctx context.Context, to peer.Peer, request budget.ShareRequest) (budget.Grant, error) {
	var grant budget.Grant
	if err := l.pool.Exchange(ctx, to, protocol.MsgShareRequest, request, &grant); err != nil {
		return grant, err
	}
	return grant, nil
}
