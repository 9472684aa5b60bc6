package ownership

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// runCore starts the calls that a core asks for. The caller must hold mu.
func (n *Node) runCore(e *entry, actions []ownership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ownership.Read:
			n.background(func(ctx context.Context) func() {
				event := n.readRecord(ctx, e.u.ID)
				return func() { n.feed(e, event) }
			})
		case ownership.Write:
			n.background(func(ctx context.Context) func() {
				ctx = platform.WithPriority(ctx, platform.PriorityOwnership)
				outcome, version := writeObject(ctx, n.opts.Objects, ownerKey(e.u.ID), a.Record, a.Base)
				return func() { n.feed(e, ownership.WriteDone{Outcome: outcome, Version: version}) }
			})
		case ownership.RaiseFence:
			n.background(func(ctx context.Context) func() {
				event := n.raiseFence(ctx, e.u, a.Epoch)
				return func() { n.feed(e, event) }
			})
		case ownership.RequestPromises:
			n.askPeers(e, a.Pending)
		case ownership.UnloadDecision:
			n.answer(e, a)
		}
	}
}

// answer hands a permission to the caller of AskUnload. If it has given up, the
// permission is returned.
func (n *Node) answer(e *entry, a ownership.UnloadDecision) {
	c := e.awaiting[a.Adapter]
	delete(e.awaiting, a.Adapter)
	switch {
	case c != nil:
		c <- a.Granted
	case a.Granted:
		n.feed(e, ownership.UnloadEnded{Adapter: a.Adapter})
	}
}

func (n *Node) readRecord(ctx context.Context, id state.UpstreamID) ownership.ReadDone {
	var record ownership.Record
	ctx = platform.WithPriority(ctx, platform.PriorityOwnership)
	version, found, err := readObject(ctx, n.opts.Objects, ownerKey(id), &record)
	return ownership.ReadDone{OK: err == nil, Found: found, Version: version, Record: record}
}

func (n *Node) raiseFence(ctx context.Context, u *state.Upstream, epoch state.Epoch) ownership.RaiseFenceDone {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fence, err := n.opts.Upstream.RaiseFence(ctx, u, epoch)
	if fence.Rejected {
		statelog.Info("Engine refused the fencing number", "upstream", u.ID, "epoch", epoch)
	}
	return ownership.RaiseFenceDone{OK: err == nil, Rejected: fence.Rejected, Boot: fence.Boot, Epoch: epoch}
}

// askPeers collects the promises of all peers that may break this daemon's lease.
func (n *Node) askPeers(e *entry, pending ownership.PendingUnload) {
	breakers := n.holder.PotentialBreakers()
	n.background(func(ctx context.Context) func() {
		ok := true
		for _, run := range breakers {
			ask := protocol.OwnershipAsk{
				Question: protocol.AskPromise, Upstream: e.u.ID, Pending: pending, Run: run.Incarnation,
			}
			ok = ok && n.ask(ctx, run.Daemon, ask)
		}
		return func() { n.feed(e, ownership.PromiseResult{Adapter: pending.Adapter, OK: ok}) }
	})
}

func (n *Node) ask(ctx context.Context, to state.DaemonID, ask protocol.OwnershipAsk) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.opts.Asker.Ask(ctx, to, ask)
	return err == nil && answer.OK
}

// resolve asks the earlier owners of an upstream whether they have stopped, and the
// present one to release it. The caller must hold mu.
func (n *Node) resolve(e *entry) {
	now := n.opts.Clock()
	if now.Before(e.askedAt.Add(askInterval)) {
		return
	}
	if s, waits := e.core.BlockingSession(); waits && s.Daemon != n.opts.Self {
		e.askedAt = now
		ask := protocol.OwnershipAsk{Question: protocol.AskRelease, Upstream: e.u.ID, Run: s.Incarnation}
		n.background(func(ctx context.Context) func() {
			n.ask(ctx, s.Daemon, ask)
			return func() {}
		})
	}
	for _, claim := range e.core.UnresolvedClaims() {
		e.askedAt = now
		if claim.Session.SameIncarnation(n.holder.Session()) {
			if n.opts.Owner.Idle(e.u.ID) && !e.core.HasUnloadInFlight() {
				n.feed(e, ownership.ClaimResolved{Claim: claim})
			}
			continue
		}
		ask := protocol.OwnershipAsk{
			Question: protocol.AskResolved, Upstream: e.u.ID, Claim: claim, Run: claim.Session.Incarnation,
		}
		n.background(func(ctx context.Context) func() {
			ok := n.ask(ctx, claim.Session.Daemon, ask)
			return func() {
				if ok {
					n.feed(e, ownership.ClaimResolved{Claim: claim})
				}
			}
		})
	}
}

// HandleAsk answers a question of another daemon.
func (n *Node) HandleAsk(from state.DaemonID, ask protocol.OwnershipAsk) protocol.OwnershipAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[ask.Upstream]
	if e == nil || ask.Run != n.opts.Incarnation {
		return protocol.OwnershipAnswer{}
	}
	switch ask.Question {
	case protocol.AskRelease:
		n.feed(e, ownership.RefreshRecord{})
		return protocol.OwnershipAnswer{OK: true}
	case protocol.AskPromise:
		if ask.Pending.Claim.Session.Daemon != from {
			return protocol.OwnershipAnswer{}
		}
		n.feed(e, ownership.UnloadNotice{Pending: ask.Pending})
		w := n.watchers[ask.Pending.Claim.Session]
		breaking := w != nil && w.Breaking()
		return protocol.OwnershipAnswer{OK: e.core.HonorsUnload(ask.Pending) && !breaking}
	case protocol.AskResolved:
		return protocol.OwnershipAnswer{OK: n.stopped(e, ask.Claim)}
	}
	return protocol.OwnershipAnswer{}
}

// stopped reports that this daemon does nothing by a claim any more. If the record
// here still names the claim, it is read again first.
func (n *Node) stopped(e *entry, claim ownership.Claim) bool {
	record, known := e.core.Record()
	if known && record.Claim() == claim && !record.Released {
		n.feed(e, ownership.RefreshRecord{})
		return false
	}
	return !e.owned && !e.core.HasUnloadInFlight() && n.opts.Owner.Idle(e.u.ID)
}
