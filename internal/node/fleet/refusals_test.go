package fleet

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// refusalStore keeps records of refused prompt parts in memory.
type refusalStore struct {
	Store
	revision uint64
	records  map[string]Refusal
	writes   int
}

func (r *refusalStore) PutRefusal(_ context.Context, refusal Refusal) error {
	r.writes++
	if _, ok := r.records[refusal.Part]; ok {
		return ErrConflict
	}
	r.revision++
	refusal.Revision = r.revision
	r.records[refusal.Part] = refusal
	return nil
}

func (r *refusalStore) DeleteRefusal(_ context.Context, refusal Refusal) error {
	r.writes++
	if r.records[refusal.Part].Revision != refusal.Revision {
		return ErrConflict
	}
	delete(r.records, refusal.Part)
	return nil
}

// storeRefusals gives all nodes a store.
func (s *sim) storeRefusals() *refusalStore {
	store := &refusalStore{records: make(map[string]Refusal)}
	for _, n := range s.nodes {
		n.opts.Store, n.ctx = store, context.Background()
		n.applyUpstreams(s.now, s.now, 1, nil)
	}
	return store
}

// syncAll lets each running daemon that reads the store read the records of refused prompt parts.
func (s *sim) syncAll(store *refusalStore) {
	for _, vm := range s.order {
		n := s.nodes[vm]
		n.applyUpstreams(s.now, s.now, 1, nil)
		if s.down[vm] || !n.readsStore() {
			continue
		}
		var list []Refusal
		for _, r := range store.records {
			list = append(list, r)
		}
		n.syncRefusals(s.now, list)
	}
}

// restart replaces a node by one that has just started.
func (s *sim) restart(t *testing.T, vm string) {
	opts := s.nodes[vm].opts
	opts.View = NewView(opts.View.opts)
	opts.Pins = new(peer.Pins)
	opts.Log = decisionlog.New(t.Output(), vm)
	t.Cleanup(opts.Log.Close)
	n := New(opts)
	n.ctx = context.Background()
	s.nodes[vm] = n
	var members []Member
	for _, other := range s.nodes {
		members = append(members, other.opts.Self)
	}
	n.applyRecords(s.now, Records{Revision: 1, Members: members})
}

// TestAPartStaysRefusedWhenAllDaemonsRestart guards against a part that crashes upstreams again after
// each restart of the fleet.
func TestAPartStaysRefusedWhenAllDaemonsRestart(t *testing.T) {
	s := newSim(t, 3, 3)
	store := s.storeRefusals()
	s.rounds(3)
	s.nodes["z2-02"].opts.View.RecordSurvival([]quarantine.Trait{popularPart})
	for _, upstream := range []string{"e1", "e2", "e3"} {
		s.crash("z0-00", upstream)
	}
	s.rounds(10) // 2 s
	s.syncAll(store)
	s.Assert(store.records, qt.HasLen, 1)
	writes := store.writes
	s.rounds(10)
	s.syncAll(store)
	s.Check(store.writes, qt.Equals, writes)

	for _, vm := range s.order {
		s.restart(t, vm)
	}
	s.Check(s.refusing(crashingPart), qt.Equals, 0)
	s.syncAll(store)
	s.rounds(10)
	s.Check(s.refusing(crashingPart), qt.Equals, 9)
	s.Check(s.refusing(popularPart), qt.Equals, 0)
}

// TestDaemonsThatOnlyReachTheStoreLearnOfARefusedPart cuts a zone off from the others, which still
// reaches the store.
func TestDaemonsThatOnlyReachTheStoreLearnOfARefusedPart(t *testing.T) {
	s := newSim(t, 2, 3)
	store := s.storeRefusals()
	s.rounds(3)
	isolated := []string{"z1-00", "z1-01", "z1-02"}
	others := []string{"z0-00", "z0-01", "z0-02"}
	// Only one side at a time exchanges messages.
	side := func(list []string, isDown bool) {
		for _, vm := range list {
			s.down[vm] = isDown
		}
	}
	side(isolated, true)
	for _, upstream := range []string{"e1", "e2", "e3"} {
		s.crash("z0-00", upstream)
	}
	s.rounds(10)
	s.syncAll(store)
	side(isolated, false)
	side(others, true)
	s.rounds(10)
	s.Check(s.refusing(crashingPart), qt.Equals, 0)
	s.syncAll(store)
	s.rounds(10)
	s.Check(s.refusing(crashingPart), qt.Equals, 3)
}

// TestTheRecordOfAPartThatIsServedAgainIsDeleted guards against a refusal by mistake that comes back
// from the store, and against records that stay.
func TestTheRecordOfAPartThatIsServedAgainIsDeleted(t *testing.T) {
	s := newSim(t, 2, 3)
	store := s.storeRefusals()
	s.rounds(3)
	for _, upstream := range []string{"e1", "e2", "e3"} {
		s.crash("z0-00", upstream)
	}
	s.rounds(10)
	s.syncAll(store)
	s.Assert(store.records, qt.HasLen, 2)
	s.nodes["z1-01"].opts.View.RecordSurvival([]quarantine.Trait{popularPart})
	s.rounds(10)
	s.syncAll(store)
	s.syncAll(store)
	s.Check(store.records, qt.HasLen, 1)
	s.Check(s.refusing(popularPart), qt.Equals, 0)

	s.now = s.now.Add(quarantine.RefusalTTL)
	s.rounds(5)
	s.syncAll(store)
	s.Check(store.records, qt.HasLen, 0)
	s.Check(s.refusing(crashingPart), qt.Equals, 0)
}

func TestARefusalThatCannotBeReadIsDeleted(t *testing.T) {
	s := newSim(t, 1, 3)
	store := s.storeRefusals()
	s.rounds(3)
	store.records["odd"] = Refusal{Part: "odd", RefusedAt: s.now.UnixMilli(), Revision: 1}
	s.syncAll(store)
	s.Check(store.records, qt.HasLen, 0)
}
