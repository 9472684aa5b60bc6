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

// membersRef refers to the cluster, which is stored in it after construction. It breaks a
// cycle of constructors: the cluster reads the configuration's revision for its
// heartbeats, and the configuration reads the cluster's members.
type membersRef struct {
	cluster atomic.Pointer[cluster.Cluster]
}

func newMembersRef() *membersRef { return &membersRef{} }

func (ref *membersRef) set(c *cluster.Cluster) { ref.cluster.Store(c) }

// ZonePeers implements config.Members.
func (ref *membersRef) ZonePeers() []peer.Peer { return ref.cluster.Load().ZonePeers() }

// AllPeers implements config.Members.
func (ref *membersRef) AllPeers() []peer.Peer { return ref.cluster.Load().AllPeers() }

// IsRelay implements config.Members.
func (ref *membersRef) IsRelay() bool { return ref.cluster.Load().IsRelay() }

func newConfig(s Settings, client *platform.Client, pool *peer.Pool, members *membersRef) *config.Node {
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

// newRand returns a generator with a random seed.
func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}
