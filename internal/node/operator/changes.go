package operator

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxChanges  = 256
	maxRestarts = 64
	// keepRestarts is how long a restart counts in the status.
	keepRestarts = time.Hour
)

// changeLog keeps the newest changes of state.
type changeLog struct {
	ring  []protocol.StateChange
	first int
}

func (l *changeLog) add(c protocol.StateChange) {
	if len(l.ring) < maxChanges {
		l.ring = append(l.ring, c)
		return
	}
	l.ring[l.first] = c
	l.first = (l.first + 1) % maxChanges
}

// since returns the changes since a time, oldest first, and none for the zero time.
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

// observation is what the last look at an owned upstream showed.
type observation struct {
	boot    state.BootID
	healthy bool
	leaving bool
	seen    bool // was healthy at least once
}

// note records a change. The caller must hold mu.
func (n *Node) note(now time.Time, subject, what string) {
	n.changes.add(protocol.StateChange{At: now.UTC(), Daemon: n.opts.Self, Subject: subject, What: what})
}

func (n *Node) observeLoop() {
	defer n.wg.Done()
	for {
		n.observe(n.opts.Clock())
		if !n.pause(observeEvery) {
			return
		}
	}
}

// observe compares the owned upstreams with the last look at them.
func (n *Node) observe(now time.Time) {
	owned := n.opts.Owned()
	n.opts.Gauges.SetOwned(len(owned))
	if catalog := n.opts.Catalog(); catalog != nil {
		n.opts.Gauges.SetRevision(catalog.Revision)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	current := make(map[state.UpstreamID]bool, len(owned))
	for _, s := range owned {
		current[s.ID] = true
		n.observeUpstream(now, s)
	}
	for id := range n.observed {
		if !current[id] {
			n.note(now, string(id), "no longer owned here")
			delete(n.observed, id)
			delete(n.restarts, id)
		}
	}
}

// observeUpstream notes what changed at one upstream. The caller must hold mu.
func (n *Node) observeUpstream(now time.Time, s protocol.UpstreamStatus) {
	id := string(s.ID)
	next := observation{boot: s.Boot, healthy: s.Healthy}
	if u := n.opts.Fleet.Get(s.ID); u != nil {
		next.leaving = u.Leaving
	}
	last, known := n.observed[s.ID]
	next.seen = last.seen || s.Healthy
	n.observed[s.ID] = next
	if !known {
		n.note(now, id, fmt.Sprintf("owned by %s", n.opts.Self))
		return
	}
	for _, change := range last.changes(next) {
		n.note(now, id, change)
	}
	if last.restarted(next) {
		n.restarts[s.ID] = append(n.restarts[s.ID], now)
	}
	n.forgetRestarts(now, s.ID)
}

// changes describes how next differs.
func (o observation) changes(next observation) []string {
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
	if !o.healthy && next.healthy && o.seen {
		list = append(list, "answers again")
	}
	if o.restarted(next) {
		list = append(list, fmt.Sprintf("restarted: boot %s after %s", next.boot, o.boot))
	}
	return list
}

func (o observation) restarted(next observation) bool {
	return o.boot != "" && next.boot != "" && o.boot != next.boot
}

// forgetRestarts drops old restarts. The caller must hold mu.
func (n *Node) forgetRestarts(now time.Time, id state.UpstreamID) {
	times := n.restarts[id]
	for len(times) > maxRestarts || len(times) > 0 && now.Sub(times[0]) > keepRestarts {
		times = times[1:]
	}
	if len(times) == 0 {
		delete(n.restarts, id)
		return
	}
	n.restarts[id] = times
}
