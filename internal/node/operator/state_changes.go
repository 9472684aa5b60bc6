package operator

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxChanges  = 256 // state changes in the change log
	maxRestarts = 64  // restarts counted for one upstream
	// restartWindow is how long the status counts a restart of an upstream.
	restartWindow = time.Hour
)

// changeLog is a ring buffer of the newest state changes.
type changeLog struct {
	ring  []protocol.StateChange
	first int // index of the oldest change
}

func (l *changeLog) add(c protocol.StateChange) {
	if len(l.ring) < maxChanges {
		l.ring = append(l.ring, c)
		return
	}
	l.ring[l.first] = c
	l.first = (l.first + 1) % maxChanges
}

// since returns the state changes since the time t, oldest first. For the zero time it
// returns none.
func (l *changeLog) since(t time.Time) []protocol.StateChange {
	if t.IsZero() {
		return nil
	}
	var list []protocol.StateChange
	for i := range l.ring {
		if c := l.ring[(l.first+i)%len(l.ring)]; !c.At.Before(t) {
			list = append(list, c)
		}
	}
	return list
}

// observedState is the state of an owned upstream when it was last observed.
type observedState struct {
	boot       state.BootID
	healthy    bool
	leaving    bool
	wasHealthy bool // the upstream was healthy at least once while owned
}

// recordChange adds a state change to the log. The caller must hold mu.
func (n *Node) recordChange(now time.Time, subject, what string) {
	n.changes.add(protocol.StateChange{At: now.UTC(), Daemon: n.opts.Self, Subject: subject, Description: what})
}

// observeLoop observes the owned upstreams at regular intervals until Close.
func (n *Node) observeLoop() {
	defer n.wg.Done()
	for {
		n.observe(n.opts.Clock())
		if !n.sleep(observeInterval) {
			return
		}
	}
}

// observe updates the metrics and records the state changes of the owned upstreams
// since the previous observation. It drops the state of upstreams that are no longer owned.
func (n *Node) observe(now time.Time) {
	owned := n.opts.Owned()
	n.opts.Gauges.SetOwned(len(owned))
	if catalog := n.opts.Catalog(); catalog != nil {
		n.opts.Gauges.SetRevision(catalog.Revision)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	stillOwned := make(map[state.UpstreamID]bool, len(owned))
	for _, s := range owned {
		stillOwned[s.ID] = true
		n.observeUpstream(now, s)
	}
	for id := range n.observed {
		if !stillOwned[id] {
			n.recordChange(now, string(id), "no longer owned here")
			delete(n.observed, id)
			delete(n.restarts, id)
		}
	}
}

// observeUpstream records the state changes and the restart of one upstream since the
// previous observation, and removes restarts that no longer count. The caller must hold
// mu.
func (n *Node) observeUpstream(now time.Time, s protocol.UpstreamStatus) {
	id := string(s.ID)
	next := observedState{boot: s.Boot, healthy: s.Healthy}
	if u := n.opts.Fleet.Get(s.ID); u != nil {
		next.leaving = u.Leaving
	}
	last, known := n.observed[s.ID]
	next.wasHealthy = last.wasHealthy || s.Healthy
	n.observed[s.ID] = next
	if !known {
		n.recordChange(now, id, fmt.Sprintf("owned by %s", n.opts.Self))
		return
	}
	for _, change := range last.changes(next) {
		n.recordChange(now, id, change)
	}
	if last.restarted(next) {
		n.restarts[s.ID] = append(n.restarts[s.ID], now)
	}
	n.removeOldRestarts(now, s.ID)
}

// changes describes each state change between the observations o and next.
func (o observedState) changes(next observedState) []string {
	var list []string
	if next.leaving && !o.leaving {
		list = append(list, "takes no new work")
	}
	if !next.leaving && o.leaving {
		list = append(list, "takes work again")
	}
	if o.healthy && !next.healthy && !next.leaving {
		list = append(list, "stopped answering")
	}
	if !o.healthy && next.healthy && o.wasHealthy {
		list = append(list, "answers again")
	}
	if o.restarted(next) {
		list = append(list, fmt.Sprintf("restarted: boot %s after %s", next.boot, o.boot))
	}
	return list
}

// restarted reports whether the upstream's boot ID changed from o to next.
func (o observedState) restarted(next observedState) bool {
	return o.boot != "" && next.boot != "" && o.boot != next.boot
}

// removeOldRestarts removes the restarts of an upstream that are outside restartWindow,
// and the oldest restarts beyond maxRestarts. The caller must hold mu.
func (n *Node) removeOldRestarts(now time.Time, id state.UpstreamID) {
	times := n.restarts[id]
	for len(times) > maxRestarts || len(times) > 0 && now.Sub(times[0]) > restartWindow {
		times = times[1:]
	}
	if len(times) == 0 {
		delete(n.restarts, id)
		return
	}
	n.restarts[id] = times
}
