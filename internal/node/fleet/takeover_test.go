package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// listEngine lists engine e0 in a zone, with a lease holder, at all daemons.
func (s *sim) listEngine(zone state.Zone, holder string) { s.listEngines(1, zone, holder) }

// listEngines is listEngine for a number of engines.
func (s *sim) listEngines(count int, zone state.Zone, holder string) {
	config := &routes.Config{Version: 1, Services: map[string]routes.Service{"llm": {Engine: &routes.EngineSpec{Models: []routes.Model{{Name: "m"}}, AdapterSlots: 4}}}}
	var list []upstreams.Upstream
	records := make(map[state.UpstreamID]Holder)
	for i := range count {
		id := state.UpstreamID(fmt.Sprint("e", i))
		list = append(list, upstreams.Upstream{ID: id, Service: "llm", Zone: zone})
		records[id] = Holder{Engine: id, VM: holder, Revision: 1}
	}
	for _, n := range s.nodes {
		n.applyConfig(config, ConfigOrigin{})
		n.applyUpstreams(s.now, s.now, 1, list)
		n.storeReachable = true
		n.holders = records
	}
}

// claimants returns the running daemons that would claim an engine now.
func (s *sim) claimants() []string {
	var list []string
	for _, vm := range s.order {
		if !s.down[vm] && len(s.nodes[vm].dueClaims(s.now)) > 0 {
			list = append(list, vm)
		}
	}
	return list
}

// Guards against an engine without orders: its lease holder was lost for good, and as the peers went on to ask the
// lost daemon, each unanswered message made its silence look shorter than TakeoverAfter.
func TestTheEngineOfAMachineThatNeverReturnsGetsAnotherLeaseHolder(t *testing.T) {
	for _, fleet := range []struct{ zones, each int }{{1, 2}, {1, 3}, {3, 3}, {3, 20}} {
		for _, holder := range []string{"z0-00", fmt.Sprintf("z0-%02d", fleet.each-1)} {
			t.Run(fmt.Sprintf("%d daemons, holder %s", fleet.zones*fleet.each, holder), func(t *testing.T) {
				s := newSim(t, fleet.zones, fleet.each)
				s.listEngine("z0", holder)
				s.roundsWithTimeouts(3 * time.Second)
				s.Assert(s.claimants(), qt.HasLen, 0)
				s.down[holder] = true
				lost := s.now
				for len(s.claimants()) == 0 && s.now.Sub(lost) < time.Minute {
					s.roundsWithTimeouts(gossipInterval)
				}
				s.Check(s.now.Sub(lost) <= holders.TakeoverAfter+recordInterval, qt.IsTrue, qt.Commentf("claimed by %v after %v", s.claimants(), s.now.Sub(lost)))
			})
		}
	}
}

// Guards against an engine that waits for its new lease holder twice as long: the daemon that was to take it over had come
// shortly before, in place of the lost one, and took the lost one for alive until it had itself heard nothing for
// TakeoverAfter.
func TestADaemonThatHasJustComeDoesNotDelayATakeover(t *testing.T) {
	for _, each := range []int{2, 3} {
		for _, joinsAfter := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
			const engines = 12
			s := newSim(t, 3, each)
			s.listEngines(engines, "z0", "z0-00")
			s.roundsWithTimeouts(6 * time.Second)
			s.down["z0-00"] = true
			lost := s.now
			s.roundsWithTimeouts(joinsAfter)
			joined := Member{VM: "z0-50", Incarnation: "1", Zone: "z0", CPU: 0.2}
			s.order = append(s.order, joined.VM)
			n := s.newNode(t, joined)
			n.started = s.now
			s.nodes[joined.VM] = n
			records := Records{Revision: 2, Holders: s.nodes["z0-01"].holders}
			for _, vm := range s.order {
				records.Members = append(records.Members, s.nodes[vm].opts.Self)
			}
			s.listEngines(engines, "z0", "z0-00")
			for _, n := range s.nodes {
				n.applyRecords(s.now, records)
			}
			claimed := make(map[state.UpstreamID]bool)
			for s.now.Sub(lost) < holders.TakeoverAfter+recordInterval {
				s.roundsWithTimeouts(gossipInterval)
				for _, vm := range s.order {
					for _, h := range s.nodes[vm].dueClaims(s.now) {
						claimed[h.Engine] = claimed[h.Engine] || !s.down[vm]
					}
				}
			}
			s.Check(claimed, qt.HasLen, engines, qt.Commentf("%d in a zone, one more after %v", each, joinsAfter))
		}
	}
}

