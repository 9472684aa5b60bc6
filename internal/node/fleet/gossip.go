package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	// gossipInterval is the pause between rounds of gossip.
	gossipInterval = 200 * time.Millisecond
	// gossipTimeout limits the time for one message and its reply.
	gossipTimeout = 600 * time.Millisecond
	// probesPerRound is the number of peers that are sent to in a round if they are silent.
	probesPerRound = 2
	// maxUnansweredMessages is the number of consecutive unanswered messages to a peer after
	// which the connection to it is replaced and another relay is chosen in its place.
	maxUnansweredMessages = 2
	// daemonStateTTL is how long a daemon's state is relayed and summed up after it was received.
	daemonStateTTL = 2 * time.Second
	// minStall is the least time without a round of gossip after which this daemon counts as suspended or
	// starved. Rounds follow each other every gossipInterval.
	minStall = time.Second
	// relayTotalsID stands in place of a daemon's ID for the sum of the requests in flight of
	// all other daemons, as a relay reports it.
	relayTotalsID = state.DaemonID("relay")
)

// pendingDemand is the demand for adapters that is not yet sent to one lease holder: by
// engine, the adapters in use and the adapters that requests found missing.
type pendingDemand struct {
	inUse, missing map[state.UpstreamID][]upstreams.Adapter
}

func (p *pendingDemand) add(id state.UpstreamID, inUse, missing []upstreams.Adapter) {
	addAdapters(p.inUse, id, inUse)
	addAdapters(p.missing, id, missing)
}

// addAdapters adds to the list of an engine the adapters that it does not contain yet.
func addAdapters(to map[state.UpstreamID][]upstreams.Adapter, id state.UpstreamID, list []upstreams.Adapter) {
	for _, a := range list {
		if !slices.Contains(to[id], a) {
			to[id] = append(to[id], a)
		}
	}
}

// runGossip sends a round of gossip every gossipInterval until the node is closed.
func (n *Node) runGossip() {
	for n.ctx.Err() == nil {
		n.sleep(gossipInterval)
		n.sendRound()
	}
}

// sendRound drains the view's outgoing data and starts to send one round of gossip. A daemon
// that is not a relay sends its state to a relay. A relay sends its own state and the states
// that it relays to other relays.
func (n *Node) sendRound() {
	for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
		n.wg.Add(1)
		go n.sendPush(m.to, m.push)
	}
}

// message is a push and the peer that it is to be sent to.
type message struct {
	to   *member
	push *protocol.FleetPush
}

// roundMessages returns the messages of a round of gossip, and marks their peers as having a
// call in flight; peers with an earlier call in flight get no message. It also
//   - records new crashes and survivals, and drops those older than crashReportTTL,
//   - passes the demand for adapters to workers or queues it for other lease holders, and
//     drains the queued demand that the messages contain,
//   - logs peers that became silent or returned,
//   - drops lapsed upstreams whose time is over,
//   - updates the engine states and the loadable engines in the view.
func (n *Node) roundMessages(out Outgoing) []message {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	n.noticeStall(now)
	for _, s := range out.Crashes {
		n.reports.addCrash(now, s)
	}
	for _, s := range out.Survivals {
		n.reports.addSurvival(now, s)
	}
	n.expireReports(now, out.DroppedReports)
	n.expireLapsed(now)
	n.applyDemand(protocol.Demand{InUse: out.InUse, Missing: out.Missing})
	n.updateLostPeers(now)
	own := n.ownState(out.InFlight)
	for _, e := range own.Engines {
		n.opts.View.SetEngineState(e)
	}
	n.opts.View.SetLoadable(n.loadable(now))
	n.opts.View.SetPromptNotices(n.isSmall())
	view := n.relayView(now)
	isRelay := slices.Contains(relays.Of(n.opts.Self.Zone, view), n.opts.Self.VM)
	if isRelay {
		n.sumAccountsForSelf(now)
	}
	targets := relays.TargetsOf(n.opts.Self.VM, n.opts.Self.Zone, view)
	n.rounds++
	if n.rounds%n.roundsPerCrossZoneMessage() != 0 && isRelay {
		targets.Other = nil
	}
	var list []message
	for _, vm := range slices.Concat(targets.Zone, targets.Other, n.silentPeers(now)) {
		m := n.members[vm]
		if m == nil || m.callInFlight {
			continue
		}
		push := &protocol.FleetPush{States: []protocol.DaemonState{own}, Crashes: n.crashReportsFor(now, m), Revisions: n.currentRevisions(now)}
		push.RecentVersions = n.recentVersionsFor(now, m)
		if isRelay {
			push.States = append(push.States, n.relayedStates(now, m.Zone)...)
			push.Demand = n.drainDemandFor(m)
		} else {
			push.Demand = n.drainAllDemand()
		}
		push.Update = n.objectsNewerThan(m.revisions)
		m.callInFlight = true
		list = append(list, message{m, push})
	}
	return list
}

