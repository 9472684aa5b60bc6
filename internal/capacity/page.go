package capacity

import (
	"fmt"
	"strings"
)

// Page returns the text of docs/CAPACITY.md.
func Page(t Target, s Slopes) string {
	var b strings.Builder
	writeIntro(&b, t)
	writeSlopes(&b, s)
	writeControl(&b, t, s)
	writePlatform(&b, t)
	writeData(&b, t, s)
	writeOperators(&b, t)
	writeDay(&b, t)
	return b.String()
}

func writeIntro(b *strings.Builder, t Target) {
	fmt.Fprintf(b, `# Capacity

What each role costs at the size that the system is designed for: %d daemons, %d engines, %d adapters, %d availability zones
in %d regions, %.0f requests and %.1f million tokens a second, %.0f changes of configuration a day.
`+"`make capacity`"+` measures the slopes on this machine and prints this page; the figures are worked out from them, not
measured at that size. Lines that do not fit are marked as such.

`, t.Daemons, t.Engines, t.Adapters, t.Zones, t.Regions, t.Requests, t.Tokens/1e6, t.Changes)
}

func writeSlopes(b *strings.Builder, s Slopes) {
	b.WriteString("## Measured slopes\n\n| Slope | Value |\n|---|---|\n")
	rows := []struct {
		name   string
		value  float64
		format string
	}{
		{"record of one adapter's change", s.RecordBytes, "%.0f B"},
		{"CPU to bring a change into force at a daemon", s.ApplySeconds * 1e6, "%.1f µs"},
		{"memory for each configured adapter", s.ConfigBytes, "%.0f B"},
		{"heartbeat without changes", s.BeatBytes, "%.0f B"},
		{"CPU to encode and decode it", s.BeatSeconds * 1e6, "%.1f µs"},
		{"whole status of one upstream with 16 adapters", s.StatusBytes, "%.0f B"},
		{"CPU to encode and decode it", s.StatusSeconds * 1e6, "%.1f µs"},
		{"load of one upstream", s.LoadBytes, "%.0f B"},
		{"CPU to encode and decode it", s.LoadSeconds * 1e6, "%.1f µs"},
		{"memory for each upstream in the table of an entry", s.UpstreamBytes, "%.0f B"},
		{"CPU of a routing choice over all engines", s.PickSeconds * 1e6, "%.2f µs"},
		{"CPU of a request's way through an owner's core", s.OwnerSeconds * 1e6, "%.1f µs"},
		{"memory of an owner's core", s.OwnedBytes, "%.0f B"},
		{"chunk between daemons", s.ChunkBytes, "%.0f B"},
		{"CPU to encode and decode it", s.ChunkSeconds * 1e6, "%.2f µs"},
	}
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | "+r.format+" |\n", r.name, r.value)
	}
	b.WriteString("\n")
}

func writeControl(b *strings.Builder, t Target, s Slopes) {
	b.WriteString("## Control at a daemon\n\nA daemon of average load that is the relay of its availability zone; others have less. Assumed: the load of each upstream\nchanges between two heartbeats, and one in ten crosses a step of what other zones are told.\n\n")
	lines := append(ConfigLines(t, s), ClusterLines(t, s, nearBeat(t), feedPeriod(t))...)
	writeLines(b, lines)
	writeVerdict(b, t, Sum(lines))
	writeNeeded(b, t, s)
}

// allCalls returns the calls of all roles at the platform.
func allCalls(t Target) []Call {
	return append(append(PlatformCalls(t), ClusterCalls(t)...), OperatorCalls(t)...)
}

// writeVerdict compares the sum with the budget of control.
func writeVerdict(b *strings.Builder, t Target, sum Line) {
	b.WriteString("| Budget of control | Allowed | Worked out | |\n|---|---|---|---|\n")
	fmt.Fprintf(b, "| CPU | %.1f%% of a core | %.2f%% | %s |\n", 100*t.ControlCPU, 100*sum.CPU, fits(sum.CPU, t.ControlCPU))
	fmt.Fprintf(b, "| memory | %.0f MB | %.1f MB | %s |\n", t.ControlMemory/(1<<20), sum.Memory/(1<<20), fits(sum.Memory, t.ControlMemory))
	fmt.Fprintf(b, "| traffic sent | %.0f KB/s | %.1f KB/s | %s |\n\n", t.ControlTraffic/(1<<10), sum.Traffic/(1<<10), fits(sum.Traffic, t.ControlTraffic))
}

