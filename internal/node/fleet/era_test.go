package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// listed returns which upstreams of a node may get new requests.
func listed(n *Node) map[state.UpstreamID]bool {
	list := make(map[state.UpstreamID]bool)
	for _, u := range n.opts.View.Upstreams() {
		list[u.ID] = !u.Draining
	}
	return list
}

// The store came back from a copy that was 9 s old. Its lists had lower revisions than the ones before and were
// dropped until the counter had passed them, so that requests reached an engine 2 s after it was acknowledged as
// leaving.
func TestAListOfANewEraReplacesOneWithAHigherRevision(t *testing.T) {
	s := newSim(t, 2, 3)
	s.rounds(2)
	old, present := s.nodes["z0-00"], s.nodes["z1-00"]
	before := []upstreams.Upstream{{ID: "e1", Addr: "10.0.0.1:1"}, {ID: "e2", Addr: "10.0.0.2:1"}}
	old.applyUpstreams(s.now, s.now, state.StoreRevision(1, 900), before)
	s.rounds(4)
	leaving := slices.Clone(before)
	leaving[1].Draining = true
	present.applyUpstreams(s.now, s.now, state.StoreRevision(2, 400), leaving)
	s.rounds(4)
	for _, vm := range s.order {
		s.Assert(listed(s.nodes[vm]), qt.DeepEquals, map[state.UpstreamID]bool{"e1": true, "e2": false}, qt.Commentf(vm))
	}
	// A call that was answered before the store came back ends late.
	old.applyUpstreams(s.now, s.now, state.StoreRevision(1, 950), before)
	s.rounds(4)
	for _, vm := range s.order {
		s.Assert(listed(s.nodes[vm])["e2"], qt.IsFalse, qt.Commentf(vm))
	}
}

// Guards against requests to an upstream that has left, and that the store's old copy lists as ready again; and
// against an upstream that is kept out for good.
func TestAnUpstreamThatLeftDoesNotReturnWithTheStoresCopy(t *testing.T) {
	s := newSim(t, 1, 2)
	s.rounds(2)
	n := s.nodes["z0-00"]
	stays, drains, gone := upstreams.Upstream{ID: "e1", Addr: "a:1", StartTime: 1}, upstreams.Upstream{ID: "e2", Addr: "b:1", StartTime: 1}, upstreams.Upstream{ID: "e3", Addr: "c:1", StartTime: 1}
	restarted := upstreams.Upstream{ID: "e4", Addr: "d:1", StartTime: 1}
	copied := []upstreams.Upstream{stays, drains, gone, restarted}
	read := func(era, revision uint64, list ...upstreams.Upstream) {
		n.applyUpstreams(s.now, s.now, state.StoreRevision(era, revision), list)
		s.rounds(5)
	}
	read(0, 500, copied...)
	drains.Draining = true
	read(0, 510, stays, drains, gone)
	read(0, 520, stays, drains)
	restarted.StartTime = 2
	copied[3] = restarted
	for i := range 5 { // the entries of the copy expire, or are written again, within a few heartbeats
		read(1, uint64(300+i), copied...)
		for _, vm := range s.order {
			s.Assert(listed(s.nodes[vm]), qt.DeepEquals, map[state.UpstreamID]bool{"e1": true, "e2": false, "e3": false, "e4": true}, qt.Commentf("%s, read %d", vm, i))
		}
	}
	s.rounds(10)
	read(1, 330, copied...)
	s.Assert(listed(n)["e3"], qt.IsTrue, qt.Commentf("its entry is renewed, so it is back"))
}

// Guards against upstreams that count as gone because they registered after the store's copy was made.
func TestUpstreamsYoungerThanTheStoresCopyStayForTheGracePeriod(t *testing.T) {
	s := newSim(t, 1, 3)
	s.rounds(2)
	n := s.nodes["z0-00"]
	n.applyUpstreams(s.now, s.now, state.StoreRevision(1, 500), []upstreams.Upstream{{ID: "e1", Addr: "a:1"}, {ID: "e2", Addr: "b:1"}})
	s.rounds(3)
	n.applyUpstreams(s.now, s.now, state.StoreRevision(2, 300), []upstreams.Upstream{{ID: "e1", Addr: "a:1"}})
	s.rounds(7)
	for _, vm := range s.order {
		s.Assert(listed(s.nodes[vm]), qt.DeepEquals, map[state.UpstreamID]bool{"e1": true, "e2": true}, qt.Commentf(vm))
	}
	s.rounds(5)
	for _, vm := range s.order {
		s.Assert(listed(s.nodes[vm]), qt.DeepEquals, map[state.UpstreamID]bool{"e1": true}, qt.Commentf(vm))
	}
}

