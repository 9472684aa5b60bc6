// Package upstreams defines the registrations of upstreams and their adapters.
package upstreams

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Adapter names an adapter of a base model. An empty Name stands for the model itself.
type Adapter struct {
	Model string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint,omitempty"`
}

// String returns the name of an adapter for logs.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// Residency lists the models and adapters that an upstream has loaded.
type Residency struct {
	Models   map[string]int  // version of the weights by model
	Adapters map[Adapter]int `cbor:"-"` // version by adapter; not sent between daemons
}

// Contains reports whether any version of an adapter and of its model is loaded.
func (h *Residency) Contains(a Adapter) bool {
	if _, ok := h.Models[a.Model]; !ok {
		return false
	}
	if a.Name == "" {
		return true
	}
	_, ok := h.Adapters[a]
	return ok
}

// Upstream is a registered upstream: one boot of an engine or of an instance of a plain
// service. Daemons exchange it in CBOR under its field names.
type Upstream struct {
	ID        state.UpstreamID
	Service   string
	Addr      string
	Zone      state.Zone
	Slots     int
	Draining  bool
	TimeLeft  time.Duration `cbor:"Leaves"`  // until the upstream is removed; zero if not reported
	StartTime int64         `cbor:"Born"`    // of the boot, Unix milliseconds; zero if not reported
	Residency Residency     `cbor:"Holding"` // as of its last report
}

// Version is the announcement of an adapter version.
type Version struct {
	Adapter Adapter
	Version int
	// Age is the time since the announcement, as far as the sender knows, and negative if it does not know. The
	// store's lists have no ages.
	Age time.Duration `cbor:",omitempty"`
}
