package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/continuity"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// HandlePush applies a push from a peer and returns the reply, which also contains the queued
// demand for the peer. The reply to a relay contains states of daemons, the reply to any other
// daemon a digest of the fleet. A peer that is not listed only gets this daemon's revisions.
func (n *Node) HandlePush(from state.DaemonID, push *protocol.FleetPush) *protocol.FleetReply {
	now := n.opts.Clock()
	n.applyNewer(now, push.Revisions, &push.Update, push.RecentVersions, ConfigOrigin{Way: configByPush, Peer: vmOf(from)})
	n.mu.Lock()
	defer n.mu.Unlock()
	caller := n.memberOf(from)
	if caller == nil {
		return &protocol.FleetReply{Revisions: n.currentRevisions(now)}
	}
	caller.revisions = push.Revisions
	n.confirmByPush(push.Revisions)
	n.applyStates(now, push.States)
	// Decide by this daemon's view: a caller that has lost its peers may consider itself a relay.
	isRelay := slices.Contains(relays.Of(caller.Zone, n.relayView(now)), caller.VM)
	n.markDirect(now, caller, isRelay, push.States)
	n.applyDemand(push.Demand)
	n.applyCrashReports(now, caller, &push.Crashes)
	n.applyRevisions(now, caller.VM, push.Revisions)
	reply := &protocol.FleetReply{
		Crashes:   n.crashReportsFor(now, caller),
		Revisions: n.currentRevisions(now), Demand: n.drainDemandFor(caller), RecentVersions: n.recentVersionsFor(now, caller),
	}
	if isRelay {
		reply.States = append(n.relayedStates(now, caller.Zone), n.ownState(n.opts.View.OwnInFlight()))
	} else {
		reply.TotalInFlight, reply.Engines, reply.MessageAges = n.digest(now, caller.VM)
		reply.RateLimits = n.rateLimits(now)
		reply.Accounts, reply.AllBusyAccounts = n.accountsFor(now, caller)
		reply.LeavingUpstreams = n.leavingUpstreams(now)
		reply.FairLevels = n.accounts.fairLevels
	}
	reply.Update = n.objectsNewerThan(push.Revisions)
	return reply
}

// vmOf returns the VM of a daemon.
func vmOf(id state.DaemonID) string {
	vm, _, _ := strings.Cut(string(id), "/")
	return vm
}

// memberOf returns the peer with an identity, or nil. The caller holds the lock.
func (n *Node) memberOf(id state.DaemonID) *member {
	if m := n.members[vmOf(id)]; m != nil && m.ID() == id {
		return m
	}
	return nil
}

// markDirect marks states that a peer sent as received directly, so that this daemon relays
// them. Of a peer that is not a relay, it marks the peer's own state. Of a relay in another
// zone, unless the fleet is small, it marks all states that the relay sent. The caller holds
// the lock.
func (n *Node) markDirect(now time.Time, from *member, isRelay bool, states []protocol.DaemonState) {
	if !isRelay {
		from.lastDirect = now
		return
	}
	for _, s := range states {
		if m := n.members[s.VM]; m != nil && from.Zone != n.opts.Self.Zone && !n.isSmall() {
			m.lastDirect = now
		}
	}
}

// digest sums up the fleet for a caller that is not a relay. It returns the requests in flight
// of all other daemons, the engine states, and the time since the last message of each VM.
// The caller of digest holds the lock.
func (n *Node) digest(now time.Time, caller string) (map[state.UpstreamID]balance.InFlight, []protocol.EngineState, map[string]time.Duration) {
	own := n.ownState(n.opts.View.OwnInFlight())
	totals := make(map[state.UpstreamID]balance.InFlight)
	engines := slices.Clone(own.Engines)
	ages := map[string]time.Duration{n.opts.Self.VM: 0}
	addInFlight(totals, own.InFlight)
	for _, m := range n.members {
		if m.contacted {
			ages[m.VM] = now.Sub(m.lastHeard)
		}
		if m.VM == caller || now.Sub(m.lastHeard) > daemonStateTTL {
			continue
		}
		addInFlight(totals, m.state.InFlight)
		engines = append(engines, m.state.Engines...)
	}
	return totals, engines, ages
}

// rateLimits returns the limits that upstreams have recently named, with their present age. The
// caller holds the lock.
func (n *Node) rateLimits(now time.Time) map[state.UpstreamID]balance.RateLimit {
	limits := n.opts.View.OwnRateLimits()
	for _, m := range n.members {
		sinceHeard := now.Sub(m.lastHeard)
		if sinceHeard > daemonStateTTL {
			continue
		}
		for id, l := range m.state.RateLimits {
			l.Age += sinceHeard
			if known, ok := limits[id]; ok && known.Age <= l.Age {
				continue
			}
			if limits == nil {
				limits = make(map[state.UpstreamID]balance.RateLimit)
			}
			limits[id] = l
		}
	}
	return limits
}

// addInFlight adds requests in flight to totals.
func addInFlight(totals, inFlight map[state.UpstreamID]balance.InFlight) {
	for id, w := range inFlight {
		sum := totals[id]
		sum.Add(&w)
		totals[id] = sum
	}
}

