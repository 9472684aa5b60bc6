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

// ChangeLog holds the state of a sender with the sequence number of the last change of each
// item. From it, DeltaSince computes what a receiver lacks.
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

// maxRememberedRemovals bounds the removed items in a ChangeLog. If there are more, all
// removals are dropped. A receiver that misses a removal detects it by the digest.
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
	Base     uint64 // sequence of the state that the delta changes; 0 if the delta holds the whole state
	Sequence uint64
	Changed  []state.UpstreamID
	Removed  []state.UpstreamID
	Digest   uint64 // digest of the whole state after the delta
}

// DeltaSince returns what changed after the state that a receiver has confirmed. It returns
// the whole state if confirmed is 0, or if confirmed is higher than the sequence number of
// the sender, which means that it is from an earlier incarnation.
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

// Sequence returns the sequence number of the state, to be confirmed to the sender. Its
// value 0 requests the whole state.
func (s *ReceivedState) Sequence() uint64 { return s.sequence }

// Reset discards the received state, so that the sender is asked for its whole state.
func (s *ReceivedState) Reset() { *s = ReceivedState{} }

// Apply applies a delta and its changed items. If a message was lost or the digest differs,
// it resets the state and returns false. It ignores a delta that is not newer than the
// state, unless the delta holds the whole state.
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
