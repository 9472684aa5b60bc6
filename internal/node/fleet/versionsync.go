package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// recentVersionTTL is for how long after its announcement a version is sent to peers that may not know its age.
	recentVersionTTL = 30 * time.Second
	// maxRecentVersions is the maximum number of recent versions in a message: the last ones that this daemon learned of.
	maxRecentVersions = 64
	// recentVersionsPeriod is how long after a peer was first listed, or was heard from again, messages to it contain
	// recent versions.
	recentVersionsPeriod = 5 * time.Second
	// stallAftermath is how long after a stall of this daemon messages may be read that had waited for its end.
	stallAftermath = time.Second
)

// watchVersions keeps the announced adapter versions up to date.
func (n *Node) watchVersions() {
	n.watch(watchedVersions, func(ctx context.Context, at uint64) (uint64, error) {
		if at > 0 {
			list, revision, err := n.opts.Store.WatchAdapterVersions(ctx, at, watchTimeout)
			if err == nil {
				n.applyStoreVersions(list)
			}
			return revision, err
		}
		list, revision, err := n.opts.Store.AdapterVersions(ctx)
		if err == nil {
			n.applyVersionList(list)
		}
		return revision, err
	})
}

// applyVersionList applies the versions of all adapters in the store. If they are the first ones that this daemon knows,
// it does not know since when they have been announced.
func (n *Node) applyVersionList(list []upstreams.Version) {
	n.mu.Lock()
	isFirst := !n.hasVersions
	n.hasVersions = true
	n.mu.Unlock()
	if !isFirst {
		n.applyStoreVersions(list)
		return
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Age = -1
	}
	n.applyVersions(list)
}

// applyStoreVersions applies versions that the store announced just now, or while this daemon stood still.
func (n *Node) applyStoreVersions(list []upstreams.Version) {
	n.mu.Lock()
	n.noticeStall(n.opts.Clock())
	stall := n.recentStall(n.opts.BootClock())
	n.mu.Unlock()
	if stall > 0 {
		list = slices.Clone(list)
		for i := range list {
			list[i].Age += stall
		}
	}
	n.applyVersions(list)
}

// applyVersions passes announced adapter versions to the view, and those that are newer than the known versions to the
// workers.
func (n *Node) applyVersions(list []upstreams.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range list {
		isNewest := n.opts.View.RecordVersion(v)
		n.recordRecent(v, isNewest)
		if !isNewest {
			continue
		}
		n.opts.Log.Event("adapter version announced", slog.String("adapter", v.Adapter.String()), slog.Int("version", v.Version), slog.Duration("age", v.Age))
		n.revisions.Versions += uint64(v.Version - n.versions[v.Adapter])
		n.versions[v.Adapter] = v.Version
		for _, w := range n.workers {
			w.setNewestVersion(v)
		}
	}
}

// applyPeerVersions applies the versions that a peer sent, and the recent ones among them that may be known here. known is
// the peer's revisions.
func (n *Node) applyPeerVersions(known protocol.StoreRevisions, newer, recent []upstreams.Version) {
	n.applyVersions(newer)
	n.applyVersions(recent)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasVersions = n.hasVersions || known.HasVersions && known.Versions <= n.revisions.Versions
}

// recentVersion is an announcement and its time, by BootClock.
type recentVersion struct {
	upstreams.Version
	at time.Duration
}

// recordRecent records an announcement that is newer than those known before, or an earlier time of a recent one. The
// caller holds the lock.
func (n *Node) recordRecent(v upstreams.Version, isNewest bool) {
	now := n.opts.BootClock()
	n.recentVersions = slices.DeleteFunc(n.recentVersions, func(r recentVersion) bool { return now-r.at >= recentVersionTTL })
	if v.Age < 0 || v.Age >= recentVersionTTL {
		return
	}
	at := now - v.Age
	i := slices.IndexFunc(n.recentVersions, func(r recentVersion) bool { return r.Adapter == v.Adapter && r.Version.Version == v.Version })
	switch {
	case i >= 0:
		n.recentVersions[i].at = min(n.recentVersions[i].at, at)
	case isNewest:
		n.recentVersions = append(n.recentVersions, recentVersion{v, at})
	}
	if len(n.recentVersions) > maxRecentVersions {
		n.recentVersions = slices.Delete(n.recentVersions, 0, 1)
	}
}

// recentVersionsFor returns the recent announcements to send to a peer that may not know their ages. The caller holds the
// lock.
func (n *Node) recentVersionsFor(now time.Time, to *member) []upstreams.Version {
	if !now.Before(to.needsVersionsUntil) {
		return nil
	}
	boot := n.opts.BootClock()
	var list []upstreams.Version
	for _, r := range n.recentVersions {
		if r.Age = boot - r.at; r.Age < recentVersionTTL {
			list = append(list, r.Version)
		}
	}
	return list
}

// recentStall returns the length of the last stall of this daemon if it ended less than stallAftermath ago: what is read
// may be older by as much. The caller holds the lock.
func (n *Node) recentStall(now time.Duration) time.Duration {
	if now-n.stallEnd < stallAftermath {
		return n.stall
	}
	return 0
}
