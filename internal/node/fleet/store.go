package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Errors of a Store.
var (
	ErrConflict = errors.New("fleet: the record was changed by another daemon")
	ErrNotFound = errors.New("fleet: no such record")
	// ErrUnusableConfig reports a configuration that can't be read. The call of the store succeeded.
	ErrUnusableConfig = errors.New("fleet: the configuration can't be read")
)

// Member is a daemon's record in the store.
type Member = protocol.Member

// Holder is the record of the lease holder of an engine.
type Holder = protocol.LeaseHolder

// Refusal is the record of prompt parts that the daemons refuse, with the crashes of upstreams
// that are the reason.
type Refusal struct {
	Part string `json:"part"` // hexadecimal
	// Others are further parts with the same crashes: the base64 form of their numbers, 8 bytes each, in order.
	Others    string         `json:"others,omitempty"`
	Crashes   []RefusalCrash `json:"crashes"`
	RefusedAt int64          `json:"refused_at"` // Unix milliseconds

	Revision uint64 `json:"-"`
}

// RefusalCrash is a crash of an upstream.
type RefusalCrash struct {
	Upstream state.UpstreamID `json:"upstream"`
	Boot     int64            `json:"boot"` // start of the upstream, Unix milliseconds
}

// Records are the records of all daemons, lease holders and refused prompt parts.
type Records struct {
	Revision uint64 // of the store, when they were read
	Members  []Member
	Holders  map[state.UpstreamID]Holder
	Refusals []Refusal
	Unusable []string // names of records that can't be decoded, for example another program's
}

// UpstreamList is the list of upstreams at a revision of the store.
type UpstreamList struct {
	Revision  uint64
	Upstreams []upstreams.Upstream
	Unusable  []string // names of entries that can't be used, for example in another writer's format
}

// Store is the part of the object store's API that a Node uses. A Watch method returns when
// its object has a newer revision than after, or when wait has passed.
type Store interface {
	// Config and WatchConfig may return a usable configuration beside ErrUnusableConfig.
	Config(ctx context.Context) (*routes.Config, uint64, error)
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (*routes.Config, uint64, error)
	AdapterVersions(ctx context.Context) ([]upstreams.Version, uint64, error)
	WatchAdapterVersions(ctx context.Context, after uint64, wait time.Duration) ([]upstreams.Version, uint64, error)
	Upstreams(ctx context.Context) (UpstreamList, error)
	Records(ctx context.Context) (Records, error)
	PutMember(ctx context.Context, m Member) error
	// PutHolder creates the record of a lease holder, or replaces the record whose revision
	// is h.Revision. It returns the record with its new revision.
	PutHolder(ctx context.Context, h Holder) (Holder, error)
	DeleteHolder(ctx context.Context, h Holder) error
	DeleteMember(ctx context.Context, m Member) error
	// PutRefusal creates the record of a refused prompt part. It fails with ErrConflict if there
	// is one.
	PutRefusal(ctx context.Context, r Refusal) error
	DeleteRefusal(ctx context.Context, r Refusal) error
}

// EngineReport is an engine's report on its state.
type EngineReport struct {
	StartTime      int64 // of the engine's boot
	AcceptedOrders int   // number of orders that this boot has accepted
	Holding        upstreams.Residency
	LoadsInFlight  []upstreams.Adapter
	Signals        eligibility.Signals // of the response; also set if the call failed with a response
}

// Engines reads the reports of model engines and sends them orders.
type Engines interface {
	Report(ctx context.Context, addr string) (EngineReport, error)
	Order(ctx context.Context, to upstreams.Upstream, o residency.Order) (residency.Outcome, error)
}