// recordStore holds records, and can come back from a copy of them.
type recordStore struct {
	Store
	era, revision uint64
	members       map[string]Member
	holders       map[state.UpstreamID]Holder
}

func (s *recordStore) next() uint64 {
	s.revision++
	return state.StoreRevision(s.era, s.revision)
}

func (s *recordStore) copy() recordStore {
	return recordStore{revision: s.revision, members: maps.Clone(s.members), holders: maps.Clone(s.holders)}
}

// restore makes the store come back from a copy. The revisions of its objects are of the new era.
func (s *recordStore) restore(c recordStore) {
	s.era++
	s.revision, s.members, s.holders = c.revision, maps.Clone(c.members), maps.Clone(c.holders)
	for vm, m := range s.members {
		m.Revision = state.StoreRevision(s.era, state.OwnRevision(m.Revision))
		s.members[vm] = m
	}
	for id, h := range s.holders {
		h.Revision = state.StoreRevision(s.era, state.OwnRevision(h.Revision))
		s.holders[id] = h
	}
}

func (s *recordStore) Records(context.Context) (Records, error) {
	r := Records{Revision: state.StoreRevision(s.era, s.revision), Holders: maps.Clone(s.holders)}
	for _, m := range s.members {
		r.Members = append(r.Members, m)
	}
	return r, nil
}

func (s *recordStore) PutMember(_ context.Context, m Member) error {
	m.Revision = s.next()
	s.members[m.VM] = m
	return nil
}

func (s *recordStore) PutHolder(_ context.Context, h Holder) (Holder, error) {
	if s.holders[h.Engine].Revision != h.Revision {
		return h, ErrConflict
	}
	h.Revision = s.next()
	s.holders[h.Engine] = h
	return h, nil
}

func (s *recordStore) PutRefusal(context.Context, Refusal) error    { return nil }
func (s *recordStore) DeleteRefusal(context.Context, Refusal) error { return nil }

// newRecordSim returns a fleet whose clocks are those of a synctest bubble, and its store. The daemons have published
// their records.
func newRecordSim(t *testing.T, zones, each, engines int) (*sim, *recordStore) {
	s := newSim(t, zones, each)
	store := &recordStore{era: 1, revision: 100, members: make(map[string]Member), holders: make(map[state.UpstreamID]Holder)}
	begin := time.Now().Add(-time.Hour)
	var list []upstreams.Upstream
	for i := range engines {
		list = append(list, upstreams.Upstream{ID: state.UpstreamID(fmt.Sprint("e", i)), Service: "llm", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: state.Zone(fmt.Sprint("z", i%zones))})
	}
	for _, vm := range s.order {
		n := s.nodes[vm]
		n.opts.Clock, n.opts.View.opts.Clock = time.Now, time.Now
		n.opts.BootClock = func() time.Duration { return time.Since(begin) }
		n.opts.Store, n.opts.Engines = store, silentEngines{}
		n.opts.MinHandoverInterval = 3 * time.Second
		n.ctx, n.cancel = context.WithCancel(t.Context())
		n.started = time.Now().Add(-time.Minute)
		n.storeReachable, n.isPublished = true, true
		n.opts.View.SetConfig(&routes.Config{Version: 1, Services: map[string]routes.Service{
			"llm": {Name: "llm", Engine: &routes.EngineSpec{AdapterSlots: 4, Models: []routes.Model{{Name: "m"}}}},
		}})
		n.opts.View.SetUpstreams(time.Now(), list)
		s.Assert(store.PutMember(t.Context(), n.opts.Self), qt.IsNil)
	}
	return s, store
}

// gossip delivers the messages of one round between daemons that reach each other.
func (s *sim) gossip(isCut func(vm string) bool) {
	for _, vm := range s.order {
		n := s.nodes[vm]
		for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
			n.mu.Lock()
			m.to.callInFlight = false
			n.mu.Unlock()
			to := s.nodes[m.to.VM]
			if isCut(vm) || isCut(m.to.VM) || to.opts.Self.Incarnation != m.to.Incarnation {
				continue
			}
			self, sentAt := n.opts.Self, n.opts.BootClock()
			reply := to.HandlePush(self.ID(), m.push)
			n.applyReply(m.to, reply)
			n.confirmByPeer(sentAt, reply.Revisions)
		}
	}
}

