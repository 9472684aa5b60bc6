package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// One relay of each zone reads the store, and the other daemons receive its data by
	// gossip. With these intervals, an upstream that announces that it leaves is drained
	// everywhere within two seconds.

	// upstreamInterval is the interval between reads of the list of upstreams.
	upstreamInterval = time.Second
	// recordInterval is the interval between reads of the records, minRecordInterval the
	// minimum interval if a read is requested.
	recordInterval    = 1500 * time.Millisecond
	minRecordInterval = 300 * time.Millisecond
	// staleAfter is the age of the list of upstreams above which a daemon reads the store
	// itself, even if a relay reads it for the zone.
	staleAfter = 1500 * time.Millisecond
	// relayCheckInterval is the interval at which a daemon that does not read the store
	// checks whether it should.
	relayCheckInterval = 150 * time.Millisecond
	// startupDelay is how long a starting daemon waits for data from its relay, in a large
	// fleet or when all daemons start for the first time.
	startupDelay = time.Second
	// startupRecordsDelay is how long a daemon waits for its peers to publish their records
	// when all daemons start for the first time.
	startupRecordsDelay = 400 * time.Millisecond
	// watchTimeout limits how long a broken watch hides a change: its connection may be
	// silently dead, or the store may have compacted the history that it needs.
	watchTimeout = 2 * time.Second
	// republishDelay is how long after it has written its own record a daemon does not write it again, as the
	// records that it receives from peers may be older.
	republishDelay = 3 * time.Second
	// minBackoff and maxBackoff limit the pause, without jitter, after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// storeBackoff is the backoff of one loop that calls the store. It logs when the store is
// lost and regained.
type storeBackoff struct {
	log   *decisionlog.Log
	call  string
	pause time.Duration
	since time.Time // of the first failure
}

// failed returns the pause after a failed call, with jitter. It logs the first failure in a
// row.
func (b *storeBackoff) failed(now time.Time, err error) time.Duration {
	if b.pause == 0 {
		b.since = now
		b.log.Event("store lost", slog.String("call", b.call), slog.String("err", err.Error()))
	}
	b.pause = min(max(minBackoff, b.pause*2), maxBackoff)
	return b.pause/2 + time.Duration(rand.Int64N(int64(b.pause)))
}

// ok resets the backoff after a successful call, and logs it if the call before failed.
func (b *storeBackoff) ok(now time.Time) {
	if b.pause > 0 {
		b.log.Event("store regained", slog.String("call", b.call), slog.Duration("after", now.Sub(b.since)))
	}
	b.pause = 0
}

// stopped resets the backoff of a loop that calls the store no more, and reports whether its
// last call had failed.
func (b *storeBackoff) stopped() bool {
	if b.pause == 0 {
		return false
	}
	b.log.Event("store no longer called", slog.String("call", b.call))
	b.pause = 0
	return true
}

// sleep waits for d, or until the node is closed.
func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

// readsStore reports whether this daemon should read the store, because it is the relay that
// reads for its zone or because the data from its peers is stale or absent.
func (n *Node) readsStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readsStoreLocked(n.opts.Clock())
}

// callsStore reports whether this daemon should call the store for the data of a watch or for
// the records. During an outage, a daemon that can rely on its relays probes the store only by
// reading the list of upstreams.
func (n *Node) callsStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	return n.readsStoreLocked(now) && (n.storeReachable || !n.hasProbingRelays(now))
}

// hasProbingRelays reports whether this daemon can leave it to the relays of its zone to notice
// the end of an outage of the store. It can in a large fleet, unless it is a relay itself or
// hears from no relay. The caller holds the lock.
func (n *Node) hasProbingRelays(now time.Time) bool {
	if n.isSmall() {
		return false
	}
	names := relays.Of(n.opts.Self.Zone, n.relayView(now))
	return len(names) > 0 && !slices.Contains(names, n.opts.Self.VM)
}

// backOff waits after a failed call of the store. A daemon that can rely on its relays waits
// longer, in proportion to the fleet, so that the total number of calls does not grow with the
// fleet. The wait is cut short if the daemon becomes a relay.
func (n *Node) backOff(pause time.Duration) {
	for begin := n.opts.Clock(); n.ctx.Err() == nil; {
		n.mu.Lock()
		now := n.opts.Clock()
		wait := pause
		if n.hasProbingRelays(now) {
			wait = pause * time.Duration(len(n.members)) / relays.SmallFleet
		}
		n.mu.Unlock()
		left := wait - now.Sub(begin)
		if left <= 0 {
			return
		}
		n.sleep(min(left, relayCheckInterval))
	}
}

