package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/relays"
)

// silentPeers returns the silent ones among probesPerRound peers, other ones in each round. A daemon whose relays are all
// gone at once hears from nobody; by these messages, the daemons that are left find each other. In a fleet that is
// whole there are none. The caller holds the lock.
func (n *Node) silentPeers(now time.Time) []string {
	names := slices.Sorted(maps.Keys(n.members))
	own, _ := slices.BinarySearch(names, n.opts.Self.VM)
	var silent []string
	for i := range min(probesPerRound, len(names)) {
		vm := names[(own+int(n.rounds)*probesPerRound+i)%len(names)]
		if now.Sub(n.members[vm].lastHeard) >= relays.SilentAfter {
			silent = append(silent, vm)
		}
	}
	return silent
}

// noticeStall recognizes that this daemon did not run for a while, and leaves that time out of the silence of its
// peers: their messages of that time are lost or not yet read. The caller holds the lock.
func (n *Node) noticeStall(now time.Time) {
	boot := n.opts.BootClock()
	elapsed, stall := now.Sub(n.checkedAt), boot-n.checkedBoot
	isStall := !n.checkedAt.IsZero() && stall >= minStall
	n.checkedAt, n.checkedBoot = now, boot
	if !isStall {
		return
	}
	n.stall, n.stallEnd = stall, boot
	n.opts.Log.Event("daemon stood still", slog.Duration("after", stall))
	for _, m := range n.members {
		if m.lastHeard = m.lastHeard.Add(elapsed); m.lastHeard.After(now) {
			m.lastHeard = now
		}
	}
}

// updateLostPeers marks and logs the peers that became silent and the lost peers that are
// heard from again. The caller holds the lock.
func (n *Node) updateLostPeers(now time.Time) {
	for _, m := range n.members {
		silence := now.Sub(m.lastHeard)
		if lost := silence >= relays.SilentAfter; lost != m.lost {
			m.lost = lost
			event := "peer regained"
			if lost {
				event = "peer lost"
			} else {
				m.needsVersionsUntil = now.Add(recentVersionsPeriod)
			}
			n.opts.Log.Event(event, slog.String("peer", m.VM), slog.String("err", m.lastErr))
		}
	}
}

// recordAnswered records that a peer answered a message.
func (n *Node) recordAnswered(m *member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.callInFlight, m.failures, m.lastErr = false, 0, ""
}

// recordUnanswered records that a peer did not answer a message. It reports whether the connection to the
// peer must be replaced.
func (n *Node) recordUnanswered(m *member, err error) (drop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.callInFlight = false
	m.failures++
	m.lastErr = err.Error()
	if m.failures%maxUnansweredMessages != 0 {
		return false
	}
	// Treat the peer as silent until it sends again, so that another relay is chosen. A peer that was silent
	// before stays so for longer: its leases are taken over after TakeoverAfter.
	if silent := n.opts.Clock().Add(-relays.SilentAfter); silent.Before(m.lastHeard) {
		m.lastHeard = silent
	}
	m.failures = 0
	return true
}
