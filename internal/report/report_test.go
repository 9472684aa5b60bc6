package report_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
	"github.com/celerydeck/celerydeck/internal/state"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// rank returns the status of a rank with 1,000 first tokens, of which inTime met the target, over the last
// hour.
func rank(name string, target time.Duration, inTime uint64) protocol.RankStatus {
	r := protocol.RankStatus{
		Rank: name, FirstTokenTarget: target, GapTarget: 65 * time.Millisecond, IntervalSize: 5 * time.Minute,
		Requests: 1100, FirstTokens: 1000, FirstTokensInTime: inTime, Gaps: 20000, GapsInTime: 19800, Refused: 80, Failed: 20,
		FirstTokenP95: target * 11 / 10, GapP95: 60 * time.Millisecond,
	}
	for i := range 12 {
		r.Intervals = append(r.Intervals, protocol.Interval{
			Start: noon.Add(time.Duration(i-12) * 5 * time.Minute), FirstTokens: 100, FirstTokensInTime: inTime/10 - uint64(i),
		})
	}
	return r
}

// upstream returns a healthy engine with one resident adapter.
func upstream(zone string, i int) protocol.OwnedUpstream {
	return protocol.OwnedUpstream{
		ID: state.UpstreamID(fmt.Sprintf("%s-engine-%d", zone, i)), Zone: state.Zone(zone), Region: "amba",
		Kind: protocol.UpstreamEngine, Base: "base-7b", Owner: state.DaemonID(zone + "-entry-1"), Epoch: 7,
		Healthy: true, Running: 6 + i, Queued: 2 * i, Slots: 4, Batch: 16,
		Resident: []string{"permits/renewal@v1"},
	}
}

// input returns a fleet with many faults: a daemon that does not answer, a crashed engine, a flood, a rank
// that misses its target and configuration that is not in force everywhere.
func input() report.Input {
	in := report.Input{Since: noon.Add(-24 * time.Hour), Revision: 41, Digest: "ab12"}
	in.Fleet = protocol.FleetView{At: noon, Collector: "amba-a-entry-1"}
	for _, zone := range []string{"amba-a", "amba-b"} {
		d := protocol.DaemonStatus{
			Daemon: state.DaemonID(zone + "-entry-1"), Zone: state.Zone(zone), Region: "amba", At: noon,
			Started: noon.Add(-3 * time.Hour), Revision: 41,
			Ranks: []protocol.RankStatus{rank("gate", 400*time.Millisecond, 900), rank("vendor", 970*time.Millisecond, 990), rank("batch", 5*time.Minute, 1000)},
			Classes: []protocol.ClassStatus{
				{Customer: "ferias-norte-7", Service: "permits", Rank: "vendor", Requests: 900, Refused: 300, FirstTokenP95: 800 * time.Millisecond},
				{Customer: "ferias-sur", Service: "inspection", Rank: "gate", Requests: 400, FirstTokenP95: 430 * time.Millisecond},
			},
		}
		for i := range 4 {
			d.Upstreams = append(d.Upstreams, upstream(zone, i+1))
		}
		in.Fleet.Daemons = append(in.Fleet.Daemons, d)
	}
	a, b := &in.Fleet.Daemons[0], &in.Fleet.Daemons[1]
	a.Upstreams[1].Restarts, a.Upstreams[2].Healthy, a.Upstreams[3].Resident = 4, false, nil
	b.Upstreams[0].Leaving, b.Revision = true, 40
	a.Conditions = []protocol.Condition{
		{Kind: protocol.ConditionFlood, Severity: protocol.SeverityWatch, Subject: "ferias-norte-7/permits/vendor", Detail: "180 requests a second, held to 40", Daemon: a.Daemon, Since: noon.Add(-20 * time.Minute)},
		{Kind: protocol.ConditionFingerprintRefused, Severity: protocol.SeverityWatch, Subject: "fingerprint 9f3c0a77", Detail: "crashed 3 upstreams, last for ferias-norte-7", Daemon: a.Daemon, Since: noon.Add(-time.Hour)},
		{Kind: protocol.ConditionUnloadFrozen, Severity: protocol.SeverityWatch, Subject: "amba-a-engine-4", Detail: "permits/renewal@v1: no promise from amba-a-entry-2", Daemon: a.Daemon, Since: noon.Add(-2 * time.Minute)},
	}
	for i := range 9 {
		a.Conditions = append(a.Conditions, protocol.Condition{
			Kind: protocol.ConditionLoadFailing, Severity: protocol.SeverityWatch, Daemon: a.Daemon, Since: noon.Add(-30 * time.Minute),
			Subject: fmt.Sprintf("permits/norte-abasto-%d-renewal@v2", i+1), Detail: "weight store: no such file, 6 attempts, next in 4m",
		})
	}
	a.Changes = []protocol.StateChange{
		{At: noon.Add(-50 * time.Minute), Daemon: a.Daemon, Subject: "amba-a-engine-2", Description: "restarted: boot b9 after b8"},
		{At: noon.Add(-5 * time.Minute), Daemon: a.Daemon, Subject: "amba-a-engine-3", Description: "stopped answering"},
		{At: noon.Add(-30 * time.Hour), Daemon: a.Daemon, Subject: "amba-a-engine-3", Description: "too old to show"},
	}
	in.Fleet.Missing = []protocol.MissingDaemon{{Daemon: "amba-c-entry-1", Zone: "amba-c", Reason: "timeout: no recent network activity"}}
	in.Fleet.Unowned = []protocol.OwnedUpstream{{ID: "amba-c-engine-1", Zone: "amba-c", Region: "amba", Kind: protocol.UpstreamEngine, Owner: "amba-c-entry-1"}}
	in.Fleet.Drains = []protocol.Drain{{Kind: protocol.DrainUpstream, Subject: "amba-b-engine-1", Author: "turno-manana", Reason: "disk replaced at 15:00", At: noon.Add(-40 * time.Minute)}}
	in.Progress = configsync.Progress{Revision: 41, InForce: 1, Daemons: 3, Behind: []state.DaemonID{"amba-b-entry-1", "amba-c-entry-1"}}
	in.History = []configsync.RevisionInfo{
		{Revision: 41, Author: "turno-manana", Message: "new permit drafts", At: noon.Add(-time.Minute), Objects: []configsync.ObjectKey{{Kind: "adapter", Name: "permits/norte-abasto-1-renewal"}}},
		{Revision: 3, Author: "turno-tarde", Message: "too old to show", At: noon.Add(-48 * time.Hour)},
	}
	in.Notes = []protocol.Note{{ID: 12, Author: "turno-manana", At: noon.Add(-10 * time.Minute), Text: "Vendor says the <b>v2</b> weights come at 14:00.\nDo not drain engine 4 before."}}
	in.AddReadError("weight store", errors.New("status 503"))
	return in
}

