// Package membership computes which changes of its state a daemon sends to its peers,
// and tracks which VMs of the platform's list are replaced or gone.
package membership

import (
	"slices"
	"strings"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Item identifies one part of a daemon's state by its name and a hash of its content.
type Item struct {
	ID   state.UpstreamID
	Hash uint64
}

// ChangeLog is the state of a sender with the sequence number of each change. It yields
// what changed since the state that a receiver has confirmed.
type ChangeLog struct {
	sequence uint64
	items    map[state.UpstreamID]change
	removed  map[state.UpstreamID]uint64 // sequence of the removal
}

// change is the last change of an item.
type change struct {
	hash     uint64
	sequence uint64
}

// maxRememberedRemovals limits the memory for removed items. If it is exceeded, all
// removals are forgotten; the digest shows a receiver that it has missed one.
const maxRememberedRemovals = 4096

// NewChangeLog returns a change log without items.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{items: make(map[state.UpstreamID]change), removed: make(map[state.UpstreamID]uint64)}
}

// Update replaces the state and returns its sequence number, which increases by one.
func (l *ChangeLog) Update(items []Item) uint64 {
	l.sequence++
	present := make(map[state.UpstreamID]bool, len(items))
	for _, it := range items {
		present[it.ID] = true
		delete(l.removed, it.ID)
		if previous, ok := l.items[it.ID]; !ok || previous.hash != it.Hash {
			l.items[it.ID] = change{hash: it.Hash, sequence: l.sequence}
		}
	}
	for id := range l.items {
		if !present[id] {
			delete(l.items, id)
			l.removed[id] = l.sequence
		}
	}
	if len(l.removed) > maxRememberedRemovals {
		clear(l.removed)
	}
	return l.sequence
}

// Delta is the difference between two states of a sender.
type Delta struct {
	Base     uint64 // sequence of the state to which the delta applies; 0 if it holds the whole state
	Sequence uint64
	Changed  []state.UpstreamID
	Removed  []state.UpstreamID
	Digest   uint64 // digest of the whole state after the delta
}

// DeltaSince returns what changed after the state that a receiver has confirmed. It
// returns the whole state for sequence number 0 and for one that the sender has not
// reached, which is of an earlier incarnation.
func (l *ChangeLog) DeltaSince(confirmed uint64) Delta {
	d := Delta{Base: confirmed, Sequence: l.sequence}
	if confirmed > l.sequence {
		d.Base = 0
	}
	for id, c := range l.items {
		if c.sequence > d.Base {
			d.Changed = append(d.Changed, id)
		}
		d.Digest ^= itemDigest(id, c.hash)
	}
	for id, sequence := range l.removed {
		if d.Base > 0 && sequence > d.Base {
			d.Removed = append(d.Removed, id)
		}
	}
	slices.SortFunc(d.Changed, compareUpstreamIDs)
	slices.SortFunc(d.Removed, compareUpstreamIDs)
	return d
}

func compareUpstreamIDs(a, b state.UpstreamID) int { return strings.Compare(string(a), string(b)) }

// itemDigest returns the digest of an item. Digests combine by XOR, in any order.
func itemDigest(id state.UpstreamID, hash uint64) uint64 {
	return state.RendezvousWeight(string(id), "digest") ^ hash*0x9e3779b97f4a7c15
}

// ReceivedState is a receiver's copy of the state of a sender.
type ReceivedState struct {
	sequence uint64
	items    map[state.UpstreamID]uint64
}

// Sequence returns the sequence number to confirm to the sender. 0 requests the whole
// state.
func (s *ReceivedState) Sequence() uint64 { return s.sequence }

// Reset discards the state, so that the whole state is requested.
func (s *ReceivedState) Reset() { *s = ReceivedState{} }

// Apply applies a delta and its changed items. If a message was lost or the digest
// differs, it resets the state and returns false. It ignores a delta that is older than
// the state.
func (s *ReceivedState) Apply(d Delta, changed []Item) bool {
	if d.Sequence <= s.sequence && d.Base != 0 {
		return true
	}
	if d.Base > s.sequence {
		s.Reset()
		return false
	}
	if d.Base == 0 || s.items == nil {
		s.items = make(map[state.UpstreamID]uint64, len(changed))
	}
	for _, it := range changed {
		s.items[it.ID] = it.Hash
	}
	for _, id := range d.Removed {
		delete(s.items, id)
	}
	var digest uint64
	for id, hash := range s.items {
		digest ^= itemDigest(id, hash)
	}
	if digest != d.Digest {
		s.Reset()
		return false
	}
	s.sequence = d.Sequence
	return true
}
