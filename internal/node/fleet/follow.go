package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// One daemon of each zone reads the store; the others learn from the peers what it
	// read, and read for themselves once that is older than staleAfter. An announced
	// leaving is so in effect everywhere within two seconds.
	upstreamInterval = time.Second
	recordInterval   = 1500 * time.Millisecond
	minRecordPause   = 300 * time.Millisecond
	staleAfter       = 1500 * time.Millisecond
	followCheck      = 150 * time.Millisecond
	// In a large fleet, and when all daemons start for the first time, a daemon waits
	// startPatience for what its lead has read, and settleStart for the others' records.
	startPatience = time.Second
	settleStart   = 400 * time.Millisecond
	// watchWait bounds how long a watch that has gone deaf hides a change: its connection
	// may be silent, or the store may have dropped the history under it.
	watchWait  = 2 * time.Second
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// backoff paces the calls of one loop to a store that fails, and logs its loss and return.
type backoff struct {
	log   *decisionlog.Log
	what  string
	pause time.Duration
	since time.Time
}

func (b *backoff) failed(now time.Time, err error) time.Duration {
	if b.pause == 0 {
		b.since = now
		b.log.Event("store lost", slog.String("call", b.what), slog.String("err", err.Error()))
	}
	b.pause = min(max(minBackoff, b.pause*2), maxBackoff)
	return b.pause/2 + time.Duration(rand.Int64N(int64(b.pause)))
}

func (b *backoff) ok(now time.Time) {
	if b.pause > 0 {
		b.log.Event("store regained", slog.String("call", b.what), slog.Duration("after", now.Sub(b.since)))
	}
	b.pause = 0
}

func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

// follows reports whether this daemon reads the store: it does so for its zone, or
// nothing fresh comes from the peers.
func (n *Node) follows() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	patient := now.Sub(n.started) < startPatience && (n.opts.FirstStart || !n.isSmall())
	switch {
	case patient && n.known.Records == 0:
		return false
	case n.known.Upstreams == 0 && !patient, now.Sub(n.storeAt) > staleAfter && !patient:
		return true
	}
	// A relay that the store turns away is passed over, so that the zone does not wait
	// until what it knows is too old.
	for _, vm := range relays.Of(n.opts.Self.Zone, n.relayView(now)) {
		if m := n.members[vm]; m == nil || !m.state.StoreAway {
			return vm == n.opts.Self.VM
		}
	}
	return false
}

// What the watches follow.
const (
	watchConfig   = "configuration"
	watchVersions = "adapter versions"
)

// follow calls next with the revision to go on from, zero to read anew, while this
// daemon follows the store. Reread makes it read anew.
func (n *Node) follow(what string, next func(ctx context.Context, at uint64) (uint64, error)) {
	b := backoff{log: n.opts.Log, what: what}
	var at uint64
	for n.ctx.Err() == nil {
		if !n.follows() {
			at = 0
			n.sleep(followCheck)
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		n.mu.Lock()
		n.rereads[what] = cancel
		n.mu.Unlock()
		revision, err := next(ctx, at)
		reread := ctx.Err() != nil
		cancel()
		switch {
		case reread:
			at = 0
		case err != nil:
			at = 0 // what was missed is read anew
			n.sleep(b.failed(n.opts.Clock(), err))
		default:
			b.ok(n.opts.Clock())
			at = revision
		}
	}
}

// reread makes a watch read anew, as it may have missed changes. The caller holds the lock.
func (n *Node) reread(what, reason string) {
	if cancel := n.rereads[what]; cancel != nil {
		n.opts.Log.Event("reading anew", slog.String("call", what), slog.String("reason", reason))
		cancel()
		delete(n.rereads, what)
	}
}

func (n *Node) followConfig() {
	n.follow(watchConfig, func(ctx context.Context, at uint64) (uint64, error) {
		read := n.opts.Store.Config
		if at > 0 {
			read = func(ctx context.Context) (*routes.Config, uint64, error) {
				return n.opts.Store.WatchConfig(ctx, at, watchWait)
			}
		}
		c, revision, err := read(ctx)
		if err == nil && c != nil {
			n.takeConfig(c)
		}
		return revision, err
	})
}

func (n *Node) takeConfig(c *routes.Config) {
	n.opts.View.SetConfig(c)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known.Config = max(n.known.Config, c.Version)
}

func (n *Node) followVersions() {
	n.follow(watchVersions, func(ctx context.Context, at uint64) (uint64, error) {
		read := n.opts.Store.AdapterVersions
		if at > 0 {
			read = func(ctx context.Context) ([]upstreams.Version, uint64, error) {
				return n.opts.Store.WatchAdapterVersions(ctx, at, watchWait)
			}
		}
		list, revision, err := read(ctx)
		if err == nil {
			n.takeVersions(list)
		}
		return revision, err
	})
}

// takeVersions takes announced versions.
func (n *Node) takeVersions(list []upstreams.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range list {
		if !n.opts.View.SetNewestVersion(v.Adapter, v.Version) {
			continue
		}
		n.opts.Log.Event("adapter version announced", slog.String("adapter", v.Adapter.String()), slog.Int("version", v.Version))
		n.known.Versions += uint64(v.Version - n.versions[v.Adapter])
		n.versions[v.Adapter] = v.Version
		for _, w := range n.workers {
			w.announce(v)
		}
	}
}

func (n *Node) followUpstreams() {
	b := backoff{log: n.opts.Log, what: "upstreams"}
	for n.ctx.Err() == nil {
		if !n.follows() {
			n.sleep(followCheck)
			continue
		}
		asked := n.opts.Clock()
		list, err := n.opts.Store.Upstreams(n.ctx)
		now := n.opts.Clock()
		n.noteReached(now, err == nil)
		if err != nil {
			n.sleep(b.failed(now, err))
			continue
		}
		b.ok(now)
		if len(list.Unusable) > 0 {
			n.opts.Log.Event("unusable upstream entries", slog.Any("names", list.Unusable))
		}
		n.takeUpstreams(now, asked, list.Revision, n.keepLapsed(now, list.Upstreams))
		n.reconcile()
		n.sleep(upstreamInterval)
	}
}

// takeUpstreams takes a list that was asked for at a time, unless a newer one is known.
func (n *Node) takeUpstreams(now, asked time.Time, revision uint64, list []upstreams.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if asked.After(n.storeAt) {
		n.storeAt = asked
	}
	if revision < n.known.Upstreams {
		return
	}
	n.known.Upstreams = revision
	n.list = list
	n.opts.View.SetUpstreams(now, list)
	n.opts.View.ConfirmUpstreams(n.storeAt)
}

// noteReached notes whether a call of the store was answered.
func (n *Node) noteReached(now time.Time, reached bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reached && !n.reached {
		n.back = now
		n.reread(watchConfig, "store regained")
		n.reread(watchVersions, "store regained")
	}
	n.reached = reached
}

// keepLapsed adds the upstreams that vanished during an outage of the store and may
// still come back. It compares with the newest list that any daemon read: to a daemon
// that was turned away alone, those that left meanwhile have not lapsed.
func (n *Node) keepLapsed(now time.Time, list []upstreams.Upstream) []upstreams.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.back) >= n.opts.LapsedGracePeriod {
		return list
	}
	ids := make(map[state.UpstreamID]bool, len(list))
	addrs := make(map[string]bool, len(list))
	for _, u := range list {
		ids[u.ID] = true
		addrs[u.Addr] = true
	}
	for _, u := range n.list {
		if !ids[u.ID] && !addrs[u.Addr] && !u.Draining {
			list = append(list, u)
		}
	}
	return list
}

