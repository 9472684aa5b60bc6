package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// The store may come back from an old copy, in a new era. Revisions are compared with their era, so what was read in
// a newer era replaces what was read in an older one. But the copy is older than what daemons know: they write
// their own records again, and believe the copy neither that an upstream which has left is ready, nor that a
// daemon which has since lost a lease still holds it.

const (
	// rewriteDelay is how long into an era the lease of an engine without a record is left to the daemon that
	// held it before. It spans two reads of the records.
	rewriteDelay = 2*recordInterval + time.Second
	// keepMembersFor is how long into an era the daemons that are heard from remain peers without a record.
	keepMembersFor = 5 * time.Second
	// departureTTL is how long an upstream that has left is remembered. The store's copy must not be older.
	departureTTL = 2 * time.Minute
	// departureHold is the number of heartbeats into an era after which an upstream that has left and is listed
	// again is believed to be back. The store drops the entry of a silent upstream after three heartbeats.
	departureHold = 5
	// lostHolder stands for the previous lease holder if the store has lost its record.
	lostHolder = "?"
)

// departure records that a run of an upstream has left: its entry said so, or was gone.
type departure struct {
	startTime int64     // of the run
	era       uint64    // in which it left
	at        time.Time // when this daemon learned of it
}

// eraClock is the newest era of the store that this daemon knows of.
type eraClock struct {
	newest uint64
	since  time.Duration // when a daemon first knew of it, by BootClock
	isSeen bool          // an era is known
}

// enterEra records an era of the store that a daemon has known of for the given time. The caller holds the lock.
func (n *Node) enterEra(era uint64, age time.Duration) {
	now := n.opts.BootClock()
	c := &n.era
	switch {
	case !c.isSeen && n.opts.FirstStart:
		c.since = neverConfirmed // the store has no record yet that could be lost
	case !c.isSeen, era > c.newest:
		c.since = now - max(0, age)
	case era == c.newest:
		c.since = min(c.since, now-max(0, age))
		return
	default:
		return
	}
	if c.isSeen {
		n.opts.Log.Event("store came back from a copy", slog.Uint64("era", era), slog.Uint64("before", c.newest))
	}
	c.newest, c.isSeen = era, true
}

// mayLeaseBeLost reports whether a lease may be held of which the store has lost the record. The holder may order
// until its last renewal in the era before is too old. The caller holds the lock.
func (n *Node) mayLeaseBeLost() bool {
	return n.era.newest > 0 && n.opts.BootClock()-n.era.since < holders.HandoverTime(n.opts.MinHandoverInterval)
}

// isNewEra reports whether a revision is of a newer era than the revision of the present copy, 0 for none.
func isNewEra(revision, present uint64) bool {
	return present > 0 && state.EraOf(revision) > state.EraOf(present)
}

// beginListEra replaces the record of reads by the first one in a new era, and keeps the listed upstreams as lapsed:
// entries that are younger than the store's copy come back as their upstreams write them again. The caller holds
// the lock.
func (n *Node) beginListEra(r readPeriod) {
	n.keepAsLapsed(n.list)
	n.isLapsedByEra = true
	n.reads, n.lastRead = r.Reads, r.last
	n.listEraAt = r.Last
}

// recordDepartures compares the store's list with the one before it, and remembers the upstreams that have left. The
// caller holds the lock.
func (n *Node) recordDepartures(now time.Time, era uint64, isNewEra bool, list []upstreams.Upstream) {
	for id, d := range n.departures {
		if now.Sub(d.at) > departureTTL {
			delete(n.departures, id)
		}
	}
	leave := func(u *upstreams.Upstream) {
		if d, ok := n.departures[u.ID]; !ok || d.startTime != u.StartTime {
			n.departures[u.ID] = departure{startTime: u.StartTime, era: era, at: now}
		}
	}
	listed := make(map[state.UpstreamID]bool, len(list))
	for i := range list {
		u := &list[i]
		listed[u.ID] = true
		if d, ok := n.departures[u.ID]; u.Draining {
			leave(u)
		} else if ok && d.era == era && !isNewEra {
			delete(n.departures, u.ID) // its entry had only lapsed
		}
	}
	for i := range n.list {
		if u := &n.list[i]; !listed[u.ID] && !isNewEra {
			leave(u)
		}
	}
}

// withoutReturns returns the store's list with the upstreams marked as draining that left in an earlier era, and
// which the store lists as ready since it came back from a copy. The caller holds the lock.
func (n *Node) withoutReturns(now time.Time, era uint64, list []upstreams.Upstream) []upstreams.Upstream {
	if now.Sub(n.listEraAt) > departureHold*n.opts.UpstreamHeartbeat {
		return list
	}
	isCopied := false
	for i := range list {
		u := &list[i]
		d, ok := n.departures[u.ID]
		if !ok || u.Draining || d.startTime != u.StartTime || d.era >= era {
			continue
		}
		if !isCopied {
			list, isCopied = slices.Clone(list), true
		}
		list[i].Draining = true
	}
	return list
}

// keepMembers marks the peers that are heard from, so that they stay peers although the store's copy does not have
// their present records. The caller holds the lock.
func (n *Node) keepMembers(now time.Time) {
	for _, m := range n.members {
		if now.Sub(m.lastHeard) < relays.SilentAfter {
			m.keptUntil = now.Add(keepMembersFor)
		}
	}
}

// isKept reports whether a peer remains one without a record.
func (m *member) isKept(now time.Time) bool {
	return now.Before(m.keptUntil) && now.Sub(m.lastHeard) < relays.SilentAfter
}

// mustRewrite reports whether this daemon holds the lease of an engine from an earlier era, and must write the record
// again as the store has lost it. The caller holds the lock.
func (n *Node) mustRewrite(w *worker) bool {
	h, ok := n.holders[w.id]
	if n.revisions.Records == 0 || ok && (h.Era >= n.era.newest || h.VM == n.opts.Self.VM && h.PreviousVM == "") {
		return false
	}
	token, isValid := w.leaseValid()
	return isValid && state.EraOf(token) < state.EraOf(n.revisions.Records)
}

// leaseOf returns the lease with which this daemon starts to order at an engine whose record names it. The caller
// holds the lock.
func (n *Node) leaseOf(h Holder) holders.Lease {
	now := n.opts.BootClock()
	if h.PreviousVM != "" || h.Era < n.era.newest && n.mayLeaseBeLost() {
		return holders.AfterTakeover(now, n.opts.MinHandoverInterval)
	}
	// Only this daemon's own read of the records renews a lease, not a peer's copy.
	if n.lastReadHolders[h.Engine] == h {
		return holders.Lease{RenewedAt: n.lastReadAt}
	}
	return holders.Lease{RenewedAt: now - holders.LeaseDuration}
}

// eraOf returns the era that a peer's revisions name, which may be those of older copies.
func eraOf(k protocol.StoreRevisions) uint64 {
	return max(k.Era, state.EraOf(k.Upstreams), state.EraOf(k.Records))
}
