package protocol

import "github.com/celerydeck/celerydeck/internal/state"

// Messages between the relays of availability zones and from a relay to its zone.
const (
	MsgZoneFeed    MessageKind = 62
	MsgZoneFeedAck MessageKind = 63
)

// FeedMember is a live daemon of a feed.
type FeedMember struct {
	ID          state.DaemonID    `cbor:"1,keyasint"`
	Incarnation state.Incarnation `cbor:"2,keyasint"`
	Revision    uint64            `cbor:"3,keyasint"`
	Draining    bool              `cbor:"4,keyasint,omitempty"`
}

// FeedUpstream is an upstream of a feed, without its load.
type FeedUpstream struct {
	Owner  state.DaemonID `cbor:"1,keyasint"`
	Status UpstreamStatus `cbor:"2,keyasint"`
}

// ZoneFeed tells what a relay knows of whole availability zones: what has changed
// since the state with sequence number Base.
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
	Forwarded    bool               `cbor:"13,keyasint,omitempty"` // zones other than the sender's own
}

// ZoneFeedAck answers a ZoneFeed with the sequence number of the state that the
// receiver has, 0 if it needs all.
type ZoneFeedAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
}
