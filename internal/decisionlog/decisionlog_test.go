package decisionlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.buf.String()), "\n")
}

func TestALineIsOneJSONObject(t *testing.T) {
	c := qt.New(t)
	var out lockedBuffer
	l := New(&out, "vm-1")
	l.Request(End{Request: "q\n1", Outcome: "answered", Answered: true}, slog.Int("sends", 2))
	l.Close()
	var line map[string]any
	c.Assert(json.Unmarshal([]byte(out.lines()[0]), &line), qt.IsNil)
	c.Assert(line["msg"], qt.Equals, "request")
	c.Assert(line["vm"], qt.Equals, "vm-1")
	c.Assert(line["request"], qt.Equals, "q\n1")
}

// blockedWriter never returns from a write.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

func TestABlockedWriterDoesNotBlockCallers(t *testing.T) {
	c := qt.New(t)
	l := New(blockedWriter{}, "vm")
	begin := time.Now()
	for range 10 * queueLines {
		l.Event("x")
	}
	l.Close()
	c.Assert(time.Since(begin) < 5*time.Second, qt.IsTrue)
	c.Assert(l.Dropped() > 0, qt.IsTrue)
}

// failingWriter fails like a closed standard output.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("test: broken pipe") }

func TestAClosedOutputDoesNotStopTheLog(t *testing.T) {
	l := New(failingWriter{}, "vm")
	l.Event("x")
	l.Event("y")
	l.Close()
}

func TestAFloodOfEventsIsLimitedAndDropsAreCounted(t *testing.T) {
	c := qt.New(t)
	var out lockedBuffer
	l := New(&out, "vm")
	const flood = 5000
	for range flood {
		l.Event("x")
	}
	l.Close()
	written := len(out.lines())
	c.Assert(written <= (burstSeconds+1)*eventsPerSecond, qt.IsTrue)
	c.Assert(int64(written)+l.Dropped() >= flood, qt.IsTrue)
}

// In an overload each refusal must appear with its reason, on a line or in a summary, and
// a flood of answered requests must not displace it.
func TestAFloodOfRefusalsIsSummarizedByReason(t *testing.T) {
	c := qt.New(t)
	var out lockedBuffer
	l := New(&out, "vm")
	const flood = 3000
	for i := range flood {
		l.Request(End{Request: "a", Route: "r", Outcome: "answered", Answered: true})
		reason := "no room in time"
		if i%3 == 0 {
			reason = "retry budget"
		}
		l.Request(End{Request: "q", Route: "r", Outcome: reason})
	}
	l.Close()
	counts := map[string]int{}
	for _, text := range out.lines() {
		var line struct {
			Msg, Outcome, Requests string
			Count                  int
		}
		c.Assert(json.Unmarshal([]byte(text), &line), qt.IsNil)
		switch line.Msg {
		case "request":
			counts[line.Outcome]++
		case "requests summed":
			counts[line.Outcome] += line.Count
			c.Assert(strings.Fields(line.Requests), qt.HasLen, idsPerSummary)
		}
	}
	c.Assert(l.Dropped(), qt.Equals, int64(0))
	c.Assert(counts, qt.DeepEquals, map[string]int{"answered": flood, "no room in time": flood * 2 / 3, "retry budget": flood / 3})
}