// roundsPerCrossZoneMessage returns after how many rounds a relay sends to other zones again:
// in a small fleet in each round, otherwise in every second round, as traffic between zones
// is billed. The caller holds the lock.
func (n *Node) roundsPerCrossZoneMessage() uint64 {
	if n.isSmall() {
		return 1
	}
	return 2
}

// ownState returns the present state of this daemon with the next sequence number. The caller
// holds the lock.
func (n *Node) ownState(inFlight map[state.UpstreamID]balance.InFlight) protocol.DaemonState {
	n.seq++
	s := protocol.DaemonState{
		VM: n.opts.Self.VM, Incarnation: n.opts.Self.Incarnation, Sequence: n.seq, InFlight: inFlight, StoreUnreachable: !n.storeReachable, Leaving: n.leaving,
		RateLimits: n.opts.View.OwnRateLimits(), Accounts: n.opts.View.ownAccountUse(), LeavingUpstreams: n.opts.View.OwnLeaving(),
	}
	backlog := n.pendingLoadsLocked()
	for _, w := range n.workers {
		s.Engines = append(s.Engines, w.state(backlog))
	}
	return s
}

// isSmall reports whether the fleet is small, so that the relays of all zones exchange
// states directly. The caller holds the lock.
func (n *Node) isSmall() bool { return len(n.members) < relays.SmallFleet }

// relayedStates returns the recent states that this daemon, as a relay, sends to a relay of
// the given zone:
//   - to its own zone: the states that count as received directly (see markDirect), from
//     daemons that are not relays and from relays of other zones;
//   - to another zone: the states of all daemons in its own zone;
//   - to another zone in a small fleet, where all relays exchange states: only the states
//     that count as received directly.
//
// The caller holds the lock.
func (n *Node) relayedStates(now time.Time, zone state.Zone) []protocol.DaemonState {
	var list []protocol.DaemonState
	for _, m := range n.members {
		if m.state.Incarnation != m.Incarnation {
			continue
		}
		isDirect := now.Sub(m.lastDirect) < daemonStateTTL
		isForOtherZones := m.Zone == n.opts.Self.Zone && now.Sub(m.lastHeard) < daemonStateTTL
		if n.isSmall() {
			isForOtherZones = isDirect
		}
		if zone == n.opts.Self.Zone && isDirect || zone != n.opts.Self.Zone && isForOtherZones {
			list = append(list, m.state)
		}
	}
	return list
}

// currentRevisions returns the revisions of this daemon's copies of the store's objects, with
// the age of the list of upstreams and the time of reads before it. The caller holds the lock.
func (n *Node) currentRevisions(now time.Time) protocol.StoreRevisions {
	k := n.revisions
	k.StoreAge = now.Sub(n.reads.Last)
	k.LastReader, k.ReadSequence = n.lastRead.by, n.lastRead.sequence
	k.ReadFor = n.reads.Last.Sub(n.reads.Since)
	k.ConfigAge = n.opts.View.ConfigAge()
	k.HasVersions = n.hasVersions
	if n.era.isSeen {
		k.Era, k.EraAge = n.era.newest, n.opts.BootClock()-n.era.since
	}
	return k
}

