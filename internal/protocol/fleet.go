package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// DaemonState is what a daemon tells of itself.
type DaemonState struct {
	VM          string                                `cbor:"1,keyasint"`
	Incarnation string                                `cbor:"2,keyasint"`
	Sequence    uint64                                `cbor:"3,keyasint"` // grows within a run
	InFlight    map[state.UpstreamID]balance.InFlight `cbor:"4,keyasint,omitempty"`
	Engines     []EngineState                         `cbor:"5,keyasint,omitempty"` // that it orders loads at
	// StoreAway says that the daemon does not reach the store.
	StoreUnreachable bool `cbor:"6,keyasint,omitempty"`
	Leaving          bool `cbor:"7,keyasint,omitempty"`
}

// EngineState is what an engine holds, as its holder knows it.
type EngineState struct {
	Upstream     state.UpstreamID            `cbor:"1,keyasint"`
	Models       []string                    `cbor:"7,keyasint"` // that the engine holds
	Resident     []residency.ResidentAdapter `cbor:"3,keyasint"`
	LoadCapacity int                         `cbor:"4,keyasint"` // loads that may be asked for
	LoadDelay    time.Duration               `cbor:"5,keyasint"` // until a new one would begin
	CanOrder     bool                        `cbor:"6,keyasint"` // the sender's lease holds
}

// Demand is what requests tell the holders of engines.
type Demand struct {
	// InUse lists adapters with requests in flight, or that ended since the last message.
	InUse map[state.UpstreamID][]upstreams.Adapter `cbor:"1,keyasint,omitempty"`
	// Missing lists adapters that requests came for and that were not there.
	Missing map[state.UpstreamID][]upstreams.Adapter `cbor:"2,keyasint,omitempty"`
}

// Known tells how new a daemon's copies of the store's objects are.
type StoreRevisions struct {
	Config    uint64 `cbor:"1,keyasint"` // version of the configuration
	Versions  uint64 `cbor:"2,keyasint"` // sum of the announced versions of all adapters, which only grow
	Upstreams uint64 `cbor:"3,keyasint"` // revision of the store of the list of upstreams
	Records   uint64 `cbor:"4,keyasint"` // revision of the store of the list of records
	// StoreAge is the time since the list of upstreams was read, by whatever daemon.
	StoreAge time.Duration `cbor:"5,keyasint"`
}

// FleetPush is what a daemon tells a relay several times a second.
type FleetPush struct {
	// States holds the sender's own state; from a relay also those that daemons told it.
	States    []DaemonState      `cbor:"1,keyasint"`
	Demand    Demand             `cbor:"2,keyasint"`
	Crashes   []quarantine.Crash `cbor:"3,keyasint,omitempty"`
	Revisions StoreRevisions     `cbor:"4,keyasint"`
	Update    StoreUpdate        `cbor:"5,keyasint"`
}

// FleetReply answers a FleetPush.
type FleetReply struct {
	States    []DaemonState      `cbor:"1,keyasint,omitempty"` // to a relay, as in FleetPush
	Demand    Demand             `cbor:"2,keyasint"`           // for engines that the sender of the push holds
	Crashes   []quarantine.Crash `cbor:"3,keyasint,omitempty"`
	Revisions StoreRevisions     `cbor:"4,keyasint"`
	// Totals is the work of all daemons but the sender of the push, unless that is a relay.
	TotalInFlight map[state.UpstreamID]balance.InFlight `cbor:"5,keyasint,omitempty"`
	Engines       []EngineState                         `cbor:"6,keyasint,omitempty"`
	// Ages is the time since each VM was heard.
	MessageAges map[string]time.Duration `cbor:"7,keyasint,omitempty"`

	Update StoreUpdate `cbor:"8,keyasint"`
}

// Newer holds what the receiver knows in an older state only.
type StoreUpdate struct {
	Config       *routes.Config       `cbor:"1,keyasint,omitempty"`
	Versions     []upstreams.Version  `cbor:"2,keyasint,omitempty"`
	Upstreams    []upstreams.Upstream `cbor:"3,keyasint,omitempty"`
	Members      []Member             `cbor:"4,keyasint,omitempty"`
	LeaseHolders []LeaseHolder        `cbor:"5,keyasint,omitempty"`
}

// Member is a run of a daemon as it makes itself known to its peers.
type Member struct {
	VM              string     `cbor:"1,keyasint" json:"vm"`
	Incarnation     string     `cbor:"2,keyasint" json:"run"` // new at each start
	Addr            string     `cbor:"3,keyasint" json:"addr"`
	Zone            state.Zone `cbor:"4,keyasint" json:"zone"`
	CertificateHash string     `cbor:"5,keyasint" json:"hash"` // of its certificate
	CPU             float64    `cbor:"6,keyasint" json:"cpu"`  // share of a core

	Revision uint64 `cbor:"7,keyasint" json:"-"`
}

// ID returns the name of the run among peers.
func (m *Member) ID() state.DaemonID { return state.DaemonID(m.VM + "/" + m.Incarnation) }

// Holder says which VM gives orders to an engine. Its revision is the fencing token.
type LeaseHolder struct {
	Engine     state.UpstreamID `cbor:"1,keyasint" json:"engine"`
	VM         string           `cbor:"2,keyasint" json:"vm"`
	PreviousVM string           `cbor:"3,keyasint,omitempty" json:"from,omitempty"` // the VM from which it was taken over

	Revision uint64 `cbor:"4,keyasint" json:"-"`
}

// WantAdapter asks the holder of an engine to load an adapter.
type LoadRequest struct {
	Upstream     state.UpstreamID  `cbor:"1,keyasint"`
	Adapter      upstreams.Adapter `cbor:"2,keyasint"`
	Version      int               `cbor:"3,keyasint,omitempty"`
	Rank         int               `cbor:"4,keyasint,omitempty"` // of the request that waits
	Slack        time.Duration     `cbor:"5,keyasint,omitempty"` // within which the load must be done for it to be on time
	OrderTimeout time.Duration     `cbor:"6,keyasint,omitempty"` // within which the load must be ordered, zero for any time
	// Use only tells that the adapter is used; nothing is loaded.
	UsageOnly bool `cbor:"7,keyasint,omitempty"`
}

// WantReply answers a WantAdapter.
type LoadReply struct {
	Accepted bool          `cbor:"1,keyasint"`
	ReadyIn  time.Duration `cbor:"2,keyasint"`
	Reason   string        `cbor:"3,keyasint,omitempty"`
}
