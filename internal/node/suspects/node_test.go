package suspects

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
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

func (s *memoryStore) Delete(_ context.Context, key string, version platform.Version) error {
	if s.objects[key].Version != version {
		return platform.ErrConflict
	}
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix string) (platform.Page, error) {
	var page platform.Page
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, o)
		}
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

// TestAMessageStaysRefusedWhenAllDaemonsRestart guards against a message that crashes upstreams again
// after each restart of the fleet, and against records that outlive their refusal.
func TestAMessageStaysRefusedWhenAllDaemonsRestart(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0).UTC()
	store := &memoryStore{objects: make(map[string]platform.Object)}
	clock := func() time.Time { return now }
	first := newNode(store, clock)
	for i := range 3 {
		first.mu.Lock()
		first.recordMessageCrashes(crashID(i), []uint64{40})
		first.mu.Unlock()
	}
	now = now.Add(quarantine.ConfirmDelay)
	c.Assert(first.refusesMessage([]uint64{40}), qt.IsTrue)
	first.saveMessages()

	restarted := newNode(store, clock)
	c.Assert(restarted.refusesMessage([]uint64{40}), qt.IsFalse)
	restarted.loadMessages()
	c.Assert(restarted.refusesMessage([]uint64{40}), qt.IsTrue)
	c.Assert(restarted.refusesMessage([]uint64{41}), qt.IsFalse)

	restarted.mu.Lock()
	restarted.recordSurvivals([]uint64{40})
	restarted.mu.Unlock()
	c.Assert(restarted.refusesMessage([]uint64{40}), qt.IsFalse)
	restarted.saveMessages()
	c.Assert(store.objects, qt.HasLen, 0)

	first.mu.Lock()
	first.unsavedMessages[40] = true
	first.mu.Unlock()
	first.saveMessages()
	c.Assert(store.objects, qt.HasLen, 1)
	now = now.Add(quarantine.RefusalTTL)
	newNode(store, clock).loadMessages()
	c.Assert(store.objects, qt.HasLen, 0)
}

// TestASoundMessageIsServedBesideACrashingOne guards against a system message that stays refused
// because it was in the same crashes as a later message.
func TestASoundMessageIsServedBesideACrashingOne(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	n := newNode(&memoryStore{objects: make(map[string]platform.Object)}, func() time.Time { return now })
	for i := range 3 {
		n.recordMessageCrashes(crashID(i), []uint64{40, 41})
	}
	now = now.Add(quarantine.ConfirmDelay)
	_, err := n.Admit(t.Context(), 1, []uint64{40, 41})
	c.Assert(err != nil, qt.IsTrue)
	_, err = n.Admit(t.Context(), 2, []uint64{40})
	c.Assert(err == nil, qt.IsTrue)
	n.Completed(t.Context(), 2, []uint64{40}, false)
	for i := range 3 {
		_, err = n.Admit(t.Context(), core.Fingerprint(3+i), []uint64{40, uint64(50 + i)})
		c.Assert(err == nil, qt.IsTrue)
	}
	c.Assert(n.refusesMessage([]uint64{40, 41}), qt.IsTrue)
	c.Assert(n.Refusal(9, []uint64{40, 41}) != nil, qt.IsTrue)
	c.Assert(n.Refusal(9, []uint64{40}) == nil, qt.IsTrue)
}

// TestAMessageFarBackInALongConversationStaysRefused guards against messages behind the 64th, which were not recognized, and
// against a record of its own for each message of a long conversation.
func TestAMessageFarBackInALongConversationStaysRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0).UTC()
	store := &memoryStore{objects: make(map[string]platform.Object)}
	clock := func() time.Time { return now }
	n := newNode(store, clock)
	conversation := make([]uint64, 3000)
	for i := range conversation {
		conversation[i] = uint64(1000 + i)
	}
	for i := range 3 {
		n.recordMessageCrashes(crashID(i), conversation)
	}
	now = now.Add(quarantine.ConfirmDelay)
	c.Assert(n.refusesMessage(conversation), qt.IsTrue)
	n.saveMessages()
	c.Check(n.unsavedMessages, qt.HasLen, 0)
	c.Check(store.objects, qt.HasLen, 1)
	restarted := newNode(store, clock)
	restarted.loadMessages()
	c.Check(restarted.refusesMessage(conversation), qt.IsTrue)
	_, err := restarted.Admit(t.Context(), 1, conversation)
	c.Check(err != nil, qt.IsTrue)

	restarted.recordSurvivals(conversation[:2999]) // of a trial without the last one
	c.Check(restarted.refusesMessage(conversation[:2999]), qt.IsFalse)
	restarted.mu.Lock()
	restarted.noteMessageChanges()
	restarted.mu.Unlock()
	restarted.saveMessages()
	c.Check(restarted.unsavedMessages, qt.HasLen, 0)
	c.Check(store.objects, qt.HasLen, 1)
	again := newNode(store, clock)
	again.loadMessages()
	c.Check(again.RefusedMessages(), qt.DeepEquals, []uint64{3999})
}
