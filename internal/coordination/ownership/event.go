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
	// Tick reports that time has passed.
	Tick struct{}
	// Assignment sets whether this daemon should own the upstream.
	Assignment struct{ Assigned bool }
	// LeaseUpdate carries the session of this daemon and the end of its lease.
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
	// SessionLapsed reports that a session has lost its lease for good. OrdersKnown
	// is true if every unload order of the session that may still take effect is known
	// to this daemon.
	SessionLapsed struct {
		Session     lease.Session
		OrdersKnown bool
	}
	// RefreshRecord makes the core read the record again, because another daemon waits
	// to acquire the upstream.
	RefreshRecord struct{}
	// ClaimResolved reports that a session has no request or order in flight at the
	// upstream under its claims up to an epoch, and never will again.
	ClaimResolved struct{ Claim Claim }
	// LoadReport is a load report of the engine that was requested at RequestedAt.
	LoadReport struct {
		Boot        state.BootID
		Resident    []state.AdapterRef
		RequestedAt time.Time
	}
	// RaiseFenceDone reports the engine's answer to RaiseFence.
	RaiseFenceDone struct {
		OK       bool
		Rejected bool // the engine has seen a higher fencing token
		Boot     state.BootID
		Epoch    state.Epoch
	}
	// RequestUnload asks for permission to unload an adapter without requests. An
	// UnloadDecision answers it.
	RequestUnload struct{ Adapter state.AdapterRef }
	// PromiseResult answers RequestPromises. OK is true if all peers have promised not
	// to use the adapter after a takeover.
	PromiseResult struct {
		Adapter state.AdapterRef
		OK      bool
	}
	// UnloadEnded reports that a granted unload has taken effect or never will.
	UnloadEnded struct{ Adapter state.AdapterRef }
	// UnloadNotice asks this daemon to promise that it honors the pending unload of an
	// owner whose lease may have lapsed. Core.HonorsUnload returns the answer.
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
	// Read reads the ownership record. A ReadDone answers it.
	Read struct{}
	// Write replaces the record if it still has version Base. A WriteDone answers it.
	Write struct {
		Base   lease.Version
		Record Record
	}
	// RaiseFence makes the engine reject orders of earlier epochs. A RaiseFenceDone
	// answers it.
	RaiseFence struct{ Epoch state.Epoch }
	// RequestPromises asks the peers that may break this daemon's lease to honor the
	// pending unload. A PromiseResult answers it.
	RequestPromises struct{ Pending PendingUnload }
	// UnloadDecision answers a RequestUnload.
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
