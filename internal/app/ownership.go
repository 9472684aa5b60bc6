package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/ownership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// lateZone breaks the cycle between the cluster, which says what this daemon should
// own, and the ownership, which asks the cluster for its members.
type lateZone struct {
	cluster atomic.Pointer[cluster.Cluster]
	pool    *peer.Pool
}

func newLateZone(pool *peer.Pool) *lateZone { return &lateZone{pool: pool} }

// LiveIncarnations implements ownership.Members.
func (l *lateZone) LiveIncarnations() []lease.Session { return l.cluster.Load().LiveIncarnations() }

// Gone implements ownership.Members.
func (l *lateZone) Gone(id state.DaemonID) bool { return l.cluster.Load().Gone(id) }

// DaemonCount implements ownership.Members. It is asked before the cluster exists.
func (l *lateZone) DaemonCount() int {
	if c := l.cluster.Load(); c != nil {
		return c.DaemonCount()
	}
	return 1
}

// Ask implements ownership.Asker.
func (l *lateZone) Ask(ctx context.Context, to state.DaemonID, ask protocol.OwnershipRequest) (protocol.OwnershipReply, error) {
	var answer protocol.OwnershipReply
	at, ok := l.cluster.Load().Address(to)
	if !ok {
		return answer, protocol.Errorf(protocol.KindUnavailable, "ask owner", protocol.OutcomeNotRun, "daemon is not known").WithPeer(string(to))
	}
	if err := l.pool.Exchange(ctx, at, protocol.MsgOwnershipRequest, ask, &answer); err != nil {
		return answer, err
	}
	return answer, nil
}

func newOwnership(s Settings, run state.Incarnation, client *platform.Client, engines *upstream.Client, m *owner.Manager, zone *lateZone) *ownership.Node {
	n := ownership.New(ownership.Options{
		Self:        state.DaemonID(s.ID),
		Incarnation: run,
		Objects:     client,
		Upstream:    engines,
		Owner:       m,
		Members:     zone,
		Asker:       zone,
		Clock:       time.Now,
	})
	m.SetGate(n)
	return n
}
