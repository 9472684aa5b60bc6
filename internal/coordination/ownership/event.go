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
	// Assignment tells whether this daemon should own the upstream.
	Assignment struct{ Assigned bool }
	// LeaseUpdate tells the session of this daemon and until when its lease is valid.
	LeaseUpdate struct {
		Session    lease.Session
		ValidUntil time.Time
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
	// SessionLapsed reports that a session has lost its lease for good. Settled reports
	// that this daemon knows of every order of the session that may be under way.
	SessionLapsed struct {
		Session     lease.Session
		OrdersKnown bool
	}
	// RefreshRecord asks to read the record again: another daemon waits for it.
	RefreshRecord struct{}
	// ClaimResolved reports that a session has no request running on the upstream and
	// no order under way by its claims up to an epoch, and never will again.
	ClaimResolved struct{ Claim Claim }
	// LoadReport is a load report that was asked for at AskedAt.
	LoadReport struct {
		Boot        state.BootID
		Resident    []state.AdapterRef
		RequestedAt time.Time
	}
	// RaiseFenceDone reports the engine's answer to RaiseFence.
	RaiseFenceDone struct {
		OK       bool
		Rejected bool // the engine has seen a higher fencing number
		Boot     state.BootID
		Epoch    state.Epoch
	}
	// RequestUnload asks for permission to unload an adapter that serves nothing.
	RequestUnload struct{ Adapter state.AdapterRef }
	// PromiseResult reports that all peers have promised not to use the adapter after
	// a takeover, or that one of them did not.
	PromiseResult struct {
		Adapter state.AdapterRef
		OK      bool
	}
	// UnloadEnded reports that a permitted unload cannot take effect any more.
	UnloadEnded struct{ Adapter state.AdapterRef }
	// UnloadNotice asks for the promise to honor the pending unload of an owner whose
	// lease may have lapsed. Core.Honors tells the answer.
	UnloadNotice struct{ Pending PendingUnload }
)

func (Tick) event()           {}
func (Assignment) event()     {}
func (LeaseUpdate) event()    {}
func (ReadDone) event()       {}
func (WriteDone) event()      {}
func (SessionLapsed) event()  {}
func (RefreshRecord) event()  {}
func (ClaimResolved) event()  {}
func (LoadReport) event()     {}
func (RaiseFenceDone) event() {}
func (RequestUnload) event()  {}
func (PromiseResult) event()  {}
func (UnloadEnded) event()    {}
func (UnloadNotice) event()   {}

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
	// RequestPromises asks the peers that may break this daemon's lease for a promise.
	RequestPromises struct{ Pending PendingUnload }
	// UnloadDecision ends an AskUnload.
	UnloadDecision struct {
		Adapter state.AdapterRef
		Granted bool
	}
)

func (Read) action()            {}
func (Write) action()           {}
func (RaiseFence) action()      {}
func (RequestPromises) action() {}
func (UnloadDecision) action()  {}
