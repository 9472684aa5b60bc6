package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/continuity"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// The store drops the entry of an upstream after three heartbeats of silence, and also does so
// while it is unavailable. Upstreams that lapsed in an outage are still usable, and register again
// after it. Every daemon keeps them for itself: what it passes to its peers is the store's list.

// expiryMargin is the number of heartbeats within which no entry can expire after an outage of
// the store has begun: of the three heartbeats of silence, one may lie before the outage.
const expiryMargin = 2

// recordReads records when daemons read the store. After an outage it begins to keep the listed
// upstreams as lapsed; if a peer read the store all the while, it drops those that it kept. The
// caller holds the lock.
func (n *Node) recordReads(now time.Time, r continuity.Reads) {
	before := n.reads
	n.reads = continuity.Merge(before, r, expiryMargin*n.opts.UpstreamHeartbeat)
	switch {
	case before.Last.IsZero():
	case n.reads.Since.After(before.Last):
		n.opts.Log.Event("store was not read", slog.Duration("unread", n.reads.Since.Sub(before.Last)))
		for _, u := range n.list {
			if !u.Draining && !slices.ContainsFunc(n.lapsed, func(l upstreams.Upstream) bool { return l.ID == u.ID }) {
				n.lapsed = append(n.lapsed, u)
			}
		}
	case n.reads.Since.Before(before.Since) && len(n.lapsed) > 0:
		n.opts.Log.Event("store was read by a peer", slog.Duration("read_for", now.Sub(n.reads.Since)))
		n.lapsed = nil
		n.showUpstreams(now)
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
	if len(n.lapsed) > 0 && now.Sub(n.reads.Since) >= n.opts.LapsedGracePeriod {
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
