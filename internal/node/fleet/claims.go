package fleet

import (
	"cmp"
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/state"
)

// claimEngines writes the holder records that are due, and starts the workers of engines that
// it claims.
func (n *Node) claimEngines() {
	for _, h := range n.dueClaims(n.opts.Clock()) {
		askedAt := n.opts.BootClock()
		got, err := n.opts.Store.PutHolder(n.ctx, h)
		if err != nil {
			n.logErr("engine not claimed", err, slog.String("upstream", string(h.Engine)), slog.String("from", h.PreviousVM))
			continue
		}
		n.opts.Log.Event("engine claimed", slog.String("upstream", string(h.Engine)), slog.String("from", h.PreviousVM), slog.Uint64("fence", got.Revision))
		lease := holders.Lease{RenewedAt: askedAt}
		if h.PreviousVM != "" {
			lease = holders.AfterTakeover(n.opts.BootClock(), n.opts.MinHandoverInterval)
		}
		n.mu.Lock()
		n.holders[h.Engine] = got
		if w := n.workers[h.Engine]; w != nil && h.PreviousVM == "" {
			w.renewLease(askedAt, got)
		} else {
			n.startWorker(got, lease)
		}
		n.mu.Unlock()
	}
}

// dueClaims returns the holder records that this daemon should write now: to write the record of a
// lease again that the store has lost, to take an engine back whose takeover is not complete, to claim the
// lease of an engine, or to mark a takeover as complete.
func (n *Node) dueClaims(now time.Time) []Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noticeStall(now)
	if n.revisions.Records == 0 || n.leaving {
		return nil
	}
	era := state.EraOf(n.revisions.Records)
	var due []Holder
	for id, w := range n.workers {
		if n.mustRewrite(w) {
			due = append(due, Holder{Engine: id, VM: n.opts.Self.VM, Era: era, Revision: n.holders[id].Revision})
		}
	}
	engines := n.engines()
	for _, u := range engines {
		if h := n.holders[u.ID]; n.canTakeBack(now, h) {
			due = append(due, Holder{Engine: u.ID, VM: n.opts.Self.VM, Era: era, Revision: h.Revision})
		}
	}
	if !n.storeReachable || now.Sub(n.storeRegainedAt) < holders.ClaimDelay {
		return due
	}
	self := holders.Daemon{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone}
	daemons := n.claimView(now)
	for _, u := range engines {
		h := n.holders[u.ID]
		w := n.workers[u.ID]
		isLost := h.VM == "" && n.mayLeaseBeLost()
		switch {
		case n.canTakeBack(now, h), w != nil && n.mustRewrite(w), isLost && n.opts.BootClock()-n.era.since < rewriteDelay:
		case holders.ShouldClaim(self, u.ID, u.Zone, h.VM, daemons):
			claim := Holder{Engine: u.ID, VM: self.VM, PreviousVM: cmp.Or(h.PreviousVM, h.VM), Era: era, Revision: h.Revision}
			switch {
			case isLost, h.VM != "" && !n.isCurrent(h):
				claim.PreviousVM = lostHolder
			case claim.PreviousVM == self.VM:
				claim.PreviousVM = "" // nobody else has ordered since
			}
			due = append(due, claim)
		case w != nil && h.VM == self.VM && h.PreviousVM != "" && w.isCompletable():
			due = append(due, Holder{Engine: u.ID, VM: self.VM, Era: era, Revision: h.Revision})
		}
	}
	return due
}

// canTakeBack reports whether this daemon may take an engine back at once: another one has claimed it from this daemon, and
// its takeover is not complete. Both write on condition of the same revision, so that only one of them orders.
// While the two do not hear from each other, the claimant would claim the engine again. The caller holds the lock.
func (n *Node) canTakeBack(now time.Time, h Holder) bool {
	if h.PreviousVM != n.opts.Self.VM || h.VM == n.opts.Self.VM || !n.isCurrent(h) {
		return false
	}
	m := n.members[h.VM]
	return m != nil && m.contacted && now.Sub(m.lastHeard) < relays.SilentAfter
}

// isCurrent reports whether a record says who has ordered last: it was written in this era of the store, or the leases of
// earlier eras have ended. The caller holds the lock.
func (n *Node) isCurrent(h Holder) bool { return h.Era >= n.era.newest || !n.mayLeaseBeLost() }

// reconcileWorkers starts and stops workers so that they match the holder records.
func (n *Node) reconcileWorkers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.revisions.Records == 0 {
		return
	}
	for _, u := range n.engines() {
		h, ok := n.holders[u.ID]
		if !ok || h.VM != n.opts.Self.VM {
			continue
		}
		// A pending record that is newer than the worker is from the store's copy: the takeover begins anew.
		if w := n.workers[u.ID]; w == nil || h.PreviousVM != "" && w.isOlderThan(h) && !n.mustRewrite(w) {
			n.startWorker(h, n.leaseOf(h))
		}
	}
	for id, w := range n.workers {
		h, ok := n.holders[id]
		if u := n.opts.View.Upstream(id); u != nil && (ok && h.VM == n.opts.Self.VM || n.mustRewrite(w)) {
			continue
		}
		w.stop()
		delete(n.workers, id)
		n.opts.Log.Event("engine released", slog.String("upstream", string(id)))
	}
}

// deleteObsoleteRecords deletes this daemon's holder records of engines that are no longer
// listed. If this daemon reads the store, it also deletes the records of silent daemons. Both
// wait for recordGracePeriod.
func (n *Node) deleteObsoleteRecords() {
	now := n.opts.Clock()
	n.mu.Lock()
	var engines []Holder
	var daemons []Member
	for id, h := range n.holders {
		if n.opts.View.Upstream(id) != nil || h.VM != n.opts.Self.VM {
			delete(n.unlistedSince, id)
			continue
		}
		if n.unlistedSince[id].IsZero() {
			n.unlistedSince[id] = now
		} else if now.Sub(n.unlistedSince[id]) > recordGracePeriod {
			engines = append(engines, h)
		}
	}
	for _, m := range n.members {
		if now.Sub(m.lastHeard) > recordGracePeriod {
			daemons = append(daemons, m.Member)
		}
	}
	n.mu.Unlock()
	for _, h := range engines {
		if err := n.opts.Store.DeleteHolder(n.ctx, h); err != nil {
			n.logErr("record not deleted", err, slog.String("upstream", string(h.Engine)))
		}
	}
	if len(daemons) == 0 || !n.readsStore() {
		return
	}
	for _, m := range daemons {
		if err := n.opts.Store.DeleteMember(n.ctx, m); err != nil {
			n.logErr("record not deleted", err, slog.String("peer", m.VM))
		}
	}
}
