package protocol

import (
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Kinds of messages about the ownership of upstreams. Values are part of the wire
// format.
const (
	MsgOwnershipRequest MessageKind = 60
	MsgOwnershipReply   MessageKind = 61
)

// OwnershipAction selects the action that an OwnershipRequest asks of its receiver.
type OwnershipAction uint8

// Actions of an OwnershipRequest.
const (
	// ConfirmClaimEnded asks whether the receiver has stopped acting on a claim.
	ConfirmClaimEnded OwnershipAction = iota + 1
	// PromiseUnload asks the receiver to honor a pending unload if the receiver takes over
	// the upstream.
	PromiseUnload
	// ReleaseUpstream asks the receiver to read the ownership record and release the
	// upstream.
	ReleaseUpstream
)

// OwnershipRequest asks a daemon about the ownership of an upstream.
type OwnershipRequest struct {
	Action   OwnershipAction         `cbor:"1,keyasint"`
	Upstream state.UpstreamID        `cbor:"2,keyasint"`
	Claim    ownership.Claim         `cbor:"3,keyasint"`
	Pending  ownership.PendingUnload `cbor:"4,keyasint"`
	// Incarnation is the incarnation of the receiver that the request is meant for. Any
	// other incarnation answers no.
	Incarnation state.Incarnation `cbor:"5,keyasint"`
}

// OwnershipReply answers an OwnershipRequest.
type OwnershipReply struct {
	OK bool `cbor:"1,keyasint"`
}
