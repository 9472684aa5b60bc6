package fleet

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

var (
	staying = upstreams.Upstream{ID: "e1", Service: "app", Addr: "10.0.0.1:1", Zone: "z0"}
	leaving = upstreams.Upstream{ID: "e2", Service: "app", Addr: "10.0.0.2:1", Zone: "z0"}
)

// read makes a daemon read a list of upstreams from the store.
func (s *sim) read(vm string, revision uint64, list ...upstreams.Upstream) {
	n := s.nodes[vm]
	n.setStoreReachable(s.now, true)
	n.applyUpstreams(s.now, s.now, revision, list)
}

// readFor makes a daemon read a list every second, while the fleet exchanges messages.
func (s *sim) readFor(seconds int, vm string, revision uint64, list ...upstreams.Upstream) {
	for range seconds {
		s.read(vm, revision, list...)
		s.rounds(5)
	}
}

// lists reports whether a daemon lists the upstream that left.
func (s *sim) lists(vm string) bool { return s.nodes[vm].opts.View.Upstream(leaving.ID) != nil }

// Guards against requests to an upstream that left: a zone that was cut off took its own failed
// calls for an outage of the store, and passed what it kept to the other daemons.
func TestAZoneThatWasCutOffBringsBackNoUpstreamThatLeft(t *testing.T) {
	s := newSim(t, 2, 2)
	s.rounds(2)
	s.readFor(3, "z0-00", 10, staying, leaving)
	s.readFor(1, "z1-00", 10, staying, leaving)
	s.down["z0-00"], s.down["z0-01"] = true, true
	for _, vm := range []string{"z0-00", "z0-01"} {
		s.nodes[vm].setStoreReachable(s.now, false)
	}
	s.readFor(4, "z1-00", 20, staying, leaving)
	s.readFor(2, "z1-00", 30, staying)
	s.Assert(s.lists("z0-00"), qt.IsTrue, qt.Commentf("it was cut off"))
	s.down["z0-00"], s.down["z0-01"] = false, false
	s.read("z0-00", 40, staying)
	for round := range 12 {
		s.rounds(1)
		for _, vm := range []string{"z1-00", "z1-01"} {
			s.Assert(s.lists(vm), qt.IsFalse, qt.Commentf("%s, which nothing disturbed, in round %d", vm, round))
		}
		if round > 1 { // its peers have told it that the store was up
			s.Assert(s.lists("z0-00") || s.lists("z0-01"), qt.IsFalse, qt.Commentf("round %d", round))
		}
	}
}

// Guards against the same where only the calls of one daemon fail, and it hears from its peers all
// the while.
func TestADaemonThatRegainsTheStoreBringsBackNoUpstreamThatLeft(t *testing.T) {
	s := newSim(t, 1, 2)
	s.rounds(2)
	s.readFor(3, "z0-00", 10, staying, leaving)
	s.nodes["z0-00"].setStoreReachable(s.now, false)
	s.readFor(4, "z0-01", 20, staying, leaving)
	s.read("z0-00", 30, staying)
	s.Assert(s.lists("z0-00"), qt.IsFalse)
	for range 12 {
		s.rounds(1)
		s.Assert(s.lists("z0-00") || s.lists("z0-01"), qt.IsFalse)
	}
}

// Guards against an upstream that is not used although its entry only lapsed in an outage of the
// store, and against one that leaves after the outage and is kept.
func TestLapsedUpstreamsAreKeptByAllDaemonsUntilTheyAreListedOnce(t *testing.T) {
	s := newSim(t, 2, 2)
	s.rounds(2)
	s.readFor(3, "z0-00", 10, staying, leaving)
	for _, n := range s.nodes {
		n.setStoreReachable(s.now, false)
	}
	s.rounds(25) // 5 s
	s.read("z0-00", 20, staying)
	s.rounds(3)
	for _, vm := range s.order {
		s.Assert(s.lists(vm), qt.IsTrue, qt.Commentf("%s", vm))
	}
	s.read("z0-00", 30, staying, leaving) // registered again
	s.rounds(1)
	s.read("z0-00", 40, staying) // and removed
	s.rounds(3)
	for _, vm := range s.order {
		s.Assert(s.lists(vm), qt.IsFalse, qt.Commentf("%s", vm))
	}
}

// Guards against a lapsed upstream that stays listed because no daemon reads the list again.
func TestLapsedUpstreamsExpireWithoutAnotherRead(t *testing.T) {
	s := newSim(t, 1, 1)
	s.read("z0-00", 10, staying, leaving)
	s.now = s.now.Add(5 * time.Second)
	s.read("z0-00", 20, staying)
	s.Assert(s.lists("z0-00"), qt.IsTrue)
	s.rounds(10) // LapsedGracePeriod
	s.Assert(s.lists("z0-00"), qt.IsFalse)
}

// Guards against requests to an upstream that left: a daemon that stopped calling the store in an
// outage took that outage for a present one, when it called again long after.
func TestAnOutageThatEndedLongAgoKeepsNoUpstreamThatLeft(t *testing.T) {
	s := newSim(t, 1, 2)
	s.rounds(2)
	s.readFor(3, "z0-00", 10, staying, leaving)
	for _, vm := range s.order {
		s.nodes[vm].setStoreReachable(s.now, false)
	}
	s.rounds(18) // 3.6 s
	s.readFor(6, "z0-00", 20, staying, leaving)
	s.down["z0-00"] = true
	for !s.nodes["z0-01"].readsStore() {
		s.rounds(1)
	}
	s.read("z0-01", 30, staying)
	s.Assert(s.lists("z0-01"), qt.IsFalse)
}

// Guards against a daemon that counts as cut off from the store, and is passed over as a reader,
// because its last call failed in an outage that other daemons saw the end of.
func TestADaemonThatStoppedCallingTheStoreForgetsTheFailure(t *testing.T) {
	s := newSim(t, 1, 2)
	s.rounds(2)
	n := s.nodes["z0-01"]
	b := storeBackoff{log: n.opts.Log, call: "upstreams"}
	b.failed(s.now, errors.New("test"))
	n.setStoreReachable(s.now, false)
	s.readFor(1, "z0-00", 10, staying)
	s.Assert(n.readsStore(), qt.IsFalse)
	s.Assert(n.Report().StoreReachable, qt.IsFalse)
	n.stopCalling(&b)
	s.Assert(n.Report().StoreReachable, qt.IsTrue)
	n.setStoreReachable(s.now, false) // a later call of another loop
	n.stopCalling(&b)
	s.Assert(n.Report().StoreReachable, qt.IsFalse)
}
