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
{"broken
`

func TestTheLinesOfARequestStandInOrderOverAllDaemons(t *testing.T) {
	c := qt.New(t)
	lines, err := ReadLines(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	s := Trace(lines, "q1")
	var events []string
	for _, l := range s.Lines {
		events = append(events, l.Event)
	}
	c.Assert(events, qt.DeepEquals, []string{"order", "load wanted", "upstream gone", "step", "request"})
	c.Assert(s.Cause, qt.Equals, "upstream broke off: the connection to the upstream broke and the request may have run; upstream gone: i-1; read event at i-1 (EOF)")
}

func TestASummedRequestStillHasItsReason(t *testing.T) {
	c := qt.New(t)
	lines, err := ReadLines(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	s := Trace(lines, "q8")
	c.Assert(s.Summed, qt.IsTrue)
	c.Assert(s.Cause, qt.Matches, "no room in time: .*")
	c.Assert(Trace(lines, "unknown").Cause, qt.Matches, "no line tells .*")
}
