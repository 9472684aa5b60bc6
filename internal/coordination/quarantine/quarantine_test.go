package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

func TestARequestThatCrashedTwoUpstreamsIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	table := New()
	table.RecordCrash(now, Crash{Fingerprint: 7, Upstream: "a"})
	table.RecordCrash(now, Crash{Fingerprint: 7, Upstream: "a"}) // another report of the same crash
	c.Assert(table.Refused(now, 7), qt.IsFalse)
	table.RecordCrash(now, Crash{Fingerprint: 7, Upstream: "b"})
	c.Assert(table.Refused(now, 7), qt.IsTrue)
	c.Assert(table.Refused(now, 8), qt.IsFalse)
	c.Assert(table.Refused(now.Add(recordTTL), 7), qt.IsFalse)
	table.RecordCompletion(7)
	c.Assert(table.Refused(now, 7), qt.IsFalse)
}

func TestTableSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range uint64(3 * maxRecords) {
		table.RecordCrash(time.Unix(0, 0), Crash{Fingerprint: i, Upstream: state.UpstreamID("a")})
	}
	c.Assert(len(table.records) <= maxRecords, qt.IsTrue)
}
