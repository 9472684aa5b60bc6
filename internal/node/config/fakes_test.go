package config_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

var errDown = errors.New("platform is down")

const (
	platformDelay = 5 * time.Millisecond
	peerDelay     = time.Millisecond
)

// store is an object API in memory. Faults are chosen by the function fail.
type store struct {
	mu      sync.Mutex
	rev     platform.Version
	objects map[string]platform.Object
	log     []platform.Object
	changed chan struct{}
	calls   int
}

func newStore() *store {
	return &store{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// port is a daemon's access to the store.
type port struct {
	*store
	mu   sync.Mutex
	down bool
	lose int // answers of the next writes are lost
}

func (p *port) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *port) begin() error {
	time.Sleep(platformDelay)
	p.store.mu.Lock()
	p.calls++
	p.store.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return errDown
	}
	return nil
}

func (p *port) lost() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose == 0 {
		return nil
	}
	p.lose--
	return platform.ErrUnknown
}

func (p *port) Get(_ context.Context, key string) (platform.Object, error) {
	if err := p.begin(); err != nil {
		return platform.Object{}, err
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	o, ok := p.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (p *port) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if err := p.begin(); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	version, err := p.write(platform.Object{Key: key, Value: slices.Clone(value)}, base)
	return version, errors.Join(err, p.lost())
}

func (p *port) Delete(_ context.Context, key string, base platform.Version) error {
	if err := p.begin(); err != nil {
		return err
	}
	_, err := p.write(platform.Object{Key: key, Deleted: true}, base)
	return err
}

func (s *store) write(o platform.Object, base platform.Version) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Key].Version != base {
		return 0, platform.ErrConflict
	}
	s.rev++
	o.Version = s.rev
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.log = append(s.log, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version, nil
}

func (p *port) List(_ context.Context, prefix string) (platform.Page, error) {
	if err := p.begin(); err != nil {
		return platform.Page{}, err
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	page := platform.Page{Revision: p.rev}
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, nil
}

func (p *port) Watch(ctx context.Context, prefix string, after platform.Version, wait time.Duration) (platform.Page, error) {
	if err := p.begin(); err != nil {
		return platform.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.store.mu.Lock()
		page := platform.Page{Revision: p.rev}
		for _, o := range p.log {
			if o.Version > after && strings.HasPrefix(o.Key, prefix) {
				page.Objects = append(page.Objects, o)
			}
		}
		changed := p.changed
		p.store.mu.Unlock()
		if len(page.Objects) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// fleet is a set of nodes that talk to each other without a network.
type fleet struct {
	store *store
	mu    sync.Mutex
	nodes map[state.DaemonID]*testNode
	cut   map[[2]state.DaemonID]bool
}

type testNode struct {
	*config.Node
	port  *port
	id    state.DaemonID
	zone  int
	fleet *fleet
}

func newFleet() *fleet {
	return &fleet{store: newStore(), nodes: make(map[state.DaemonID]*testNode), cut: make(map[[2]state.DaemonID]bool)}
}

func (f *fleet) add(i, zone int) *testNode {
	n := &testNode{
		id:    state.DaemonID(fmt.Sprintf("d%03d", i)),
		zone:  zone,
		fleet: f,
		port:  &port{store: f.store},
	}
	n.Node = config.New(config.Options{
		Self:     n.id,
		Objects:  n.port,
		Peers:    n,
		Members:  n,
		Clock:    time.Now,
		Rand:     rand.New(rand.NewPCG(uint64(i), 1)),
		Validate: func(*deckconfig.Config) error { return nil },
	})
	f.mu.Lock()
	f.nodes[n.id] = n
	f.mu.Unlock()
	n.Start()
	return n
}

func (f *fleet) remove(n *testNode) {
	f.mu.Lock()
	delete(f.nodes, n.id)
	f.mu.Unlock()
	n.Close()
}

func (f *fleet) close() {
	for _, n := range f.list() {
		n.Close()
	}
}

func (f *fleet) list() []*testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*testNode
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *testNode) int { return strings.Compare(string(a.id), string(b.id)) })
	return nodes
}

func (f *fleet) setCut(a, b *testNode, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]state.DaemonID{a.id, b.id}] = cut
	f.cut[[2]state.DaemonID{b.id, a.id}] = cut
}

func (n *testNode) AllPeers() []peer.Peer { return n.peers(func(*testNode) bool { return true }) }

func (n *testNode) ZonePeers() []peer.Peer {
	return n.peers(func(o *testNode) bool { return o.zone == n.zone })
}

func (n *testNode) peers(want func(*testNode) bool) []peer.Peer {
	var peers []peer.Peer
	for _, o := range n.fleet.list() {
		if o.id != n.id && want(o) {
			peers = append(peers, peer.Peer{ID: o.id})
		}
	}
	return peers
}

func (n *testNode) IsRelay() bool {
	for _, p := range n.ZonePeers() {
		if p.ID < n.id {
			return false
		}
	}
	return true
}

// Exchange carries a message in its encoded form and back.
func (n *testNode) Exchange(_ context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error {
	time.Sleep(peerDelay)
	n.fleet.mu.Lock()
	target, cut := n.fleet.nodes[to.ID], n.fleet.cut[[2]state.DaemonID{n.id, to.ID}]
	n.fleet.mu.Unlock()
	if target == nil || cut {
		return protocol.Errorf(protocol.KindUnavailable, "exchange", protocol.OutcomeUnknown, "no answer").WithPeer(string(to.ID))
	}
	switch req := msg.(type) {
	case protocol.ConfigStateRequest:
		*reply.(*protocol.ConfigState) = target.HandleStateRequest(n.id, req)
	case protocol.ConfigFetch:
		records, err := target.HandleFetchRequest(req)
		if err != nil {
			return protocol.AsError(err, "fetch")
		}
		*reply.(*protocol.ConfigRecords) = records
	default:
		panic(fmt.Sprintf("unexpected message %d", kind))
	}
	return nil
}

// change returns a submission that sets a customer's share.
func change(n *testNode, id, customer string, share float64) configsync.Submission {
	var base *deckconfig.Config
	if c := n.Catalog(); c != nil {
		base = c.Config()
	}
	next := &deckconfig.Config{Format: deckconfig.Format}
	if base != nil {
		copied := *base
		copied.Customers = slices.Clone(base.Customers)
		next = &copied
	}
	i := slices.IndexFunc(next.Customers, func(c deckconfig.Customer) bool { return c.Name == customer })
	if i < 0 {
		next.Customers = append(next.Customers, deckconfig.Customer{Name: customer})
		i = len(next.Customers) - 1
	}
	next.Customers[i].Share = share
	changes, err := configsync.Diff(base, next)
	if err != nil {
		panic(err)
	}
	return configsync.Submission{ID: id, Author: "test", Message: id, Changes: changes}
}
