// Package storebudget keeps a daemon's part of the weight store's limits: it asks
// peers for what is missing, answers their asks and hands each engine its share.
package storebudget

import (
	"context"
	"sync"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	interval   = 100 * time.Millisecond
	askTimeout = 100 * time.Millisecond
	silentFor  = 2 * time.Second // a peer that did not answer is not asked
	maxLenders = 8               // peers asked at a time
	burst      = 1               // loads that an engine may start at once after a pause
)

// Engines are the engines that this daemon owns.
type Engines interface {
	StoreDemands() []owner.StoreDemand
	SetStoreBudget(id state.UpstreamID, budget core.StoreBudget)
}

// Peers are the other daemons, those of the own availability zone first.
type Peers interface {
	Lenders() []peer.Peer
	RequestShare(ctx context.Context, to peer.Peer, ask storebudget.ShareRequest) (storebudget.Grant, error)
}

// Options sets up a Node.
type Options struct {
	Limits  storebudget.Limits
	Engines Engines
	Peers   Peers
	Clock   func() time.Time
}

// Node runs a Ledger. It is safe for concurrent use.
type Node struct {
	opts Options

	mu     sync.Mutex // guards the rest; never held across I/O
	ledger *storebudget.Ledger
	owned  map[state.UpstreamID]bool
	silent map[state.DaemonID]time.Time // until when a peer is not asked
	next   int                          // lender that is asked first
}

// New returns a node that owns nothing.
func New(opts Options) *Node {
	return &Node{
		opts:   opts,
		ledger: storebudget.NewLedger(opts.Limits, uint64(opts.Clock().UnixNano())),
		owned:  make(map[state.UpstreamID]bool),
		silent: make(map[state.DaemonID]time.Time),
	}
}

// Run keeps the shares up to date until ctx is done.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		n.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// HandleShareRequest answers the ask of a peer.
func (n *Node) HandleShareRequest(from state.DaemonID, ask storebudget.ShareRequest) storebudget.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.update()
	return n.ledger.HandleRequest(n.opts.Clock(), from, ask)
}

func (n *Node) step(ctx context.Context) {
	n.mu.Lock()
	n.update()
	n.mu.Unlock()
	n.divide()
	n.borrow(ctx)
	n.divide()
}

// update tells the ledger what is owned and wanted. The caller must hold mu.
func (n *Node) update() {
	now := n.opts.Clock()
	owned := make(map[state.UpstreamID]bool)
	for _, d := range n.opts.Engines.StoreDemands() {
		// A share once held stays while this daemon may load: its successor does
		// not count as alone before it may not.
		if !d.MayLoad || !d.Exclusive && !n.owned[d.Upstream] {
			continue
		}
		owned[d.Upstream] = true
		if !n.owned[d.Upstream] {
			n.ledger.AddEngine(now, d.Upstream)
			statelog.Info("Store share of engine taken", "upstream", d.Upstream)
		}
		n.ledger.SetDemand(d.Upstream, storebudget.Demand{Worth: d.Urgency, PendingLoads: d.PendingLoads, LoadsInFlight: d.Loading})
	}
	for id := range n.owned {
		if !owned[id] {
			n.ledger.RemoveEngine(id)
			statelog.Info("Store share of engine given up", "upstream", id)
		}
	}
	n.owned = owned
}

// divide hands the engines their shares.
func (n *Node) divide() {
	n.mu.Lock()
	budgets := n.ledger.EngineBudgets(n.opts.Clock())
	n.mu.Unlock()
	for _, b := range budgets {
		n.opts.Engines.SetStoreBudget(b.Upstream, core.StoreBudget{
			Rate:     b.Rate,
			Burst:    burst,
			InFlight: b.InFlight,
			Until:    b.Until,
		})
	}
}

// borrow asks peers, one after the other, for what is missing, and gives back
// what is not needed. It sends nothing when nothing changes.
func (n *Node) borrow(ctx context.Context) {
	for _, lender := range n.lenders() {
		n.mu.Lock()
		sent := n.opts.Clock()
		var ask storebudget.ShareRequest
		needed := sent.After(n.silent[lender.ID]) && n.ledger.NeedsRequest(sent, lender.ID)
		if needed {
			ask = n.ledger.NewRequest(sent, lender.ID)
		}
		n.mu.Unlock()
		if needed {
			n.divide() // the ask gives back what is borrowed
			n.ask(ctx, lender, sent, ask)
		}
	}
}

func (n *Node) ask(ctx context.Context, lender peer.Peer, sent time.Time, ask storebudget.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := n.opts.Peers.RequestShare(ctx, lender, ask)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	if err != nil {
		n.silent[lender.ID] = now.Add(silentFor)
		return
	}
	delete(n.silent, lender.ID)
	n.ledger.HandleGrant(now, sent, lender.ID, grant)
}

// lenders returns the peers to ask now: all of few, some of many in turn.
func (n *Node) lenders() []peer.Peer {
	all := n.opts.Peers.Lenders()
	if len(all) <= maxLenders {
		return all
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	some := make([]peer.Peer, 0, maxLenders)
	for i := range maxLenders {
		some = append(some, all[(n.next+i)%len(all)])
	}
	n.next = (n.next + maxLenders) % len(all)
	return some
}
