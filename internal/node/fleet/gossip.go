package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	gossipInterval = 200 * time.Millisecond
	gossipTimeout  = 600 * time.Millisecond
	// maxUnansweredMessages is the number of consecutive unanswered messages after which the
	// connection is replaced and another relay is used.
	maxUnansweredMessages = 2
	// daemonStateTTL is how long the state of a daemon is valid.
	daemonStateTTL = 2 * time.Second
	// crashReportTTL is how long a crash report is gossiped.
	crashReportTTL = 2 * time.Second
	// relayTotalsID identifies the sum of requests in flight that a relay reports.
	relayTotalsID = state.DaemonID("relay")
)

// crashReport is a crash and when this daemon learned of it.
type crashReport struct {
	quarantine.Crash
	at time.Time
}

// pendingDemand is demand for adapters that is not yet sent to a lease holder.
type pendingDemand struct {
	uses, misses map[state.UpstreamID][]upstreams.Adapter
}

func (p *pendingDemand) add(id state.UpstreamID, uses, misses []upstreams.Adapter) {
	addMissingAdapters(p.uses, id, uses)
	addMissingAdapters(p.misses, id, misses)
}

// addMissingAdapters adds the adapters that are not yet in the list of an engine.
func addMissingAdapters(to map[state.UpstreamID][]upstreams.Adapter, id state.UpstreamID, list []upstreams.Adapter) {
	for _, a := range list {
		if !slices.Contains(to[id], a) {
			to[id] = append(to[id], a)
		}
	}
}

// runGossip sends a round of gossip at intervals.
func (n *Node) runGossip() {
	for n.ctx.Err() == nil {
		n.sleep(gossipInterval)
		n.sendRound()
	}
}

// sendRound sends one round of gossip: this daemon's state to its relay or, from a relay,
// also the states that it relays to other relays.
func (n *Node) sendRound() {
	for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
		n.wg.Add(1)
		go n.sendPush(m.to, m.push)
	}
}

// message is a push to be sent to a peer.
type message struct {
	to   *member
	push *protocol.FleetPush
}

