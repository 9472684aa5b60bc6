// Package membership decides what daemons tell each other in heartbeats and whom
// they take for alive, leaving or gone.
package membership

import (
	"slices"
	"strings"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Item is one part of a daemon's state: its name and a hash of its content.
type Item struct {
	ID   state.UpstreamID
	Hash uint64
}

// ChangeLog is the state of a sender with the sequence number of each change, so that a
// receiver is sent only what changed since the state that it has confirmed.
type ChangeLog struct {
	sequence uint64
	items    map[state.UpstreamID]change
	removed  map[state.UpstreamID]uint64 // sequence of the removal
}

type change struct {
	hash     uint64
	sequence uint64
}

// maxRemoved bounds the removals that are remembered.
const maxRemoved = 4096

// NewChangeLog returns a log without items.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{items: make(map[state.UpstreamID]change), removed: make(map[state.UpstreamID]uint64)}
}

// Update replaces the state and returns its sequence number, which rises by one.
func (l *ChangeLog) Update(items []Item) uint64 {
	l.sequence++
	present := make(map[state.UpstreamID]bool, len(items))
	for _, it := range items {
		present[it.ID] = true
		delete(l.removed, it.ID)
		if old, ok := l.items[it.ID]; !ok || old.hash != it.Hash {
			l.items[it.ID] = change{hash: it.Hash, sequence: l.sequence}
		}
	}
	for id := range l.items {
		if !present[id] {
			delete(l.items, id)
			l.removed[id] = l.sequence
		}
	}
	if len(l.removed) > maxRemoved {
		clear(l.removed)
	}
	return l.sequence
}

// Delta is the difference between two states of a sender.
type Delta struct {
	Base     uint64 // sequence of the state on which the delta builds; 0 for all
	Sequence uint64
	Changed  []state.UpstreamID
	Removed  []state.UpstreamID
	Digest   uint64 // of the whole state after the delta
}

// DeltaSince returns what changed after a confirmed sequence number; 0 asks for all.
func (l *ChangeLog) DeltaSince(confirmed uint64) Delta {
	d := Delta{Base: confirmed, Sequence: l.sequence}
	if confirmed > l.sequence {
		d.Base = 0
	}
	for id, c := range l.items {
		if c.sequence > d.Base {
			d.Changed = append(d.Changed, id)
		}
		d.Digest ^= digestOf(id, c.hash)
	}
	for id, sequence := range l.removed {
		if d.Base > 0 && sequence > d.Base {
			d.Removed = append(d.Removed, id)
		}
	}
	slices.SortFunc(d.Changed, compareIDs)
	slices.SortFunc(d.Removed, compareIDs)
	return d
}

func compareIDs(a, b state.UpstreamID) int { return strings.Compare(string(a), string(b)) }

func digestOf(id state.UpstreamID, hash uint64) uint64 {
	return state.RendezvousWeight(string(id), "digest") ^ hash*0x9e3779b97f4a7c15
}

// ReceivedState is the state of a sender as a receiver knows it.
type ReceivedState struct {
	sequence uint64
	items    map[state.UpstreamID]uint64
}

// Sequence returns the confirmed sequence number; 0 asks the sender for all.
func (r *ReceivedState) Sequence() uint64 { return r.sequence }

// Reset forgets the state, as when the sender has restarted.
func (r *ReceivedState) Reset() { *r = ReceivedState{} }

// Apply takes a delta with the changed items. It reports false, and asks for all,
// if a message was lost or the digest shows a gap. A delta that is older than the
// state is ignored.
func (r *ReceivedState) Apply(d Delta, changed []Item) bool {
	if d.Sequence <= r.sequence && d.Base != 0 {
		return true
	}
	if d.Base > r.sequence {
		r.Reset()
		return false
	}
	if d.Base == 0 || r.items == nil {
		r.items = make(map[state.UpstreamID]uint64, len(changed))
	}
	for _, it := range changed {
		r.items[it.ID] = it.Hash
	}
	for _, id := range d.Removed {
		delete(r.items, id)
	}
	var digest uint64
	for id, hash := range r.items {
		digest ^= digestOf(id, hash)
	}
	if digest != d.Digest {
		r.Reset()
		return false
	}
	r.sequence = d.Sequence
	return true
}
