package app

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// lateMembers breaks the cycle between the cluster, whose heartbeats carry the
// configuration's revision, and the configuration, which asks the members.
type lateMembers struct {
	cluster atomic.Pointer[cluster.Cluster]
}

func newLateMembers() *lateMembers { return &lateMembers{} }

func (l *lateMembers) set(c *cluster.Cluster) { l.cluster.Store(c) }

// ZonePeers implements config.Members.
func (l *lateMembers) ZonePeers() []peer.Peer { return l.cluster.Load().ZonePeers() }

// AllPeers implements config.Members.
func (l *lateMembers) AllPeers() []peer.Peer { return l.cluster.Load().AllPeers() }

// IsRelay implements config.Members.
func (l *lateMembers) IsRelay() bool { return l.cluster.Load().IsRelay() }

func newConfig(s Settings, client *platform.Client, pool *peer.Pool, members *lateMembers) *config.Node {
	return config.New(config.Options{
		Self:     state.DaemonID(s.ID),
		Objects:  client,
		Peers:    pool,
		Members:  members,
		Clock:    time.Now,
		Rand:     newRand(),
		Validate: validateConfig,
	})
}

// validateConfig checks a whole configuration before it is accepted.
func validateConfig(c *deckconfig.Config) error { return c.Validate() }

// newRand returns a generator with a seed of its own for each run of a daemon.
func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}
