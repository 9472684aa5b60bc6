package ownership

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// runActions carries out the actions of a core. Calls run in the background. The caller must
// hold mu.
func (n *Node) runActions(e *entry, actions []ownership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ownership.Read:
			n.background(func(ctx context.Context) func() {
				event := n.readRecord(ctx, e.upstream.ID)
				return func() { n.handleEvent(e, event) }
			})
		case ownership.Write:
			n.background(func(ctx context.Context) func() {
				ctx = platform.WithPriority(ctx, platform.PriorityOwnership)
				outcome, version := writeObject(ctx, n.opts.Objects, ownerKey(e.upstream.ID), a.Record, a.Base)
				return func() { n.handleEvent(e, ownership.WriteDone{Outcome: outcome, Version: version}) }
			})
		case ownership.RaiseFence:
			n.background(func(ctx context.Context) func() {
				event := n.raiseFence(ctx, e.upstream, a.Epoch)
				return func() { n.handleEvent(e, event) }
			})
		case ownership.RequestPromises:
			n.requestPromises(e, a.Pending)
		case ownership.UnloadDecision:
			n.deliverDecision(e, a)
		}
	}
}

// deliverDecision passes the decision on an unload to the caller of AskUnload. If the caller
// is gone, deliverDecision ends a granted unload at once. The caller must hold mu.
func (n *Node) deliverDecision(e *entry, a ownership.UnloadDecision) {
	waiter := e.unloadWaiters[a.Adapter]
	delete(e.unloadWaiters, a.Adapter)
	switch {
	case waiter != nil:
		waiter <- a.Granted
	case a.Granted:
		n.handleEvent(e, ownership.UnloadEnded{Adapter: a.Adapter})
	}
}

// readRecord reads the ownership record of an upstream.
func (n *Node) readRecord(ctx context.Context, id state.UpstreamID) ownership.ReadDone {
	var record ownership.Record
	ctx = platform.WithPriority(ctx, platform.PriorityOwnership)
	version, found, err := readObject(ctx, n.opts.Objects, ownerKey(id), &record)
	return ownership.ReadDone{OK: err == nil, Found: found, Version: version, Record: record}
}

// raiseFence gives the epoch to the engine as its lowest accepted fencing token.
func (n *Node) raiseFence(ctx context.Context, u *state.Upstream, epoch state.Epoch) ownership.RaiseFenceDone {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fence, err := n.opts.Upstream.RaiseFence(ctx, u, epoch)
	if fence.Rejected {
		statelog.Info("Engine rejected the fencing token", "upstream", u.ID, "epoch", epoch)
	}
	return ownership.RaiseFenceDone{OK: err == nil, Rejected: fence.Rejected, Boot: fence.Boot, Epoch: epoch}
}

// requestPromises asks the peers that may break this daemon's lease to promise to honor a
// pending unload, and passes the result to the core. It stops at the first peer that gives
// no promise.
func (n *Node) requestPromises(e *entry, pending ownership.PendingUnload) {
	peers := n.holder.PotentialBreakers()
	n.background(func(ctx context.Context) func() {
		ok := true
		for _, peer := range peers {
			ask := protocol.OwnershipRequest{
				Action: protocol.PromiseUnload, Upstream: e.upstream.ID, Pending: pending, Incarnation: peer.Incarnation,
			}
			ok = ok && n.query(ctx, peer.Daemon, ask)
		}
		return func() { n.handleEvent(e, ownership.PromiseResult{Adapter: pending.Adapter, OK: ok}) }
	})
}

// query sends a query to another daemon. It reports whether the daemon has answered yes.
func (n *Node) query(ctx context.Context, to state.DaemonID, ask protocol.OwnershipRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := n.opts.Asker.Ask(ctx, to, ask)
	return err == nil && answer.OK
}

// queryOwners asks the current owner to release an upstream that this daemon should own. If
// this daemon is the owner, it asks the daemons with unresolved claims whether they have
// stopped using the upstream. The queries are sent at most once in queryInterval. The
// caller must hold mu.
func (n *Node) queryOwners(e *entry) {
	now := n.opts.Clock()
	if now.Before(e.queriedAt.Add(queryInterval)) {
		return
	}
	if s, blocked := e.core.BlockingSession(); blocked && s.Daemon != n.opts.Self {
		e.queriedAt = now
		ask := protocol.OwnershipRequest{Action: protocol.ReleaseUpstream, Upstream: e.upstream.ID, Incarnation: s.Incarnation}
		n.background(func(ctx context.Context) func() {
			n.query(ctx, s.Daemon, ask)
			return func() {}
		})
	}
	for _, claim := range e.core.UnresolvedClaims() {
		e.queriedAt = now
		if claim.Session.SameIncarnation(n.holder.Session()) {
			if n.opts.Owner.Idle(e.upstream.ID) && !e.core.HasUnloadInFlight() {
				n.handleEvent(e, ownership.ClaimResolved{Claim: claim})
			}
			continue
		}
		ask := protocol.OwnershipRequest{
			Action: protocol.ConfirmClaimEnded, Upstream: e.upstream.ID, Claim: claim, Incarnation: claim.Session.Incarnation,
		}
		n.background(func(ctx context.Context) func() {
			stopped := n.query(ctx, claim.Session.Daemon, ask)
			return func() {
				if stopped {
					n.handleEvent(e, ownership.ClaimResolved{Claim: claim})
				}
			}
		})
	}
}

// HandleAsk answers a query of another daemon. The answer is no if the upstream is unknown
// or the query is addressed to another incarnation of this daemon.
func (n *Node) HandleAsk(from state.DaemonID, ask protocol.OwnershipRequest) protocol.OwnershipReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[ask.Upstream]
	if e == nil || ask.Incarnation != n.opts.Incarnation {
		return protocol.OwnershipReply{}
	}
	switch ask.Action {
	case protocol.ReleaseUpstream:
		n.handleEvent(e, ownership.RefreshRecord{})
		return protocol.OwnershipReply{OK: true}
	case protocol.PromiseUnload:
		if ask.Pending.Claim.Session.Daemon != from {
			return protocol.OwnershipReply{}
		}
		n.handleEvent(e, ownership.UnloadNotice{Pending: ask.Pending})
		w := n.watchers[ask.Pending.Claim.Session]
		breaking := w != nil && w.Breaking()
		return protocol.OwnershipReply{OK: e.core.HonorsUnload(ask.Pending) && !breaking}
	case protocol.ConfirmClaimEnded:
		return protocol.OwnershipReply{OK: n.hasStopped(e, ask.Claim)}
	}
	return protocol.OwnershipReply{}
}

// hasStopped reports whether this daemon has nothing in flight under a claim and never will
// again. If the last known record still names the claim, hasStopped returns false and makes
// the core read the record again. The caller must hold mu.
func (n *Node) hasStopped(e *entry, claim ownership.Claim) bool {
	record, known := e.core.Record()
	if known && record.Claim() == claim && !record.Released {
		n.handleEvent(e, ownership.RefreshRecord{})
		return false
	}
	return !e.owned && !e.core.HasUnloadInFlight() && n.opts.Owner.Idle(e.upstream.ID)
}
