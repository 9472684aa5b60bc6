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

// ownershipPeers gives the ownership node access to the cluster, which is stored in it
// after construction. It breaks a cycle of constructors: the cluster decides which
// upstreams this daemon should own, and the ownership node reads the cluster's members.
type ownershipPeers struct {
	cluster atomic.Pointer[cluster.Cluster]
	pool    *peer.Pool
}

func newOwnershipPeers(pool *peer.Pool) *ownershipPeers { return &ownershipPeers{pool: pool} }

// LiveIncarnations implements ownership.Members.
func (ref *ownershipPeers) LiveIncarnations() []lease.Session {
	return ref.cluster.Load().LiveIncarnations()
}

// Gone implements ownership.Members.
func (ref *ownershipPeers) Gone(id state.DaemonID) bool { return ref.cluster.Load().Gone(id) }

// DaemonCount implements ownership.Members. It returns 1 until the cluster is set.
func (ref *ownershipPeers) DaemonCount() int {
	if c := ref.cluster.Load(); c != nil {
		return c.DaemonCount()
	}
	return 1
}

// Ask implements ownership.Asker.
func (ref *ownershipPeers) Ask(ctx context.Context, to state.DaemonID, request protocol.OwnershipRequest) (protocol.OwnershipReply, error) {
	var reply protocol.OwnershipReply
	at, ok := ref.cluster.Load().Address(to)
	if !ok {
		return reply, protocol.Errorf(protocol.KindUnavailable, "ask owner", protocol.OutcomeNotRun, "daemon is not known").WithPeer(string(to))
	}
	if err := ref.pool.Exchange(ctx, at, protocol.MsgOwnershipRequest, request, &reply); err != nil {
		return reply, err
	}
	return reply, nil
}

func newOwnership(s Settings, incarnation state.Incarnation, client *platform.Client, engines *upstream.Client, m *owner.Manager, peers *ownershipPeers) *ownership.Node {
	n := ownership.New(ownership.Options{
		Self:        state.DaemonID(s.ID),
		Incarnation: incarnation,
		Objects:     client,
		Upstream:    engines,
		Owner:       m,
		Members:     peers,
		Asker:       peers,
		Clock:       time.Now,
	})
	m.SetGate(n)
	return n
}