// applyDemand passes demand for adapters to the workers of this daemon's engines, and queues
// demand at other engines for their lease holders. It drops demand at engines whose lease
// holder is unknown, or is this daemon without a worker. The caller holds the lock.
func (n *Node) applyDemand(d protocol.Demand) {
	ids := make(map[state.UpstreamID]bool, len(d.InUse)+len(d.Missing))
	for id := range d.InUse {
		ids[id] = true
	}
	for id := range d.Missing {
		ids[id] = true
	}
	for id := range ids {
		if w := n.workers[id]; w != nil {
			w.recordDemand(d.InUse[id], d.Missing[id])
			continue
		}
		vm := n.holders[id].VM
		if vm == "" || vm == n.opts.Self.VM {
			continue
		}
		p := n.demand[vm]
		if p == nil {
			p = &pendingDemand{inUse: make(map[state.UpstreamID][]upstreams.Adapter), missing: make(map[state.UpstreamID][]upstreams.Adapter)}
			n.demand[vm] = p
		}
		p.add(id, d.InUse[id], d.Missing[id])
	}
}

// drainDemandFor returns and removes the queued demand to send to a peer. In a small fleet,
// and for a peer in this daemon's zone, it is the demand at the engines whose leases the
// peer holds. For a peer in another zone of a larger fleet, it is the demand at the engines
// of all lease holders in that zone. The caller holds the lock.
func (n *Node) drainDemandFor(to *member) protocol.Demand {
	d := n.drainDemand(to.VM)
	if to.Zone == n.opts.Self.Zone || n.isSmall() {
		return d
	}
	for vm := range n.demand {
		if m := n.members[vm]; m != nil && m.Zone == to.Zone {
			more := n.drainDemand(vm)
			mergeDemand(&d, more)
		}
	}
	return d
}

// mergeDemand adds more to d, without duplicate adapters.
func mergeDemand(d *protocol.Demand, more protocol.Demand) {
	if d.InUse == nil {
		*d = more
		return
	}
	for id, list := range more.InUse {
		addAdapters(d.InUse, id, list)
	}
	for id, list := range more.Missing {
		addAdapters(d.Missing, id, list)
	}
}

// drainDemand returns and removes the queued demand for one lease holder. The caller holds the lock.
func (n *Node) drainDemand(vm string) protocol.Demand {
	p := n.demand[vm]
	if p == nil {
		return protocol.Demand{}
	}
	delete(n.demand, vm)
	return protocol.Demand{InUse: p.inUse, Missing: p.missing}
}

// drainAllDemand returns and removes the queued demand for all lease holders. The caller holds the lock.
func (n *Node) drainAllDemand() protocol.Demand {
	var d protocol.Demand
	for vm := range n.demand {
		mergeDemand(&d, n.drainDemand(vm))
	}
	return d
}

// sendPush sends a push to a peer and applies its reply. After maxUnansweredMessages failures
// in a row it drops the connection and treats the peer as silent.
func (n *Node) sendPush(m *member, push *protocol.FleetPush) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
	defer cancel()
	n.mu.Lock()
	to := peer.Peer{ID: m.ID(), Addr: m.Addr}
	n.mu.Unlock()
	var reply protocol.FleetReply
	sentAt := n.opts.BootClock()
	err := n.opts.Pool.Exchange(ctx, to, protocol.MsgFleet, push, &reply)
	if err != nil {
		if n.recordUnanswered(m, err) {
			n.opts.Pool.Drop(to)
		}
		return
	}
	n.recordAnswered(m)
	n.applyReply(m, &reply)
	n.confirmByPeer(sentAt, reply.Revisions)
}
