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

// objectStore is an object store in memory. It implements platform.ObjectStore.
type objectStore struct {
	mu          sync.Mutex
	objects     map[string]platform.Object
	version     platform.Version
	lostAnswers int // writes from now on that take effect without an answer
	down        bool
	beforePut   func() // called before the next write
}

func newObjectStore() *objectStore { return &objectStore{objects: make(map[string]platform.Object)} }

func (s *objectStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	switch {
	case s.down:
		return o, errors.New("down")
	case !ok:
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *objectStore) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if hook := s.beforePut; hook != nil {
		s.beforePut = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errors.New("down")
	}
	if s.objects[key].Version != base {
		return 0, platform.ErrConflict
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Version: s.version, Value: value}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, platform.ErrUnknown
	}
	return s.version, nil
}

func (s *objectStore) Delete(_ context.Context, key string, base platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != base {
		return platform.ErrConflict
	}
	delete(s.objects, key)
	return nil
}

func (s *objectStore) List(_ context.Context, prefix string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platform.Page{Revision: s.version + 1}
	if s.down {
		return platform.Page{}, errors.New("down")
	}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, nil
}

func (s *objectStore) Watch(ctx context.Context, _ string, after platform.Version, _ time.Duration) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{Revision: after}, ctx.Err()
}

// peerDaemons implements Members and Exchanger with a fixed set of peers.
type peerDaemons struct {
	peers  []peer.Peer
	status func(to peer.Peer) (protocol.DaemonStatus, *protocol.Error)
}

func (p *peerDaemons) AllPeers() []peer.Peer { return p.peers }

func (p *peerDaemons) ZoneOf(id state.DaemonID) state.Zone {
	for _, known := range p.peers {
		if known.ID == id {
			return "z2"
		}
	}
	return ""
}

func (p *peerDaemons) Exchange(_ context.Context, to peer.Peer, _ protocol.MessageKind, _, reply any) *protocol.Error {
	status, err := p.status(to)
	*reply.(*protocol.DaemonStatus) = status
	return err
}

// noStats implements Stats and Gauges without any data.
type noStats struct{}

func (noStats) Ranks(time.Time, []state.RankInfo) []protocol.RankStatus    { return nil }
func (noStats) Classes(time.Time, []state.RankInfo) []protocol.ClassStatus { return nil }
func (noStats) SetRevision(uint64)                                         {}
func (noStats) SetOwned(int)                                               {}

// testNode is a node together with the fakes that it depends on.
type testNode struct {
	*Node
	store    *objectStore
	peers    *peerDaemons
	fleet    *state.Fleet // this daemon's view of the fleet
	owned    []protocol.UpstreamStatus
	draining []bool // arguments of the calls of SetDraining
	now      time.Time
}

// newTestNode returns the node of daemon d1, which has not been started. The daemon
// owns engines e1 and e2 and plain upstream p1.
func newTestNode(t *testing.T) *testNode {
	t.Helper()
	n := &testNode{store: newObjectStore(), peers: &peerDaemons{}, fleet: state.NewFleet(), now: time.Unix(1e9, 0).UTC()}
	for _, id := range []state.UpstreamID{"e1", "e2"} {
		n.fleet.Put(state.Upstream{ID: id, Zone: "z1", Kind: state.KindEngine, Base: "b", Owner: "d1", Epoch: 3, Healthy: true, Slots: 4, Batch: 8})
	}
	n.fleet.Put(state.Upstream{ID: "p1", Zone: "z1", Kind: state.KindPlain, Service: "booking", Owner: "d1", Epoch: 1, Healthy: true})
	n.owned = []protocol.UpstreamStatus{{ID: "e1", Boot: "b1", Healthy: true, Slots: 4}, {ID: "e2", Boot: "b1", Healthy: true, Slots: 4}, {ID: "p1", Boot: "x", Healthy: true}}
	catalog := state.NewCatalog(5, "d", &deckconfig.Config{
		Ranks: []deckconfig.Rank{{Name: "urgent"}, {Name: "late"}},
		Services: []deckconfig.Service{
			{Name: "advice", Kind: deckconfig.ModelService, BaseModel: "b", DefaultRank: "urgent", Adapters: []deckconfig.Adapter{
				{Name: "blitz", Default: "v2", Versions: []deckconfig.Version{{Name: "v1", Source: "w1"}, {Name: "v2", Source: "w2"}}},
			}},
			{Name: "booking", Kind: deckconfig.PlainService, DefaultRank: "late", NonRepeatable: true},
		},
	})
	n.Node = New(Options{
		Self: "d1", Zone: "z1", Region: "r", Fleet: n.fleet,
		Owned:       func() []protocol.UpstreamStatus { return n.owned },
		Catalog:     func() *state.Catalog { return catalog },
		Members:     n.peers,
		Peers:       n.peers,
		Objects:     n.store,
		Router:      routing.NewBaselineRouter(n.fleet),
		Stats:       noStats{},
		Gauges:      noStats{},
		SetDraining: func(d bool) { n.draining = append(n.draining, d) },
		Clock:       func() time.Time { return n.now },
	})
	t.Cleanup(n.Close)
	return n
}
