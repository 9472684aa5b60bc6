package fleet

import (
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
)

// claim makes this daemon the holder of engines that need one.
func (n *Node) claim() {
	for _, h := range n.claims(n.opts.Clock()) {
		asked := n.opts.BootClock()
		got, err := n.opts.Store.PutHolder(n.ctx, h)
		if err != nil {
			n.logErr("engine not claimed", err, slog.String("upstream", string(h.Engine)), slog.String("from", h.From))
			continue
		}
		n.opts.Log.Event("engine claimed", slog.String("upstream", string(h.Engine)), slog.String("from", h.From), slog.Uint64("fence", got.Revision))
		lease := holders.Lease{RenewedAt: asked}
		if h.From != "" {
			lease = holders.AfterTakeover(n.opts.BootClock(), n.opts.MinHandoverInterval)
		}
		n.mu.Lock()
		n.holders[h.Engine] = got
		if w := n.workers[h.Engine]; w != nil && h.From == "" {
			w.confirm(asked, got)
		} else {
			n.startWorker(got, lease)
		}
		n.mu.Unlock()
	}
}

// claims returns the records to write.
func (n *Node) claims(now time.Time) []Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known.Records == 0 || n.leaving || !n.reached || now.Sub(n.back) < holders.ClaimDelay {
		return nil
	}
	self := holders.Daemon{VM: n.opts.Self.VM, Zone: n.opts.Self.Zone}
	daemons := n.claimView(now)
	var wanted []Holder
	for _, u := range n.engines() {
		h := n.holders[u.ID]
		switch w := n.workers[u.ID]; {
		case holders.ShouldClaim(self, u.ID, u.Zone, h.VM, daemons):
			wanted = append(wanted, Holder{Engine: u.ID, VM: self.VM, From: h.VM, Revision: h.Revision})
		case w != nil && h.From != "" && w.canOrder():
			// The takeover is over: a restart need not wait again.
			wanted = append(wanted, Holder{Engine: u.ID, VM: self.VM, Revision: h.Revision})
		}
	}
	return wanted
}

// reconcile starts and stops the workers of engines.
func (n *Node) reconcile() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known.Records == 0 {
		return
	}
	boot := n.opts.BootClock()
	for _, u := range n.engines() {
		h, ok := n.holders[u.ID]
		if ok && h.VM == n.opts.Self.VM && n.workers[u.ID] == nil {
			// A peer's word on the records is no confirmation.
			lease := holders.Lease{RenewedAt: boot - holders.LeaseDuration}
			if n.ownRecords[u.ID] == h {
				lease.RenewedAt = n.ownAsked
			}
			if h.From != "" {
				lease = holders.AfterTakeover(boot, n.opts.MinHandoverInterval)
			}
			n.startWorker(h, lease)
		}
	}
	for id, w := range n.workers {
		h, ok := n.holders[id]
		if u := n.opts.View.Upstream(id); u != nil && ok && h.VM == n.opts.Self.VM {
			continue
		}
		w.stop()
		delete(n.workers, id)
		n.opts.Log.Event("engine released", slog.String("upstream", string(id)))
	}
}

// sweep deletes the records of engines that are gone, and of daemons, which the first
// relay does.
func (n *Node) sweep() {
	now := n.opts.Clock()
	n.mu.Lock()
	var engines []Holder
	var daemons []Member
	for id, h := range n.holders {
		if n.opts.View.Upstream(id) != nil || h.VM != n.opts.Self.VM {
			delete(n.gone, id)
			continue
		}
		if n.gone[id].IsZero() {
			n.gone[id] = now
		} else if now.Sub(n.gone[id]) > memberGoneAfter {
			engines = append(engines, h)
		}
	}
	for _, m := range n.members {
		if now.Sub(m.heard) > memberGoneAfter {
			daemons = append(daemons, m.Member)
		}
	}
	n.mu.Unlock()
	for _, h := range engines {
		if err := n.opts.Store.DeleteHolder(n.ctx, h); err != nil {
			n.logErr("record not deleted", err, slog.String("upstream", string(h.Engine)))
		}
	}
	if len(daemons) == 0 || !n.follows() {
		return
	}
	for _, m := range daemons {
		if err := n.opts.Store.DeleteMember(n.ctx, m); err != nil {
			n.logErr("record not deleted", err, slog.String("peer", m.VM))
		}
	}
}
