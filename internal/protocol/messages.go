package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Version is the version of the protocol between daemons.
const Version = 1

// MessageKind identifies the type of a message.
type MessageKind uint8

// Kinds of messages. Values are part of the wire format.
const (
	MsgCall MessageKind = iota + 2
	MsgHead
	MsgChunk
	MsgEnd
	MsgHeartbeat
	MsgHeartbeatAck
	MsgConfigStateRequest
	MsgConfigState
	MsgConfigFetch
	MsgConfigRecords
	MsgSuspects
	MsgSuspectsReply
	MsgPermitRequest
	MsgPermitReply
	MsgShareRequest
	MsgShareGrant
	MsgFleet
	MsgFleetReply
	MsgLoadRequest
	MsgLoadReply
	MsgPromptNotice
	MsgPromptNoticeReply
	MsgPromptReservation
	MsgPromptReservationReply
)

// Call asks the owner of an upstream to run a request. Either Model or Plain is set.
type Call struct {
	RequestID   string           `cbor:"1,keyasint"`
	Attempt     uint32           `cbor:"2,keyasint"`
	Upstream    state.UpstreamID `cbor:"3,keyasint"`
	Customer    state.CustomerID `cbor:"4,keyasint"`
	Service     state.ServiceID  `cbor:"5,keyasint"`
	Rank        state.Rank       `cbor:"6,keyasint"`
	TimeLeft    time.Duration    `cbor:"7,keyasint"` // until the caller's deadline
	Repeatable  bool             `cbor:"8,keyasint"`
	Fingerprint uint64           `cbor:"9,keyasint"`
	Model       *ModelCall       `cbor:"10,keyasint,omitempty"`
	Plain       *PlainCall       `cbor:"11,keyasint,omitempty"`
	// Exclusive requires that no other request runs on the upstream at the same time.
	Exclusive bool `cbor:"20,keyasint,omitempty"`
	// AboveUsualRate marks a call beyond the usual request rate of its class.
	AboveUsualRate bool `cbor:"21,keyasint,omitempty"`
	// Ticket addresses the call to the daemon that issued the ticket. Such a call names
	// no upstream.
	Ticket string `cbor:"12,keyasint,omitempty"`
	Base   string `cbor:"13,keyasint,omitempty"` // base model, with Ticket only
	// IdempotencyKey is not sent: only the daemon that received the request uses the key.
	IdempotencyKey string `cbor:"-"`
}

// Class returns the class of the call.
func (c *Call) Class() state.Class {
	return state.Class{Customer: c.Customer, Service: c.Service, Rank: c.Rank}
}

// ModelCall is a request for a completion by an adapter.
type ModelCall struct {
	Adapter          state.AdapterRef `cbor:"1,keyasint"`
	Chat             bool             `cbor:"2,keyasint"`
	Body             []byte           `cbor:"3,keyasint"` // JSON body of the caller
	ResumeOffset     uint32           `cbor:"4,keyasint"` // offset in the answer of the first token to send
	MaxTokens        uint32           `cbor:"5,keyasint"`
	PromptTokens     uint32           `cbor:"6,keyasint"` // estimated prompt tokens
	FirstMessageHash uint64           `cbor:"7,keyasint"` // hash of the conversation's first message
	WeightsLocation  string           `cbor:"8,keyasint"` // where engines fetch the adapter's weights
	// SharedMessages are hashes of the messages that other requests may share: all but the last.
	SharedMessages []uint64 `cbor:"9,keyasint,omitempty"`
}

// PlainCall is an HTTP request to a plain service.
type PlainCall struct {
	Method string        `cbor:"1,keyasint"`
	Path   string        `cbor:"2,keyasint"`
	Header []HeaderField `cbor:"3,keyasint"`
	Body   []byte        `cbor:"4,keyasint"`
}

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Head starts an answer. It is sent once the upstream has accepted the request.
type Head struct {
	Attempt  uint32           `cbor:"1,keyasint"`
	Upstream state.UpstreamID `cbor:"2,keyasint"`
	Adapter  state.AdapterRef `cbor:"3,keyasint"`
	Boot     state.BootID     `cbor:"4,keyasint"`
	Status   int              `cbor:"5,keyasint"`
	Header   []HeaderField    `cbor:"6,keyasint,omitempty"`
	Replayed bool             `cbor:"7,keyasint,omitempty"` // the answer was stored for an earlier request
}

