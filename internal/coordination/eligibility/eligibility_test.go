package eligibility

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

var (
	start = time.Unix(1_700_000_000, 0)
	run   = Run{ID: "e", StartTime: 7}
)

func decide(t *Table, now time.Time) Reason { return t.Decide(now, Input{Run: run}).Reason }

// Guards against a leaving upstream that gets requests again before its run has ended, and against a
// next run that never gets one.
func TestAnUpstreamLeavesUntilItsRunEnds(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	c.Assert(table.Record(start, run, Signals{Leaving: true}), qt.Equals, Change{Leaving: true})
	c.Assert(table.Record(start, run, Signals{Leaving: true}), qt.Equals, Change{})
	table.Record(start, run, Signals{}) // a response without the header
	table.Record(start, run, Signals{HasRetryAfter: true})
	table.Answered(start.Add(time.Second), run, start.Add(time.Second))
	table.Retain(start, func(Run) bool { return true })
	for _, in := range []Input{{Run: run}, {Run: run, Unlisted: true}, {Run: run, Draining: true}, {Run: run, Counted: true}} {
		c.Check(table.Decide(start.Add(time.Hour), in), qt.Equals, Decision{Outcome: Bar, Reason: Leaving, Age: time.Hour})
	}
	for _, next := range []Run{{ID: run.ID, StartTime: 8}, {ID: run.ID, StartTime: 6}, {ID: "other", StartTime: run.StartTime}} {
		c.Check(table.Decide(start, Input{Run: next}), qt.Equals, Decision{})
	}
	// The list loses the run and shows it again.
	table.Retain(start, func(Run) bool { return false })
	table.Retain(start.Add(time.Minute), func(Run) bool { return true })
	table.Retain(start.Add(time.Hour), func(Run) bool { return false })
	c.Check(decide(table, start.Add(time.Hour)), qt.Equals, Leaving)
	table.Retain(start.Add(2*time.Hour), func(Run) bool { return false })
	c.Check(decide(table, start.Add(2*time.Hour)), qt.Equals, None)
}

// Guards against an upstream without a start time that stays barred when it starts again.
func TestTheNextRunOfAnUpstreamWithoutAStartTimeIsUsed(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	unknown := Run{ID: "e"}
	table.Record(start, unknown, Signals{Leaving: true})
	table.Retain(start, func(Run) bool { return false })
	table.Retain(start.Add(time.Minute), func(Run) bool { return true })
	c.Assert(table.Decide(start.Add(time.Minute), Input{Run: unknown}).Reason, qt.Equals, Leaving)
	table.Retain(start.Add(2*time.Minute), func(Run) bool { return false })
	table.Retain(start.Add(3*time.Minute), func(Run) bool { return false })
	c.Assert(table.Decide(start.Add(4*time.Minute), Input{Run: unknown}).Reason, qt.Equals, None)
	// The next run is listed before the first one was missing.
	table.Record(start, unknown, Signals{Leaving: true})
	c.Assert(table.Reported(), qt.HasLen, 0)
	table.Retain(start.Add(forgetAfter+time.Second), func(Run) bool { return true })
	c.Assert(table.Decide(start.Add(time.Hour), Input{Run: unknown}).Reason, qt.Equals, None)
}

// Guards against a wait that is ignored, that a success from before ends, that outlasts its bound, or
// that a later 503 does not replace.
func TestANamedWait(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	wait := func(now, length time.Duration) Change {
		return table.Record(start.Add(now), run, Signals{HasRetryAfter: true, RetryAfter: length})
	}
	c.Assert(wait(0, 4*time.Second).NamedWait, qt.Equals, 4*time.Second)
	d := table.Decide(start.Add(time.Second), Input{Run: run, Counted: true})
	c.Assert(d, qt.Equals, Decision{Outcome: Bar, Reason: NamedWait, Wait: 3 * time.Second, Age: time.Second})
	table.Answered(start.Add(time.Second), run, start) // sent before the 503
	c.Assert(decide(table, start.Add(time.Second)), qt.Equals, NamedWait)
	c.Assert(wait(time.Second, 3200*time.Millisecond).NamedWait, qt.Equals, time.Duration(0))
	c.Assert(wait(time.Second, 10*time.Second).NamedWait, qt.Equals, 10*time.Second)
	c.Assert(decide(table, start.Add(5*time.Second)), qt.Equals, NamedWait)
	wait(5*time.Second, time.Hour)
	c.Assert(decide(table, start.Add(34*time.Second)), qt.Equals, NamedWait)
	c.Assert(decide(table, start.Add(35*time.Second)), qt.Equals, None)
	wait(40*time.Second, 10*time.Second)
	wait(41*time.Second, 0)
	c.Assert(decide(table, start.Add(41*time.Second)), qt.Equals, None)
	wait(50*time.Second, 10*time.Second)
	table.Answered(start.Add(52*time.Second), run, start.Add(51*time.Second))
	c.Assert(decide(table, start.Add(52*time.Second)), qt.Equals, None)
	// Another run is not concerned.
	c.Assert(wait(60*time.Second, 10*time.Second).NamedWait, qt.Equals, 10*time.Second)
	c.Assert(table.Decide(start.Add(61*time.Second), Input{Run: Run{ID: run.ID, StartTime: 8}}), qt.Equals, Decision{})
}

