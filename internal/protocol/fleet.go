package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/quota"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// DaemonState is the state that a daemon reports about itself.
type DaemonState struct {
	VM          string                                `cbor:"1,keyasint"`
	Incarnation string                                `cbor:"2,keyasint"`
	Sequence    uint64                                `cbor:"3,keyasint"` // increases with each state of an incarnation
	InFlight    map[state.UpstreamID]balance.InFlight `cbor:"4,keyasint,omitempty"`
	Engines     []EngineState                         `cbor:"5,keyasint,omitempty"` // engines whose leases the daemon holds
	// StoreUnreachable is set if the object store does not answer the daemon.
	StoreUnreachable bool `cbor:"6,keyasint,omitempty"`
	Leaving          bool `cbor:"7,keyasint,omitempty"`
	// RateLimits are the limits that upstreams have recently named in responses to the daemon.
	RateLimits map[state.UpstreamID]balance.RateLimit `cbor:"8,keyasint,omitempty"`
	// Accounts is the use of client accounts that have recently had requests at the daemon.
	Accounts map[string]quota.Use `cbor:"9,keyasint,omitempty"`
	// LeavingUpstreams are the listed upstreams that said in responses to the daemon that they
	// leave, with the start time of the run.
	LeavingUpstreams map[state.UpstreamID]int64 `cbor:"20,keyasint,omitempty"`
}

// EngineState is the state of an engine as its lease holder reports it.
type EngineState struct {
	Upstream     state.UpstreamID            `cbor:"1,keyasint"`
	Models       []string                    `cbor:"7,keyasint"` // resident models
	Resident     []residency.ResidentAdapter `cbor:"3,keyasint"`
	LoadCapacity int                         `cbor:"4,keyasint"` // further loads that the engine accepts now
	LoadDelay    time.Duration               `cbor:"5,keyasint"` // estimated delay until a new load would start
	CanOrder     bool                        `cbor:"6,keyasint"` // the sender's lease is valid
}

// Demand lists, by engine, the adapters that requests use or need. A lease holder decides
// from this list which adapters to load and to evict.
type Demand struct {
	// InUse lists adapters with requests that are in flight or have ended since the
	// sender's preceding message.
	InUse map[state.UpstreamID][]upstreams.Adapter `cbor:"1,keyasint,omitempty"`
	// Missing lists adapters that requests needed and that were not resident.
	Missing map[state.UpstreamID][]upstreams.Adapter `cbor:"2,keyasint,omitempty"`
}

// StoreRevisions identifies the versions of a daemon's copies of objects in the object
// store.
type StoreRevisions struct {
	Config    uint64 `cbor:"1,keyasint"` // version of the configuration
	Versions  uint64 `cbor:"2,keyasint"` // sum of the announced versions of all adapters; versions only grow
	Upstreams uint64 `cbor:"3,keyasint"` // store revision of the list of upstreams, see state.StoreRevision
	Records   uint64 `cbor:"4,keyasint"` // store revision of the records of members and lease holders
	// StoreAge is the time since any daemon read this list of upstreams.
	StoreAge time.Duration `cbor:"5,keyasint"`
	// ReadFor is the time before that read in which daemons read the store without an
	// interruption.
	ReadFor time.Duration `cbor:"6,keyasint"`
	// LastReader and ReadSequence identify that read: the daemon that made it, and the number of
	// its reads so far.
	LastReader   state.DaemonID `cbor:"8,keyasint,omitempty"`
	ReadSequence uint64         `cbor:"9,keyasint,omitempty"`
	// Era is the newest era of the store that the daemon knows of, and EraAge is for how long a daemon has
	// known of it.
	Era    uint64        `cbor:"10,keyasint,omitempty"`
	EraAge time.Duration `cbor:"11,keyasint,omitempty"`
	// HasVersions is set if the daemon, or one that it heard from, has read the versions of all adapters.
	HasVersions bool `cbor:"12,keyasint,omitempty"`
	// ConfigAge is the time since the store was known to hold no newer configuration.
	ConfigAge time.Duration `cbor:"7,keyasint"`
}