// Guards against a daemon that takes the engines of its live peers when it runs again after a stall: it had heard from
// nobody for that long, and each engine got no orders until the takeover was complete.
func TestADaemonThatStoodStillDoesNotTakeOverFromItsPeers(t *testing.T) {
	for _, stall := range []time.Duration{5 * time.Second, 9 * time.Second, 40 * time.Second} {
		s := newSim(t, 3, 3)
		s.listEngine("z0", "z0-00")
		s.roundsWithTimeouts(3 * time.Second)
		s.down["z0-01"] = true
		s.roundsWithTimeouts(stall)
		s.down["z0-01"] = false
		s.Check(s.claimants(), qt.HasLen, 0, qt.Commentf("at once after %v", stall))
		for range 25 {
			s.roundsWithTimeouts(gossipInterval)
			s.Check(s.claimants(), qt.HasLen, 0, qt.Commentf("after %v", stall))
		}
	}
}

// emptyEngines report that they hold a model and no adapters.
type emptyEngines struct{ silentEngines }

func (emptyEngines) Report(context.Context, string) (EngineReport, error) {
	return EngineReport{StartTime: 1, Holding: upstreams.Residency{Models: map[string]int{"m": 1}}}, nil
}

// orderers returns the daemons that may order at an engine now.
func (s *sim) orderers(id state.UpstreamID) []string {
	var list []string
	for _, vm := range s.order {
		n := s.nodes[vm]
		n.mu.Lock()
		w := n.workers[id]
		n.mu.Unlock()
		if w == nil {
			continue
		}
		if _, isValid := w.leaseValid(); isValid {
			list = append(list, vm)
		}
	}
	return list
}

// takeoverSim is a fleet of three daemons and one engine, whose daemons may be away.
type takeoverSim struct {
	*sim
	away     map[string]bool
	polledAt map[string]time.Time
}

func newTakeoverSim(t *testing.T) *takeoverSim {
	s, _ := newRecordSim(t, 1, 3, 1)
	for _, n := range s.nodes {
		n.opts.Engines = emptyEngines{}
	}
	return &takeoverSim{s, make(map[string]bool), make(map[string]time.Time)}
}

// run plays the fleet for a time, or until a condition holds.
func (s *takeoverSim) run(d time.Duration, until func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end) && !until(); {
		time.Sleep(gossipInterval)
		s.gossip(func(vm string) bool { return s.away[vm] })
		for _, vm := range s.order {
			n := s.nodes[vm]
			interval := recordInterval
			select {
			case <-n.refreshRequested:
				interval = minRecordInterval
			default:
			}
			if !s.away[vm] && time.Since(s.polledAt[vm]) >= interval {
				s.polledAt[vm] = time.Now()
				s.poll(n)
			}
		}
		synctest.Wait()
	}
}

func (s *takeoverSim) close() {
	for _, n := range s.nodes {
		n.Close()
	}
}

// Guards against an engine that gets no orders for the whole time of a takeover (13.5 s), as its lease holder was frozen for
// 9 s: the successor kept the engine, although the lease holder was back before it could order.
func TestAnEngineReturnsToItsLeaseHolderThatIsBackBeforeTheTakeoverIsComplete(t *testing.T) {
	for _, away := range []time.Duration{5 * time.Second, 9 * time.Second, 12 * time.Second} {
		for _, isClaimantLost := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newTakeoverSim(t)
				defer s.close()
				never := func() bool { return false }
				s.run(40*time.Second, never)
				s.Assert(s.orderers("e0"), qt.HasLen, 1)
				holder := s.orderers("e0")[0]
				s.away[holder] = true
				s.run(away, never)
				back, limit := time.Now(), 2*recordInterval
				if claimant := s.store("e0").VM; isClaimantLost && claimant != holder {
					s.away[claimant] = true
					limit += holders.TakeoverAfter
				}
				s.away[holder] = false
				s.run(time.Minute, func() bool { return len(s.orderers("e0")) > 0 && s.nodes[holder].holders["e0"].PreviousVM == "" })
				note := qt.Commentf("away for %v, claimant lost: %v, orders again after %v", away, isClaimantLost, time.Since(back))
				s.Check(s.orderers("e0"), qt.DeepEquals, []string{holder}, note)
				s.Check(time.Since(back) <= limit, qt.IsTrue, note)
			})
		}
	}
}

