package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// The store turned one daemon away while the others read that an upstream left. When
// the daemon is let in again, what it read before must not bring the upstream back.
func TestADaemonThatWasTurnedAwayAloneKeepsNoUpstreamThatLeft(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	n.opts.LapsedGracePeriod = 2 * time.Second
	stays := upstreams.Upstream{ID: "e1", Service: "llm", Addr: "10.0.0.1:1", Zone: "z0"}
	leaves := upstreams.Upstream{ID: "e2", Service: "llm", Addr: "10.0.0.2:1", Zone: "z0"}
	n.noteReached(s.now, true)
	s.now = s.now.Add(10 * time.Second)
	n.takeUpstreams(s.now, s.now, 10, n.keepLapsed(s.now, []upstreams.Upstream{stays, leaves}))
	n.noteReached(s.now, false)
	leaving := leaves
	leaving.Draining = true
	n.takeUpstreams(s.now, s.now, 20, []upstreams.Upstream{stays, leaving}) // from a peer
	n.takeUpstreams(s.now, s.now, 30, []upstreams.Upstream{stays})
	s.now = s.now.Add(7 * time.Second)
	n.noteReached(s.now, true)
	c.Assert(n.keepLapsed(s.now, []upstreams.Upstream{stays}), qt.HasLen, 1)
}

// The store was away for all: entries that lapsed meanwhile come back within a bound.
func TestUpstreamsThatLapsedInAnOutageAreKeptForAWhile(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	n.opts.LapsedGracePeriod = 2 * time.Second
	list := []upstreams.Upstream{{ID: "e1", Addr: "10.0.0.1:1"}, {ID: "e2", Addr: "10.0.0.2:1"}, {ID: "e3", Addr: "10.0.0.3:1", Draining: true}}
	n.noteReached(s.now, true)
	s.now = s.now.Add(10 * time.Second)
	n.takeUpstreams(s.now, s.now, 10, n.keepLapsed(s.now, list))
	n.noteReached(s.now, false)
	s.now = s.now.Add(5 * time.Second)
	n.noteReached(s.now, true)
	for range 3 {
		kept := n.keepLapsed(s.now, list[:1])
		c.Assert(kept, qt.HasLen, 2, qt.Commentf("the one that was leaving is not kept"))
		n.takeUpstreams(s.now, s.now, 20, kept)
		s.now = s.now.Add(600 * time.Millisecond)
	}
	s.now = s.now.Add(time.Second)
	c.Assert(n.keepLapsed(s.now, list[:1]), qt.HasLen, 1)
}

// silentEngines answer nothing.
type silentEngines struct{}

func (silentEngines) Report(context.Context, string) (EngineReport, error) {
	return EngineReport{}, errors.New("no answer")
}

func (silentEngines) Order(context.Context, upstreams.Upstream, residency.Order) (residency.Outcome, error) {
	return residency.OutcomeUnknown, errors.New("no answer")
}

// Pattern: all daemons back at once after a loss of power. A restarted daemon goes on
// to order at its engines with its first own read of the records, not after a lease.
func TestARestartedDaemonOrdersAfterItsFirstOwnRead(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	n.opts.Engines = silentEngines{}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	defer n.Close()
	n.opts.View.SetConfig(&routes.Config{Version: 1, Services: map[string]routes.Service{
		"llm": {Name: "llm", Engine: &routes.EngineSpec{AdapterSlots: 4, Models: []routes.Model{{Name: "m"}}}},
	}})
	n.opts.View.SetUpstreams(s.now, []upstreams.Upstream{{ID: "e0", Service: "llm", Addr: "127.0.0.1:1", Zone: "z0"}})
	canOrder := func() bool {
		n.reconcile()
		n.mu.Lock()
		w := n.workers["e0"]
		n.mu.Unlock()
		_, valid := w.leaseValid()
		return valid
	}
	c.Assert(canOrder(), qt.IsFalse, qt.Commentf("a peer's word on the records is no confirmation"))
	own := Records{Revision: 2, Members: []Member{n.opts.Self}, Holders: n.holders}
	n.takeRecords(s.now, own)
	n.confirmLeases(n.opts.BootClock(), own)
	c.Assert(canOrder(), qt.IsTrue)
}

// Pattern: the store turns the lead of a zone away while upstreams leave.
func TestAnotherRelayReadsForTheZoneWhenItsLeadIsTurnedAway(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 3)
	for _, vm := range s.order {
		s.nodes[vm].noteReached(s.now, true)
	}
	s.rounds(3)
	s.now = s.now.Add(time.Second)
	readers := func() (list []string) {
		for _, vm := range s.order {
			n := s.nodes[vm]
			n.mu.Lock()
			n.known.Upstreams, n.storeAt = 1, s.now // what is known is fresh
			n.mu.Unlock()
			if n.follows() {
				list = append(list, vm)
			}
		}
		return list
	}
	lead := readers()
	c.Assert(lead, qt.HasLen, 1)
	for _, vm := range s.order {
		s.nodes[vm].noteReached(s.now, vm != lead[0])
	}
	s.rounds(2)
	c.Assert(readers(), qt.HasLen, 2, qt.Commentf("the lead tries on, another relay reads"))
}
