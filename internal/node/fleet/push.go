package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// HandlePush takes what a peer tells and returns what it needs to know.
func (n *Node) HandlePush(from state.DaemonID, push *protocol.FleetPush) *protocol.FleetReply {
	now := n.opts.Clock()
	n.takeNewer(now, push.Known, &push.Newer)
	n.mu.Lock()
	defer n.mu.Unlock()
	caller := n.memberOf(from)
	if caller == nil {
		return &protocol.FleetReply{Known: n.knownNow(now)}
	}
	caller.known = push.Known
	n.takeStates(now, push.States)
	// The caller may take itself for a relay because it has lost the others.
	isRelay := slices.Contains(relays.Of(caller.Zone, n.relayView(now)), caller.VM)
	n.noteTold(now, caller, isRelay, push.States)
	n.takeDemand(push.Demand)
	n.takeStrikes(now, push.Strikes)
	n.takeKnown(now, push.Known)
	reply := &protocol.FleetReply{Strikes: n.recentStrikes(), Known: n.knownNow(now), Demand: n.demandFor(caller)}
	if isRelay {
		reply.States = append(n.statesFor(now, caller.Zone), n.ownState(n.opts.View.OwnInFlight()))
	} else {
		reply.Totals, reply.Engines, reply.Ages = n.digest(now, caller.VM)
	}
	reply.Newer = n.newer(push.Known)
	return reply
}

// memberOf returns the peer with an identity, or nil. The caller holds the lock.
func (n *Node) memberOf(id state.DaemonID) *member {
	vm, _, _ := strings.Cut(string(id), "/")
	if m := n.members[vm]; m != nil && m.ID() == id {
		return m
	}
	return nil
}

// noteTold notes whose states a peer told, to pass them on: its own if it is no relay,
// and those of another zone. The caller holds the lock.
func (n *Node) noteTold(now time.Time, from *member, isRelay bool, states []protocol.DaemonState) {
	if !isRelay {
		from.direct = now
		return
	}
	for _, s := range states {
		if m := n.members[s.VM]; m != nil && from.Zone != n.opts.Self.Zone && !n.isSmall() {
			m.direct = now
		}
	}
}

// digest sums up the fleet for a daemon that is no relay. The caller holds the lock.
func (n *Node) digest(now time.Time, caller string) (map[state.UpstreamID]balance.InFlight, []protocol.EngineState, map[string]time.Duration) {
	own := n.ownState(n.opts.View.OwnInFlight())
	totals := make(map[state.UpstreamID]balance.InFlight)
	engines := slices.Clone(own.Engines)
	ages := map[string]time.Duration{n.opts.Self.VM: 0}
	addWork(totals, own.Works)
	for _, m := range n.members {
		if m.spoke {
			ages[m.VM] = now.Sub(m.heard)
		}
		if m.VM == caller || now.Sub(m.heard) > stateFresh {
			continue
		}
		addWork(totals, m.state.Works)
		engines = append(engines, m.state.Engines...)
	}
	return totals, engines, ages
}

func addWork(totals, works map[state.UpstreamID]balance.InFlight) {
	for id, w := range works {
		sum := totals[id]
		sum.Add(&w)
		totals[id] = sum
	}
}

// newer returns what a peer knows in an older state. The caller holds the lock.
func (n *Node) newer(known protocol.Known) protocol.Newer {
	var out protocol.Newer
	if t := n.opts.View.Table(); t != nil && t.Config.Version > known.Config {
		out.Config = t.Config
	}
	if n.known.Versions > known.Versions {
		for a, version := range n.versions {
			out.Versions = append(out.Versions, upstreams.Version{Adapter: a, Version: version})
		}
	}
	if n.known.Upstreams > known.Upstreams {
		out.Upstreams = n.list
	}
	if n.known.Records > known.Records {
		out.Members = append(out.Members, n.listed)
		for _, m := range n.members {
			out.Members = append(out.Members, m.Member)
		}
		for _, h := range n.holders {
			out.Holders = append(out.Holders, h)
		}
	}
	return out
}

// takeNewer takes what a peer read from the store.
func (n *Node) takeNewer(now time.Time, known protocol.Known, newer *protocol.Newer) {
	if newer.Config != nil {
		n.takeConfig(newer.Config)
	}
	if newer.Members != nil {
		r := Records{Revision: known.Records, Members: newer.Members, Holders: make(map[state.UpstreamID]Holder, len(newer.Holders))}
		for _, h := range newer.Holders {
			r.Holders[h.Engine] = h
		}
		n.takeRecords(now, r)
	}
	if newer.Upstreams != nil {
		n.takeUpstreams(now, now.Add(-known.StoreAge), known.Upstreams, newer.Upstreams)
	}
	n.takeVersions(newer.Versions)
}

// takeReply takes the answer of a relay.
func (n *Node) takeReply(m *member, reply *protocol.FleetReply) {
	now := n.opts.Clock()
	n.takeNewer(now, reply.Known, &reply.Newer)
	n.mu.Lock()
	defer n.mu.Unlock()
	m.heard, m.spoke, m.known = now, true, reply.Known
	n.noteTold(now, m, true, reply.States)
	n.takeStates(now, reply.States)
	n.takeDemand(reply.Demand)
	n.takeStrikes(now, reply.Strikes)
	n.takeKnown(now, reply.Known)
	if reply.Ages == nil { // as to a relay
		return
	}
	n.opts.View.SetPeerInFlight(relayTotals, reply.Totals)
	for _, e := range reply.Engines {
		n.opts.View.SetEngineState(e)
	}
	for vm, age := range reply.Ages {
		if m := n.members[vm]; m != nil {
			m.spoke = true
			if at := now.Add(-age); at.After(m.heard) {
				m.heard = at
			}
		}
	}
}

// takeStates takes the states of daemons. The caller holds the lock.
func (n *Node) takeStates(now time.Time, list []protocol.DaemonState) {
	for _, s := range list {
		m := n.members[s.VM]
		if m == nil || m.Run != s.Run || m.state.Run == s.Run && m.state.Seq >= s.Seq {
			continue
		}
		m.state, m.heard, m.spoke = s, now, true
		n.opts.View.SetPeerInFlight(m.ID(), s.Works)
		for _, e := range s.Engines {
			n.opts.View.SetEngineState(e)
		}
	}
}

// takeStrikes takes crashes that peers saw. The caller holds the lock.
func (n *Node) takeStrikes(now time.Time, list []quarantine.Crash) {
	for _, s := range list {
		if slices.ContainsFunc(n.strikes, func(t timedStrike) bool { return t.Crash == s }) {
			continue
		}
		n.strikes = append(n.strikes, timedStrike{s, now})
		n.opts.View.RecordPeerCrash(s)
	}
}

// takeKnown notes that a peer knows something newer. The caller holds the lock.
func (n *Node) takeKnown(now time.Time, k protocol.Known) {
	if k.Config > n.known.Config {
		n.reread(watchConfig, "a peer has a newer one")
	}
	if k.Versions > n.known.Versions {
		n.reread(watchVersions, "a peer has newer ones")
	}
	// The age counts only for a list that this daemon has, too.
	if k.Upstreams <= n.known.Upstreams {
		if at := now.Add(-k.StoreAge); at.After(n.storeAt) {
			n.storeAt = at
			n.opts.View.ConfirmUpstreams(at)
		}
	}
}