// Chunk is a part of an answer. Offset and Count are in tokens for model calls and in
// bytes for plain calls.
type Chunk struct {
	Attempt uint32 `cbor:"1,keyasint"`
	Offset  uint32 `cbor:"2,keyasint"`
	Count   uint32 `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
}

// End finishes an answer. Err is nil if the answer is complete.
type End struct {
	Attempt      uint32 `cbor:"1,keyasint"`
	Total        uint32 `cbor:"2,keyasint"` // tokens or bytes of the whole answer
	FinishReason string `cbor:"3,keyasint,omitempty"`
	PromptTokens uint32 `cbor:"4,keyasint,omitempty"`
	Err          *Error `cbor:"5,keyasint,omitempty"`
}

// UpstreamStatus is an owner's report about an upstream to other daemons.
type UpstreamStatus struct {
	ID       state.UpstreamID   `cbor:"1,keyasint"`
	Epoch    state.Epoch        `cbor:"2,keyasint"`
	Boot     state.BootID       `cbor:"3,keyasint"`
	Healthy  bool               `cbor:"4,keyasint"`
	Running  int                `cbor:"5,keyasint"`
	Queued   int                `cbor:"6,keyasint"`
	Slots    int                `cbor:"7,keyasint"`
	Batch    int                `cbor:"8,keyasint"`
	Resident []state.AdapterRef `cbor:"9,keyasint"`
	Loading  []state.AdapterRef `cbor:"10,keyasint,omitempty"`
	Role     state.Role         `cbor:"11,keyasint,omitempty"`

	// QueuedByRank splits Queued by rank, the most urgent first.
	QueuedByRank []int `cbor:"12,keyasint,omitempty"`
}

// UpstreamLoad is the part of an UpstreamStatus that changes with every request.
type UpstreamLoad struct {
	ID           state.UpstreamID `cbor:"1,keyasint"`
	Running      int              `cbor:"2,keyasint"`
	Queued       int              `cbor:"3,keyasint"`
	QueuedByRank []int            `cbor:"4,keyasint,omitempty"`
}

// Heartbeat shows that a daemon is alive and contains the changes of its owned upstreams
// since the state with sequence number Base. If Base is 0, it contains the full state.
type Heartbeat struct {
	Daemon      state.DaemonID     `cbor:"1,keyasint"`
	Incarnation state.Incarnation  `cbor:"2,keyasint"`
	Zone        state.Zone         `cbor:"3,keyasint"`
	Sequence    uint64             `cbor:"4,keyasint"`
	Revision    uint64             `cbor:"5,keyasint"` // of the configuration in force
	Draining    bool               `cbor:"6,keyasint,omitempty"`
	Upstreams   []UpstreamStatus   `cbor:"7,keyasint,omitempty"` // without their load
	Loads       []UpstreamLoad     `cbor:"8,keyasint,omitempty"`
	Removed     []state.UpstreamID `cbor:"9,keyasint,omitempty"`
	Base        uint64             `cbor:"10,keyasint,omitempty"`
	Digest      uint64             `cbor:"11,keyasint,omitempty"` // of all owned upstreams after the changes
	LoadDigest  uint64             `cbor:"12,keyasint,omitempty"`
}

// HeartbeatAck acknowledges a Heartbeat with the configuration revision of the heartbeat's
// receiver and the sequence number of the state that the receiver holds. Sequence number 0
// requests the full state.
type HeartbeatAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// ConfigStateRequest asks for the configuration in force at a daemon.
type ConfigStateRequest struct {
	// Announced is the configuration revision in force at the sender of the request. Its
	// receiver may fetch that revision.
	Announced uint64 `cbor:"1,keyasint"`
}

// ConfigState identifies the configuration in force at a daemon.
type ConfigState struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   uint64 `cbor:"2,keyasint"`
}

// ConfigFetch asks for the change records after a revision.
type ConfigFetch struct {
	After uint64 `cbor:"1,keyasint"`
}

// ConfigRecords answers a ConfigFetch with change records in order, or with a snapshot
// if the answering daemon no longer has all of the records.
type ConfigRecords struct {
	Records  [][]byte `cbor:"1,keyasint,omitempty"` // JSON of configsync.ChangeRecord
	Revision uint64   `cbor:"2,keyasint,omitempty"` // of the snapshot
	Digest   uint64   `cbor:"3,keyasint,omitempty"`
	Snapshot []byte   `cbor:"4,keyasint,omitempty"` // compressed objects
}

// Suspects contains entries of the table of requests that crashed upstreams, and crashes that
// count against shared messages. A message without either compares the digests of two daemons'
// tables; the reply then also repeats the crashes of refused and suspect messages.
type Suspects struct {
	Digest  uint64           `cbor:"1,keyasint"`
	Entries []suspects.Entry `cbor:"2,keyasint,omitempty"`
	// MessageCrashes are crashes that count against shared messages.
	MessageCrashes []quarantine.CrashGroup `cbor:"5,keyasint,omitempty"`
	// Survivals are shared messages that requests completed with.
	Survivals []quarantine.SurvivalGroup `cbor:"6,keyasint,omitempty"`
}

// PermitRequest asks the daemon that tracks a fingerprint for a permit to run a request,
// or gives back an earlier permit.
type PermitRequest struct {
	Fingerprint suspects.Fingerprint `cbor:"1,keyasint"`
	Release     bool                 `cbor:"2,keyasint,omitempty"`
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Decision suspects.Decision `cbor:"1,keyasint"`
}
