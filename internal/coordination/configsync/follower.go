package configsync

import (
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Periods of a Follower.
const (
	// BootstrapWait is how long a starting daemon waits for the platform before
	// the highest revision of a peer is enough to serve.
	BootstrapWait = 3 * time.Second
	// RelayPoll is the period in which the relay of a zone reads the platform
	// besides its watch.
	RelayPoll = 10 * time.Second
	// MemberPoll is the period in which every other daemon reads the platform, so
	// that a lost relay delays configuration by a bounded time.
	MemberPoll = 60 * time.Second
	// FailedPoll is the first pause after a failed read; it doubles up to RelayPoll.
	FailedPoll = 500 * time.Millisecond
	// PeerRetry is the pause after a failed read from a peer.
	PeerRetry = time.Second
)

// FollowEvent is an input of a Follower.
type FollowEvent interface{ followEvent() }

// Events of a Follower.
type (
	// Tick lets time pass.
	Tick struct{}
	// RelayChanged tells whether this daemon is the relay of its zone.
	RelayChanged struct{ Relay bool }
	// PlatformChanged reports that the watch saw a new record.
	PlatformChanged struct{}
	// PlatformRead reports the end of a ReadPlatform.
	PlatformRead struct {
		OK       bool
		Revision uint64 // in force after the read
	}
	// Applied reports that a submission made here is in force.
	Applied struct{ Revision uint64 }
	// PeerAt reports the revision of a peer.
	PeerAt struct {
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

func (Tick) followEvent()            {}
func (RelayChanged) followEvent()    {}
func (PlatformChanged) followEvent() {}
func (PlatformRead) followEvent()    {}
func (Applied) followEvent()         {}
func (PeerAt) followEvent()          {}
func (PeerRead) followEvent()        {}

// FollowAction is an output of a Follower.
type FollowAction interface{ followAction() }

// Actions of a Follower.
type (
	// ReadPlatform reads the records after the revision in force, or a snapshot.
	ReadPlatform struct{}
	// ReadPeer reads the records after the revision in force from a peer.
	ReadPeer struct{ Peer state.DaemonID }
	// Announce tells the peers of the zone that the revision in force has risen.
	Announce struct{ Revision uint64 }
)

func (ReadPlatform) followAction() {}
func (ReadPeer) followAction()     {}
func (Announce) followAction()     {}

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
	return &Follower{rng: rng, start: now, nextPoll: now, pause: FailedPoll}
}

// Ready reports whether the daemon may serve: it has a revision, and either the
// platform or, after BootstrapWait, a peer has been asked for a higher one.
func (f *Follower) Ready(now time.Time) bool {
	return f.revision > 0 && (f.seen || now.Sub(f.start) >= BootstrapWait)
}

// Handle takes an event and returns what to do.
func (f *Follower) Handle(now time.Time, event FollowEvent) []FollowAction {
	var out []FollowAction
	switch e := event.(type) {
	case RelayChanged:
		f.setRelay(now, e.Relay)
	case PlatformChanged:
		f.again = f.reading
		f.nextPoll = now
	case PlatformRead:
		out = f.platformRead(now, e)
	case Applied:
		out = f.advance(max(f.revision, e.Revision))
	case PeerAt:
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

func (f *Follower) due(now time.Time) []FollowAction {
	var out []FollowAction
	if !f.reading && !now.Before(f.nextPoll) {
		f.reading = true
		out = append(out, ReadPlatform{})
	}
	if !f.peerBusy && f.aheadAt > f.revision && !now.Before(f.peerAfter) {
		f.peerBusy = true
		out = append(out, ReadPeer{Peer: f.ahead})
	}
	return out
}

func (f *Follower) platformRead(now time.Time, e PlatformRead) []FollowAction {
	f.reading = false
	switch {
	case !e.OK:
		f.nextPoll = now.Add(f.jitter(f.pause))
		f.pause = min(2*f.pause, RelayPoll)
	case f.again:
		f.nextPoll = now
	case f.relay:
		f.nextPoll = now.Add(f.jitter(RelayPoll))
	default:
		f.nextPoll = now.Add(f.jitter(MemberPoll))
	}
	f.again = false
	if e.OK {
		f.seen = true
		f.pause = FailedPoll
	}
	return f.advance(e.Revision)
}

func (f *Follower) peerRead(now time.Time, e PeerRead) []FollowAction {
	f.peerBusy = false
	if !e.OK {
		f.peerAfter = now.Add(f.jitter(PeerRetry))
		f.ahead, f.aheadAt = "", 0
	}
	return f.advance(e.Revision)
}

// advance notes the revision in force. Reads that end at the same time may report
// it out of order.
func (f *Follower) advance(revision uint64) []FollowAction {
	if revision <= f.revision {
		return nil
	}
	f.revision = revision
	return []FollowAction{Announce{Revision: revision}}
}

// jitter spreads a period over 75% to 125% of its length.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(f.rng.Int64N(int64(d/2)))
}
