package suspects

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const crashing = core.Fingerprint(7)

// memoryStore keeps objects in memory.
type memoryStore struct {
	platform.ObjectStore
	objects map[string]platform.Object
	version platform.Version
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, version platform.Version) (platform.Version, error) {
	if s.objects[key].Version != version {
		return 0, platform.ErrConflict
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

func (s *memoryStore) List(context.Context, string) (platform.Page, error) {
	var page platform.Page
	for _, o := range s.objects {
		page.Objects = append(page.Objects, o)
	}
	return page, nil
}

type noPeers struct{}

func (noPeers) AllPeers() []peer.Peer { return nil }

func newNode(store *memoryStore, clock func() time.Time) *Node {
	return New(Options{Self: "d1", Objects: store, Members: noPeers{}, Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))})
}

func crashID(i int) core.CrashID {
	return core.CrashID{Upstream: state.UpstreamID(fmt.Sprint("e", i)), Boot: "b"}
}

// TestARefusalOutlivesAnOlderRecord guards against a refusal that is lost with the last daemon because
// an expired record of the same fingerprint is stored.
func TestARefusalOutlivesAnOlderRecord(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0).UTC()
	store := &memoryStore{objects: make(map[string]platform.Object)}
	clock := func() time.Time { return now }
	crash := func() {
		n := newNode(store, clock)
		for i := range core.CrashLimit {
			n.mu.Lock()
			n.markRefused(n.table.RecordCrash(now, crashID(i), []core.Fingerprint{crashing, 8}))
			n.mu.Unlock()
		}
		n.save()
		n.Close()
	}
	crash()
	now = now.Add(2 * core.RefusalTTL)
	crash()
	restarted := newNode(store, clock)
	restarted.load()
	c.Assert(restarted.Verdict(crashing), qt.Equals, core.Refused)
	var stored core.Entry
	c.Assert(json.Unmarshal(store.objects[refusedKey(crashing)].Value, &stored), qt.IsNil)
	c.Assert(stored.LastCrash, qt.Equals, now)
}

// TestARefusalByAnUnreportedRunIsStored guards against a permit that expires while another daemon asks
// for it: the refusal that follows must be stored like any other.
func TestARefusalByAnUnreportedRunIsStored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0).UTC()
	store := &memoryStore{objects: make(map[string]platform.Object)}
	n := newNode(store, func() time.Time { return now })
	n.mu.Lock()
	n.markRefused(n.table.RecordCrash(now, crashID(1), []core.Fingerprint{crashing, 8}))
	n.mu.Unlock()
	ctx := context.Background()
	alone, err := n.Admit(ctx, crashing, nil)
	c.Assert(err == nil && alone, qt.IsTrue)
	now = now.Add(core.PermitTTL)
	_, err = n.Admit(ctx, crashing, nil)
	c.Assert(err != nil, qt.IsTrue)
	n.synchronize()
	n.save()
	c.Assert(store.objects, qt.HasLen, 1)
}
