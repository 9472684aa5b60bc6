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
	// dropAfter is the number of unanswered messages after which a connection is
	// replaced and another relay is used.
	dropAfter = 2
	// stateFresh is how long the state of a daemon counts.
	stateFresh = 2 * time.Second
	// strikeFor is how long a crash is told on.
	strikeFor = 2 * time.Second
	// relayTotals names the work that a relay tells as one sum.
	relayTotals = state.DaemonID("relay")
)

type timedStrike struct {
	quarantine.Crash
	at time.Time
}

// pendingDemand is what the holder of engines has not been told yet.
type pendingDemand struct {
	inUse, missing map[state.UpstreamID][]upstreams.Adapter
}

func (p *pendingDemand) add(id state.UpstreamID, inUse, missing []upstreams.Adapter) {
	addNew(p.inUse, id, inUse)
	addNew(p.missing, id, missing)
}

func addNew(to map[state.UpstreamID][]upstreams.Adapter, id state.UpstreamID, list []upstreams.Adapter) {
	for _, a := range list {
		if !slices.Contains(to[id], a) {
			to[id] = append(to[id], a)
		}
	}
}

func (n *Node) gossip() {
	for n.ctx.Err() == nil {
		n.sleep(gossipInterval)
		n.tell()
	}
}

// tell sends this daemon's state to its relay, or as a relay to the others.
func (n *Node) tell() {
	for _, m := range n.messages(n.opts.View.DrainOutgoing()) {
		n.wg.Add(1)
		go n.call(m.to, m.push)
	}
}

// message is a push that is to be sent.
type message struct {
	to   *member
	push *protocol.FleetPush
}

// messages returns what is to be sent in a round of gossip.
func (n *Node) messages(out Outgoing) []message {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	for _, s := range out.Crashes {
		n.strikes = append(n.strikes, timedStrike{s, now})
	}
	n.strikes = slices.DeleteFunc(n.strikes, func(s timedStrike) bool { return now.Sub(s.at) > strikeFor })
	n.takeDemand(protocol.Demand{InUse: out.Uses, Missing: out.Misses})
	n.noteSilence(now)
	own := n.ownState(out.InFlight)
	for _, e := range own.Engines {
		n.opts.View.SetEngineState(e)
	}
	n.opts.View.SetLoadable(n.loadable(now))
	view := n.relayView(now)
	isRelay := slices.Contains(relays.Of(n.opts.Self.Zone, view), n.opts.Self.VM)
	targets := relays.TargetsOf(n.opts.Self.VM, n.opts.Self.Zone, view)
	n.rounds++
	if n.rounds%n.otherZonesEvery() != 0 && isRelay {
		targets.Other = nil
	}
	var list []message
	for _, vm := range append(targets.Zone, targets.Other...) {
		m := n.members[vm]
		if m == nil || m.calling {
			continue
		}
		push := &protocol.FleetPush{States: []protocol.DaemonState{own}, Strikes: n.recentStrikes(), Known: n.knownNow(now)}
		if isRelay {
			push.States = append(push.States, n.statesFor(now, m.Zone)...)
			push.Demand = n.demandFor(m)
		} else {
			push.Demand = n.allDemand()
		}
		push.Newer = n.newer(m.known)
		m.calling = true
		list = append(list, message{m, push})
	}
	return list
}

// noteSilence tells which peers have been lost and regained. The caller holds the lock.
func (n *Node) noteSilence(now time.Time) {
	for _, m := range n.members {
		silent := now.Sub(m.heard)
		if lost := silent >= relays.SilentAfter; lost != m.lost {
			m.lost = lost
			event := "peer regained"
			if lost {
				event = "peer lost"
			}
			n.opts.Log.Event(event, slog.String("peer", m.VM), slog.String("err", m.lastErr))
		}
	}
}

// otherZonesEvery returns how many rounds lie between two messages to other zones,
// whose bytes are paid for. The caller holds the lock.
func (n *Node) otherZonesEvery() uint64 {
	if n.isSmall() {
		return 1
	}
	return 2
}

// ownState returns this daemon's state. The caller holds the lock.
func (n *Node) ownState(works map[state.UpstreamID]balance.InFlight) protocol.DaemonState {
	n.seq++
	s := protocol.DaemonState{
		VM: n.opts.Self.VM, Run: n.opts.Self.Run, Seq: n.seq, Works: works, StoreAway: !n.reached, Leaving: n.leaving,
	}
	backlog := n.backlogLocked()
	for _, w := range n.workers {
		s.Engines = append(s.Engines, w.state(backlog))
	}
	return s
}

