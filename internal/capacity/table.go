package capacity

import (
	"fmt"
	"strings"
)

// Cost is the cost of one mechanism at a daemon of average load. It is a row of the tables of costs.
type Cost struct {
	Role      string
	Mechanism string
	Messages  float64 // a second
	Traffic   float64 // bytes sent a second
	CPU       float64 // fraction of a core
	Memory    float64 // bytes
}

// Call is the rate of one kind of calls to the platform, for all daemons together.
type Call struct {
	Role      string
	Mechanism string
	Writes    float64 // a second
	Reads     float64 // a second; a watch counts as one read, however long it waits
}

// Periods and sizes of the mechanisms. Their values repeat those in the packages that implement the mechanisms.
const (
	gossipPeriod       = 5.0    // seconds between exchanges of configuration revisions
	suspectPeriod      = 20.0   // seconds between comparisons of the tables of suspect requests
	memberPollPeriod   = 60.0   // seconds between reads of the platform by a daemon
	relayPollPeriod    = 10.0   // seconds between reads of the platform by a relay
	readsPerPoll       = 2.0    // of the next record and of the snapshot head
	stateMessageBytes  = 60.0   // size in bytes of a message that exchanges revisions
	watchSeconds       = 30.0   // seconds that a watch waits
	changesPerSnapshot = 1000.0 // records after which a snapshot is written
	bucketsPerSnapshot = 64.0   // objects that a snapshot consists of
)

// ConfigCosts returns the costs of distributing and applying the configuration at a daemon.
func ConfigCosts(t Target, s Slopes) []Cost {
	changes := t.DailyChanges / secondsPerDay
	peers := t.DaemonsPerZone() - 1
	return []Cost{
		{
			Role: "configuration", Mechanism: "objects and compiled catalog, shared between revisions",
			Memory: s.AdapterConfigBytes * float64(t.Adapters),
		},
		{
			Role: "configuration", Mechanism: "apply a record and derive the next catalog",
			CPU: changes * s.ApplySeconds,
		},
		{
			Role: "configuration", Mechanism: "fetch a record from the relay, exchange revisions with a random peer",
			Messages: changes + 2/gossipPeriod, Traffic: changes*stateMessageBytes + 2*stateMessageBytes/gossipPeriod,
		},
		{
			Role: "relay", Mechanism: "tell the availability zone of a change and serve the record",
			Messages: 2 * peers * changes, Traffic: peers * changes * (stateMessageBytes + s.ChangeRecordBytes),
			CPU: peers * changes * s.HeartbeatSeconds * 2,
		},
		{
			Role: "suspects", Mechanism: "compare the digest of the table with a random peer",
			Messages: 2 / suspectPeriod, Traffic: 2 * stateMessageBytes / suspectPeriod,
		},
	}
}

// RequestCosts returns the costs of serving requests at a daemon, which do not count as control.
func RequestCosts(t Target, s Slopes) []Cost {
	requests := t.Requests / float64(t.Daemons)
	tokens := t.Tokens / float64(t.Daemons)
	return []Cost{
		{Role: "entry", Mechanism: "routing choice among few candidates", Messages: requests, CPU: requests * s.RouteSeconds},
		{Role: "entry", Mechanism: "table of the upstreams of the region", Memory: t.EnginesPerRegion() * s.RoutingUpstreamBytes},
		{Role: "owner", Mechanism: "queue and dispatch in one core per upstream", CPU: requests * s.OwnerRequestSeconds, Memory: t.EnginesPerDaemon() * s.OwnerCoreBytes},
		{
			Role: "owner to entry", Mechanism: "chunks over QUIC, encoded and decoded once each",
			Messages: tokens, Traffic: tokens * s.ChunkBytes, CPU: tokens * s.ChunkSeconds,
		},
	}
}

// ConfigCalls returns the calls at the platform for the configuration.
func ConfigCalls(t Target) []Call {
	changes := t.DailyChanges / secondsPerDay
	daemons, zones := float64(t.Daemons), float64(t.Zones)
	return []Call{
		{Role: "configuration", Mechanism: "create a record, read head and record back", Writes: changes, Reads: 4 * changes},
		{Role: "configuration", Mechanism: "snapshot each 1,000 records", Writes: changes / changesPerSnapshot * bucketsPerSnapshot},
		{Role: "relay", Mechanism: "watch for records", Reads: zones/watchSeconds + zones*changes},
		{Role: "relay", Mechanism: "read records after the watch", Reads: zones * changes * (readsPerPoll + 1)},
		{Role: "relay", Mechanism: "read without a watch", Reads: zones * readsPerPoll / relayPollPeriod},
		{Role: "configuration", Mechanism: "every other daemon reads once a minute", Reads: daemons * readsPerPoll / memberPollPeriod},
		{
			Role: "configuration", Mechanism: "starting daemons read the snapshot",
			Reads: (t.DailyFailures + t.DailyReplacements) / secondsPerDay * (bucketsPerSnapshot + 4),
		},
	}
}

// SumCosts adds up costs. Role and Mechanism of the sum are empty.
func SumCosts(costs []Cost) Cost {
	var sum Cost
	for _, c := range costs {
		sum.Messages += c.Messages
		sum.Traffic += c.Traffic
		sum.CPU += c.CPU
		sum.Memory += c.Memory
	}
	return sum
}

// writeCosts writes a table of costs with their sum.
func writeCosts(b *strings.Builder, costs []Cost) {
	b.WriteString("| Role | Mechanism | Messages/s | Traffic | CPU | Memory |\n|---|---|---|---|---|---|\n")
	for _, c := range costs {
		writeCost(b, c)
	}
	sum := SumCosts(costs)
	sum.Role, sum.Mechanism = "**sum**", ""
	writeCost(b, sum)
	b.WriteString("\n")
}

func writeCost(b *strings.Builder, c Cost) {
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n",
		c.Role, c.Mechanism, number(c.Messages, "%.2f"), number(c.Traffic, "%.0f B/s"),
		percent(c.CPU), megabytes(c.Memory))
}

// number formats a value, or returns "" for 0.
func number(v float64, format string) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf(format, v)
}

// percent formats a fraction as a percentage, or returns "" for 0.
func percent(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.4f%%", 100*v)
}

// megabytes formats a number of bytes in MB, or returns "" for 0.
func megabytes(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f MB", v/(1<<20))
}
