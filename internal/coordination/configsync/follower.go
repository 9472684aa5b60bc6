package configsync

import (
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Periods of a Follower.
const (
	// BootstrapTimeout is how long a starting daemon waits for the platform before
	// the highest revision of a peer is enough to serve.
	BootstrapTimeout = 3 * time.Second
	// RelayPollInterval is the period in which the relay of a zone reads the platform
	// besides its watch.
	RelayPollInterval = 10 * time.Second
	// MemberPollInterval is the period in which every other daemon reads the platform, so
	// that a lost relay delays configuration by a bounded time.
	MemberPollInterval = 60 * time.Second
	// InitialReadBackoff is the first pause after a failed read; it doubles up to RelayPoll.
	InitialReadBackoff = 500 * time.Millisecond
	// PeerRetryDelay is the pause after a failed read from a peer.
	PeerRetryDelay = time.Second
)

// FollowerEvent is an input of a Follower.
type FollowerEvent interface{ followEvent() }

// Events of a Follower.
type (
	// Tick lets time pass.
	Tick struct{}
	// RelayChanged tells whether this daemon is the relay of its zone.
	RelayChanged struct{ Relay bool }
	// ObjectStoreChanged reports that the watch saw a new record.
	ObjectStoreChanged struct{}
	// ObjectStoreRead reports the end of a ReadPlatform.
	ObjectStoreRead struct {
		OK       bool
		Revision uint64 // in force after the read
	}
	// SubmissionApplied reports that a submission made here is in force.
	SubmissionApplied struct{ Revision uint64 }
	// PeerRevisionReported reports the revision of a peer.
	PeerRevisionReported struct {
		Peer     state.DaemonID
		Revision uint64
	}
	// PeerRead reports the end of a ReadPeer.
	PeerRead struct {
		Peer     state.DaemonID
		OK       bool
		Revision uint64 // in force after the read
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
	// ReadObjectStore reads the records after the revision in force, or a snapshot.
	ReadObjectStore struct{}
	// ReadPeer reads the records after the revision in force from a peer.
	ReadPeer struct{ Peer state.DaemonID }
	// AnnounceRevision tells the peers of the zone that the revision in force has risen.
	AnnounceRevision struct{ Revision uint64 }
)

func (ReadObjectStore) followAction()  {}
func (ReadPeer) followAction()         {}
func (AnnounceRevision) followAction() {}

// Follower decides from where a daemon takes new revisions. It is not safe for
// concurrent use.
type Follower struct {
	rng      *rand.Rand
	start    time.Time
	relay    bool
	revision uint64
	seen     bool // the platform was read once

	reading  bool // a read of the platform is under way
	again    bool // the platform changed during the read
	nextPoll time.Time
	pause    time.Duration

	ahead     state.DaemonID // a peer with a higher revision
	aheadAt   uint64
	peerBusy  bool
	peerAfter time.Time
}

// NewFollower returns a follower that starts at now.
func NewFollower(now time.Time, rng *rand.Rand) *Follower {
	return &Follower{rng: rng, start: now, nextPoll: now, pause: InitialReadBackoff}
}

// Ready reports whether the daemon may serve: it has a revision, and either the
// platform or, after BootstrapWait, a peer has been asked for a higher one.
func (f *Follower) Ready(now time.Time) bool {
	return f.revision > 0 && (f.seen || now.Sub(f.start) >= BootstrapTimeout)
}

// Handle takes an event and returns what to do.
func (f *Follower) Handle(now time.Time, event FollowerEvent) []FollowerAction {
	var out []FollowerAction
	switch e := event.(type) {
	case RelayChanged:
		f.setRelay(now, e.Relay)
	case ObjectStoreChanged:
		f.again = f.reading
		f.nextPoll = now
	case ObjectStoreRead:
		out = f.platformRead(now, e)
	case SubmissionApplied:
		out = f.advance(max(f.revision, e.Revision))
	case PeerRevisionReported:
		if e.Revision > max(f.revision, f.aheadAt) {
			f.ahead, f.aheadAt = e.Peer, e.Revision
		}
	case PeerRead:
		out = f.peerRead(now, e)
	case Tick:
	}
	return append(out, f.due(now)...)
}

func (f *Follower) setRelay(now time.Time, relay bool) {
	if relay && !f.relay {
		f.nextPoll = now
	}
	f.relay = relay
}

func (f *Follower) due(now time.Time) []FollowerAction {
	var out []FollowerAction
	if !f.reading && !now.Before(f.nextPoll) {
		f.reading = true
		out = append(out, ReadObjectStore{})
	}
	if !f.peerBusy && f.aheadAt > f.revision && !now.Before(f.peerAfter) {
		f.peerBusy = true
		out = append(out, ReadPeer{Peer: f.ahead})
	}
	return out
}

func (f *Follower) platformRead(now time.Time, e ObjectStoreRead) []FollowerAction {
	f.reading = false
	switch {
	case !e.OK:
		f.nextPoll = now.Add(f.jitter(f.pause))
		f.pause = min(2*f.pause, RelayPollInterval)
	case f.again:
		f.nextPoll = now
	case f.relay:
		f.nextPoll = now.Add(f.jitter(RelayPollInterval))
	default:
		f.nextPoll = now.Add(f.jitter(MemberPollInterval))
	}
	f.again = false
	if e.OK {
		f.seen = true
		f.pause = InitialReadBackoff
	}
	return f.advance(e.Revision)
}

func (f *Follower) peerRead(now time.Time, e PeerRead) []FollowerAction {
	f.peerBusy = false
	if !e.OK {
		f.peerAfter = now.Add(f.jitter(PeerRetryDelay))
		f.ahead, f.aheadAt = "", 0
	}
	return f.advance(e.Revision)
}

// advance notes the revision in force. Reads that end at the same time may report
// it out of order.
func (f *Follower) advance(revision uint64) []FollowerAction {
	if revision <= f.revision {
		return nil
	}
	f.revision = revision
	return []FollowerAction{AnnounceRevision{Revision: revision}}
}

// jitter spreads a period over 75% to 125% of its length.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(f.rng.Int64N(int64(d/2)))
}