// roundMessages returns the messages of a round of gossip.
func (n *Node) roundMessages(out Outgoing) []message {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	for _, s := range out.Crashes {
		n.crashes = append(n.crashes, crashReport{s, now})
	}
	n.crashes = slices.DeleteFunc(n.crashes, func(s crashReport) bool { return now.Sub(s.at) > crashReportTTL })
	n.applyDemand(protocol.Demand{InUse: out.Uses, Missing: out.Misses})
	n.updateLostPeers(now)
	own := n.ownState(out.InFlight)
	for _, e := range own.Engines {
		n.opts.View.SetEngineState(e)
	}
	n.opts.View.SetLoadable(n.loadable(now))
	view := n.relayView(now)
	isRelay := slices.Contains(relays.Of(n.opts.Self.Zone, view), n.opts.Self.VM)
	targets := relays.TargetsOf(n.opts.Self.VM, n.opts.Self.Zone, view)
	n.rounds++
	if n.rounds%n.roundsPerCrossZoneMessage() != 0 && isRelay {
		targets.Other = nil
	}
	var list []message
	for _, vm := range append(targets.Zone, targets.Other...) {
		m := n.members[vm]
		if m == nil || m.callInFlight {
			continue
		}
		push := &protocol.FleetPush{States: []protocol.DaemonState{own}, Crashes: n.recentCrashes(), Revisions: n.currentRevisions(now)}
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

// updateLostPeers logs the peers that became silent and those that send messages again. The
// caller holds the lock.
func (n *Node) updateLostPeers(now time.Time) {
	for _, m := range n.members {
		silence := now.Sub(m.lastHeard)
		if lost := silence >= relays.SilentAfter; lost != m.lost {
			m.lost = lost
			event := "peer regained"
			if lost {
				event = "peer lost"
			}
			n.opts.Log.Event(event, slog.String("peer", m.VM), slog.String("err", m.lastErr))
		}
	}
}

// roundsPerCrossZoneMessage returns the number of rounds per message to other zones. Traffic
// between zones is billed. The caller holds the lock.
func (n *Node) roundsPerCrossZoneMessage() uint64 {
	if n.isSmall() {
		return 1
	}
	return 2
}

// ownState returns the next state of this daemon. The caller holds the lock.
func (n *Node) ownState(inFlight map[state.UpstreamID]balance.InFlight) protocol.DaemonState {
	n.seq++
	s := protocol.DaemonState{
		VM: n.opts.Self.VM, Incarnation: n.opts.Self.Incarnation, Sequence: n.seq, InFlight: inFlight, StoreUnreachable: !n.storeReachable, Leaving: n.leaving,
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

// relayedStates returns the states that a relay sends to a relay of the given zone: to
// another zone, those of its own zone; to its own zone, those that it received directly
// from daemons and from lead relays of other zones. In a small fleet it sends every relay
// the states that it received directly. The caller holds the lock.
func (n *Node) relayedStates(now time.Time, zone state.Zone) []protocol.DaemonState {
	var list []protocol.DaemonState
	for _, m := range n.members {
		if m.state.Incarnation != m.Incarnation {
			continue
		}
		isDirect := now.Sub(m.lastDirect) < daemonStateTTL
		toOtherZones := m.Zone == n.opts.Self.Zone && now.Sub(m.lastHeard) < daemonStateTTL
		if n.isSmall() {
			toOtherZones = isDirect
		}
		if zone == n.opts.Self.Zone && isDirect || zone != n.opts.Self.Zone && toOtherZones {
			list = append(list, m.state)
		}
	}
	return list
}

// recentCrashes returns the crashes to gossip. The caller holds the lock.
func (n *Node) recentCrashes() []quarantine.Crash {
	var list []quarantine.Crash
	for _, s := range n.crashes {
		list = append(list, s.Crash)
	}
	return list
}

// currentRevisions returns the revisions of this daemon's copies of the store's objects. The
// caller holds the lock.
func (n *Node) currentRevisions(now time.Time) protocol.StoreRevisions {
	k := n.revisions
	k.StoreAge = now.Sub(n.listReadAt)
	return k
}

// applyDemand passes demand for adapters to the workers of this daemon, and queues the rest
// for the other lease holders. The caller holds the lock.
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
			p = &pendingDemand{uses: make(map[state.UpstreamID][]upstreams.Adapter), misses: make(map[state.UpstreamID][]upstreams.Adapter)}
			n.demand[vm] = p
		}
		p.add(id, d.InUse[id], d.Missing[id])
	}
}

// drainDemandFor returns and removes the demand to send to a relay: to one in the own zone
// that of its own engines, to a lead relay of another zone that of all lease holders there.
// The caller holds the lock.
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

// mergeDemand adds demand to d.
func mergeDemand(d *protocol.Demand, more protocol.Demand) {
	if d.InUse == nil {
		*d = more
		return
	}
	for id, list := range more.InUse {
		addMissingAdapters(d.InUse, id, list)
	}
	for id, list := range more.Missing {
		addMissingAdapters(d.Missing, id, list)
	}
}

// drainDemand returns and removes the demand for one lease holder. The caller holds the lock.
func (n *Node) drainDemand(vm string) protocol.Demand {
	p := n.demand[vm]
	if p == nil {
		return protocol.Demand{}
	}
	delete(n.demand, vm)
	return protocol.Demand{InUse: p.uses, Missing: p.misses}
}

// drainAllDemand returns and removes the demand for all lease holders. The caller holds the lock.
func (n *Node) drainAllDemand() protocol.Demand {
	var d protocol.Demand
	for vm := range n.demand {
		mergeDemand(&d, n.drainDemand(vm))
	}
	return d
}

// sendPush sends a push to a peer and applies its reply.
func (n *Node) sendPush(m *member, push *protocol.FleetPush) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
	defer cancel()
	n.mu.Lock()
	to := peer.Peer{ID: m.ID(), Addr: m.Addr}
	n.mu.Unlock()
	var reply protocol.FleetReply
	err := n.opts.Pool.Exchange(ctx, to, protocol.MsgFleet, push, &reply)
	n.mu.Lock()
	m.callInFlight = false
	if err != nil {
		m.failures++
		m.lastErr = err.Error()
		drop := m.failures%maxUnansweredMessages == 0
		if drop { // use another relay; this one counts as silent until its next message
			m.lastHeard = n.opts.Clock().Add(-relays.SilentAfter)
			m.failures = 0
		}
		n.mu.Unlock()
		if drop {
			n.opts.Pool.Drop(to)
		}
		return
	}
	m.failures, m.lastErr = 0, ""
	n.mu.Unlock()
	n.applyReply(m, &reply)
}
