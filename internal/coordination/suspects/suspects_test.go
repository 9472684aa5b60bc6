package suspects_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	crashing = suspects.Fingerprint(1) // fingerprint of a request that crashes upstreams
	harmless = suspects.Fingerprint(2) // fingerprint of a request that completes
)

var start = time.Unix(1_000_000, 0)

// crash returns the ID of the n-th crash of one upstream.
func crash(n int) suspects.CrashID {
	return suspects.CrashID{Upstream: "e1", Boot: state.BootID(fmt.Sprint(n))}
}

func TestCompletionAloneClearsARequestThatRanBesideACrash(t *testing.T) {
	table := suspects.NewTable()
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crashing, harmless})
	qt.Assert(t, table.Verdict(start, harmless), qt.Equals, suspects.Suspect)
	_, cleared := table.RecordCompletion(start, harmless, true)
	qt.Assert(t, cleared, qt.IsTrue)
	qt.Assert(t, table.Verdict(start, harmless), qt.Equals, suspects.Clean)
	qt.Assert(t, table.Verdict(start, crashing), qt.Equals, suspects.Suspect)
}

// A single crash is not evidence against a request that ran alone: the upstream may have
// restarted for another reason.
func TestUpstreamThatRestartsByItselfDoesNotRefuseItsOnlyRequest(t *testing.T) {
	table := suspects.NewTable()
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{harmless})
	qt.Assert(t, table.Verdict(start, harmless), qt.Equals, suspects.Suspect)
}

func TestSecondCrashWhileAloneRefusesARequest(t *testing.T) {
	table := suspects.NewTable()
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crashing, harmless})
	table.RecordCrash(start, crash(2), []suspects.Fingerprint{crashing})
	qt.Assert(t, table.Verdict(start, crashing), qt.Equals, suspects.Refused)
	qt.Assert(t, table.Verdict(start.Add(suspects.RefusalTTL), crashing), qt.Equals, suspects.Clean)
}

func TestTrackerIssuesOnePermitPerSuspectAtATime(t *testing.T) {
	table := suspects.NewTable()
	tracker := suspects.NewTracker(table)
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crashing, harmless})
	qt.Assert(t, tracker.Acquire(start, crashing, "d1"), qt.Equals, suspects.RunAlone)
	qt.Assert(t, tracker.Acquire(start, crashing, "d2"), qt.Equals, suspects.WaitForPermit)
	tracker.Release(crashing, "d1")
	qt.Assert(t, tracker.Acquire(start, crashing, "d2"), qt.Equals, suspects.RunAlone)
}

func TestPermitThatIsNotReleasedInTimeCountsAsACrash(t *testing.T) {
	table := suspects.NewTable()
	tracker := suspects.NewTracker(table)
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crashing, harmless})
	tracker.Acquire(start, crashing, "d1")
	later := start.Add(suspects.PermitTTL)
	qt.Assert(t, tracker.Acquire(later, crashing, "d2"), qt.Equals, suspects.Refuse)
}

// TestMergeIsIndependentOfOrderAndRepetition merges the tables of three daemons in two
// different orders, and in one of the orders repeatedly. If the results differed, daemons
// that received the same entries could reach different verdicts.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*suspects.Table{suspects.NewTable(), suspects.NewTable(), suspects.NewTable()}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				running := []suspects.Fingerprint{crashing, harmless}[:rapid.IntRange(1, 2).Draw(t, "running")]
				table.RecordCrash(start.Add(time.Duration(i)*time.Second), crash(i), running)
			case 1:
				table.RecordCompletion(start.Add(time.Duration(i)*time.Second), harmless, true)
			case 2:
				table.Merge(tables[rapid.IntRange(0, 2).Draw(t, "other")].Entries())
			}
		}
		orders := [][]int{{0, 1, 2}, {2, 1, 0, 1}}
		var results [2][]suspects.Entry
		for i, order := range orders {
			merged := suspects.NewTable()
			for _, n := range order {
				merged.Merge(tables[n].Entries())
			}
			results[i] = merged.Entries()
		}
		equal := slices.EqualFunc(results[0], results[1], func(a, b suspects.Entry) bool {
			return a.Fingerprint == b.Fingerprint && slices.Equal(a.Crashes, b.Crashes) && a.LastCrash.Equal(b.LastCrash)
		})
		if !equal {
			t.Fatalf("the order of merges changes the result: %v and %v", results[0], results[1])
		}
	})
}

// TestOneCrashingRequestCostsAtMostThreeCrashes simulates a caller that keeps sending
// a request that crashes upstreams to random daemons, beside ordinary requests.
func TestOneCrashingRequestCostsAtMostThreeCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := make([]*suspects.Table, 4)
		for i := range daemons {
			daemons[i] = suspects.NewTable()
		}
		tracker := suspects.NewTracker(daemons[0])
		crashes := 0
		for i := range 200 {
			now := start.Add(time.Duration(i) * time.Second)
			table := daemons[rapid.IntRange(0, 3).Draw(t, "entry")]
			alone := false
			switch table.Verdict(now, crashing) {
			case suspects.Refused:
				continue
			case suspects.Suspect:
				if tracker.Acquire(now, crashing, "d") != suspects.RunAlone {
					continue
				}
				alone = true
			}
			running := []suspects.Fingerprint{crashing}
			if !alone {
				running = append(running, harmless, suspects.Fingerprint(100+i))
			}
			crashes++
			changed := table.RecordCrash(now, crash(i), running)
			for _, d := range daemons {
				d.Merge(changed)
			}
			tracker.Release(crashing, "d")
		}
		if crashes > suspects.CrashLimit {
			t.Fatalf("the request crashed upstreams %d times, want at most %d", crashes, suspects.CrashLimit)
		}
	})
}