// poll is a round of pollRecords at a daemon that reaches the store.
func (s *sim) poll(n *Node) {
	if !n.isPublished || n.takeUnlisted() {
		s.Assert(n.opts.Store.PutMember(n.ctx, n.opts.Self), qt.IsNil)
		n.isPublished, n.publishedAt = true, time.Now()
	}
	if n.needsRecords(time.Now(), time.Time{}) {
		s.Assert(n.readRecords(), qt.IsNil)
	}
	n.reconcileWorkers()
	n.claimEngines()
}

// Guards against two daemons that order at an engine, or take turns there faster than the platform allows, and against
// a fencing token that is used again, after the store has come back from a copy in which other daemons hold the
// leases. Daemons are cut off, restarted and lose their peers meanwhile.
func TestLeasesStayExclusiveWhenTheStoreComesBackFromACopy(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			s, store := newRecordSim(t, 1+rng.IntN(2), 3+rng.IntN(2), 4)
			copies := []recordStore{store.copy()}
			held := s.checkLeases(seed, func(step int, cut func(vm string, d time.Duration)) {
				if step%10 == 0 {
					copies = append(copies, store.copy())
				}
				switch vm := s.order[rng.IntN(len(s.order))]; {
				case step > 100 && rng.IntN(90) == 0:
					store.restore(copies[max(0, len(copies)-1-rng.IntN(25))])
					copies = []recordStore{store.copy()}
				case rng.IntN(60) == 0:
					cut(vm, time.Duration(rng.IntN(30))*time.Second)
				}
			})
			s.Assert(held, qt.Equals, 4, qt.Commentf("seed %d: each engine has had a lease holder", seed))
		})
	}
}

// checkLeases plays two minutes of a fleet and fails if two daemons may order at an engine, or take turns there faster than
// the platform allows, or if a fencing token is used again. disrupt is called before each step of gossipInterval; it may
// cut a daemon off from its peers and the store. checkLeases returns how many engines had a lease holder.
func (s *sim) checkLeases(seed uint64, disrupt func(step int, cut func(vm string, d time.Duration))) int {
	defer func() {
		for _, n := range s.nodes {
			n.Close()
		}
	}()
	type turn struct {
		vm    string
		token uint64
		last  time.Time
	}
	turns := make(map[state.UpstreamID]turn)
	cutUntil, polledAt := make(map[string]time.Time), make(map[string]time.Time)
	isCut := func(vm string) bool { return time.Now().Before(cutUntil[vm]) }
	for step := range 600 {
		time.Sleep(gossipInterval)
		s.gossip(isCut)
		for _, vm := range s.order {
			if !isCut(vm) && time.Since(polledAt[vm]) >= recordInterval {
				polledAt[vm] = time.Now()
				s.poll(s.nodes[vm])
			}
		}
		synctest.Wait()
		for _, vm := range s.order {
			n := s.nodes[vm]
			n.mu.Lock()
			for id, w := range n.workers {
				token, isValid := w.leaseValid()
				before := turns[id]
				if !isValid {
					continue
				}
				note := qt.Commentf("seed %d, step %d: %s holds %s with %x after %s with %x", seed, step, vm, id, token, before.vm, before.token)
				if before.vm != "" && before.vm != vm {
					s.Assert(time.Since(before.last) >= n.opts.MinHandoverInterval, qt.IsTrue, note)
					s.Assert(token > before.token, qt.IsTrue, note)
				}
				s.Assert(token >= before.token, qt.IsTrue, note)
				turns[id] = turn{vm, token, time.Now()}
			}
			n.mu.Unlock()
		}
		disrupt(step, func(vm string, d time.Duration) { cutUntil[vm] = time.Now().Add(d) })
	}
	return len(turns)
}

