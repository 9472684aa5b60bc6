package fleet

import (
	"context"
	"errors"
	"time"

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
)

// Member is the record of a daemon.
type Member = protocol.Member

// Holder is the record of an engine.
type Holder = protocol.Holder

// Records are all members and holders.
type Records struct {
	Revision uint64 // of the store
	Members  []Member
	Holders  map[state.UpstreamID]Holder
}

// UpstreamList is a list of upstreams at a revision of the store.
type UpstreamList struct {
	Revision  uint64
	Upstreams []upstreams.Upstream
	Unusable  []string // names of entries that can't be used, such as those of another writer
}

// Store is the platform's store in the product's terms.
type Store interface {
	Config(ctx context.Context) (*routes.Config, uint64, error)
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (*routes.Config, uint64, error)
	AdapterVersions(ctx context.Context) ([]upstreams.Version, uint64, error)
	WatchAdapterVersions(ctx context.Context, after uint64, wait time.Duration) ([]upstreams.Version, uint64, error)
	Upstreams(ctx context.Context) (UpstreamList, error)
	Records(ctx context.Context) (Records, error)
	PutMember(ctx context.Context, m Member) error
	// PutHolder creates a record, or replaces the one with the record's revision.
	PutHolder(ctx context.Context, h Holder) (Holder, error)
	DeleteHolder(ctx context.Context, h Holder) error
	DeleteMember(ctx context.Context, m Member) error
}

// EngineReport is what an engine says about itself.
type EngineReport struct {
	StartTime      int64
	AcceptedOrders int
	Holding        upstreams.Holding
	LoadsInFlight  []upstreams.Adapter
}

// Engines speaks to model engines.
type Engines interface {
	Report(ctx context.Context, addr string) (EngineReport, error)
	Order(ctx context.Context, to upstreams.Upstream, o residency.Order) (residency.Outcome, error)
}
