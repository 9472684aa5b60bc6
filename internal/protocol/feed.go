package protocol

import "github.com/celerydeck/celerydeck/internal/state"

// Kinds of messages that a relay sends to the relays of other availability zones and to
// the daemons of its own zone. Values are part of the wire format.
const (
	MsgZoneFeed    MessageKind = 62
	MsgZoneFeedAck MessageKind = 63
)

// FeedMember is a live daemon in a ZoneFeed.
type FeedMember struct {
	ID          state.DaemonID    `cbor:"1,keyasint"`
	Incarnation state.Incarnation `cbor:"2,keyasint"`
	Revision    uint64            `cbor:"3,keyasint"`
	Draining    bool              `cbor:"4,keyasint,omitempty"`
}

// FeedUpstream is an upstream in a ZoneFeed, without its load.
type FeedUpstream struct {
	Owner  state.DaemonID `cbor:"1,keyasint"`
	Status UpstreamStatus `cbor:"2,keyasint"`
}

// ZoneFeed is a relay's update about the daemons and upstreams of whole availability
// zones. It contains the changes since the state with sequence number Base. If Base is 0,
// it contains the full state.
type ZoneFeed struct {
	Daemon       state.DaemonID     `cbor:"1,keyasint"`
	Incarnation  state.Incarnation  `cbor:"2,keyasint"`
	Base         uint64             `cbor:"3,keyasint,omitempty"`
	Sequence     uint64             `cbor:"4,keyasint"`
	Members      []FeedMember       `cbor:"5,keyasint,omitempty"`
	GoneMembers  []state.UpstreamID `cbor:"6,keyasint,omitempty"`
	Upstreams    []FeedUpstream     `cbor:"7,keyasint,omitempty"`
	Loads        []UpstreamLoad     `cbor:"8,keyasint,omitempty"`
	Removed      []state.UpstreamID `cbor:"9,keyasint,omitempty"`
	MemberDigest uint64             `cbor:"10,keyasint"`
	Digest       uint64             `cbor:"11,keyasint"`
	LoadDigest   uint64             `cbor:"12,keyasint"`
	Forwarded    bool               `cbor:"13,keyasint,omitempty"` // describes zones other than the sender's
}

// ZoneFeedAck acknowledges a ZoneFeed with the sequence number of the state that the
// receiver of the feed holds. Sequence number 0 requests the full state.
type ZoneFeedAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
}
