// Package upstreams describes upstreams as they register themselves.
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
	Models   map[string]int  // versions of weights by model
	Adapters map[Adapter]int `cbor:"-"` // versions by adapter; not passed between daemons
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

// Upstream is a registered upstream: one run of an engine or of a plain service.
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

// Version announces a version of an adapter.
type Version struct {
	Adapter Adapter
	Version int
}