// objectsNewerThan returns the store's objects of which a peer has an older revision. The
// caller holds the lock.
func (n *Node) objectsNewerThan(known protocol.StoreRevisions) protocol.StoreUpdate {
	var out protocol.StoreUpdate
	if t := n.opts.View.Table(); t != nil && t.Config.Version > known.Config {
		out.Config = t.Config
	}
	if n.revisions.Versions > known.Versions {
		out.Versions = n.opts.View.announcements()
	}
	if n.revisions.Upstreams > known.Upstreams {
		out.Upstreams = n.list
	}
	if n.revisions.Records > known.Records {
		out.Members = append(out.Members, n.listed)
		for _, m := range n.members {
			out.Members = append(out.Members, m.Member)
		}
		for _, h := range n.holders {
			out.LeaseHolders = append(out.LeaseHolders, h)
		}
	}
	return out
}

// applyNewer applies the objects of the store that a peer sent because they are newer there.
// known are the peer's revisions, recent its recent versions, and origin is the way to name in logs.
func (n *Node) applyNewer(now time.Time, known protocol.StoreRevisions, newer *protocol.StoreUpdate, recent []upstreams.Version, origin ConfigOrigin) {
	if newer.Config != nil {
		n.applyConfig(newer.Config, origin)
	}
	if newer.Members != nil {
		r := Records{Revision: known.Records, Members: newer.Members, Holders: make(map[state.UpstreamID]Holder, len(newer.LeaseHolders))}
		for _, h := range newer.LeaseHolders {
			r.Holders[h.Engine] = h
		}
		n.applyRecords(now, r)
		n.beginLeases()
	}
	if newer.Upstreams != nil {
		n.applyPeerUpstreams(now, known, newer.Upstreams)
	}
	n.applyPeerVersions(known, newer.Versions, recent)
}

// applyReply applies a peer's reply to a push of this daemon.
func (n *Node) applyReply(m *member, reply *protocol.FleetReply) {
	now := n.opts.Clock()
	n.applyNewer(now, reply.Revisions, &reply.Update, reply.RecentVersions, ConfigOrigin{Way: configByReply, Peer: m.VM})
	n.mu.Lock()
	defer n.mu.Unlock()
	m.lastHeard, m.contacted, m.revisions = now, true, reply.Revisions
	n.markDirect(now, m, true, reply.States)
	n.applyStates(now, reply.States)
	n.applyDemand(reply.Demand)
	n.applyCrashReports(now, m, &reply.Crashes)
	n.applyRevisions(now, m.VM, reply.Revisions)
	if reply.MessageAges == nil { // a reply to a relay contains states, not a digest
		n.sumAccountsForSelf(now)
		return
	}
	n.opts.View.SetPeerInFlight(relayTotalsID, reply.TotalInFlight)
	n.opts.View.MergeRateLimits(m.VM, reply.RateLimits)
	n.opts.View.setOthersUse(now, reply.Accounts, reply.AllBusyAccounts)
	n.opts.View.MergeLeaving(m.VM, reply.LeavingUpstreams)
	n.opts.View.SetFairLevels(reply.FairLevels)
	for _, e := range reply.Engines {
		n.opts.View.SetEngineState(e)
	}
	for vm, age := range reply.MessageAges {
		if m := n.members[vm]; m != nil {
			m.contacted = true
			if at := now.Add(-age); at.After(m.lastHeard) {
				m.lastHeard = at
			}
		}
	}
}

// applyStates applies those of the states that are newer than the states known here, and marks
// their daemons as heard from. The caller holds the lock.
func (n *Node) applyStates(now time.Time, list []protocol.DaemonState) {
	for _, s := range list {
		m := n.members[s.VM]
		if m == nil || m.Incarnation != s.Incarnation || m.state.Incarnation == s.Incarnation && m.state.Sequence >= s.Sequence {
			continue
		}
		m.state, m.lastHeard, m.contacted = s, now, true
		n.opts.View.SetPeerInFlight(m.ID(), s.InFlight)
		n.opts.View.MergeRateLimits(s.VM, s.RateLimits)
		n.opts.View.MergeLeaving(s.VM, s.LeavingUpstreams)
		for _, e := range s.Engines {
			n.opts.View.SetEngineState(e)
		}
	}
}

// applyRevisions restarts the watches of objects that are newer at a peer than at this daemon.
// If the peer confirmed a list of upstreams that this daemon has as well, it also confirms
// the list here. The caller holds the lock.
func (n *Node) applyRevisions(now time.Time, from string, k protocol.StoreRevisions) {
	if k.Era > 0 || k.Upstreams > 0 || k.Records > 0 { // the peer has read the store, or heard from one that has
		n.enterEra(eraOf(k), k.EraAge)
	}
	if k.Config > n.revisions.Config {
		n.opts.View.RecordNewerConfig(k.Config, from)
		n.restartWatch(watchedConfig, "a peer has a newer version")
	}
	if k.Versions > n.revisions.Versions {
		n.restartWatch(watchedVersions, "a peer has newer versions")
	}
	// The peer's list is not newer than this daemon's, so its age is valid for both.
	if k.Upstreams > 0 && k.Upstreams <= n.revisions.Upstreams && !isNewEra(n.revisions.Upstreams, k.Upstreams) {
		n.recordReads(now, n.peerReads(now, k))
		n.pruneLapsed()
		n.opts.View.ConfirmUpstreams(n.reads.Last)
	}
}

// applyPeerUpstreams applies a list of upstreams that a peer sent with its revisions.
func (n *Node) applyPeerUpstreams(now time.Time, known protocol.StoreRevisions, list []upstreams.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setUpstreams(now, n.peerReads(now, known), known.Upstreams, list)
}

// readsOf returns when daemons read the store, according to a peer's revisions.
func readsOf(now time.Time, k protocol.StoreRevisions) continuity.Reads {
	last := now.Add(-k.StoreAge)
	return continuity.Reads{Since: last.Add(-k.ReadFor), Last: last}
}