// store returns the lease holder's record in the store.
func (s *takeoverSim) store(id state.UpstreamID) Holder {
	r, err := s.nodes[s.order[0]].opts.Store.Records(context.Background())
	s.Assert(err, qt.IsNil)
	return r.Holders[id]
}

// Guards against an engine that its new lease holder releases again, as a peer sent records that had been read before the
// claim: the takeover began anew.
func TestRecordsReadBeforeAClaimDoNotUndoIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := newRecordSim(t, 1, 3, 1)
		defer func() {
			for _, n := range s.nodes {
				n.Close()
			}
		}()
		n := s.nodes["z0-00"]
		store.holders["e0"] = Holder{Engine: "e0", VM: "z0-01", Era: 1, Revision: store.next()}
		s.Assert(n.readRecords(), qt.IsNil)
		older, err := store.Records(t.Context())
		s.Assert(err, qt.IsNil)
		n.members["z0-01"].lastHeard = time.Now().Add(-holders.TakeoverAfter)
		n.members["z0-02"].lastHeard = time.Now().Add(-holders.TakeoverAfter)
		n.claimEngines()
		s.Assert(n.holders["e0"].VM, qt.Equals, "z0-00")
		n.applyRecords(time.Now(), older)
		n.reconcileWorkers()
		s.Check(n.workers["e0"], qt.IsNotNil, qt.Commentf("older records"))
		store.holders["e0"] = Holder{Engine: "e0", VM: "z0-02", Era: 1, Revision: store.next()}
		s.Assert(n.readRecords(), qt.IsNil)
		n.reconcileWorkers()
		s.Check(n.workers["e0"], qt.IsNil, qt.Commentf("another daemon has claimed it since"))
	})
}

// lateStore is a recordStore that loses answers of writes, and executes some of these writes seconds later.
type lateStore struct {
	*recordStore
	rng  *rand.Rand
	late []lateWrite
}

type lateWrite struct {
	h  Holder
	at time.Time
}

var errLost = errors.New("the answer is lost")

func (s *lateStore) PutHolder(ctx context.Context, h Holder) (Holder, error) {
	switch s.rng.IntN(6) {
	case 0:
		s.late = append(s.late, lateWrite{h, time.Now().Add(time.Duration(1+s.rng.IntN(6)) * time.Second)})
		return Holder{}, errLost
	case 1:
		_, _ = s.recordStore.PutHolder(ctx, h)
		return Holder{}, errLost
	}
	return s.recordStore.PutHolder(ctx, h)
}

// executeLate executes the late writes whose time has come.
func (s *lateStore) executeLate() {
	s.late = slices.DeleteFunc(s.late, func(w lateWrite) bool {
		if time.Now().Before(w.at) {
			return false
		}
		_, _ = s.recordStore.PutHolder(context.Background(), w.h)
		return true
	})
}

// Guards against two daemons that order at an engine while takeovers are given up, as lease holders freeze and come back,
// the successors freeze as well, and answers of the store are lost.
func TestLeasesStayExclusiveWhileEnginesAreReturned(t *testing.T) {
	returns := 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			s, records := newRecordSim(t, 1+rng.IntN(2), 3+rng.IntN(2), 4)
			store := &lateStore{recordStore: records, rng: rng}
			for _, n := range s.nodes {
				n.opts.Store, n.opts.Engines = store, emptyEngines{}
			}
			before := make(map[state.UpstreamID]Holder)
			held := s.checkLeases(seed, func(_ int, cut func(vm string, d time.Duration)) {
				store.executeLate()
				for id, h := range store.holders {
					if b := before[id]; b.PreviousVM != "" && b.PreviousVM == h.VM {
						returns++
					}
					before[id] = h
				}
				if vm := s.order[rng.IntN(len(s.order))]; rng.IntN(40) == 0 {
					cut(vm, time.Duration(1+rng.IntN(25))*time.Second)
				}
			})
			s.Assert(held, qt.Equals, 4, qt.Commentf("seed %d: each engine has had a lease holder", seed))
		})
	}
	qt.Check(t, returns > 0, qt.IsTrue)
	t.Logf("%d engines returned", returns)
}
