package ownership

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Event is an input of a Core.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Want tells whether this daemon should own the upstream.
	Want struct{ Mine bool }
	// Lease tells the session of this daemon and until when its lease is valid.
	Lease struct {
		Session lease.Session
		Until   time.Time
	}
	// ReadDone reports the result of a Read. OK is false if the read failed.
	ReadDone struct {
		OK      bool
		Found   bool
		Version lease.Version
		Record  Record
	}
	// WriteDone reports the outcome of a Write.
	WriteDone struct {
		Outcome lease.Outcome
		Version lease.Version
	}
	// Lapsed reports that a session has lost its lease for good. Settled reports
	// that this daemon knows of every order of the session that may be under way.
	Lapsed struct {
		Session lease.Session
		Settled bool
	}
	// Refresh asks to read the record again: another daemon waits for it.
	Refresh struct{}
	// Resolved reports that a session has no request running on the upstream and
	// no order under way by its claims up to an epoch, and never will again.
	Resolved struct{ Claim Claim }
	// Report is a load report that was asked for at AskedAt.
	Report struct {
		Boot     state.BootID
		Resident []state.AdapterRef
		AskedAt  time.Time
	}
	// FenceRaised reports the engine's answer to RaiseFence.
	FenceRaised struct {
		OK      bool
		Refused bool // the engine has seen a higher fencing number
		Boot    state.BootID
		Epoch   state.Epoch
	}
	// AskUnload asks for permission to unload an adapter that serves nothing.
	AskUnload struct{ Adapter state.AdapterRef }
	// Promised reports that all peers have promised not to use the adapter after
	// a takeover, or that one of them did not.
	Promised struct {
		Adapter state.AdapterRef
		OK      bool
	}
	// UnloadEnded reports that a permitted unload cannot take effect any more.
	UnloadEnded struct{ Adapter state.AdapterRef }
	// Notice asks for the promise to honor the pending unload of an owner whose
	// lease may have lapsed. Core.Honors tells the answer.
	Notice struct{ Pending PendingUnload }
)

func (Tick) event()        {}
func (Want) event()        {}
func (Lease) event()       {}
func (ReadDone) event()    {}
func (WriteDone) event()   {}
func (Lapsed) event()      {}
func (Refresh) event()     {}
func (Resolved) event()    {}
func (Report) event()      {}
func (FenceRaised) event() {}
func (AskUnload) event()   {}
func (Promised) event()    {}
func (UnloadEnded) event() {}
func (Notice) event()      {}

// Action is an output of a Core.
type Action interface{ action() }

// Actions.
type (
	// Read reads the ownership record.
	Read struct{}
	// Write replaces the record if it still has version Base.
	Write struct {
		Base   lease.Version
		Record Record
	}
	// RaiseFence makes the engine refuse orders of earlier epochs.
	RaiseFence struct{ Epoch state.Epoch }
	// AskPeers asks the peers that may break this daemon's lease for a promise.
	AskPeers struct{ Pending PendingUnload }
	// Answer ends an AskUnload.
	Answer struct {
		Adapter state.AdapterRef
		Granted bool
	}
)

func (Read) action()       {}
func (Write) action()      {}
func (RaiseFence) action() {}
func (AskPeers) action()   {}
func (Answer) action()     {}