func TestTextHidesWhatNeedsAnOperator(t *testing.T) {
	var b bytes.Buffer
	qt.Assert(t, report.Build(input()).Text(&b), qt.IsNil)
	goldie.New(t).Assert(t, "handover", b.Bytes())
	text := b.String()
	qt.Assert(t, strings.Index(text, "WHAT NEEDS YOU NOW") < strings.Index(text, "WHAT CHANGED"), qt.IsTrue)
	qt.Assert(t, text, qt.Contains, "PARTIAL: amba-c-entry-1 in amba-c did not answer")
	qt.Assert(t, strings.Contains(text, "too old to show"), qt.IsFalse)
}

func TestHTMLRunsTheTextOfANote(t *testing.T) {
	var b bytes.Buffer
	qt.Assert(t, report.Build(input()).HTML(&b), qt.IsNil)
	goldie.New(t, goldie.WithNameSuffix(".html")).Assert(t, "handover", b.Bytes())
	html := b.String()
	qt.Assert(t, strings.Contains(html, "<b>v2</b>"), qt.IsFalse)
	qt.Assert(t, strings.Count(html, "<svg"), qt.Equals, 2)
	for _, remote := range []string{"http://", "https://", "<script", "src=", "@import", "url("} {
		rest := strings.ReplaceAll(strings.ReplaceAll(html, "http://www.w3.org/2000/svg", ""), "http://www.w3.org/1999/xlink", "")
		qt.Check(t, strings.Contains(rest, remote), qt.IsFalse, qt.Commentf(remote))
	}
}

func TestJSONLosesAPartOfTheHandover(t *testing.T) {
	h := report.Build(input())
	data, err := json.Marshal(h)
	qt.Assert(t, err, qt.IsNil)
	var back report.Handover
	qt.Assert(t, json.Unmarshal(data, &back), qt.IsNil)
	var first, second bytes.Buffer
	qt.Assert(t, h.Text(&first), qt.IsNil)
	qt.Assert(t, back.Text(&second), qt.IsNil)
	qt.Assert(t, second.String(), qt.Equals, first.String())
}

func TestManyDaemonsRepeatOneCondition(t *testing.T) {
	in := input()
	condition := in.Fleet.Daemons[0].Conditions[1]
	condition.Daemon, condition.Since = "amba-b-entry-1", condition.Since.Add(-time.Hour)
	in.Fleet.Daemons[1].Conditions = []protocol.Condition{condition}
	found := 0
	for _, c := range report.Conditions(in) {
		if c.Kind == protocol.ConditionFingerprintRefused {
			found++
			qt.Check(t, c.Daemons, qt.Equals, 2)
			qt.Check(t, c.Since, qt.Equals, condition.Since)
		}
	}
	qt.Assert(t, found, qt.Equals, 1)
}

func TestThousandsOfChangesFillTheHandover(t *testing.T) {
	in := input()
	for i := range 2000 {
		in.Fleet.Daemons[1].Changes = append(in.Fleet.Daemons[1].Changes, protocol.StateChange{At: noon.Add(-time.Duration(i) * time.Second), Subject: "u", Description: "w"})
	}
	h := report.Build(in)
	qt.Assert(t, h.Changes, qt.HasLen, 500)
	qt.Assert(t, h.MoreChanges, qt.Equals, 1502)
	var text, html bytes.Buffer
	qt.Assert(t, h.Text(&text), qt.IsNil)
	qt.Assert(t, h.HTML(&html), qt.IsNil)
	qt.Assert(t, text.String(), qt.Contains, "and 1972 more changes of state")
	qt.Assert(t, html.String(), qt.Contains, "and 1972 more")
}

func TestEveryConditionHasAdvice(t *testing.T) {
	for _, kind := range protocol.ConditionKinds() {
		qt.Check(t, report.Advice(kind), qt.Not(qt.Equals), "", qt.Commentf(string(kind)))
	}
}

func TestFloodOverAllDaemonsIsNotReported(t *testing.T) {
	in := input()
	in.Fleet.Daemons[0].Classes[0].Refused = 700
	in.Fleet.Daemons[1].Classes[0].Refused = 700
	found := 0
	for _, c := range report.Conditions(in) {
		if c.Kind == protocol.ConditionFlood && strings.Contains(c.Detail, "1400 of 1800 requests") {
			found++
		}
	}
	qt.Assert(t, found, qt.Equals, 1)
}

func TestEmptyFleetBreaksThePage(t *testing.T) {
	var b bytes.Buffer
	qt.Assert(t, report.Build(report.Input{}).HTML(&b), qt.IsNil)
	qt.Assert(t, report.Build(report.Input{}).Text(&b), qt.IsNil)
}
