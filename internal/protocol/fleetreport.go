package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// FleetReport is the view that a daemon on the users' platform has of the fleet. The
// daemon serves it to operators as JSON, with durations in nanoseconds.
type FleetReport struct {
	VM              string           `json:"vm"`
	Zone            state.Zone       `json:"zone"`
	At              time.Time        `json:"at"`
	ConfigVersion   uint64           `json:"config"`   // version in force, 0 if none was read yet
	UpstreamListAge time.Duration    `json:"list_age"` // time since the store served the list of upstreams
	StoreReachable  bool             `json:"store_ok"` // the object store answered this daemon's last call
	Routes          []RouteReport    `json:"routes"`
	Services        []ServiceReport  `json:"services"`
	Adapters        []AdapterReport  `json:"adapters"` // with a replica or an announced version
	Upstreams       []UpstreamReport `json:"upstreams"`
	Peers           []PeerReport     `json:"peers"`
	// Quarantined are the contents and prompt parts that the daemon refuses.
	Quarantined []QuarantineReport `json:"quarantined"`
	// Accounts are the client accounts of the configuration.
	Accounts []AccountReport `json:"accounts,omitempty"`
}

// AccountReport is a client account with its use of its quota. Tokens are requests if the quota
// counts requests.
type AccountReport struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"` // tokens per second, 0 without a quota
	Burst    float64 `json:"burst"`
	InTokens bool    `json:"in_tokens"`
	Served   float64 `json:"served"` // tokens per second at all daemons
	Share    float64 `json:"share"`  // of the account's traffic that this daemon takes
	Level    float64 `json:"level"`  // estimated tokens in use
	Capacity float64 `json:"capacity"`
	// Excess is what the account is served as a part of its fair share, zero while all demand is
	// met.
	Excess    float64       `json:"excess"`
	Refused   uint64        `json:"refused"`    // requests beyond the quota at this daemon
	ReportAge time.Duration `json:"report_age"` // of the other daemons' sums; negative without any
}

// QuarantineReport is a content or a prompt part under which upstreams crashed.
type QuarantineReport struct {
	Kind   string        `json:"kind"`
	ID     string        `json:"id"`      // hexadecimal
	EndsIn time.Duration `json:"ends_in"` // without a further crash
}

// RouteReport is a route of the configuration in force.
type RouteReport struct {
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Prefix   string        `json:"prefix"`
	Kind     string        `json:"kind"`
	Rank     int           `json:"rank"` // 0 is the most urgent
	Target   time.Duration `json:"target"`
	Timeout  time.Duration `json:"timeout"`
	Attempts int           `json:"attempts"`
	Services []string      `json:"services"`
}

// ServiceReport is a service of the configuration in force with its number of upstreams.
type ServiceReport struct {
	Name         string   `json:"name"`
	Models       []string `json:"models,omitempty"`       // of model engines only
	AdapterSlots int      `json:"max_adapters,omitempty"` // slots of an engine with one resident model
	Upstreams    int      `json:"upstreams"`
	Draining     int      `json:"draining"`
}

// AdapterReport is an adapter with its newest announced version and its replicas by
// version.
type AdapterReport struct {
	Adapter  string                     `json:"adapter"`
	Newest   int                        `json:"newest"` // 0 if none was announced
	Replicas map[int][]state.UpstreamID `json:"held"`
}

// UpstreamReport is a listed upstream.
type UpstreamReport struct {
	ID           state.UpstreamID `json:"id"`
	Service      string           `json:"service"`
	Zone         state.Zone       `json:"zone"`
	Addr         string           `json:"addr"`
	Draining     bool             `json:"draining"`
	LeaseHolder  string           `json:"holder,omitempty"` // VM that holds the engine's lease
	CanOrder     bool             `json:"can_order"`
	Adapters     int              `json:"adapters"`
	LoadCapacity int              `json:"room"` // further loads that the engine accepts now
	Requests     int              `json:"requests"`
	// RequestLimit is how many requests per second the upstream accepts from all daemons
	// together, nil without a limit.
	RequestLimit *float64 `json:"request_limit,omitempty"`
	// Barred is why the daemon sends nothing to the upstream, or only if it must. It is nil if there
	// is no reason.
	Barred *BarredReport `json:"barred,omitempty"`
}

// BarredReport is why a daemon sends nothing to an upstream, or only if no other one can serve a
// request.
type BarredReport struct {
	Reason   string        `json:"reason"`
	TimeLeft time.Duration `json:"time_left,omitempty"` // until the reason ends; zero if it is not known
	Age      time.Duration `json:"age,omitempty"`       // of the information
}

// PeerReport is another daemon of the fleet.
type PeerReport struct {
	VM         string        `json:"vm"`
	Zone       state.Zone    `json:"zone"`
	MessageAge time.Duration `json:"silent"`
	Lost       bool          `json:"lost"`
}
