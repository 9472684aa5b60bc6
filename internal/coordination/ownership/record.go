// Package ownership decides which daemon owns an upstream and what the owner may
// do: dispatch, load and unload.
//
// The ownership record of an upstream is kept in the object store and changes only by
// conditional writes. A daemon with a valid lease acquires the upstream when the
// previous owner has released it or has lost its lease for good. The rules that keep
// an adapter with requests in flight from being unloaded are in
// docs/design/ownership.md.
//
// A Core holds no pointers and never changes a slice in place, so a copy by
// assignment is an independent copy.
package ownership

import (
	"slices"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

// PendingUnload is an unload order that may still reach the engine. Claim identifies the
// owner that gave the order.
type PendingUnload struct {
	Adapter state.AdapterRef `json:"adapter"`
	Boot    state.BootID     `json:"boot"`
	Claim   Claim            `json:"by"`
}

// Claim identifies a period of ownership of an upstream: the owning session and the
// epoch in which it acquired the upstream.
type Claim struct {
	Session lease.Session `json:"session"`
	Epoch   state.Epoch   `json:"epoch"`
}

// AllEpochs is the epoch of a claim that covers all claims of its session.
const AllEpochs = ^state.Epoch(0)

// Record is the ownership record of an upstream, as stored in the object store.
type Record struct {
	Owner    lease.Session `json:"owner"`
	Epoch    state.Epoch   `json:"epoch"`
	Released bool          `json:"released,omitempty"`
	// Unresolved lists the claims of earlier owners that may still have requests or
	// orders in flight.
	Unresolved []Claim `json:"unresolved,omitempty"`
	// Pending lists unloads that may still take effect. For an engine that ignores fencing
	// tokens, an owner with a valid lease lists an unload before it sends the order.
	Pending []PendingUnload `json:"pending,omitempty"`
}

func (r Record) clone() Record {
	r.Unresolved = slices.Clone(r.Unresolved)
	r.Pending = slices.Clone(r.Pending)
	return r
}

// Claim returns the claim of the current owner.
func (r Record) Claim() Claim { return Claim{Session: r.Owner, Epoch: r.Epoch} }
