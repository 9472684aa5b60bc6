package decisionlog

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logs = `noise
  12.5 vm-2 {"time":"2026-01-01T00:00:02.5Z","level":"INFO","msg":"upstream gone","vm":"vm-2","upstream":"i-1"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"load wanted","vm":"vm-1","request":"q1","upstream":"i-1","adapter":"m/a1","ok":true}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"order","vm":"vm-2","upstream":"i-1","adapter":"m/a1","unload":false}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"order","vm":"vm-2","upstream":"i-9","adapter":"m/a9","unload":false}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"step","vm":"vm-1","request":"q1","step":"read event","peer":"i-1","err":"EOF"}
{"time":"2026-01-01T00:00:03.1Z","level":"INFO","msg":"request","vm":"vm-1","request":"q1","outcome":"upstream broke off","upstream":"i-1","adapter":"m/a1"}
{"time":"2026-01-01T00:00:59Z","level":"INFO","msg":"order","vm":"vm-2","upstream":"i-1","adapter":"m/a1","unload":true}
{"time":"2026-01-01T00:00:04Z","level":"INFO","msg":"requests summed","vm":"vm-1","outcome":"no room in time","requests":"q7 q8","count":40}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"order","vm":"vm-2","upstream":"i-1","adapter":"m/a5","unload":false}
{"time":"2026-01-01T00:00:20Z","level":"INFO","msg":"load wanted","vm":"vm-1","request":"q2","upstream":"i-3","adapter":"m/a1","ok":false,"reason":"loads wait too long"}
{"time":"2026-01-01T00:00:21Z","level":"INFO","msg":"request","vm":"vm-1","request":"q2","outcome":"no room in time","estimate":1504000000,"candidates":8,"full":3,"far":5}
{"time":"2026-01-01T00:00:40Z","level":"INFO","msg":"quota refused","vm":"vm-1","request":"q6","account":"vendor","reason":"quota exceeded","tokens":1540,"quota":2700,"burst":2700,"in_use":6400,"capacity":6729,"share":0.25,"report_age":210000000}
{"time":"2026-01-01T00:00:40Z","level":"INFO","msg":"request","vm":"vm-1","request":"q6","outcome":"quota exceeded","account":"vendor"}
{"time":"2026-01-01T00:00:30Z","level":"INFO","msg":"request","vm":"vm-1","request":"q3","outcome":"caller left","last_event":4,"pause":2401000000,"took":2900000000}
{"time":"2026-01-01T00:00:30Z","level":"INFO","msg":"request","vm":"vm-1","request":"q4","outcome":"answered","status":500,"took":2000000}
{"time":"2026-01-01T00:00:40Z","level":"INFO","msg":"request","vm":"vm-1","request":"q5","outcome":"answered","status":200,"hold":120000000,"longest_pause":427000000,"longest_pause_at":"i-1","stalled":true}
{"time":"2026-01-01T00:00:50Z","level":"INFO","msg":"request","vm":"vm-1","request":"q7","outcome":"answered","status":200,"sends":2}
{"time":"2026-01-01T00:00:50Z","level":"INFO","msg":"hedge","vm":"vm-1","request":"q7","peer":"i-1","upstream":"i-2","result":"won","after":61000000,"cancelled":true,"wasted":83000000}
{"broken
`

func TestATraceOrdersTheLinesOfAllDaemonsByTime(t *testing.T) {
	c := qt.New(t)
	lines, err := ReadLines(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	s := Trace(lines, "q1")
	var events []string
	for _, l := range s.Lines {
		events = append(events, l.Event)
	}
	c.Assert(events, qt.DeepEquals, []string{"order", "load wanted", "upstream gone", "step", "request"})
	c.Assert(s.Others, qt.DeepEquals, map[string]int{"i-1": 1})
	c.Assert(s.Cause, qt.Equals, "upstream broke off: the connection to the upstream broke and the request may have run; upstream gone: i-1; read event at i-1 (EOF)")
}

func TestASummarizedRequestStillHasItsCause(t *testing.T) {
	c := qt.New(t)
	lines, err := ReadLines(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	s := Trace(lines, "q8")
	c.Assert(s.Summed, qt.IsTrue)
	c.Assert(s.Cause, qt.Matches, "no room in time: .*")
	c.Assert(Trace(lines, "unknown").Cause, qt.Matches, "no line tells .*")
}

func TestACauseNamesTheInputsOfTheDecision(t *testing.T) {
	c := qt.New(t)
	lines, err := ReadLines(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	for request, want := range map[string]string{
		"q2": "no room in time: no upstream could have begun in time; the request did not run; the best one would have begun in 1.504s; 8 could serve the adapter, 3 of them took no load, 5 might not take a copy before others; no load at i-3 (loads wait too long)",
		"q3": "caller left: the caller closed its connection; event 4 had come 2.401s before",
		"q5": "answered: an upstream's whole answer was passed on; it waited 120ms for room for its prompt; i-1 paused for 427ms between two events",
		"q6": "quota exceeded: the client account has used up its quota for the moment; the request did not run; account vendor with a quota of 2700/s had 6400 of 6729 in use and the request needed 1540 (quota exceeded); the other daemons' sums were 210ms old, this daemon's share was 25%",
		"q7": "answered: an upstream's whole answer was passed on; a second attempt was sent to i-2 after 61ms at i-1 and won, the other one was reset after 83ms",
		"q4": "answered: an upstream's whole answer was passed on; the upstream itself failed with status 500 after 2ms",
	} {
		c.Check(Trace(lines, request).Cause, qt.Equals, want)
	}
	story := Trace(lines, "q2")
	c.Assert(story.Lines[len(story.Lines)-1].Text(), qt.Contains, "estimate=1.504s")
}
