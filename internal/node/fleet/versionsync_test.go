package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// testGrace is the OutdatedGracePeriod of simulated daemons.
const testGrace = 3 * time.Second

var versioned = upstreams.Adapter{Model: "m", Name: "a"}

// endsIn returns how long runs on version 1 of an adapter may still begin at a daemon.
func (s *sim) endsIn(vm string) time.Duration {
	left, isSuperseded := s.nodes[vm].opts.View.VersionEndsIn(versioned, 1)
	s.Assert(isSuperseded, qt.IsTrue, qt.Commentf(vm))
	return left
}

// announce makes a daemon learn of a version from the store at the moment of its announcement.
func (s *sim) announce(vm string, version int) {
	s.nodes[vm].applyStoreVersions([]upstreams.Version{{Adapter: versioned, Version: version}})
}

// Guards against a version that counts as new at each daemon that learns of it: daemons that were down, or hear of it over
// several peers, let older versions begin for a whole grace period more.
func TestAVersionHasTheSameAgeAtEachDaemon(t *testing.T) {
	for _, each := range []int{1, 3, 10} {
		s := newSim(t, 3, each)
		s.rounds(3)
		s.down["z2-00"] = true
		s.announce("z0-00", 2)
		announced := s.now
		s.rounds(8)
		s.down["z2-00"] = false
		s.rounds(8)
		for _, vm := range s.order {
			left := announced.Add(testGrace).Sub(s.now)
			s.Check(s.endsIn(vm), qt.Equals, left, qt.Commentf("%s of %d", vm, 3*each))
		}
	}
}

// Guards against old news that count as new: a daemon that starts read versions that had been announced long before, and
// sent requests to engines with older ones.
func TestADaemonThatStartsDoesNotTakeOldVersionsForNew(t *testing.T) {
	s := newSim(t, 1, 3)
	s.rounds(3) // its peers have started as well, and know no versions
	n := s.nodes["z0-00"]
	n.applyVersionList([]upstreams.Version{{Adapter: versioned, Version: 2}})
	s.Check(s.endsIn("z0-00"), qt.Equals, time.Duration(0))
	s.rounds(3)
	s.Check(s.endsIn("z0-01"), qt.Equals, time.Duration(0), qt.Commentf("by gossip"))
	// Versions that are added to the list later are new.
	s.rounds(10)
	n.applyVersionList([]upstreams.Version{{Adapter: versioned, Version: 2}, {Adapter: upstreams.Adapter{Model: "m", Name: "b"}, Version: 2}})
	left, _ := n.opts.View.VersionEndsIn(upstreams.Adapter{Model: "m", Name: "b"}, 1)
	s.Check(left, qt.Equals, testGrace)
}

// Guards against a daemon that has started and refuses an older version although its time is not over: it read the
// version from the store before a peer told it the age.
func TestADaemonThatStartsLearnsTheAgesOfRecentVersions(t *testing.T) {
	s := newSim(t, 2, 3)
	s.rounds(3)
	s.announce("z0-00", 2)
	announced := s.now
	s.rounds(3)
	joined := s.nodes["z1-02"].opts.Self
	joined.Incarnation = "2"
	n := s.newNode(t, joined)
	s.nodes[joined.VM] = n
	records := Records{Revision: 2}
	for _, vm := range s.order {
		records.Members = append(records.Members, s.nodes[vm].opts.Self)
	}
	for _, vm := range s.order {
		s.nodes[vm].applyRecords(s.now, records)
	}
	n.applyVersionList([]upstreams.Version{{Adapter: versioned, Version: 2}})
	s.Check(s.endsIn(joined.VM), qt.Equals, time.Duration(0))
	s.rounds(2)
	s.Check(s.endsIn(joined.VM), qt.Equals, announced.Add(testGrace).Sub(s.now))
}

// Guards against a daemon that stood still and takes a version for new that was announced meanwhile: its watch of the store
// returned when it ran again.
func TestADaemonThatStoodStillDoesNotTakeOldVersionsForNew(t *testing.T) {
	s := newSim(t, 1, 3)
	s.rounds(5)
	s.now = s.now.Add(9 * time.Second)
	s.announce("z0-01", 2)
	s.Check(s.endsIn("z0-01") <= 0, qt.IsTrue, qt.Commentf("before its next round of gossip"))
	s.now = s.now.Add(gossipInterval)
	s.rounds(1)
	s.nodes["z0-01"].applyStoreVersions([]upstreams.Version{{Adapter: upstreams.Adapter{Model: "m", Name: "b"}, Version: 2}})
	left, _ := s.nodes["z0-01"].opts.View.VersionEndsIn(upstreams.Adapter{Model: "m", Name: "b"}, 1)
	s.Check(left <= 0, qt.IsTrue, qt.Commentf("after it"))
}

// Guards against messages that grow with the number of announcements.
func TestMessagesCarryRecentVersionsOnlyToPeersThatNeedThem(t *testing.T) {
	s := newSim(t, 1, 3)
	s.rounds(3)
	list := make([]upstreams.Version, 1000)
	for i := range list {
		list[i] = upstreams.Version{Adapter: upstreams.Adapter{Model: "m", Name: string(rune('a' + i))}, Version: 2}
	}
	s.nodes["z0-00"].applyVersions(list)
	count := func() (most int) {
		s.now = s.now.Add(gossipInterval)
		n := s.nodes["z0-00"]
		for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
			n.recordAnswered(m.to)
			most = max(most, len(m.push.RecentVersions))
		}
		return most
	}
	s.Check(count(), qt.Equals, maxRecentVersions, qt.Commentf("to peers that were listed just now"))
	s.rounds(int(recentVersionsPeriod / gossipInterval))
	s.Check(count(), qt.Equals, 0)
}
