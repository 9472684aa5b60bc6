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
	// SessionLapsed reports that a session can never hold a valid lease again. OrdersKnown
	// is true if every unload order of the session that may still take effect is known to
	// this daemon.
	SessionLapsed struct {
		Session     lease.Session
		OrdersKnown bool
	}
	// RefreshRecord makes the core read the record again. Another daemon has asked for
	// the release of the upstream or for the end of a claim.
	RefreshRecord struct{}
	// ClaimResolved reports that no request or order is in flight at the upstream under
	// Claim or under an earlier claim of the same session, and that none will follow.
	ClaimResolved struct{ Claim Claim }
	// LoadReport carries the boot and the resident adapters from a load report of the
	// engine. RequestedAt is when this daemon requested the report.
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
	// PromiseResult answers RequestPromises. OK is true if every peer has promised not to
	// use the adapter if it takes over the upstream.
	PromiseResult struct {
		Adapter state.AdapterRef
		OK      bool
	}
	// UnloadEnded reports that a granted unload has taken effect or can no longer do so.
	UnloadEnded struct{ Adapter state.AdapterRef }
	// UnloadNotice asks this daemon to promise to honor the pending unload of an owner
	// whose lease is not valid. Core.HonorsUnload returns the answer.
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
	// Write replaces the record, provided that its version is still Base. A WriteDone
	// answers it.
	Write struct {
		Base   lease.Version
		Record Record
	}
	// RaiseFence makes the engine reject orders of earlier epochs. A RaiseFenceDone
	// answers it.
	RaiseFence struct{ Epoch state.Epoch }
	// RequestPromises asks each peer that may break this daemon's lease to promise to honor
	// the pending unload. A PromiseResult answers it.
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
