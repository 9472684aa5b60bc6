package fleet

import (
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/state"
)

// claimEngines writes the holder records that are due, and starts the workers of engines that
// it claims. It returns engines to the lease holders that they were claimed from.
func (n *Node) claimEngines() {
	for _, h := range n.dueClaims(n.opts.Clock()) {
		if h.VM != n.opts.Self.VM {
			n.returnEngine(h)
			continue
		}
		n.mu.Lock()
		replaced := n.holders[h.Engine]
		n.mu.Unlock()
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
		delete(n.replacedRecords, h.Engine)
		if replaced.VM != "" && replaced.VM == h.PreviousVM && replaced.Revision == h.Revision {
			n.replacedRecords[h.Engine] = replaced
		}
		if w := n.workers[h.Engine]; w != nil && h.PreviousVM == "" {
			w.renewLease(askedAt, got)
		} else {
			n.startWorker(got, lease)
		}
		n.mu.Unlock()
	}
}

// returnEngine writes a record that returns an engine to the lease holder from which this daemon has claimed it. The write
// may take effect although it failed, and later: the takeover then goes on with a longer wait.
func (n *Node) returnEngine(h Holder) {
	n.mu.Lock()
	w := n.workers[h.Engine]
	n.mu.Unlock()
	if w == nil || !w.suspend() {
		return
	}
	got, err := n.opts.Store.PutHolder(n.ctx, h)
	if err != nil {
		w.resumeTakeover(n.opts.BootClock() + holders.LeaseDuration + holders.HandoverTime(n.opts.MinHandoverInterval))
		n.logErr("engine not returned", err, slog.String("upstream", string(h.Engine)), slog.String("peer", h.VM))
		return
	}
	n.opts.Log.Event("engine returned", slog.String("upstream", string(h.Engine)), slog.String("peer", h.VM), slog.Uint64("fence", got.Revision))
	n.mu.Lock()
	n.holders[h.Engine] = got
	delete(n.replacedRecords, h.Engine)
	if n.workers[h.Engine] == w {
		w.stop()
		delete(n.workers, h.Engine)
	}
	n.mu.Unlock()
	n.RefreshRecords() // the peer learns of it by gossip
}

// returnRecord returns the record that returns an engine to the lease holder that this daemon claimed it from, if that
// one is heard from again before the takeover is complete. Until then only that holder has given orders, so that
// it need not wait. The caller holds the lock.
func (n *Node) returnRecord(now time.Time, h Holder) (Holder, bool) {
	before, ok := n.replacedRecords[h.Engine]
	if !ok || h.VM != n.opts.Self.VM || h.PreviousVM != before.VM || h.Era < n.era.newest || before.Era < h.Era || !n.hasReturned(now, before.VM) {
		return Holder{}, false
	}
	return Holder{Engine: h.Engine, VM: before.VM, PreviousVM: before.PreviousVM, Era: h.Era, Revision: h.Revision}, true
}

// hasReturned reports whether the daemon of a VM is heard from and can hold leases. The caller holds the lock.
func (n *Node) hasReturned(now time.Time, vm string) bool {
	m := n.members[vm]
	return m != nil && m.contacted && now.Sub(m.lastHeard) < relays.SilentAfter && !m.state.StoreUnreachable && !m.state.Leaving
}

// hasClaimedFrom reports whether this daemon has claimed engines from a VM. The caller holds the lock.
func (n *Node) hasClaimedFrom(vm string) bool {
	for _, before := range n.replacedRecords {
		if before.VM == vm {
			return true
		}
	}
	return false
}

// dueClaims returns the holder records that this daemon should write now: to write the record of a
// lease again that the store has lost, to claim the lease of an engine, to return it, or to mark a takeover as
// complete.
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
	if !n.storeReachable || now.Sub(n.storeRegainedAt) < holders.ClaimDelay {
		return due
	}
	self := holders.Daemon{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone}
	daemons := n.claimView(now)
	for _, u := range n.engines() {
		h := n.holders[u.ID]
		w := n.workers[u.ID]
		isLost := h.VM == "" && n.mayLeaseBeLost()
		returned, mustReturn := n.returnRecord(now, h)
		switch {
		case w != nil && mustReturn && !w.canOrder():
			due = append(due, returned)
		case w != nil && n.mustRewrite(w), isLost && n.opts.BootClock()-n.era.since < rewriteDelay:
		case holders.ShouldClaim(self, u.ID, u.Zone, h.VM, daemons):
			claim := Holder{Engine: u.ID, VM: self.VM, PreviousVM: h.VM, Era: era, Revision: h.Revision}
			if isLost {
				claim.PreviousVM = lostHolder
			}
			due = append(due, claim)
		case w != nil && h.PreviousVM != "" && w.canOrder():
			// The takeover is complete. Without PreviousVM, this daemon need not wait again after
			// a restart.
			due = append(due, Holder{Engine: u.ID, VM: self.VM, Era: era, Revision: h.Revision})
		}
	}
	return due
}

// reconcileWorkers starts and stops workers so that they match the holder records.
func (n *Node) reconcileWorkers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.revisions.Records == 0 {
		return
	}
	for _, u := range n.engines() {
		h, ok := n.holders[u.ID]
		if ok && h.VM == n.opts.Self.VM && n.workers[u.ID] == nil {
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
		delete(n.replacedRecords, id)
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
