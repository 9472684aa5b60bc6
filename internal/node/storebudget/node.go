// Package storebudget maintains a daemon's share of the weight store's limits. It
// requests shares from peers, answers their requests and applies a budget to each
// engine.
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
	updateInterval     = 100 * time.Millisecond
	requestTimeout     = 100 * time.Millisecond
	unreachableBackoff = 2 * time.Second // before the next request to a peer whose request failed
	maxLenders         = 8               // peers considered in one update
	burst              = 1               // loads that an engine may start at once after an idle time
)

// Engines are the engines whose leases this daemon holds.
type Engines interface {
	// StoreDemands returns the demand of each engine.
	StoreDemands() []owner.StoreDemand
	// SetStoreBudget sets the budget of an engine.
	SetStoreBudget(id state.UpstreamID, budget core.StoreBudget)
}

// Peers are the other daemons.
type Peers interface {
	// Lenders returns the daemons that may lend. Daemons of the own availability zone
	// come first.
	Lenders() []peer.Peer
	// RequestShare sends a request to a peer and returns the peer's grant.
	RequestShare(ctx context.Context, to peer.Peer, request storebudget.ShareRequest) (storebudget.Grant, error)
}

// Options configures a Node.
type Options struct {
	Limits  storebudget.Limits
	Engines Engines
	Peers   Peers
	Clock   func() time.Time
}

// Node runs the ledger of one daemon. It is safe for concurrent use.
type Node struct {
	opts Options

	mu           sync.Mutex // guards the fields below; never held across I/O
	ledger       *storebudget.Ledger
	engines      map[state.UpstreamID]bool    // in the ledger
	backoffUntil map[state.DaemonID]time.Time // by peer whose last request failed
	nextLender   int                          // index of the first lender of the next update
}

// New returns a node whose ledger has no engines.
func New(opts Options) *Node {
	return &Node{
		opts:         opts,
		ledger:       storebudget.NewLedger(opts.Limits, uint64(opts.Clock().UnixNano())),
		engines:      make(map[state.UpstreamID]bool),
		backoffUntil: make(map[state.DaemonID]time.Time),
	}
}

// Run updates the ledger, sends requests to lenders and applies the budgets to the
// engines at a fixed interval until ctx is done.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
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

// HandleShareRequest updates the ledger and answers the request of a peer with a grant.
func (n *Node) HandleShareRequest(from state.DaemonID, request storebudget.ShareRequest) storebudget.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateLedger()
	return n.ledger.HandleRequest(n.opts.Clock(), from, request)
}

// step updates the ledger, sends the requests that are due and applies the budgets.
func (n *Node) step(ctx context.Context) {
	n.mu.Lock()
	n.updateLedger()
	n.mu.Unlock()
	n.applyBudgets()
	n.sendRequests(ctx)
	n.applyBudgets()
}

// updateLedger adds engines to the ledger, removes those on which this daemon may no
// longer load, and sets the demand of each. The caller must hold mu.
func (n *Node) updateLedger() {
	now := n.opts.Clock()
	engines := make(map[state.UpstreamID]bool)
	for _, d := range n.opts.Engines.StoreDemands() {
		// The ledger adds an engine only if this daemon is known to be the only one
		// that may load on it. It keeps the engine for as long as this daemon may load:
		// the next lease holder adds the engine only after that time.
		if !d.MayLoad || !d.Exclusive && !n.engines[d.Upstream] {
			continue
		}
		engines[d.Upstream] = true
		if !n.engines[d.Upstream] {
			n.ledger.AddEngine(now, d.Upstream)
			statelog.Info("Weight store share of engine acquired", "upstream", d.Upstream)
		}
		n.ledger.SetDemand(d.Upstream, storebudget.Demand{Worth: d.Urgency, PendingLoads: d.PendingLoads, LoadsInFlight: d.Loading})
	}
	for id := range n.engines {
		if !engines[id] {
			n.ledger.RemoveEngine(id)
			statelog.Info("Weight store share of engine released", "upstream", id)
		}
	}
	n.engines = engines
}

// applyBudgets divides the usable share among the engines and sets their budgets.
func (n *Node) applyBudgets() {
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

// sendRequests sends, one after the other, the requests that the ledger needs to
// borrow, to renew grants or to return them. It skips peers in backoff and applies the
// reduced budgets before each request.
func (n *Node) sendRequests(ctx context.Context) {
	for _, lender := range n.lenders() {
		n.mu.Lock()
		sent := n.opts.Clock()
		var request storebudget.ShareRequest
		needed := sent.After(n.backoffUntil[lender.ID]) && n.ledger.NeedsRequest(sent, lender.ID)
		if needed {
			request = n.ledger.NewRequest(sent, lender.ID)
		}
		n.mu.Unlock()
		if needed {
			n.applyBudgets() // the request ends the lender's current grant
			n.sendRequest(ctx, lender, sent, request)
		}
	}
}

// sendRequest sends a request and passes the peer's grant to the ledger. If the
// request fails, the peer gets no further request for unreachableBackoff.
func (n *Node) sendRequest(ctx context.Context, lender peer.Peer, sent time.Time, request storebudget.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	grant, err := n.opts.Peers.RequestShare(ctx, lender, request)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	if err != nil {
		n.backoffUntil[lender.ID] = now.Add(unreachableBackoff)
		return
	}
	delete(n.backoffUntil, lender.ID)
	n.ledger.HandleGrant(now, sent, lender.ID, grant)
}

// lenders returns the peers to consider in this update. If there are more than
// maxLenders peers, each call returns the next maxLenders of them in rotation.
func (n *Node) lenders() []peer.Peer {
	all := n.opts.Peers.Lenders()
	if len(all) <= maxLenders {
		return all
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	selected := make([]peer.Peer, 0, maxLenders)
	for i := range maxLenders {
		selected = append(selected, all[(n.nextLender+i)%len(all)])
	}
	n.nextLender = (n.nextLender + maxLenders) % len(all)
	return selected
}
