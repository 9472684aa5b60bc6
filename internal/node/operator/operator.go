// Package operator answers the questions of operators: it reports the state of
// this daemon, collects that of all others, explains decisions and keeps notes
// and drains in the platform.
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
	askTimeout    = 2 * time.Second
	askParallel   = 32
	observeEvery  = time.Second
	watchWait     = 30 * time.Second
	retryInterval = time.Second
)

// Members tells which daemons there are.
type Members interface {
	// AllPeers returns all known daemons without self.
	AllPeers() []peer.Peer
	// ZoneOf returns the availability zone of a known daemon, empty for others.
	ZoneOf(id state.DaemonID) state.Zone
}

// Exchanger sends a message to a peer and decodes its answer.
type Exchanger interface {
	Exchange(ctx context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error
}

// Reporter reports conditions of one part of the daemon.
type Reporter interface {
	Conditions(now time.Time) []protocol.Condition
}

// Stats are the recent requests that this daemon took from callers.
type Stats interface {
	Ranks(now time.Time, ranks []state.RankInfo) []protocol.RankStatus
	Classes(now time.Time, ranks []state.RankInfo) []protocol.ClassStatus
}

// Gauges take the figures of this daemon.
type Gauges interface {
	SetRevision(revision uint64)
	SetOwned(n int)
}

// Options sets up a Node.
type Options struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Zone        state.Zone
	Region      state.Region
	Fleet       *state.Fleet
	// Owned returns the upstreams that this daemon owns.
	Owned     func() []protocol.UpstreamStatus
	Catalog   func() *state.Catalog
	Members   Members
	Peers     Exchanger
	Objects   platform.ObjectStore
	Router    routing.Router
	Stats     Stats
	Reporters []Reporter
	Gauges    Gauges
	// SetDraining is told whether operators drain this daemon.
	SetDraining func(draining bool)
	Clock       func() time.Time
}

// Node is the operators' part of one daemon. It is safe for concurrent use.
type Node struct {
	opts    Options
	started time.Time
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex // guards all below; never held across I/O
	observed map[state.UpstreamID]observation
	changes  changeLog
	restarts map[state.UpstreamID][]time.Time
	drains   map[string]protocol.Drain // by key of the object
	draining bool
	outage   outage
}

// New returns a node that is not running.
func New(opts Options) *Node {
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		opts:     opts,
		started:  opts.Clock(),
		ctx:      ctx,
		stop:     stop,
		observed: make(map[state.UpstreamID]observation),
		restarts: make(map[state.UpstreamID][]time.Time),
		drains:   make(map[string]protocol.Drain),
	}
}

// Start runs the loops until Close.
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

// pause waits for d or until Close. It reports whether the node still runs.
func (n *Node) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