// CrashReports are what a daemon tells a peer of requests that crash upstreams.
type CrashReports struct {
	Crashes []quarantine.CrashGroup `cbor:"1,keyasint,omitempty"`
	// Survivals are traits of requests that got past the beginning of their run, of which
	// peers may have recorded crashes.
	Survivals []quarantine.SurvivalGroup `cbor:"2,keyasint,omitempty"`
	// Sequence is the number of the last of the sender's reports that the receiver has with this message, and Ack the
	// Sequence of the last message of the receiver that the sender has received. Reports up to Ack are not sent again.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	Ack      uint64 `cbor:"4,keyasint,omitempty"`
	// Repeated are older crashes, for peers that were cut off or have started, and RepeatedDigest is the hash of all
	// crashes that the sender would repeat. Zero stands for a message that does not name it.
	Repeated       []quarantine.CrashGroup `cbor:"5,keyasint,omitempty"`
	RepeatedDigest uint64                  `cbor:"6,keyasint,omitempty"`
}

// FleetPush is the gossip message that a daemon sends to a relay several times a second.
type FleetPush struct {
	// States contains the sender's state. If the sender is a relay, it also contains the
	// states that other daemons reported to the relay.
	States    []DaemonState  `cbor:"1,keyasint"`
	Demand    Demand         `cbor:"2,keyasint"`
	Revisions StoreRevisions `cbor:"4,keyasint"`
	Update    StoreUpdate    `cbor:"5,keyasint"`
	Crashes   CrashReports   `cbor:"9,keyasint"`
	// RecentVersions are versions of adapters that were announced lately, for peers that were cut off or have
	// started: they may know these versions, but not their ages.
	RecentVersions []upstreams.Version `cbor:"8,keyasint,omitempty"`
}

// FleetReply answers a FleetPush.
type FleetReply struct {
	States    []DaemonState  `cbor:"1,keyasint,omitempty"` // only in replies to a relay, as in FleetPush
	Demand    Demand         `cbor:"2,keyasint"`           // at engines whose leases the receiver of the reply holds
	Revisions StoreRevisions `cbor:"4,keyasint"`
	// TotalInFlight sums the requests of all daemons other than the receiver of the
	// reply. It is empty in replies to a relay.
	TotalInFlight map[state.UpstreamID]balance.InFlight `cbor:"5,keyasint,omitempty"`
	Engines       []EngineState                         `cbor:"6,keyasint,omitempty"`
	// MessageAges is the time since the last message of each VM.
	MessageAges map[string]time.Duration `cbor:"7,keyasint,omitempty"`

	Update  StoreUpdate  `cbor:"8,keyasint"`
	Crashes CrashReports `cbor:"22,keyasint"` // as in FleetPush
	// RateLimits are the limits that upstreams have recently named in responses to any daemon.
	// It is empty in replies to a relay.
	RateLimits map[state.UpstreamID]balance.RateLimit `cbor:"11,keyasint,omitempty"`
	// Accounts sums up the use of client accounts at all daemons other than the receiver of the
	// reply: of the accounts that the receiver reported, and of busy ones. It is empty in replies
	// to a relay.
	Accounts map[string]quota.Others `cbor:"12,keyasint,omitempty"`
	// AllBusyAccounts is whether Accounts contains all busy accounts.
	AllBusyAccounts bool `cbor:"13,keyasint,omitempty"`
	// LeavingUpstreams are those of all daemons. It is empty in replies to a relay.
	LeavingUpstreams map[state.UpstreamID]int64 `cbor:"20,keyasint,omitempty"`
	// FairLevels are, by priority of accounts, the tokens per second and unit of weight from which
	// an account is served more than its fair share. It is empty in replies to a relay.
	FairLevels map[int]float32 `cbor:"14,keyasint,omitempty"`
	// RecentVersions is as in FleetPush.
	RecentVersions []upstreams.Version `cbor:"15,keyasint,omitempty"`
}

// StoreUpdate contains the objects of the object store of which its receiver has no copy
// or a stale copy.
type StoreUpdate struct {
	Config       *routes.Config       `cbor:"1,keyasint,omitempty"`
	Versions     []upstreams.Version  `cbor:"2,keyasint,omitempty"`
	Upstreams    []upstreams.Upstream `cbor:"3,keyasint,omitempty"`
	Members      []Member             `cbor:"4,keyasint,omitempty"`
	LeaseHolders []LeaseHolder        `cbor:"5,keyasint,omitempty"`
}

// Member is the membership record of one incarnation of a daemon.
type Member struct {
	VM              string     `cbor:"1,keyasint" json:"vm"`
	Incarnation     string     `cbor:"2,keyasint" json:"run"` // new at each start of the daemon
	Addr            string     `cbor:"3,keyasint" json:"addr"`
	Zone            state.Zone `cbor:"4,keyasint" json:"zone"`
	CertificateHash string     `cbor:"5,keyasint" json:"hash"` // of the certificate that peers expect
	CPU             float64    `cbor:"6,keyasint" json:"cpu"`  // share of a core

	Revision uint64 `cbor:"7,keyasint" json:"-"`
}