// isSmall reports whether the relays of all zones talk to each other. The caller holds
// the lock.
func (n *Node) isSmall() bool { return len(n.members) < relays.SmallFleet }

// statesFor returns what a relay tells a relay of a zone: to another zone, all of the
// own zone; to the own zone, what daemons and leads of other zones told this one. In a
// small fleet it is what daemons told that are no relays. The caller holds the lock.
func (n *Node) statesFor(now time.Time, zone state.Zone) []protocol.DaemonState {
	var list []protocol.DaemonState
	for _, m := range n.members {
		if m.state.Run != m.Run {
			continue
		}
		told := now.Sub(m.direct) < stateFresh
		own := m.Zone == n.opts.Self.Zone && now.Sub(m.heard) < stateFresh
		if n.isSmall() {
			own = told
		}
		if zone == n.opts.Self.Zone && told || zone != n.opts.Self.Zone && own {
			list = append(list, m.state)
		}
	}
	return list
}

func (n *Node) recentStrikes() []quarantine.Crash {
	var list []quarantine.Crash
	for _, s := range n.strikes {
		list = append(list, s.Crash)
	}
	return list
}

func (n *Node) knownNow(now time.Time) protocol.Known {
	k := n.known
	k.StoreAge = now.Sub(n.storeAt)
	return k
}

// takeDemand hands demand to the workers of this daemon, and keeps what is for other
// holders. The caller holds the lock.
func (n *Node) takeDemand(d protocol.Demand) {
	ids := make(map[state.UpstreamID]bool, len(d.InUse)+len(d.Missing))
	for id := range d.InUse {
		ids[id] = true
	}
	for id := range d.Missing {
		ids[id] = true
	}
	for id := range ids {
		if w := n.workers[id]; w != nil {
			w.use(d.InUse[id], d.Missing[id])
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

// demandFor takes what a relay is to pass on: to a relay of the own zone for itself,
// to a lead of another zone for all holders there. The caller holds the lock.
func (n *Node) demandFor(to *member) protocol.Demand {
	d := n.demandOf(to.VM)
	if to.Zone == n.opts.Self.Zone || n.isSmall() {
		return d
	}
	for vm := range n.demand {
		if m := n.members[vm]; m != nil && m.Zone == to.Zone {
			more := n.demandOf(vm)
			merge(&d, more)
		}
	}
	return d
}

func merge(d *protocol.Demand, more protocol.Demand) {
	if d.InUse == nil {
		*d = more
		return
	}
	for id, list := range more.InUse {
		addNew(d.InUse, id, list)
	}
	for id, list := range more.Missing {
		addNew(d.Missing, id, list)
	}
}

// demandOf takes what a holder has not been told. The caller holds the lock.
func (n *Node) demandOf(vm string) protocol.Demand {
	p := n.demand[vm]
	if p == nil {
		return protocol.Demand{}
	}
	delete(n.demand, vm)
	return protocol.Demand{InUse: p.inUse, Missing: p.missing}
}

// allDemand takes what no holder has been told. The caller holds the lock.
func (n *Node) allDemand() protocol.Demand {
	var d protocol.Demand
	for vm := range n.demand {
		merge(&d, n.demandOf(vm))
	}
	return d
}

// call sends a push to a peer and takes its answer.
func (n *Node) call(m *member, push *protocol.FleetPush) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
	defer cancel()
	n.mu.Lock()
	to := peer.Peer{ID: m.ID(), Addr: m.Addr}
	n.mu.Unlock()
	var reply protocol.FleetReply
	err := n.opts.Pool.Exchange(ctx, to, protocol.MsgFleet, push, &reply)
	n.mu.Lock()
	m.calling = false
	if err != nil {
		m.failed++
		m.lastErr = err.Error()
		drop := m.failed%dropAfter == 0
		if drop { // another relay is tried; this one counts as silent until it speaks
			m.heard = n.opts.Clock().Add(-relays.SilentAfter)
			m.failed = 0
		}
		n.mu.Unlock()
		if drop {
			n.opts.Pool.Drop(to)
		}
		return
	}
	m.failed, m.lastErr = 0, ""
	n.mu.Unlock()
	n.takeReply(m, &reply)
}
