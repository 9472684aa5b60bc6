// Package operator serves operators: it reports the status of this daemon, collects
// the status of all others, explains routing decisions, and keeps notes and drains in
// the object store.
package operator

import (
	"context"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	collectTimeout     = 2 * time.Second
	maxParallelQueries = 32
	observeInterval    = time.Second
	watchTimeout       = 30 * time.Second // longest duration of one call of ObjectStore.Watch
	watchRetryDelay    = time.Second
)

// Members returns the known daemons.
type Members interface {
	// AllPeers returns all known daemons without self.
	AllPeers() []peer.Peer
	// ZoneOf returns the availability zone of a known daemon, and an empty one for
	// an unknown daemon.
	ZoneOf(id state.DaemonID) state.Zone
}

// Exchanger sends a message to a peer and decodes its answer.
type Exchanger interface {
	Exchange(ctx context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error
}

// Reporter reports the conditions that one component of the daemon has detected.
type Reporter interface {
	Conditions(now time.Time) []protocol.Condition
}

// Stats summarizes the recent requests of callers to this daemon.
type Stats interface {
	Ranks(now time.Time, ranks []state.RankInfo) []protocol.RankStatus
	Classes(now time.Time, ranks []state.RankInfo) []protocol.ClassStatus
}

// Gauges exports metrics of this daemon.
type Gauges interface {
	SetRevision(revision uint64)
	SetOwned(n int)
}

// Options configures a Node.
type Options struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Zone        state.Zone
	Region      state.Region
	Fleet       *state.Fleet
	// Owned returns the status of the upstreams whose leases this daemon holds.
	Owned     func() []protocol.UpstreamStatus
	Catalog   func() *state.Catalog
	Members   Members
	Peers     Exchanger
	Objects   platform.ObjectStore
	Router    routing.Router
	Stats     Stats
	Reporters []Reporter
	Gauges    Gauges
	// SetDraining is called when a drain of this daemon by operators starts or ends.
	SetDraining func(draining bool)
	Clock       func() time.Time
}

// Node serves operators in one daemon. It is safe for concurrent use.
type Node struct {
	opts    Options
	started time.Time
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex                         // guards the fields below; never held across I/O
	observed map[state.UpstreamID]observedState // of owned upstreams
	changes  changeLog
	restarts map[state.UpstreamID][]time.Time
	drains   map[string]protocol.Drain // by key in the object store
	draining bool
	outage   outage
}

// New returns a node that has not been started.
func New(opts Options) *Node {
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		opts:     opts,
		started:  opts.Clock(),
		ctx:      ctx,
		stop:     stop,
		observed: make(map[state.UpstreamID]observedState),
		restarts: make(map[state.UpstreamID][]time.Time),
		drains:   make(map[string]protocol.Drain),
	}
}

// Start starts the loops that observe the owned upstreams and watch the drains.
func (n *Node) Start() {
	n.wg.Add(2)
	go n.observeLoop()
	go n.watchDrains()
}

// Close stops the loops and waits for them.
func (n *Node) Close() {
	n.stop()
	n.wg.Wait()
}

// sleep waits for d or until Close. It reports whether d has passed.
func (n *Node) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