// ID returns the name of this incarnation among its peers.
func (m *Member) ID() state.DaemonID { return state.DaemonID(m.VM + "/" + m.Incarnation) }

// LeaseHolder is the record of the VM that may give orders to an engine. Its revision is
// the fencing token of the orders.
type LeaseHolder struct {
	Engine state.UpstreamID `cbor:"1,keyasint" json:"engine"`
	VM     string           `cbor:"2,keyasint" json:"vm"`
	// PreviousVM is set until the takeover is complete: the VM that held the lease before, and that may have ordered. VM
	// has not ordered yet.
	PreviousVM string `cbor:"3,keyasint,omitempty" json:"from,omitempty"`
	// Era is the era of the store in which the record was written. A record of an earlier era is from the copy that
	// the store came back from, and the lease may have changed hands since.
	Era uint64 `cbor:"5,keyasint,omitempty" json:"era,omitempty"`

	Revision uint64 `cbor:"4,keyasint" json:"-"`
}

// LoadRequest asks the lease holder of an engine to load an adapter.
type LoadRequest struct {
	Upstream     state.UpstreamID  `cbor:"1,keyasint"`
	Adapter      upstreams.Adapter `cbor:"2,keyasint"`
	Version      int               `cbor:"3,keyasint,omitempty"`
	Rank         int               `cbor:"4,keyasint,omitempty"` // of the request that waits for the load
	Slack        time.Duration     `cbor:"5,keyasint,omitempty"` // time left until the load has to be complete
	OrderTimeout time.Duration     `cbor:"6,keyasint,omitempty"` // time left until the load has to be ordered, zero for no limit
	// UsageOnly reports use of the adapter and requests no load.
	UsageOnly bool `cbor:"7,keyasint,omitempty"`
}

// PromptNotice tells a peer at once how many prompt tokens the sender has sent to engines
// since its last notice.
type PromptNotice struct {
	Tokens map[state.UpstreamID]int `cbor:"1,keyasint"`
	// Slowdowns is the time that work takes at engines at present, relative to the usual
	// time, as far as it changed.
	Slowdowns map[state.UpstreamID]float64 `cbor:"2,keyasint,omitempty"`
}

// PromptNoticeReply answers a PromptNotice.
type PromptNoticeReply struct{}

// PromptReservation asks the lease holder of an engine when a prompt may be sent there.
type PromptReservation struct {
	Upstream state.UpstreamID `cbor:"1,keyasint"`
	Tokens   int              `cbor:"2,keyasint"`
	Rank     int              `cbor:"3,keyasint,omitempty"`
	MaxDelay time.Duration    `cbor:"4,keyasint"` // the prompt is not sent there if it would have to wait longer
	GapGoal  time.Duration    `cbor:"5,keyasint"` // longest pause that the streams of the request's route allow
	// SmoothDelay is how long the prompt may wait for the sake of running streams alone.
	SmoothDelay time.Duration     `cbor:"6,keyasint"`
	Adapter     upstreams.Adapter `cbor:"7,keyasint"`
	// Pace is the sender's limit of prompt tokens for each millisecond of GapGoal.
	Pace float64 `cbor:"8,keyasint,omitempty"`
}

// PromptReservationReply answers a PromptReservation.
type PromptReservationReply struct {
	// Known is whether the receiver holds the engine's lease. If not, the other fields have no
	// meaning.
	Known    bool          `cbor:"1,keyasint"`
	Accepted bool          `cbor:"2,keyasint"`
	Delay    time.Duration `cbor:"3,keyasint"`
	// ReplicaRatio is how many replicas the adapter should have for each one that it has, by its
	// use at this engine; at least 1.
	ReplicaRatio float64 `cbor:"4,keyasint,omitempty"`
	// Pace is the limit that the lease holder applies, as in PromptReservation.
	Pace float64 `cbor:"5,keyasint,omitempty"`
}

// LoadReply answers a LoadRequest.
type LoadReply struct {
	Accepted bool          `cbor:"1,keyasint"`
	ReadyIn  time.Duration `cbor:"2,keyasint"`
	Reason   string        `cbor:"3,keyasint,omitempty"`
	// Version is the version that is resident or being loaded, which may be newer than the requested one. Zero
	// if it is not known.
	Version int `cbor:"4,keyasint,omitempty"`
}
