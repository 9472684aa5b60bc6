// Package lease decides when a daemon renews its lease, until when it may rely on
// it, and when another daemon may break the lease of a daemon that is silent.
//
// Each daemon has one lease object in the object store. The holder counts the duration
// of the lease from the time when it sent the renewal, on its monotonic clock; an
// observer counts from the time when it first read the renewed object. A lease ends for
// good only when an observer marks the object as broken by a conditional write, which
// makes every delayed renewal fail.
//
// The types hold no pointers and never change a slice in place, so a copy by
// assignment is an independent copy.
package lease

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Version is the version of an object. Zero stands for an absent object.
type Version uint64

// Outcome is the result of a conditional write.
type Outcome uint8

// Outcomes of a conditional write.
const (
	WriteOK       Outcome = iota + 1
	WriteConflict         // the object has another version
	WriteUnknown          // the write may have taken effect, or may still do so
	WriteFailed           // the write has not taken effect and never will
)

// Session is one term of one incarnation of a daemon. A new term starts after the lease of
// the previous term was lost.
type Session struct {
	Daemon      state.DaemonID    `json:"daemon"`
	Incarnation state.Incarnation `json:"incarnation"`
	Term        uint64            `json:"term"`
}

// SameIncarnation reports whether both sessions belong to the same incarnation of a
// daemon.
func (s Session) SameIncarnation(o Session) bool {
	return s.Daemon == o.Daemon && s.Incarnation == o.Incarnation
}

// IsZero reports whether s names no session.
func (s Session) IsZero() bool { return s == Session{} }

// Record is the content of the lease object of a daemon.
type Record struct {
	Session
	Sequence uint64        `json:"sequence"`
	Duration time.Duration `json:"duration"`
	// Peers are the incarnations of daemons that may break the lease as soon as it has
	// expired. Without a valid lease, the holder unloads only with their promises.
	Peers []Session `json:"peers,omitempty"`
	// Broken is set by an observer: the holder has lost the lease.
	Broken bool `json:"broken,omitempty"`
	// Exited is set by the holder: the daemon has exited with nothing in flight.
	Exited bool   `json:"exited,omitempty"`
	Status string `json:"status,omitempty"`
}

// MayBeBrokenBy reports whether the incarnation of s is one of the peers, so that it may
// break the lease as soon as the lease has expired.
func (r Record) MayBeBrokenBy(s Session) bool {
	for _, p := range r.Peers {
		if p.SameIncarnation(s) {
			return true
		}
	}
	return false
}

// Read is the action of reading the lease object. A ReadDone answers it.
type Read struct{}

// Write is the action of replacing the lease object, provided that its version is still
// Base. A WriteDone answers it.
type Write struct {
	Base   Version
	Record Record
}

// SessionLapsed is an action of a Watcher. It reports that the session can never hold a
// valid lease again. OrdersKnown is true if every unload order of the session that
// may still take effect is known to the observer: the observer is one of the session's
// peers, or no unload order can be in flight.
type SessionLapsed struct {
	Session     Session
	OrdersKnown bool
}

// IncarnationEnded is an action of a Watcher. It reports that the incarnation of the
// session has ended, and that its requests and orders have arrived or are lost.
type IncarnationEnded struct{ Session Session }

// Action is an output of a Holder or a Watcher.
type Action interface{ action() }

func (Read) action()             {}
func (Write) action()            {}
func (SessionLapsed) action()    {}
func (IncarnationEnded) action() {}

// Event is an input of a Holder or a Watcher.
type Event interface{ event() }

// Events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// WriteDone reports the outcome of a Write.
	WriteDone struct {
		Outcome Outcome
		Version Version
	}
	// ReadDone reports the result of a Read. OK is false if the read failed.
	ReadDone struct {
		OK      bool
		Found   bool
		Version Version
		Record  Record
	}
	// SetPeers replaces the peers that the next renewals name, unless peers are pinned.
	SetPeers struct{ Peers []Session }
	// PinPeers sets whether the peers are pinned. Pinned peers do not change, and a holder
	// that has lost its lease does not renew in a new term. The peers are pinned while
	// only the current peers have been asked to honor an unload.
	PinPeers struct{ On bool }
	// Exit makes the holder record the exit of the daemon, which ends the lease. The daemon
	// must have nothing in flight.
	Exit struct{}
)

func (Tick) event()      {}
func (WriteDone) event() {}
func (ReadDone) event()  {}
func (SetPeers) event()  {}
func (PinPeers) event()  {}
func (Exit) event()      {}
