package fleet

import (
	"log/slog"
	"maps"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/state"
)

// pollRecords publishes this daemon's own record and reads the records at intervals. It also
// renews this daemon's leases, starts and stops workers, claims engines and deletes obsolete
// records.
func (n *Node) pollRecords() {
	b := storeBackoff{log: n.opts.Log, call: "records"}
	var lastRead time.Time
	isRequested := false
	for n.ctx.Err() == nil {
		if !n.isPublished || n.takeUnlisted() {
			if err := n.opts.Store.PutMember(n.ctx, n.opts.Self); err != nil {
				n.setStoreReachable(n.opts.Clock(), false)
				n.sleep(b.failed(n.opts.Clock(), err))
				continue
			}
			n.isPublished, n.publishedAt = true, n.opts.Clock()
			if n.opts.FirstStart && n.opts.Clock().Sub(n.started) < startupDelay {
				n.sleep(startupRecordsDelay)
			}
		}
		if now := n.opts.Clock(); isRequested || n.needsRecords(now, lastRead) {
			lastRead = now
			if err := n.readRecords(); err != nil {
				n.backOff(b.failed(n.opts.Clock(), err))
				lastRead = time.Time{}
				continue
			}
			b.ok(n.opts.Clock())
		} else if !n.readsStore() {
			n.stopCalling(&b)
		}
		n.reconcileWorkers()
		n.claimEngines()
		n.deleteObsoleteRecords()
		isRequested = n.waitForNextRecords()
	}
}

// readRecords reads the records from the store and applies them.
func (n *Node) readRecords() error {
	askedAt := n.opts.BootClock()
	r, err := n.opts.Store.Records(n.ctx)
	now := n.opts.Clock()
	n.setStoreReachable(now, err == nil)
	if err != nil {
		return err
	}
	if len(r.Unusable) > 0 {
		n.opts.Log.Event("unusable records", slog.Any("names", r.Unusable))
	}
	n.applyRecords(now, r)
	n.isPublished = n.renewLeases(askedAt, r)
	n.syncRefusals(now, r.Refusals)
	return nil
}

// takeUnlisted reports whether the records that are known here lack this daemon's, and have had time to
// contain it. It returns true once for each time that they do.
func (n *Node) takeUnlisted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isUnlisted := n.isUnlisted && n.opts.Clock().Sub(n.publishedAt) > republishDelay
	if isUnlisted {
		n.isUnlisted = false
	}
	return isUnlisted
}

// waitForNextRecords waits for the next round of pollRecords. It reports whether
// RefreshRecords requested the records.
func (n *Node) waitForNextRecords() bool {
	n.sleep(minRecordInterval)
	t := time.NewTimer(recordInterval - minRecordInterval)
	defer t.Stop()
	select {
	case <-n.refreshRequested:
		return true
	case <-t.C:
	case <-n.ctx.Done():
	}
	return false
}

// needsRecords reports whether this daemon must read the records itself: because it reads the
// store for its zone, has no records yet, or must renew its leases.
func (n *Node) needsRecords(now, lastRead time.Time) bool {
	if n.callsStore() {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisions.Records == 0 || len(n.workers) > 0 && now.Sub(lastRead) > holders.RenewInterval
}

// applyRecords updates the peers, the certificates that they may use and the lease holders,
// unless newer records are known.
func (n *Node) applyRecords(now time.Time, r Records) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Revision < n.revisions.Records {
		return
	}
	hasNewEra := isNewEra(r.Revision, n.revisions.Records)
	n.enterEra(state.EraOf(r.Revision), 0)
	n.revisions.Records = r.Revision
	if hasNewEra {
		n.keepMembers(now)
	}
	n.isUnlisted = true
	pins := make(map[state.DaemonID]string, len(r.Members))
	seen := make(map[string]bool, len(r.Members))
	for _, m := range r.Members {
		if m.VM == n.opts.Self.VM {
			if m.Incarnation == n.opts.Self.Incarnation {
				n.listed, n.isUnlisted = m, false
			}
			continue
		}
		old := n.members[m.VM]
		if old != nil && old.Incarnation != m.Incarnation && old.isKept(now) {
			continue
		}
		pins[m.ID()] = m.CertificateHash
		seen[m.VM] = true
		if old == nil || old.Incarnation != m.Incarnation {
			n.members[m.VM] = &member{Member: m, knownSince: now, lastHeard: now, needsVersionsUntil: now.Add(recentVersionsPeriod)}
			n.opts.Log.Event("peer", slog.String("peer", m.VM), slog.String("addr", m.Addr), slog.String("run", m.Incarnation))
		} else {
			old.Member = m
		}
	}
	for vm, m := range n.members {
		switch {
		case seen[vm]:
		case m.isKept(now):
			pins[m.ID()] = m.CertificateHash
		default:
			delete(n.members, vm)
		}
	}
	maps.DeleteFunc(n.heardReads, func(id state.DaemonID, _ uint64) bool {
		return id != n.opts.Self.ID() && id != n.lastRead.by && n.memberOf(id) == nil
	})
	n.opts.Pins.Set(pins)
	position := 0
	for _, m := range r.Members {
		if m.VM < n.opts.Self.VM {
			position++
		}
	}
	n.opts.View.SetDaemons(len(r.Members), position)
	n.applyHolders(r)
}

// applyHolders replaces the records of lease holders, except those that this daemon has written since the read. The caller
// holds the lock.
func (n *Node) applyHolders(r Records) {
	before := n.holders
	n.holders = maps.Clone(r.Holders)
	if n.holders == nil {
		n.holders = make(map[state.UpstreamID]Holder)
	}
	for id, h := range before {
		if h.Revision > r.Revision {
			n.holders[id] = h
		}
	}
}

// beginLeases requests a read of the records if those from a peer name this daemon as the new lease holder of an engine, or
// an engine that it can take back: both begin with this daemon's own read.
func (n *Node) beginLeases() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, h := range n.holders {
		if (h.VM == n.opts.Self.VM && n.workers[id] == nil || n.canTakeBack(n.opts.Clock(), h)) && n.opts.View.Upstream(id) != nil {
			n.RefreshRecords()
			return
		}
	}
}

// renewLeases renews this daemon's leases according to records that it read from the store
// itself, by a call sent at askedAt. It reports whether the records list this incarnation of
// the daemon.
func (n *Node) renewLeases(askedAt time.Duration, r Records) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastReadHolders, n.lastReadAt = r.Holders, askedAt
	for id, w := range n.workers {
		if h, ok := r.Holders[id]; ok && h.VM == n.opts.Self.VM {
			w.renewLease(askedAt, h)
		}
	}
	for _, m := range r.Members {
		if m.VM == n.opts.Self.VM {
			return m.Incarnation == n.opts.Self.Incarnation
		}
	}
	return false
}
