package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Errors of a Store.
var (
	ErrConflict = errors.New("fleet: the record was changed by another daemon")
	ErrNotFound = errors.New("fleet: no such record")
)

// Member is a run of a daemon as it makes itself known to its peers.
type Member struct {
	VM   string     `json:"vm"`
	Run  string     `json:"run"` // new at each start
	Addr string     `json:"addr"`
	Zone state.Zone `json:"zone"`
	Hash string     `json:"hash"` // of its certificate

	Revision uint64 `json:"-"`
}

// ID returns the name of the run among peers.
func (m *Member) ID() state.DaemonID { return state.DaemonID(m.VM + "/" + m.Run) }

// Holder says which VM gives orders to an engine. Its revision is the fencing token.
type Holder struct {
	Engine state.UpstreamID `json:"engine"`
	VM     string           `json:"vm"`
	From   string           `json:"from,omitempty"` // the VM from which it was taken over

	Revision uint64 `json:"-"`
}

// Records are all members and holders.
type Records struct {
	Members []Member
	Holders map[state.UpstreamID]Holder
}

// Store is the platform's store in the product's terms.
type Store interface {
	Config(ctx context.Context) (*routes.Config, uint64, error)
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (*routes.Config, uint64, error)
	AdapterVersions(ctx context.Context) ([]upstreams.Version, uint64, error)
	WatchAdapterVersions(ctx context.Context, after uint64, wait time.Duration) ([]upstreams.Version, uint64, error)
	Upstreams(ctx context.Context) (list []upstreams.Upstream, unusable []string, err error)
	Records(ctx context.Context) (Records, error)
	PutMember(ctx context.Context, m Member) error
	// PutHolder creates a record, or replaces the one with the record's revision.
	PutHolder(ctx context.Context, h Holder) (Holder, error)
	DeleteHolder(ctx context.Context, h Holder) error
	DeleteMember(ctx context.Context, m Member) error
}

// EngineReport is what an engine says about itself.
type EngineReport struct {
	Born     int64
	Accepted int
	Holding  upstreams.Holding
	Pending  []upstreams.Adapter
}

// Engines speaks to model engines.
type Engines interface {
	Report(ctx context.Context, addr string) (EngineReport, error)
	Order(ctx context.Context, to upstreams.Upstream, o residency.Order) (residency.Reply, error)
}
