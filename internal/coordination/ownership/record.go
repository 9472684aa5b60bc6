// Package ownership decides which daemon owns an upstream and what the owner may
// do: dispatch, load and unload.
//
// The ownership record of an upstream lies in the platform and changes only by
// conditional writes. A daemon acquires it with a valid lease, when the previous
// owner has released it or has lost its lease for good. The rules that keep an
// adapter that serves from being unloaded are in docs/design/ownership.md.
//
// A Core holds no pointers and never changes a slice in place, so a copy by
// assignment is an independent copy.
package ownership

import (
	"slices"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

// PendingUnload is an unload order that may still reach the engine.
type PendingUnload struct {
	Adapter state.AdapterRef `json:"adapter"`
	Boot    state.BootID     `json:"boot"`
	Claim   Claim            `json:"by"`
}

// Claim is the ownership of an upstream by a session from an epoch on.
type Claim struct {
	Session lease.Session `json:"session"`
	Epoch   state.Epoch   `json:"epoch"`
}

// AllEpochs covers every claim of a session.
const AllEpochs = ^state.Epoch(0)

// Record is the content of the ownership record of an upstream.
type Record struct {
	Owner    lease.Session `json:"owner"`
	Epoch    state.Epoch   `json:"epoch"`
	Released bool          `json:"released,omitempty"`
	// Unresolved are earlier owners that may still have requests running or
	// orders under way.
	Unresolved []Claim `json:"unresolved,omitempty"`
	// Pending are written before the order is sent to an engine that ignores
	// fencing numbers.
	Pending []PendingUnload `json:"pending,omitempty"`
}

func (r Record) clone() Record {
	r.Unresolved = slices.Clone(r.Unresolved)
	r.Pending = slices.Clone(r.Pending)
	return r
}

// Claim returns the claim of the present owner.
func (r Record) Claim() Claim { return Claim{Session: r.Owner, Epoch: r.Epoch} }
