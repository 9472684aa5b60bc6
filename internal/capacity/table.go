package capacity

import (
	"fmt"
	"strings"
)

// Line is the cost of one mechanism at a daemon of average load.
type Line struct {
	Role      string
	Mechanism string
	Messages  float64 // a second
	Traffic   float64 // bytes a second, sent
	CPU       float64 // part of a core
	Memory    float64 // bytes
}

// Call is a use of the platform by all daemons together.
type Call struct {
	Role      string
	Mechanism string
	Writes    float64 // a second
	Reads     float64 // a second; a waiting watch counts as one call
}

// Periods and sizes of the mechanisms, as set in the code.
const (
	gossipPeriod     = 5.0  // seconds between exchanges of configuration revisions
	suspectPeriod    = 20.0 // seconds between comparisons of the tables of suspects
	memberPoll       = 60.0 // seconds between reads of the platform by a daemon
	relayPoll        = 10.0 // seconds between reads of the platform by a relay
	readsPerPoll     = 2.0  // next record and snapshot head
	stateBytes       = 60.0 // of an exchange of revisions
	watchWait        = 30.0 // seconds that a watch waits
	snapshotEvery    = 1000.0
	bucketsPerChange = 64.0
)

// ConfigLines returns the cost of the configuration at a daemon.
func ConfigLines(t Target, s Slopes) []Line {
	changes := t.Changes / day
	peers := t.ZoneDaemons() - 1
	return []Line{
		{
			Role: "configuration", Mechanism: "objects and compiled catalog, shared between revisions",
			Memory: s.ConfigBytes * float64(t.Adapters),
		},
		{
			Role: "configuration", Mechanism: "apply a record and derive the next catalog",
			CPU: changes * s.ApplySeconds,
		},
		{
			Role: "configuration", Mechanism: "fetch a record from the relay, exchange revisions with a random peer",
			Messages: changes + 2/gossipPeriod, Traffic: changes*stateBytes + 2*stateBytes/gossipPeriod,
		},
		{
			Role: "relay", Mechanism: "tell the availability zone of a change and serve the record",
			Messages: 2 * peers * changes, Traffic: peers * changes * (stateBytes + s.RecordBytes),
			CPU: peers * changes * s.BeatSeconds * 2,
		},
		{
			Role: "suspects", Mechanism: "compare the digest of the table with a random peer",
			Messages: 2 / suspectPeriod, Traffic: 2 * stateBytes / suspectPeriod,
		},
	}
}

// DataLines returns the cost of the requests themselves, which is not control.
func DataLines(t Target, s Slopes) []Line {
	requests := t.Requests / float64(t.Daemons)
	tokens := t.Tokens / float64(t.Daemons)
	return []Line{
		{Role: "entry", Mechanism: "routing choice among few candidates", Messages: requests, CPU: requests * s.PickSeconds},
		{Role: "entry", Mechanism: "table of the upstreams of the region", Memory: t.RegionEngines() * s.UpstreamBytes},
		{Role: "owner", Mechanism: "queue and dispatch in one core per upstream", CPU: requests * s.OwnerSeconds, Memory: t.OwnedEngines() * s.OwnedBytes},
		{
			Role: "owner to entry", Mechanism: "chunks over QUIC, encoded and decoded once each",
			Messages: tokens, Traffic: tokens * s.ChunkBytes, CPU: tokens * s.ChunkSeconds,
		},
	}
}

// PlatformCalls returns the calls of configuration at the platform.
func PlatformCalls(t Target) []Call {
	changes := t.Changes / day
	daemons, zones := float64(t.Daemons), float64(t.Zones)
	return []Call{
		{Role: "configuration", Mechanism: "create a record, read head and record back", Writes: changes, Reads: 4 * changes},
		{Role: "configuration", Mechanism: "snapshot each 1,000 records", Writes: changes / snapshotEvery * bucketsPerChange},
		{Role: "relay", Mechanism: "watch for records", Reads: zones/watchWait + zones*changes},
		{Role: "relay", Mechanism: "read records after the watch", Reads: zones * changes * (readsPerPoll + 1)},
		{Role: "relay", Mechanism: "read without a watch", Reads: zones * readsPerPoll / relayPoll},
		{Role: "configuration", Mechanism: "every other daemon reads once a minute", Reads: daemons * readsPerPoll / memberPoll},
		{
			Role: "configuration", Mechanism: "starting daemons read the snapshot",
			Reads: (t.Failures + t.Replacements) / day * (bucketsPerChange + 4),
		},
	}
}

// Sum adds up lines.
func Sum(lines []Line) Line {
	var sum Line
	for _, l := range lines {
		sum.Messages += l.Messages
		sum.Traffic += l.Traffic
		sum.CPU += l.CPU
		sum.Memory += l.Memory
	}
	return sum
}

// writeLines writes a table of lines with its sum.
func writeLines(b *strings.Builder, lines []Line) {
	b.WriteString("| Role | Mechanism | Messages/s | Traffic | CPU | Memory |\n|---|---|---|---|---|---|\n")
	for _, l := range lines {
		writeLine(b, l)
	}
	sum := Sum(lines)
	sum.Role, sum.Mechanism = "**sum**", ""
	writeLine(b, sum)
	b.WriteString("\n")
}

func writeLine(b *strings.Builder, l Line) {
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n",
		l.Role, l.Mechanism, number(l.Messages, "%.2f"), number(l.Traffic, "%.0f B/s"),
		percent(l.CPU), megabytes(l.Memory))
}

func number(v float64, format string) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf(format, v)
}

func percent(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.4f%%", 100*v)
}

func megabytes(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f MB", v/(1<<20))
}
