package protocol

import (
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Messages about the ownership of upstreams.
const (
	MsgOwnershipAsk    MessageKind = 60
	MsgOwnershipAnswer MessageKind = 61
)

// OwnershipQuestion tells the questions about ownership apart.
type OwnershipQuestion uint8

// Questions about ownership.
const (
	// AskResolved asks whether the receiver has stopped acting by a claim.
	AskResolved OwnershipQuestion = iota + 1
	// AskPromise asks the receiver to honor a pending unload after a takeover.
	AskPromise
	// AskRelease asks the receiver to read the record and release the upstream.
	AskRelease
)

// OwnershipAsk is a question about the ownership of an upstream.
type OwnershipAsk struct {
	Question OwnershipQuestion       `cbor:"1,keyasint"`
	Upstream state.UpstreamID        `cbor:"2,keyasint"`
	Claim    ownership.Claim         `cbor:"3,keyasint"`
	Pending  ownership.PendingUnload `cbor:"4,keyasint"`
	// Run is the run of the daemon that is asked; another run answers no.
	Run state.Incarnation `cbor:"5,keyasint"`
}

// OwnershipAnswer answers an OwnershipAsk.
type OwnershipAnswer struct {
	OK bool `cbor:"1,keyasint"`
}
