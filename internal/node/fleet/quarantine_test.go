package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

var (
	crashingPart = quarantine.Trait{Kind: quarantine.PromptPart, ID: 7}
	popularPart  = quarantine.Trait{Kind: quarantine.PromptPart, ID: 8}
)

// crash records at one daemon that an upstream crashed under a request with both parts.
func (s *sim) crash(vm, upstream string) {
	for _, trait := range []quarantine.Trait{crashingPart, popularPart} {
		s.nodes[vm].opts.View.RecordCrashes([]quarantine.Crash{{ID: trait.ID, Kind: trait.Kind, Upstream: state.UpstreamID(upstream)}})
	}
}

// refusing returns the number of running daemons that refuse a trait.
func (s *sim) refusing(trait quarantine.Trait) int {
	count := 0
	for vm, n := range s.nodes {
		if !s.down[vm] && n.opts.View.QuarantineTime([]quarantine.Trait{trait}) > 0 {
			count++
		}
	}
	return count
}

// TestCrashesThatDifferentDaemonsSeeAddUp guards against daemons that each wait for their own
// crashes, and against a part that is refused although requests with it are served elsewhere.
func TestCrashesThatDifferentDaemonsSeeAddUp(t *testing.T) {
	for _, each := range []int{3, 12} {
		s := newSim(t, 3, each)
		s.rounds(3)
		s.nodes["z2-02"].opts.View.RecordSurvival([]quarantine.Trait{popularPart})
		s.crash("z0-00", "e1")
		s.crash("z1-01", "e2")
		s.crash("z2-01", "e3")
		s.rounds(15) // 3 s
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each)
		s.Check(s.refusing(popularPart), qt.Equals, 0)
	}
}

// TestADaemonThatMissedTheCrashesLearnsOfTheQuarantine cuts daemons off while upstreams crash, or
// starts them afterwards.
func TestADaemonThatMissedTheCrashesLearnsOfTheQuarantine(t *testing.T) {
	s := newSim(t, 3, 3)
	s.rounds(3)
	for _, vm := range []string{"z1-00", "z1-01", "z1-02"} {
		s.down[vm] = true
	}
	for _, upstream := range []string{"e1", "e2", "e3"} {
		s.crash("z0-00", upstream)
	}
	s.rounds(50) // 10 s, longer than any message repeats a new crash
	s.Check(s.refusing(crashingPart), qt.Equals, 6)
	clear(s.down)
	s.rounds(15) // 3 s
	s.Check(s.refusing(crashingPart), qt.Equals, 9)

	s.restart(t, "z2-01")
	s.Check(s.refusing(crashingPart), qt.Equals, 8)
	s.rounds(15)
	s.Check(s.refusing(crashingPart), qt.Equals, 9)
}

// TestReportsOfACrashEnd guards against reports that daemons send each other for ever, each time
// as if they were new.
func TestReportsOfACrashEnd(t *testing.T) {
	s := newSim(t, 3, 12)
	s.rounds(3)
	s.nodes["z2-02"].opts.View.RecordSurvival([]quarantine.Trait{popularPart})
	s.crash("z0-00", "e1")
	s.rounds(int(30 * time.Second / gossipInterval))
	for vm, n := range s.nodes {
		s.Check(n.reports.reports, qt.HasLen, 0, qt.Commentf(vm))
	}
}

// TestReportsOfManyCrashesAreBounded guards against messages that grow with the requests that break
// in a storm of crashes, and against prompt parts that are left out for contents.
func TestReportsOfManyCrashesAreBounded(t *testing.T) {
	s := newSim(t, 3, 2)
	s.rounds(3)
	s.crash("z0-00", "e1")
	for id := range uint64(3 * maxReports) {
		s.nodes["z0-00"].opts.View.RecordCrashes([]quarantine.Crash{{ID: 100 + id, Upstream: "e1"}})
	}
	s.crash("z0-00", "e2")
	s.crash("z0-00", "e3")
	s.rounds(15) // 3 s
	s.Check(s.refusing(crashingPart), qt.Equals, 6)
	s.nodes["z0-00"].opts.View.RecordCrashes([]quarantine.Crash{{ID: 1, Upstream: "e9"}})
	for id := range uint64(3 * maxQueuedReports) {
		s.nodes["z0-00"].opts.View.RecordCrashes([]quarantine.Crash{{ID: 5000 + id, Upstream: "e9"}})
	}
	for range 10 {
		s.rounds(1)
		for vm, n := range s.nodes {
			s.Check(len(n.reports.reports) <= maxQueuedReports, qt.IsTrue, qt.Commentf(vm))
		}
		var message protocol.CrashReports
		s.nodes["z0-00"].reports.after(s.now, 0, &message)
		s.Check(len(quarantine.UngroupCrashes(message.Crashes)) <= maxReports, qt.IsTrue)
	}
}
