package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// EdgeReport is what a daemon on the users' platform believes of the fleet, for those
// who take over. It is served as JSON; times are in nanoseconds.
type FleetReport struct {
	VM              string           `json:"vm"`
	Zone            state.Zone       `json:"zone"`
	At              time.Time        `json:"at"`
	Config          uint64           `json:"config"`   // version in force, 0 for none
	UpstreamListAge time.Duration    `json:"list_age"` // since the list of upstreams was the store's
	StoreReachable  bool             `json:"store_ok"` // this daemon's last call of the store was answered
	Routes          []RouteReport    `json:"routes"`
	Services        []ServiceReport  `json:"services"`
	Adapters        []AdapterReport  `json:"adapters"` // that are held somewhere, or whose version was announced
	Upstreams       []UpstreamReport `json:"upstreams"`
	Peers           []PeerReport     `json:"peers"`
}

// EdgeRoute is a route of the configuration in force.
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

// EdgeService is a service of the configuration in force with its upstreams.
type ServiceReport struct {
	Name         string   `json:"name"`
	Models       []string `json:"models,omitempty"`       // of model engines only
	AdapterSlots int      `json:"max_adapters,omitempty"` // places for adapters at an engine beside one model
	Upstreams    int      `json:"upstreams"`
	Draining     int      `json:"draining"`
}

// EdgeAdapter is an adapter with the newest announced version and the engines that
// hold it, by version.
type AdapterReport struct {
	Adapter  string                     `json:"adapter"`
	Newest   int                        `json:"newest"` // 0 if none was announced
	Replicas map[int][]state.UpstreamID `json:"held"`
}

// EdgeUpstream is a listed upstream.
type UpstreamReport struct {
	ID           state.UpstreamID `json:"id"`
	Service      string           `json:"service"`
	Zone         state.Zone       `json:"zone"`
	Addr         string           `json:"addr"`
	Draining     bool             `json:"draining"`
	LeaseHolder  string           `json:"holder,omitempty"` // VM that orders loads
	CanOrder     bool             `json:"can_order"`
	Adapters     int              `json:"adapters"`
	LoadCapacity int              `json:"room"` // loads that it takes at present
	Requests     int              `json:"requests"`
}

// EdgePeer is another daemon.
type PeerReport struct {
	VM         string        `json:"vm"`
	Zone       state.Zone    `json:"zone"`
	MessageAge time.Duration `json:"silent"`
	Lost       bool          `json:"lost"`
}