func fits(value, limit float64) string {
	if value <= limit {
		return "fits"
	}
	return fmt.Sprintf("**does not fit**, %.0f times over", value/limit)
}

// writeNeeded works out what would make membership fit, and what it costs today.
func writeNeeded(b *strings.Builder, t Target, s Slopes) {
	const near, feed = 2.0, 10.0
	quiet := s
	quiet.LoadBytes, quiet.LoadSeconds = 0, 0
	quiet.StatusBytes = adapterChangeBytes()
	sum := Sum(append(ConfigLines(t, s), ClusterLines(t, quiet, near, feed)...))
	today := t
	today.Daemons, today.Engines, today.Zones, today.Regions, today.Adapters = 9, 21, 3, 1, 3000
	today.Changes = 100
	now := Sum(append(ConfigLines(today, s), ClusterLines(today, s, nearBeat(today), feedPeriod(today))...))
	fmt.Fprintf(b, `What would change that, in this order: owners can return the loads of upstreams with each answer, which is not
control; a change of adapters sends the whole status of %.0f bytes where the adapter
alone takes %.0f; heartbeats and feeds need not come as often. Without loads, with single adapters, heartbeats every %.0f s and
feeds every %.0f s the sum is %.1f KB/s at a relay (%s) and %.2f%% of a core.

At today's size (9 daemons, 21 engines, 3 zones, 3,000 adapters) the same lines come to %.1f KB/s, %.2f%% of a core and %.1f MB.

`, s.StatusBytes, quiet.StatusBytes, near, feed, sum.Traffic/(1<<10), fits(sum.Traffic, t.ControlTraffic), 100*sum.CPU,
		now.Traffic/(1<<10), 100*now.CPU, now.Memory/(1<<20))
}

func writePlatform(b *strings.Builder, t Target) {
	b.WriteString("## Calls at the platform\n\nAll daemons together, in a second.\n\n| Role | Mechanism | Writes | Reads |\n|---|---|---|---|\n")
	var writes, reads float64
	for _, c := range allCalls(t) {
		writes += c.Writes
		reads += c.Reads
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", c.Role, c.Mechanism, number(c.Writes, "%.2f"), number(c.Reads, "%.2f"))
	}
	fmt.Fprintf(b, "| **sum** | | %.1f | %.1f |\n", writes, reads)
	fmt.Fprintf(b, "| allowed | | %.0f: %s | %.0f: %s |\n\n", t.PlatformWrites, fits(writes, t.PlatformWrites), t.PlatformReads, fits(reads, t.PlatformReads))
	fmt.Fprintf(b, `Calls that must not repeat write two records each with an idempotency key, and none with a ticket. With %.0f writes a second
left, %.0f calls with a key fit in a second; the rest needs tickets.

`, t.PlatformWrites-writes, (t.PlatformWrites-writes)/2)
}

func writeData(b *strings.Builder, t Target, s Slopes) {
	b.WriteString("## Requests at a daemon\n\nNot control: the requests themselves, at the peak. The cost of HTTP and QUIC is in [measurements/path.md](measurements/path.md).\n\n")
	writeLines(b, DataLines(t, s))
}

func writeDay(b *strings.Builder, t Target) {
	vms := float64(t.Daemons + t.Engines)
	part := float64(t.Daemons) / vms
	fmt.Fprintf(b, `## A day

- **%.0f VMs fail, %.0f are restarted or replaced.** %.0f of them are daemons in proportion; each moves %.1f engines away and back. A lost
  daemon's records take %.2f s of the writes that the leases leave; what counts is its lease, see
  [measurements/cluster.md](measurements/cluster.md).
- **A rack or switch** takes some of a zone's daemons and engines: the daemons that stay take the engines over as above.
- **An availability zone** takes its %.1f daemons and %.0f engines together. Nothing is taken over, since no daemon outside owns
  engines of that zone; entries elsewhere stop choosing them when their heartbeats end.
- **Configuration:** %.2f changes a second. From accepted to in force everywhere: one read by each relay, one exchange and
  one fetch by each daemon. 30 ms in virtual time at 2, 9, 20 and 50 daemons (internal/node/config); a lost relay delays its zone by
  at most the watch of the next one, and a lost message by 5 s, the period of the exchange with a random peer: within %s.
`, t.Failures, t.Replacements, (t.Failures+t.Replacements)*part, t.OwnedEngines(), lostDaemonSeconds(t),
		t.ZoneDaemons(), float64(t.Engines)/float64(t.Zones), t.Changes/day, t.InForce)
}

func seconds(v float64) string { return fmt.Sprintf("%.1f s", v) }