// Guards against daemons that the store's copy does not know, or knows in an earlier run, and that are strangers to their
// peers from then on.
func TestDaemonsThatTheStoresCopyLacksStayPeersAndAreRecordedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := newRecordSim(t, 2, 12, 1)
		defer func() {
			for _, n := range s.nodes {
				n.Close()
			}
		}()
		run := func(d time.Duration, check func()) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(gossipInterval)
				s.gossip(func(string) bool { return false })
				for i, vm := range s.order {
					if (int(time.Now().UnixMilli())/200+i)%7 == 0 {
						s.poll(s.nodes[vm])
					}
				}
				check()
			}
		}
		old := store.copy()
		delete(old.members, "z0-01")
		restarted := old.members["z1-02"]
		restarted.Incarnation = "0"
		old.members["z1-02"] = restarted
		run(4*time.Second, func() {})
		store.restore(old)
		arePeers := func() {
			for _, vm := range s.order {
				for _, other := range s.order {
					m := s.nodes[vm].members[other]
					s.Assert(vm == other || m != nil && m.Incarnation == "1" && time.Since(m.lastHeard) < 2*time.Second, qt.IsTrue, qt.Commentf("%s of %s", other, vm))
				}
			}
		}
		run(10*time.Second, arePeers)
		for _, vm := range s.order {
			s.Assert(store.members[vm].Incarnation, qt.Equals, "1", qt.Commentf(vm))
		}
	})
}

// The lists of daemons that hear of the store's eras in any order, directly or from peers, end at the newest one, and
// never go back to an earlier one.
func TestListsNeverGoBackToAnEarlierEra(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := newSim(t, 1+rng.IntN(3), 2+rng.IntN(4))
		era, revision := uint64(1), uint64(100)
		present := make(map[string]uint64)
		type answer struct {
			n        *Node
			revision uint64
			list     []upstreams.Upstream
		}
		var late []answer
		read := func() answer {
			list := []upstreams.Upstream{{ID: state.UpstreamID(fmt.Sprintf("e%d-%d", era, revision)), Addr: "a:1"}}
			return answer{s.nodes[s.order[rng.IntN(len(s.order))]], state.StoreRevision(era, revision), list}
		}
		apply := func(a answer) { a.n.applyUpstreams(s.now, s.now, a.revision, a.list) }
		for range 150 {
			switch rng.IntN(8) {
			case 0:
				era++
				revision -= uint64(rng.IntN(int(revision-50) + 1))
			case 1, 2:
				revision += uint64(rng.IntN(30))
			case 3, 4:
				apply(read())
			case 5:
				late = append(late, read())
			case 6:
				if len(late) > 0 {
					apply(late[0])
					late = late[1:]
				}
			default:
				vm := s.order[rng.IntN(len(s.order))]
				s.down[vm] = !s.down[vm]
			}
			s.rounds(1)
			for _, vm := range s.order {
				held := s.nodes[vm].revisions.Upstreams
				s.Assert(held >= present[vm], qt.IsTrue, qt.Commentf("seed %d: %s goes from %x to %x", seed, vm, present[vm], held))
				present[vm] = held
			}
		}
		clear(s.down)
		revision++
		newest := read()
		apply(newest)
		s.rounds(12)
		for _, vm := range s.order {
			n := s.nodes[vm]
			s.Assert(n.revisions.Upstreams, qt.Equals, newest.revision, qt.Commentf("seed %d: %s", seed, vm))
			s.Assert(n.list[0].ID, qt.Equals, newest.list[0].ID, qt.Commentf("seed %d: %s", seed, vm))
		}
	}
}

// Guards against a daemon that, since the store came back from a copy, takes each outage of its own for one of the store,
// and keeps an upstream that left in it.
func TestAnOutageOfOneZoneIsRecognizedAfterANewEra(t *testing.T) {
	s := newSim(t, 2, 2)
	s.rounds(2)
	s.readFor(3, "z0-00", state.StoreRevision(1, 100), staying, leaving)
	s.readFor(6, "z0-00", state.StoreRevision(2, 50), staying, leaving)
	s.readFor(1, "z1-00", state.StoreRevision(2, 50), staying, leaving)
	s.down["z0-00"], s.down["z0-01"] = true, true
	s.readFor(4, "z1-00", state.StoreRevision(2, 60), staying, leaving)
	s.readFor(2, "z1-00", state.StoreRevision(2, 70), staying)
	s.down["z0-00"], s.down["z0-01"] = false, false
	s.read("z0-00", state.StoreRevision(2, 80), staying)
	s.rounds(3)
	for _, vm := range s.order {
		s.Assert(s.lists(vm), qt.IsFalse, qt.Commentf(vm))
	}
}
