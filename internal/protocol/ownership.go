package protocol

import (
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Messages about the ownership of upstreams.
const (
	MsgOwnershipRequest MessageKind = 60
	MsgOwnershipReply   MessageKind = 61
)

// OwnershipQuestion tells the questions about ownership apart.
type OwnershipAction uint8

// Questions about ownership.
const (
	// AskResolved asks whether the receiver has stopped acting by a claim.
	ConfirmClaimEnded OwnershipAction = iota + 1
	// AskPromise asks the receiver to honor a pending unload after a takeover.
	PromiseUnload
	// AskRelease asks the receiver to read the record and release the upstream.
	ReleaseUpstream
)

// OwnershipAsk is a question about the ownership of an upstream.
type OwnershipRequest struct {
	Action   OwnershipAction         `cbor:"1,keyasint"`
	Upstream state.UpstreamID        `cbor:"2,keyasint"`
	Claim    ownership.Claim         `cbor:"3,keyasint"`
	Pending  ownership.PendingUnload `cbor:"4,keyasint"`
	// Run is the run of the daemon that is asked; another run answers no.
	Incarnation state.Incarnation `cbor:"5,keyasint"`
}

// OwnershipAnswer answers an OwnershipAsk.
type OwnershipReply struct {
	OK bool `cbor:"1,keyasint"`
}