// followRecords makes this daemon known, reads the records, and confirms the leases
// of the engines that it holds.
func (n *Node) followRecords() {
	b := backoff{log: n.opts.Log, what: "records"}
	var last time.Time
	asked := false
	for n.ctx.Err() == nil {
		if !n.published {
			if err := n.opts.Store.PutMember(n.ctx, n.opts.Self); err != nil {
				n.noteReached(n.opts.Clock(), false)
				n.sleep(b.failed(n.opts.Clock(), err))
				continue
			}
			n.published = true
			if n.opts.FirstStart && n.opts.Clock().Sub(n.started) < startPatience {
				n.sleep(settleStart)
			}
		}
		if now := n.opts.Clock(); asked || n.recordsDue(now, last) {
			last = now
			begin := n.opts.BootClock()
			r, err := n.opts.Store.Records(n.ctx)
			now = n.opts.Clock()
			n.noteReached(now, err == nil)
			if err != nil {
				n.sleep(b.failed(now, err))
				last = time.Time{}
				continue
			}
			b.ok(now)
			n.takeRecords(now, r)
			n.published = n.confirmLeases(begin, r)
		}
		n.reconcile()
		n.claim()
		n.sweep()
		asked = n.recordsPause()
	}
}

// recordsPause waits for the next turn. It reports whether the records were asked for.
func (n *Node) recordsPause() bool {
	n.sleep(minRecordPause)
	t := time.NewTimer(recordInterval - minRecordPause)
	defer t.Stop()
	select {
	case <-n.recordsNow:
		return true
	case <-t.C:
	case <-n.ctx.Done():
	}
	return false
}

// recordsDue says whether the records are to be read: to follow them, or to confirm leases.
func (n *Node) recordsDue(now, last time.Time) bool {
	if n.follows() {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known.Records == 0 || len(n.workers) > 0 && now.Sub(last) > holders.RenewInterval
}

// takeRecords updates peers and holders, unless newer records are known.
func (n *Node) takeRecords(now time.Time, r Records) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Revision < n.known.Records {
		return
	}
	n.known.Records = r.Revision
	pins := make(map[state.DaemonID]string, len(r.Members))
	seen := make(map[string]bool, len(r.Members))
	for _, m := range r.Members {
		pins[m.ID()] = m.Hash
		if m.VM == n.opts.Self.VM {
			if m.Run == n.opts.Self.Run {
				n.listed = m
			}
			continue
		}
		seen[m.VM] = true
		if old := n.members[m.VM]; old == nil || old.Run != m.Run {
			n.members[m.VM] = &member{Member: m, heard: now}
			n.opts.Log.Event("peer", slog.String("peer", m.VM), slog.String("addr", m.Addr), slog.String("run", m.Run))
		} else {
			old.Member = m
		}
	}
	for vm := range n.members {
		if !seen[vm] {
			delete(n.members, vm)
		}
	}
	n.opts.Pins.Set(pins)
	n.opts.View.SetDaemonCount(len(r.Members))
	n.holders = r.Holders
}

// confirmLeases extends the leases of the engines that the records give to this
// daemon. It reports whether this run is listed.
func (n *Node) confirmLeases(asked time.Duration, r Records) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownRecords, n.ownAsked = r.Holders, asked
	for id, w := range n.workers {
		if h, ok := r.Holders[id]; ok && h.VM == n.opts.Self.VM {
			w.confirm(asked, h)
		}
	}
	for _, m := range r.Members {
		if m.VM == n.opts.Self.VM {
			return m.Run == n.opts.Self.Run
		}
	}
	return false
}
