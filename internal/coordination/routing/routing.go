// Package routing chooses the upstream that answers a request.
package routing

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Request is what the choice depends on.
type Request struct {
	Adapter      state.AdapterRef // zero for plain services
	Base         string           // base model, for model services
	Service      state.ServiceID
	Rank         state.Rank
	Zone         state.Zone // zone of the entry daemon
	Region       state.Region
	Prefix       uint64
	PromptTokens uint32
	Exclude      []state.UpstreamID
}

// Choice is the chosen upstream. Upstream is nil when none can serve.
type Choice struct {
	Upstream *state.Upstream
	Resident bool
}

// Router chooses upstreams.
type Router interface {
	Pick(now time.Time, req *Request) Choice
}
