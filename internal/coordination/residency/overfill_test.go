package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// TestARestartOfAnEngineIsNoticedWhileAReportIsRequired guards against slots and order counts of the
// boot before.
func TestARestartOfAnEngineIsNoticedWhileAReportIsRequired(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1), adapter(2))
	o := Order{Adapter: adapter(3), ExpectedOrderCount: 7}
	p.RecordOutcome(start, o, OutcomeConflict)
	p.ApplyReport(start.Add(time.Second), 2, 0, holding(), nil)
	c.Assert(p.usedSlots(), qt.Equals, 0)
}

// TestTheUnloadOfAnAdapterThatAnEarlierHolderUnloadedIsNotCounted guards against an order count that
// is too high, at which a delayed load could still be executed.
func TestTheUnloadOfAnAdapterThatAnEarlierHolderUnloadedIsNotCounted(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(model, 2)
	p.ApplyReport(start, 1, 4, holding(adapter(1), adapter(2)), nil) // older than the unload of adapter 1
	now := start.Add(time.Second)
	p.RecordOutcome(now, Order{Adapter: adapter(1), Unload: true, ExpectedOrderCount: 4}, OutcomeDone)
	_, ok := p.NextOrder(now, all)
	c.Assert(ok, qt.IsFalse)
	c.Assert(p.NeedsReport(now.Add(maxReportAge)), qt.IsTrue)
	p.ApplyReport(now.Add(maxReportAge), 1, 5, holding(adapter(2)), nil)
	c.Assert(p.RequestLoad(now.Add(maxReportAge), adapter(3), 0, 0, time.Second), qt.IsTrue)
	o, ok := p.NextOrder(now.Add(maxReportAge), all)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.ExpectedOrderCount, qt.Equals, 5)
}

// TestANewerVersionOfUnknownOutcomeUsesASecondSlot guards against a load in the slot of a replacement
// that the engine executes without this daemon's knowledge.
func TestANewerVersionOfUnknownOutcomeUsesASecondSlot(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1))
	o := Order{Adapter: adapter(1), Version: 2}
	p.RecordOutcome(start, o, OutcomeUnknown)
	c.Assert(p.usedSlots(), qt.Equals, 2)
	p.ApplyReport(start.Add(time.Second), 1, 1, holding(adapter(1)), []upstreams.Adapter{adapter(1)})
	c.Assert(p.usedSlots(), qt.Equals, 2)
	p.ApplyReport(start.Add(2*time.Second), 1, 1, holding(adapter(1)), nil)
	c.Assert(p.usedSlots(), qt.Equals, 1)
}

// TestALoadThatIsDoneMayStillReplaceAnOlderVersion guards against an engine that answers a repeated
// order with done while it executes the first attempt.
func TestALoadThatIsDoneMayStillReplaceAnOlderVersion(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1))
	p.RecordOutcome(start, Order{Adapter: adapter(1), Version: 2}, OutcomeDone)
	c.Assert(p.usedSlots(), qt.Equals, 2)
	_, isReady := p.TimeUntilReady(start, adapter(1), 2)
	c.Assert(isReady, qt.IsTrue)
	report := holding()
	report.Adapters[adapter(1)] = 2
	p.ApplyReport(start.Add(time.Second), 1, 1, report, nil)
	c.Assert(p.usedSlots(), qt.Equals, 1)
}

// TestALoadInAStaleReportDoesNotBringAnUnloadedAdapterBack guards against a slot, and later an order
// count, for an adapter that the engine has unloaded.
func TestALoadInAStaleReportDoesNotBringAnUnloadedAdapterBack(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1))
	now := start.Add(time.Second)
	p.RecordOutcome(now, Order{Adapter: adapter(1), Unload: true}, OutcomeDone)
	p.ApplyReport(now.Add(20*time.Millisecond), 1, 0, holding(), []upstreams.Adapter{adapter(1)})
	c.Assert(p.usedSlots(), qt.Equals, 0)
}

// TestALoadOfUnknownOutcomeIsSeenAfterAnUnload guards against a report that is taken for stale although a
// delayed order has loaded the adapter again.
func TestALoadOfUnknownOutcomeIsSeenAfterAnUnload(t *testing.T) {
	c := qt.New(t)
	p := synced(2, adapter(1))
	p.RecordOutcome(start, Order{Adapter: adapter(1), Version: 2}, OutcomeUnknown)
	now := start.Add(time.Second)
	p.RecordOutcome(now, Order{Adapter: adapter(1), Unload: true}, OutcomeDone)
	p.ApplyReport(now.Add(maxReportAge), 1, 2, holding(), []upstreams.Adapter{adapter(1)})
	c.Assert(p.usedSlots(), qt.Equals, 1)
}
