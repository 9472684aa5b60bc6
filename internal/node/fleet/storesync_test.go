package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/continuity"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// The store rejected the calls of one daemon, while the other daemons read that an upstream
// had left. When the store accepts that daemon's calls again, the upstream must not return to
// its list.
func TestADaemonThatAloneLostTheStoreRestoresNoUpstreamThatLeft(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	stays := upstreams.Upstream{ID: "e1", Service: "llm", Addr: "10.0.0.1:1", Zone: "z0"}
	leaves := upstreams.Upstream{ID: "e2", Service: "llm", Addr: "10.0.0.2:1", Zone: "z0"}
	n.setStoreReachable(s.now, true)
	s.now = s.now.Add(10 * time.Second)
	n.applyUpstreams(s.now, s.now, 10, []upstreams.Upstream{stays, leaves})
	n.setStoreReachable(s.now, false)
	leaving := leaves
	leaving.Draining = true
	n.applyUpstreams(s.now, s.now, 20, []upstreams.Upstream{stays, leaving}) // from a peer
	n.applyUpstreams(s.now, s.now, 30, []upstreams.Upstream{stays})
	s.now = s.now.Add(7 * time.Second)
	n.setStoreReachable(s.now, true)
	n.applyUpstreams(s.now, s.now, 40, []upstreams.Upstream{stays})
	c.Assert(n.opts.View.Upstreams(), qt.HasLen, 1)
}

// During an outage of the store for all daemons, the entries of upstreams expire. The upstreams
// register again soon after the outage.
func TestUpstreamsThatLapsedInAStoreOutageStayListedForTheGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	list := []upstreams.Upstream{{ID: "e1", Addr: "10.0.0.1:1"}, {ID: "e2", Addr: "10.0.0.2:1"}, {ID: "e3", Addr: "10.0.0.3:1", Draining: true}}
	n.setStoreReachable(s.now, true)
	s.now = s.now.Add(10 * time.Second)
	n.applyUpstreams(s.now, s.now, 10, list)
	n.setStoreReachable(s.now, false)
	s.now = s.now.Add(5 * time.Second)
	n.setStoreReachable(s.now, true)
	for range 3 {
		n.applyUpstreams(s.now, s.now, 20, list[:1])
		c.Assert(n.opts.View.Upstreams(), qt.HasLen, 2)
		c.Assert(n.opts.View.Upstream("e3"), qt.IsNil, qt.Commentf("the draining upstream is not kept"))
		s.now = s.now.Add(600 * time.Millisecond)
	}
	s.now = s.now.Add(time.Second)
	n.applyUpstreams(s.now, s.now, 20, list[:1])
	c.Assert(n.opts.View.Upstreams(), qt.HasLen, 1)
}

// silentEngines never answer.
type silentEngines struct{}

func (silentEngines) Report(context.Context, string) (EngineReport, error) {
	return EngineReport{}, errors.New("no answer")
}

func (silentEngines) Order(context.Context, upstreams.Upstream, residency.Order) (residency.Outcome, error) {
	return residency.OutcomeUnknown, errors.New("no answer")
}

// All daemons restart at once after a power failure. A restarted daemon may send orders to the
// engines whose leases its VM holds as soon as it has read the records from the store itself.
// It need not wait for a lease to expire.
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
		n.reconcileWorkers()
		n.mu.Lock()
		w := n.workers["e0"]
		n.mu.Unlock()
		_, valid := w.leaseValid()
		return valid
	}
	c.Assert(canOrder(), qt.IsFalse, qt.Commentf("a peer's copy of the records does not renew a lease"))
	own := Records{Revision: 2, Members: []Member{n.opts.Self}, Holders: n.holders}
	n.applyRecords(s.now, own)
	n.renewLeases(n.opts.BootClock(), own)
	c.Assert(canOrder(), qt.IsTrue)
}

// The store rejects the calls of a zone's lead relay. If no other relay read the store,
// the daemons of the zone would learn only with a delay that upstreams leave.
func TestAnotherRelayReadsForTheZoneWhenItsLeadRelayLosesTheStore(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 3)
	for _, vm := range s.order {
		s.nodes[vm].setStoreReachable(s.now, true)
	}
	s.rounds(3)
	s.now = s.now.Add(time.Second)
	readers := func() (list []string) {
		for _, vm := range s.order {
			n := s.nodes[vm]
			n.mu.Lock()
			n.revisions.Upstreams, n.reads = 1, continuity.At(s.now) // the list is fresh
			n.mu.Unlock()
			if n.readsStore() {
				list = append(list, vm)
			}
		}
		return list
	}
	leads := readers()
	c.Assert(leads, qt.HasLen, 1)
	for _, vm := range s.order {
		s.nodes[vm].setStoreReachable(s.now, vm != leads[0])
	}
	s.rounds(2)
	c.Assert(readers(), qt.HasLen, 2, qt.Commentf("the lead relay retries, another relay reads"))
}
