package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