// Guards against requests that all return at once after a wait, and against an upstream that no
// request tries again because the first one was never answered.
func TestRequestsReturnStepByStep(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Record(start, run, Signals{HasRetryAfter: true, RetryAfter: time.Second})
	now := start.Add(time.Second)
	var sent []int
	for range fullReturn {
		n := 0
		for ; n < 100 && decide(table, now) == None; n++ {
			table.Begin(now, run)
		}
		c.Check(n == 100 || decide(table, now) == Returning, qt.IsTrue)
		c.Check(table.Decide(now, Input{Run: run, Counted: true}).Reason, qt.Equals, None)
		sent = append(sent, n)
		for range n {
			table.End(run)
		}
		now = now.Add(50 * time.Millisecond)
		table.Answered(now, run, now)
	}
	c.Assert(sent, qt.DeepEquals, []int{1, 2, 4, 8, 16})
	c.Assert(table.runs, qt.HasLen, 0)

	table.Record(now, run, Signals{HasRetryAfter: true, RetryAfter: time.Second})
	now = now.Add(time.Second)
	table.Begin(now, run)
	c.Assert(table.Decide(now, Input{Run: run}).Wait, qt.Equals, probeInterval)
	c.Assert(decide(table, now.Add(probeInterval)), qt.Equals, None)
}

// Guards against reasons that hide a more important one.
func TestTheOrderOfReasons(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	in := Input{Run: run, Excluded: true, Ejected: true, LimitWait: time.Second, Draining: true, Unlisted: true, ListAge: time.Minute}
	check := func(outcome Outcome, reason Reason) {
		d := table.Decide(start, in)
		c.Check(d.Outcome, qt.Equals, outcome)
		c.Check(d.Reason, qt.Equals, reason)
	}
	check(Bar, Removed)
	in.Unlisted = false
	check(Bar, Draining)
	in.Draining = false
	check(Bar, Excluded)
	in.Excluded = false
	check(LastResort, Ejected)
	in.Ejected = false
	check(Delay, RequestLimit)
	in.LimitWait = 0
	check(Send, None)
	for r := range ReasonCount {
		c.Check(r.String(), qt.Not(qt.Equals), "")
	}
	c.Check(ReasonCount.String(), qt.Equals, "unknown")
}

// Guards against tables and reports that grow with all upstreams that ever left.
func TestWhatIsKeptAndReportedIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for i := range 2 * maxUnlisted {
		r := Run{ID: state.UpstreamID(fmt.Sprintf("e%05d", i)), StartTime: 1}
		if i%2 == 0 {
			table.Record(start.Add(time.Duration(i)), r, Signals{Leaving: true})
		} else {
			table.Merge(start.Add(time.Duration(i)), r)
		}
	}
	list := table.Reported()
	c.Assert(list, qt.HasLen, MaxReported)
	c.Assert(list[state.UpstreamID(fmt.Sprintf("e%05d", 2*maxUnlisted-2))], qt.Equals, int64(1))
	table.Retain(start, func(Run) bool { return false })
	c.Assert(table.runs, qt.HasLen, maxUnlisted)
	c.Assert(table.Reported(), qt.HasLen, 0)
}

// Guards against a Retry-After that callers ignore, or that brings all of them back at once.
func TestRetryAfterIsWithinAThirdOfTheTimeLeft(t *testing.T) {
	c := qt.New(t)
	for _, earliest := range []time.Duration{-1, 0, 1, time.Second, 30 * time.Second} {
		for _, left := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 3 * time.Second, time.Minute} {
			low, high := RetryAfter(earliest, left, 0), RetryAfter(earliest, left, 0.99)
			comment := qt.Commentf("%s of %s", earliest, left)
			c.Check(low > 0 && high > 0, qt.IsTrue, comment)
			if left > 0 {
				c.Check(max(low, high) <= left/callerShare, qt.IsTrue, comment)
				c.Check(low, qt.Not(qt.Equals), high, comment)
			}
		}
	}
	c.Check(RetryAfter(2*time.Second, time.Minute, 0), qt.Equals, 2*time.Second)
	c.Check(RetryAfter(2*time.Second, time.Minute, 0.5), qt.Equals, 2500*time.Millisecond)
}