// readsStoreLocked is readsStore for callers that hold the lock.
func (n *Node) readsStoreLocked(now time.Time) bool {
	isStarting := now.Sub(n.started) < startupDelay && (n.opts.FirstStart || !n.isSmall())
	switch {
	case isStarting && n.revisions.Records == 0:
		return false
	case n.revisions.Upstreams == 0 && !isStarting, now.Sub(n.reads.Last) > staleAfter && !isStarting:
		return true
	}
	// A relay that cannot reach the store is passed over, so that the zone does not wait
	// until its data is stale.
	for _, vm := range relays.Of(n.opts.Self.Zone, n.relayView(now)) {
		if m := n.members[vm]; m == nil || !m.state.StoreUnreachable {
			return vm == n.opts.Self.VM
		}
	}
	return false
}

// Names of the watches.
const (
	watchedConfig   = "configuration"
	watchedVersions = "adapter versions"
)

// watch calls next in a loop while this daemon reads the store. The argument of next is the
// revision to continue from, or 0 to read the whole object. It is 0 at first, after an error,
// after restartWatch, and after a time in which this daemon did not read the store.
func (n *Node) watch(name string, next func(ctx context.Context, at uint64) (uint64, error)) {
	b := storeBackoff{log: n.opts.Log, call: name}
	var at uint64
	for n.ctx.Err() == nil {
		if !n.callsStore() {
			at = 0
			n.sleep(relayCheckInterval)
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		n.mu.Lock()
		n.watchCancels[name] = cancel
		n.mu.Unlock()
		revision, err := next(ctx, at)
		isRestarted := ctx.Err() != nil
		cancel()
		switch {
		case isRestarted:
			at = 0
		case err != nil:
			at = 0 // changes may have been missed
			n.backOff(b.failed(n.opts.Clock(), err))
		default:
			b.ok(n.opts.Clock())
			at = revision
		}
	}
}

// restartWatch makes a watch, if it is running, read its whole object again because it may
// have missed changes. The caller holds the lock.
func (n *Node) restartWatch(name, reason string) {
	if cancel := n.watchCancels[name]; cancel != nil {
		n.opts.Log.Event("reading anew", slog.String("call", name), slog.String("reason", reason))
		cancel()
		delete(n.watchCancels, name)
	}
}

// pollUpstreams reads the list of upstreams at intervals.
func (n *Node) pollUpstreams() {
	b := storeBackoff{log: n.opts.Log, call: "upstreams"}
	for n.ctx.Err() == nil {
		if !n.readsStore() {
			n.stopCalling(&b)
			n.sleep(relayCheckInterval)
			continue
		}
		askedAt := n.opts.Clock()
		list, err := n.opts.Store.Upstreams(n.ctx)
		now := n.opts.Clock()
		n.setStoreReachable(now, err == nil)
		if err != nil {
			n.backOff(b.failed(now, err))
			continue
		}
		b.ok(now)
		if len(list.Unusable) > 0 {
			n.opts.Log.Event("unusable upstream entries", slog.Any("names", list.Unusable))
		}
		n.applyUpstreams(now, askedAt, list.Revision, list.Upstreams)
		n.reconcileWorkers()
		n.sleep(upstreamInterval)
	}
}

// applyUpstreams applies a list of upstreams that this daemon requested from the store at askedAt. If
// a newer list is known, only the time of the request is recorded. An upstream that is not on the
// list has left, unless its entry lapsed in an outage of the store.
func (n *Node) applyUpstreams(now, askedAt time.Time, revision uint64, list []upstreams.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.enterEra(state.EraOf(revision), 0)
	n.setUpstreams(now, n.ownRead(askedAt), revision, list)
}

// setUpstreams records reads of the store, and replaces the list of upstreams by the list that they found
// unless a newer one is known. The caller holds the lock.
func (n *Node) setUpstreams(now time.Time, r readPeriod, revision uint64, list []upstreams.Upstream) {
	present, era := n.revisions.Upstreams, state.EraOf(revision)
	hasNewEra := isNewEra(revision, present)
	switch {
	case isNewEra(present, revision):
		return // says nothing of the store's present objects
	case hasNewEra:
		n.beginListEra(r)
	default:
		n.recordReads(now, r)
	}
	if revision < present {
		return
	}
	n.recordDepartures(now, era, hasNewEra, list)
	n.revisions.Upstreams = revision
	n.list = n.withoutReturns(now, era, list)
	n.pruneLapsed()
	n.expireLapsed(now)
	n.showUpstreams(now)
}

// setStoreReachable records whether the store is taken to be reachable: whether the last call of
// it succeeded. When the store is regained, it restarts the watches.
func (n *Node) setStoreReachable(now time.Time, isReachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if isReachable && !n.storeReachable {
		n.storeRegainedAt = now
		n.restartWatch(watchedConfig, "store regained")
		n.restartWatch(watchedVersions, "store regained")
	}
	n.storeReachable = isReachable
}

// stopCalling is called while another daemon reads the store and a loop does not call it. If the
// last call of the loop failed, the failure says nothing about the store any more: it must not
// be taken for a present one later.
func (n *Node) stopCalling(b *storeBackoff) {
	if b.stopped() {
		n.setStoreReachable(n.opts.Clock(), true)
	}
}
