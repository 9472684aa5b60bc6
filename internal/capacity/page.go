package capacity

import (
	"fmt"
	"strings"
)

// Page returns the capacity page in Markdown, docs/CAPACITY.md.
func Page(t Target, s Slopes) string {
	var b strings.Builder
	writeIntro(&b, t)
	writeSlopes(&b, s)
	writeControl(&b, t, s)
	writePlatform(&b, t)
	writeRequests(&b, t, s)
	writeEdge(&b, t)
	writePrompts(&b, s.Prompts)
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

`, t.Daemons, t.Engines, t.Adapters, t.Zones, t.Regions, t.Requests, t.Tokens/1e6, t.DailyChanges)
}

// writeSlopes writes a table of the measured costs per unit.
func writeSlopes(b *strings.Builder, s Slopes) {
	b.WriteString("## Measured slopes\n\n| Slope | Value |\n|---|---|\n")
	rows := []struct {
		name   string
		value  float64
		format string
	}{
		{"record of one adapter's change", s.ChangeRecordBytes, "%.0f B"},
		{"CPU to bring a change into force at a daemon", s.ApplySeconds * 1e6, "%.1f µs"},
		{"memory for each configured adapter", s.AdapterConfigBytes, "%.0f B"},
		{"heartbeat without changes", s.HeartbeatBytes, "%.0f B"},
		{"CPU to encode and decode it", s.HeartbeatSeconds * 1e6, "%.1f µs"},
		{"whole status of one upstream with 16 adapters", s.StatusBytes, "%.0f B"},
		{"CPU to encode and decode it", s.StatusSeconds * 1e6, "%.1f µs"},
		{"load of one upstream", s.LoadReportBytes, "%.0f B"},
		{"CPU to encode and decode it", s.LoadReportSeconds * 1e6, "%.1f µs"},
		{"memory for each upstream in the table of an entry", s.RoutingUpstreamBytes, "%.0f B"},
		{"CPU of a routing choice over all engines", s.RouteSeconds * 1e6, "%.2f µs"},
		{"CPU of a request's way through an owner's core", s.OwnerRequestSeconds * 1e6, "%.1f µs"},
		{"memory of an owner's core", s.OwnerCoreBytes, "%.0f B"},
		{"chunk between daemons", s.ChunkBytes, "%.0f B"},
		{"CPU to encode and decode it", s.ChunkSeconds * 1e6, "%.2f µs"},
	}
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | "+r.format+" |\n", r.name, r.value)
	}
	b.WriteString("\n")
}

// writeControl writes the costs of control at a daemon that is the relay of its zone.
func writeControl(b *strings.Builder, t Target, s Slopes) {
	b.WriteString("## Control at a daemon\n\nA daemon of average load that is the relay of its availability zone; others have less. Assumed: the load of each upstream\nchanges between two heartbeats, and one in ten crosses a step of what other zones are told.\n\n")
	costs := append(ConfigCosts(t, s), MembershipCosts(t, s, heartbeatPeriod(t), feedPeriod(t))...)
	writeCosts(b, costs)
	writeControlBudget(b, t, SumCosts(costs))
	writeReductions(b, t, s)
}

// allCalls returns the calls at the platform of all roles.
func allCalls(t Target) []Call {
	return append(append(ConfigCalls(t), MembershipCalls(t)...), OperatorCalls(t)...)
}

// writeControlBudget writes a table that compares the sum of the control costs of a daemon with the limits.
func writeControlBudget(b *strings.Builder, t Target, sum Cost) {
	b.WriteString("| Budget of control | Allowed | Worked out | |\n|---|---|---|---|\n")
	fmt.Fprintf(b, "| CPU | %.1f%% of a core | %.2f%% | %s |\n", 100*t.ControlCPU, 100*sum.CPU, fitResult(sum.CPU, t.ControlCPU))
	fmt.Fprintf(b, "| memory | %.0f MB | %.1f MB | %s |\n", t.ControlMemory/(1<<20), sum.Memory/(1<<20), fitResult(sum.Memory, t.ControlMemory))
	fmt.Fprintf(b, "| traffic sent | %.0f KB/s | %.1f KB/s | %s |\n\n", t.ControlTraffic/(1<<10), sum.Traffic/(1<<10), fitResult(sum.Traffic, t.ControlTraffic))
}

// fitResult returns a text that states that value is within limit, or by which factor value exceeds limit.
func fitResult(value, limit float64) string {
	if value <= limit {
		return "fits"
	}
	return fmt.Sprintf("**does not fit**, %.0f times over", value/limit)
}

// writeReductions writes the cost of control with cheaper messages: without loads, with single adapters instead of
// whole statuses and with longer periods. It also writes the cost of control at the size of a current deployment.
func writeReductions(b *strings.Builder, t Target, s Slopes) {
	const heartbeat, feed = 2.0, 10.0
	reduced := s
	reduced.LoadReportBytes, reduced.LoadReportSeconds = 0, 0
	reduced.StatusBytes = singleAdapterBytes()
	sum := SumCosts(append(ConfigCosts(t, s), MembershipCosts(t, reduced, heartbeat, feed)...))
	current := t
	current.Daemons, current.Engines, current.Zones, current.Regions, current.Adapters = 9, 21, 3, 1, 3000
	current.DailyChanges = 100
	now := SumCosts(append(ConfigCosts(current, s), MembershipCosts(current, s, heartbeatPeriod(current), feedPeriod(current))...))
	fmt.Fprintf(b, `What would change that, in this order: owners can return the loads of upstreams with each answer, which is not
control; a change of adapters sends the whole status of %.0f bytes where the adapter
alone takes %.0f; heartbeats and feeds need not come as often. Without loads, with single adapters, heartbeats every %.0f s and
feeds every %.0f s the sum is %.1f KB/s at a relay (%s) and %.2f%% of a core.

At today's size (9 daemons, 21 engines, 3 zones, 3,000 adapters) the same lines come to %.1f KB/s, %.2f%% of a core and %.1f MB.

`, s.StatusBytes, reduced.StatusBytes, heartbeat, feed, sum.Traffic/(1<<10), fitResult(sum.Traffic, t.ControlTraffic), 100*sum.CPU,
		now.Traffic/(1<<10), 100*now.CPU, now.Memory/(1<<20))
}

// writePlatform writes the calls of all daemons at the platform.
func writePlatform(b *strings.Builder, t Target) {
	b.WriteString("## Calls at the platform\n\nAll daemons together, in a second.\n\n| Role | Mechanism | Writes | Reads |\n|---|---|---|---|\n")
	var writes, reads float64
	for _, c := range allCalls(t) {
		writes += c.Writes
		reads += c.Reads
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", c.Role, c.Mechanism, number(c.Writes, "%.2f"), number(c.Reads, "%.2f"))
	}
	fmt.Fprintf(b, "| **sum** | | %.1f | %.1f |\n", writes, reads)
	fmt.Fprintf(b, "| allowed | | %.0f: %s | %.0f: %s |\n\n", t.PlatformWrites, fitResult(writes, t.PlatformWrites), t.PlatformReads, fitResult(reads, t.PlatformReads))
	fmt.Fprintf(b, `Calls that must not repeat write two records each with an idempotency key, and none with a ticket. With %.0f writes a second
left, %.0f calls with a key fit in a second; the rest needs tickets.

`, t.PlatformWrites-writes, (t.PlatformWrites-writes)/2)
}

// writeRequests writes the costs of serving requests.
func writeRequests(b *strings.Builder, t Target, s Slopes) {
	b.WriteString("## Requests at a daemon\n\nNot control: the requests themselves, at the peak. The cost of HTTP and QUIC is in [measurements/path.md](measurements/path.md).\n\n")
	writeCosts(b, RequestCosts(t, s))
}

// writeDay writes the cost of the failures and changes of a day.
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
`, t.DailyFailures, t.DailyReplacements, (t.DailyFailures+t.DailyReplacements)*part, t.EnginesPerDaemon(), takeoverSeconds(t),
		t.DaemonsPerZone(), float64(t.Engines)/float64(t.Zones), t.DailyChanges/secondsPerDay, t.MaxPropagationDelay)
}

func formatSeconds(v float64) string { return fmt.Sprintf("%.1f s", v) }
