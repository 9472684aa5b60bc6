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

var errDown = errors.New("object store is down")

const (
	objectStoreDelay = 5 * time.Millisecond
	peerDelay        = time.Millisecond
)

// objectStore is an object store in memory.
type objectStore struct {
	mu      sync.Mutex
	version platform.Version
	objects map[string]platform.Object
	history []platform.Object // all writes and deletions, oldest first
	changed chan struct{}
	calls   int
}

func newObjectStore() *objectStore {
	return &objectStore{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

func (s *objectStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// storeClient is one daemon's access to the object store. It implements
// platform.ObjectStore and injects faults.
type storeClient struct {
	*objectStore
	mu          sync.Mutex
	down        bool
	lostAnswers int // number of next writes that take effect without an answer
}

func (c *storeClient) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// begin delays a call and fails it while the object store is down.
func (c *storeClient) begin() error {
	time.Sleep(objectStoreDelay)
	c.objectStore.mu.Lock()
	c.calls++
	c.objectStore.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return errDown
	}
	return nil
}

// loseAnswer returns platform.ErrUnknown if the answer of the current write is to get
// lost, and counts the lost answer.
func (c *storeClient) loseAnswer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAnswers == 0 {
		return nil
	}
	c.lostAnswers--
	return platform.ErrUnknown
}

func (c *storeClient) Get(_ context.Context, key string) (platform.Object, error) {
	if err := c.begin(); err != nil {
		return platform.Object{}, err
	}
	c.objectStore.mu.Lock()
	defer c.objectStore.mu.Unlock()
	o, ok := c.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (c *storeClient) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	version, err := c.write(platform.Object{Key: key, Value: slices.Clone(value)}, base)
	return version, errors.Join(err, c.loseAnswer())
}

func (c *storeClient) Delete(_ context.Context, key string, base platform.Version) error {
	if err := c.begin(); err != nil {
		return err
	}
	_, err := c.write(platform.Object{Key: key, Deleted: true}, base)
	return err
}

// write stores or deletes an object if the stored version of the object is base.
func (s *objectStore) write(o platform.Object, base platform.Version) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Key].Version != base {
		return 0, platform.ErrConflict
	}
	s.version++
	o.Version = s.version
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version, nil
}

func (c *storeClient) List(_ context.Context, prefix string) (platform.Page, error) {
	if err := c.begin(); err != nil {
		return platform.Page{}, err
	}
	c.objectStore.mu.Lock()
	defer c.objectStore.mu.Unlock()
	page := platform.Page{Revision: c.version}
	for key, o := range c.objects {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, nil
}

func (c *storeClient) Watch(ctx context.Context, prefix string, after platform.Version, wait time.Duration) (platform.Page, error) {
	if err := c.begin(); err != nil {
		return platform.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.objectStore.mu.Lock()
		page := platform.Page{Revision: c.version}
		for _, o := range c.history {
			if o.Version > after && strings.HasPrefix(o.Key, prefix) {
				page.Objects = append(page.Objects, o)
			}
		}
		changed := c.changed
		c.objectStore.mu.Unlock()
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

// cluster is a set of nodes that exchange messages in memory.
type cluster struct {
	store *objectStore
	mu    sync.Mutex
	nodes map[state.DaemonID]*testNode
	cut   map[[2]state.DaemonID]bool // broken links, as sender and receiver
}

// testNode is a node together with the fakes that it depends on. It implements
// config.Members and config.Exchanger for the node.
type testNode struct {
	*config.Node
	store   *storeClient
	id      state.DaemonID
	zone    int
	cluster *cluster
}

func newCluster() *cluster {
	return &cluster{store: newObjectStore(), nodes: make(map[state.DaemonID]*testNode), cut: make(map[[2]state.DaemonID]bool)}
}

// add starts the ith daemon in a zone.
func (c *cluster) add(i, zone int) *testNode {
	n := &testNode{
		id:      state.DaemonID(fmt.Sprintf("d%03d", i)),
		zone:    zone,
		cluster: c,
		store:   &storeClient{objectStore: c.store},
	}
	n.Node = config.New(config.Options{
		Self:     n.id,
		Objects:  n.store,
		Peers:    n,
		Members:  n,
		Clock:    time.Now,
		Rand:     rand.New(rand.NewPCG(uint64(i), 1)),
		Validate: func(*deckconfig.Config) error { return nil },
	})
	c.mu.Lock()
	c.nodes[n.id] = n
	c.mu.Unlock()
	n.Start()
	return n
}

func (c *cluster) remove(n *testNode) {
	c.mu.Lock()
	delete(c.nodes, n.id)
	c.mu.Unlock()
	n.Close()
}

func (c *cluster) close() {
	for _, n := range c.list() {
		n.Close()
	}
}

func (c *cluster) list() []*testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []*testNode
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *testNode) int { return strings.Compare(string(a.id), string(b.id)) })
	return nodes
}

// setCut breaks or repairs the link between two nodes, in both directions.
func (c *cluster) setCut(a, b *testNode, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]state.DaemonID{a.id, b.id}] = cut
	c.cut[[2]state.DaemonID{b.id, a.id}] = cut
}

func (n *testNode) AllPeers() []peer.Peer { return n.peers(func(*testNode) bool { return true }) }

func (n *testNode) ZonePeers() []peer.Peer {
	return n.peers(func(o *testNode) bool { return o.zone == n.zone })
}

func (n *testNode) peers(matches func(*testNode) bool) []peer.Peer {
	var peers []peer.Peer
	for _, o := range n.cluster.list() {
		if o.id != n.id && matches(o) {
			peers = append(peers, peer.Peer{ID: o.id})
		}
	}
	return peers
}

// IsRelay reports whether the node has the lowest ID in its zone.
func (n *testNode) IsRelay() bool {
	for _, p := range n.ZonePeers() {
		if p.ID < n.id {
			return false
		}
	}
	return true
}

// Exchange passes a message to the node of a peer and returns the answer.
func (n *testNode) Exchange(_ context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error {
	time.Sleep(peerDelay)
	n.cluster.mu.Lock()
	target, cut := n.cluster.nodes[to.ID], n.cluster.cut[[2]state.DaemonID{n.id, to.ID}]
	n.cluster.mu.Unlock()
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

// setShare returns a submission that sets a customer's share.
func setShare(n *testNode, id, customer string, share float64) configsync.Submission {
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
