package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// FleetState is what a daemon tells its peers several times a second.
type FleetState struct {
	Works   map[state.UpstreamID]balance.Work        `cbor:"1,keyasint,omitempty"`
	Strikes []quarantine.Strike                      `cbor:"2,keyasint,omitempty"`
	Uses    map[state.UpstreamID][]upstreams.Adapter `cbor:"3,keyasint,omitempty"` // in flight, or begun since the last message
	Missing map[state.UpstreamID][]upstreams.Adapter `cbor:"7,keyasint,omitempty"` // asked for since the last message, and not there
	Engines []EngineState                            `cbor:"4,keyasint,omitempty"` // that the sender orders loads at
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion uint64 `cbor:"5,keyasint,omitempty"`
	Leaving       bool   `cbor:"6,keyasint,omitempty"`
	// VersionsAt is the store's revision of the last announced version of an adapter.
	VersionsAt uint64 `cbor:"8,keyasint,omitempty"`
	// StoreAway says that the sender does not reach the store.
	StoreAway bool `cbor:"9,keyasint,omitempty"`
}

// EngineState is what an engine holds, as its owner knows it.
type EngineState struct {
	Upstream state.UpstreamID `cbor:"1,keyasint"`
	HasModel bool             `cbor:"2,keyasint"`
	Held     []residency.Held `cbor:"3,keyasint"`
	CanOrder bool             `cbor:"6,keyasint"` // the sender's lease holds
	Room     int              `cbor:"4,keyasint"` // loads that may be asked for
	Queue    time.Duration    `cbor:"5,keyasint"` // until a new one would begin
}

// FleetAck answers a FleetState.
type FleetAck struct{}

// WantAdapter asks the owner of an engine to load an adapter.
type WantAdapter struct {
	Upstream state.UpstreamID  `cbor:"1,keyasint"`
	Adapter  upstreams.Adapter `cbor:"2,keyasint"`
	Version  int               `cbor:"3,keyasint,omitempty"`
	Rank     int               `cbor:"4,keyasint,omitempty"` // of the request that waits
	Slack    time.Duration     `cbor:"5,keyasint,omitempty"` // within which the load must be done for it to be on time
}

// WantReply answers a WantAdapter.
type WantReply struct {
	OK      bool          `cbor:"1,keyasint"`
	ReadyIn time.Duration `cbor:"2,keyasint"`
	Reason  string        `cbor:"3,keyasint,omitempty"`
}
