package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/continuity"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// The store drops the entry of an upstream after three heartbeats of silence, and also does so
// while it is unavailable. Upstreams that lapsed in an outage are still usable, and register again
// after it. Every daemon keeps them for itself: what it passes to its peers is the store's list.

// expiryMargin is the number of heartbeats within which no entry can expire after an outage of
// the store has begun: of the three heartbeats of silence, one may lie before the outage.
const expiryMargin = 2

// readID identifies a read of the list of upstreams.
type readID struct {
	by       state.DaemonID
	sequence uint64 // number of reads by that daemon
}

// readPeriod is a period of reads and the last one of them.
type readPeriod struct {
	continuity.Reads
	last readID
}

// ownRead returns a read of the list of upstreams by this daemon. The caller holds the lock.
func (n *Node) ownRead(askedAt time.Time) readPeriod {
	n.ownReads++
	id := readID{n.opts.Self.ID(), n.ownReads}
	n.heardReads[id.by] = id.sequence
	return readPeriod{continuity.At(askedAt), id}
}

// peerReads returns the reads that a peer knows of. Ages don't include the time that a message was on its
// way, so a read seems younger from each further daemon that reports it: what counts is the first report.
// The caller holds the lock.
func (n *Node) peerReads(now time.Time, k protocol.StoreRevisions) readPeriod {
	r, id := readsOf(now, k), readID{k.LastReader, k.ReadSequence}
	switch {
	case id.by == "":
	case n.heardReads[id.by] < id.sequence:
		n.heardReads[id.by] = id.sequence
	case r.Last.After(n.reads.Last):
		r.Last = n.reads.Last
		if r.Since.After(r.Last) {
			r.Since = r.Last
		}
	}
	return readPeriod{r, id}
}

// recordReads records when daemons read the store. After an outage it begins to keep the listed
// upstreams as lapsed; if a peer read the store all the while, it drops those that it kept. The caller
// holds the lock.
func (n *Node) recordReads(now time.Time, r readPeriod) {
	before := n.reads
	n.reads = continuity.Merge(before, r.Reads, expiryMargin*n.opts.UpstreamHeartbeat)
	if n.reads.Last.After(before.Last) {
		n.lastRead = r.last
	}
	switch {
	case before.Last.IsZero():
	case n.reads.Since.After(before.Last):
		n.opts.Log.Event("store was not read", slog.Duration("unread", n.reads.Since.Sub(before.Last)))
		n.keepAsLapsed(n.list)
	case n.reads.Since.Before(before.Since) && len(n.lapsed) > 0 && !n.isLapsedByEra:
		n.opts.Log.Event("store was read by a peer", slog.Duration("read_for", now.Sub(n.reads.Since)))
		n.lapsed = nil
		n.showUpstreams(now)
	}
}

// keepAsLapsed keeps upstreams that are not draining, whose entries may have expired. The caller holds the lock.
func (n *Node) keepAsLapsed(list []upstreams.Upstream) {
	for _, u := range list {
		if !u.Draining && !slices.ContainsFunc(n.lapsed, func(l upstreams.Upstream) bool { return l.ID == u.ID }) {
			n.lapsed = append(n.lapsed, u)
		}
	}
}

// pruneLapsed drops the lapsed upstreams that the store lists again, or whose address it lists.
// The caller holds the lock.
func (n *Node) pruneLapsed() {
	if len(n.lapsed) == 0 {
		return
	}
	n.lapsed = slices.DeleteFunc(n.lapsed, func(l upstreams.Upstream) bool {
		return slices.ContainsFunc(n.list, func(u upstreams.Upstream) bool { return u.ID == l.ID || u.Addr == l.Addr })
	})
}

// expireLapsed drops the lapsed upstreams at the end of LapsedGracePeriod. The caller holds the
// lock.
func (n *Node) expireLapsed(now time.Time) {
	if now.Sub(n.reads.Since) < n.opts.LapsedGracePeriod {
		return
	}
	n.isLapsedByEra = false
	if len(n.lapsed) > 0 {
		n.lapsed = nil
		n.showUpstreams(now)
	}
}

// showUpstreams passes the store's list and the lapsed upstreams to the view. The caller holds the
// lock.
func (n *Node) showUpstreams(now time.Time) {
	list := n.list
	if len(n.lapsed) > 0 {
		list = slices.Concat(n.list, n.lapsed)
	}
	n.opts.View.SetUpstreams(now, list)
	n.opts.View.ConfirmUpstreams(n.reads.Last)
}
