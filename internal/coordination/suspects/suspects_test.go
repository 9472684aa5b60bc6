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
	crasher  = suspects.Fingerprint(1)
	innocent = suspects.Fingerprint(2)
)

var start = time.Unix(1_000_000, 0)

func crash(n int) suspects.CrashID {
	return suspects.CrashID{Upstream: "e1", Boot: state.BootID(fmt.Sprint(n))}
}

func TestNeighborsAreClearedByARunAlone(t *testing.T) {
	table := suspects.NewTable()
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crasher, innocent})
	qt.Assert(t, table.Verdict(start, innocent), qt.Equals, suspects.Suspect)
	_, cleared := table.RecordCompletion(start, innocent, true)
	qt.Assert(t, cleared, qt.IsTrue)
	qt.Assert(t, table.Verdict(start, innocent), qt.Equals, suspects.Clean)
	qt.Assert(t, table.Verdict(start, crasher), qt.Equals, suspects.Suspect)
}

func TestUpstreamThatRestartsByItselfDoesNotRefuseItsOnlyRequest(t *testing.T) {
	table := suspects.NewTable()
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{innocent})
	qt.Assert(t, table.Verdict(start, innocent), qt.Equals, suspects.Suspect)
}

func TestSecondCrashAloneRefuses(t *testing.T) {
	table := suspects.NewTable()
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crasher, innocent})
	table.RecordCrash(start, crash(2), []suspects.Fingerprint{crasher})
	qt.Assert(t, table.Verdict(start, crasher), qt.Equals, suspects.Refused)
	qt.Assert(t, table.Verdict(start.Add(suspects.RefusalTTL), crasher), qt.Equals, suspects.Clean)
}

func TestTrackerAdmitsOneRunAloneAtATime(t *testing.T) {
	table := suspects.NewTable()
	tracker := suspects.NewTracker(table)
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crasher, innocent})
	qt.Assert(t, tracker.Acquire(start, crasher, "d1"), qt.Equals, suspects.RunAlone)
	qt.Assert(t, tracker.Acquire(start, crasher, "d2"), qt.Equals, suspects.WaitForPermit)
	tracker.Release(crasher, "d1")
	qt.Assert(t, tracker.Acquire(start, crasher, "d2"), qt.Equals, suspects.RunAlone)
}

func TestHolderThatNeverReportsCountsAsACrash(t *testing.T) {
	table := suspects.NewTable()
	tracker := suspects.NewTracker(table)
	table.RecordCrash(start, crash(1), []suspects.Fingerprint{crasher, innocent})
	tracker.Acquire(start, crasher, "d1")
	later := start.Add(suspects.PermitTTL)
	qt.Assert(t, tracker.Acquire(later, crasher, "d2"), qt.Equals, suspects.Refuse)
}

// TestMergeIsIndependentOfOrderAndRepetition lets three daemons exchange what they
// learned in any order.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*suspects.Table{suspects.NewTable(), suspects.NewTable(), suspects.NewTable()}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				running := []suspects.Fingerprint{crasher, innocent}[:rapid.IntRange(1, 2).Draw(t, "running")]
				table.RecordCrash(start.Add(time.Duration(i)*time.Second), crash(i), running)
			case 1:
				table.RecordCompletion(start.Add(time.Duration(i)*time.Second), innocent, true)
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
			t.Fatalf("merges differ: %v and %v", results[0], results[1])
		}
	})
}

// TestOneCrashingRequestCostsAtMostThreeCrashes plays a caller who sends a crashing
// request again without end to any of several daemons, among ordinary requests.
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
			entry := daemons[rapid.IntRange(0, 3).Draw(t, "entry")]
			alone := false
			switch entry.Verdict(now, crasher) {
			case suspects.Refused:
				continue
			case suspects.Suspect:
				if tracker.Acquire(now, crasher, "d") != suspects.RunAlone {
					continue
				}
				alone = true
			}
			running := []suspects.Fingerprint{crasher}
			if !alone {
				running = append(running, innocent, suspects.Fingerprint(100+i))
			}
			crashes++
			told := entry.RecordCrash(now, crash(i), running)
			for _, d := range daemons {
				d.Merge(told)
			}
			tracker.Release(crasher, "d")
		}
		if crashes > suspects.CrashLimit {
			t.Fatalf("%d crashes", crashes)
		}
	})
}
