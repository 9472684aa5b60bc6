package configsync

import (
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Intervals and delays of a Follower.
const (
	// BootstrapTimeout is how long a starting daemon that has a revision from a peer
	// waits for its first read of the object store. After this time it serves without that read.
	BootstrapTimeout = 3 * time.Second
	// RelayPollInterval is the interval at which the relay of a zone reads the
	// object store in addition to its watch.
	RelayPollInterval = 10 * time.Second
	// MemberPollInterval is the interval at which a daemon that is not a relay
	// reads the object store. When a zone has lost its relay, its daemons receive
	// new revisions at the latest after this interval.
	MemberPollInterval = 60 * time.Second
	// InitialReadBackoff is the backoff after the first failed read of the object
	// store. It doubles with each failure, up to RelayPollInterval.
	InitialReadBackoff = 500 * time.Millisecond
	// PeerRetryDelay is the delay after a failed read from a peer.
	PeerRetryDelay = time.Second
)

// FollowerEvent is an input of a Follower.
type FollowerEvent interface{ followEvent() }

// Events of a Follower.
type (
	// Tick triggers the reads that are due.
	Tick struct{}
	// RelayChanged reports whether this daemon is the relay of its zone.
	RelayChanged struct{ Relay bool }
	// ObjectStoreChanged reports that the object store may hold new records.
	ObjectStoreChanged struct{}
	// ObjectStoreRead reports the end of a ReadObjectStore.
	ObjectStoreRead struct {
		OK       bool
		Revision uint64 // revision in force after the read
	}
	// SubmissionApplied reports that a submission through this daemon is in force.
	SubmissionApplied struct{ Revision uint64 }
	// PeerRevisionReported reports which revision is in force at a peer.
	PeerRevisionReported struct {
		Peer     state.DaemonID
		Revision uint64
	}
	// PeerRead reports the end of a ReadPeer.
	PeerRead struct {
		Peer     state.DaemonID
		OK       bool
		Revision uint64 // revision in force after the read
	}
)

func (Tick) followEvent()                 {}
func (RelayChanged) followEvent()         {}
func (ObjectStoreChanged) followEvent()   {}
func (ObjectStoreRead) followEvent()      {}
func (SubmissionApplied) followEvent()    {}
func (PeerRevisionReported) followEvent() {}
func (PeerRead) followEvent()             {}

// FollowerAction is an output of a Follower.
type FollowerAction interface{ followAction() }

// Actions of a Follower.
type (
	// ReadObjectStore reads the records that follow the revision in force, or a
	// snapshot, from the object store.
	ReadObjectStore struct{}
	// ReadPeer reads the records that follow the revision in force from a peer.
	ReadPeer struct{ Peer state.DaemonID }
	// AnnounceRevision announces a new revision in force to the peers of the zone.
	AnnounceRevision struct{ Revision uint64 }
)

func (ReadObjectStore) followAction()  {}
func (ReadPeer) followAction()         {}
func (AnnounceRevision) followAction() {}

// Follower decides when a daemon reads new revisions, and whether from the object
// store or from a peer. It is not safe for concurrent use.
type Follower struct {
	rng       *rand.Rand
	start     time.Time
	relay     bool
	revision  uint64 // revision in force
	storeRead bool   // the object store was read at least once

	storeReadInFlight      bool
	changedDuringStoreRead bool
	nextStoreRead          time.Time
	readBackoff            time.Duration

	aheadPeer        state.DaemonID // peer with the highest reported revision
	aheadRevision    uint64         // revision of aheadPeer
	peerReadInFlight bool
	nextPeerRead     time.Time
}

// NewFollower returns a follower that starts at now.
func NewFollower(now time.Time, rng *rand.Rand) *Follower {
	return &Follower{rng: rng, start: now, nextStoreRead: now, readBackoff: InitialReadBackoff}
}

// Ready reports whether the daemon may serve: it has a revision in force, and
// either the object store has been read or BootstrapTimeout has passed.
func (f *Follower) Ready(now time.Time) bool {
	return f.revision > 0 && (f.storeRead || now.Sub(f.start) >= BootstrapTimeout)
}

// Handle processes an event and returns the actions to take.
func (f *Follower) Handle(now time.Time, event FollowerEvent) []FollowerAction {
	var out []FollowerAction
	switch e := event.(type) {
	case RelayChanged:
		f.setRelay(now, e.Relay)
	case ObjectStoreChanged:
		f.changedDuringStoreRead = f.storeReadInFlight
		f.nextStoreRead = now
	case ObjectStoreRead:
		out = f.objectStoreRead(now, e)
	case SubmissionApplied:
		out = f.advance(max(f.revision, e.Revision))
	case PeerRevisionReported:
		if e.Revision > max(f.revision, f.aheadRevision) {
			f.aheadPeer, f.aheadRevision = e.Peer, e.Revision
		}
	case PeerRead:
		out = f.peerRead(now, e)
	case Tick:
	}
	return append(out, f.dueReads(now)...)
}

func (f *Follower) setRelay(now time.Time, relay bool) {
	if relay && !f.relay {
		f.nextStoreRead = now
	}
	f.relay = relay
}

func (f *Follower) dueReads(now time.Time) []FollowerAction {
	var out []FollowerAction
	if !f.storeReadInFlight && !now.Before(f.nextStoreRead) {
		f.storeReadInFlight = true
		out = append(out, ReadObjectStore{})
	}
	if !f.peerReadInFlight && f.aheadRevision > f.revision && !now.Before(f.nextPeerRead) {
		f.peerReadInFlight = true
		out = append(out, ReadPeer{Peer: f.aheadPeer})
	}
	return out
}

func (f *Follower) objectStoreRead(now time.Time, e ObjectStoreRead) []FollowerAction {
	f.storeReadInFlight = false
	switch {
	case !e.OK:
		f.nextStoreRead = now.Add(f.jitter(f.readBackoff))
		f.readBackoff = min(2*f.readBackoff, RelayPollInterval)
	case f.changedDuringStoreRead:
		f.nextStoreRead = now
	case f.relay:
		f.nextStoreRead = now.Add(f.jitter(RelayPollInterval))
	default:
		f.nextStoreRead = now.Add(f.jitter(MemberPollInterval))
	}
	f.changedDuringStoreRead = false
	if e.OK {
		f.storeRead = true
		f.readBackoff = InitialReadBackoff
	}
	return f.advance(e.Revision)
}

func (f *Follower) peerRead(now time.Time, e PeerRead) []FollowerAction {
	f.peerReadInFlight = false
	if !e.OK {
		f.nextPeerRead = now.Add(f.jitter(PeerRetryDelay))
		f.aheadPeer, f.aheadRevision = "", 0
	}
	return f.advance(e.Revision)
}

// advance raises the revision in force and announces the new revision. It ignores a
// revision that is not higher, because concurrent reads may end out of order.
func (f *Follower) advance(revision uint64) []FollowerAction {
	if revision <= f.revision {
		return nil
	}
	f.revision = revision
	return []FollowerAction{AnnounceRevision{Revision: revision}}
}

// jitter returns a random duration between 75% and 125% of d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(f.rng.Int64N(int64(d/2)))
}
