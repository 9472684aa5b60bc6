package operator

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// memory is a platform in memory. Lost writes take effect without an answer.
type memory struct {
	mu        sync.Mutex
	objects   map[string]platform.Object
	version   platform.Version
	lost      int
	down      bool
	beforePut func()
}

func newMemory() *memory { return &memory{objects: make(map[string]platform.Object)} }

func (m *memory) Get(_ context.Context, key string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	switch {
	case m.down:
		return o, errors.New("down")
	case !ok:
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if hook := m.beforePut; hook != nil {
		m.beforePut = nil
		hook()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errors.New("down")
	}
	if m.objects[key].Version != base {
		return 0, platform.ErrConflict
	}
	m.version++
	m.objects[key] = platform.Object{Key: key, Version: m.version, Value: value}
	if m.lost > 0 {
		m.lost--
		return 0, platform.ErrUnknown
	}
	return m.version, nil
}

func (m *memory) Delete(_ context.Context, key string, base platform.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != base {
		return platform.ErrConflict
	}
	delete(m.objects, key)
	return nil
}

func (m *memory) List(_ context.Context, prefix string) (platform.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := platform.Page{Revision: m.version + 1}
	if m.down {
		return platform.Page{}, errors.New("down")
	}
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, nil
}

func (m *memory) Watch(ctx context.Context, _ string, after platform.Version, _ time.Duration) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{Revision: after}, ctx.Err()
}

// fleet is the daemons around the one under test.
type fleet struct {
	peers []peer.Peer
	ask   func(to peer.Peer) (protocol.DaemonStatus, *protocol.Error)
}

func (f *fleet) AllPeers() []peer.Peer { return f.peers }

func (f *fleet) ZoneOf(id state.DaemonID) state.Zone {
	for _, p := range f.peers {
		if p.ID == id {
			return "z2"
		}
	}
	return ""
}

func (f *fleet) Exchange(_ context.Context, to peer.Peer, _ protocol.MessageKind, _, reply any) *protocol.Error {
	status, err := f.ask(to)
	*reply.(*protocol.DaemonStatus) = status
	return err
}

type noStats struct{}

func (noStats) Ranks(time.Time, []state.RankInfo) []protocol.RankStatus    { return nil }
func (noStats) Classes(time.Time, []state.RankInfo) []protocol.ClassStatus { return nil }
func (noStats) SetRevision(uint64)                                         {}
func (noStats) SetOwned(int)                                               {}

// under is the node under test with its surroundings.
type under struct {
	*Node
	memory   *memory
	fleet    *fleet
	table    *state.Fleet
	owned    []protocol.UpstreamStatus
	draining []bool
	now      time.Time
}

func start(t *testing.T) *under {
	t.Helper()
	u := &under{memory: newMemory(), fleet: &fleet{}, table: state.NewFleet(), now: time.Unix(1e9, 0).UTC()}
	for _, id := range []state.UpstreamID{"e1", "e2"} {
		u.table.Put(state.Upstream{ID: id, Zone: "z1", Kind: state.KindEngine, Base: "b", Owner: "d1", Epoch: 3, Healthy: true, Slots: 4, Batch: 8})
	}
	u.table.Put(state.Upstream{ID: "p1", Zone: "z1", Kind: state.KindPlain, Service: "booking", Owner: "d1", Epoch: 1, Healthy: true})
	u.owned = []protocol.UpstreamStatus{{ID: "e1", Boot: "b1", Healthy: true, Slots: 4}, {ID: "e2", Boot: "b1", Healthy: true, Slots: 4}, {ID: "p1", Boot: "x", Healthy: true}}
	catalog := state.NewCatalog(5, "d", &deckconfig.Config{
		Ranks: []deckconfig.Rank{{Name: "urgent"}, {Name: "late"}},
		Services: []deckconfig.Service{
			{Name: "advice", Kind: deckconfig.ModelService, BaseModel: "b", DefaultRank: "urgent", Adapters: []deckconfig.Adapter{
				{Name: "blitz", Default: "v2", Versions: []deckconfig.Version{{Name: "v1", Source: "w1"}, {Name: "v2", Source: "w2"}}},
			}},
			{Name: "booking", Kind: deckconfig.PlainService, DefaultRank: "late", NonRepeatable: true},
		},
	})
	u.Node = New(Options{
		Self: "d1", Zone: "z1", Region: "r", Fleet: u.table,
		Owned:       func() []protocol.UpstreamStatus { return u.owned },
		Catalog:     func() *state.Catalog { return catalog },
		Members:     u.fleet,
		Peers:       u.fleet,
		Objects:     u.memory,
		Router:      routing.NewSimple(u.table),
		Stats:       noStats{},
		Gauges:      noStats{},
		SetDraining: func(d bool) { u.draining = append(u.draining, d) },
		Clock:       func() time.Time { return u.now },
	})
	t.Cleanup(u.Close)
	return u
}
