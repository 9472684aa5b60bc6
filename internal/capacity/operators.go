package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// drainWatchSeconds is how long a watch for drains waits for a change.
const drainWatchSeconds = 30.0

// daemonStatus returns the status of a daemon with an average number of engines.
func daemonStatus(t Target) protocol.DaemonStatus {
	s := protocol.DaemonStatus{Daemon: "zone-07-entry-12", Zone: "zone-07", Region: "region-1", Revision: 1 << 20, At: time.Unix(0, 0)}
	for i := range int(t.EnginesPerDaemon()) {
		u := sampleUpstreamStatus(i)
		owned := protocol.OwnedUpstream{ID: u.ID, Kind: protocol.UpstreamEngine, Epoch: u.Epoch, Boot: u.Boot, Healthy: true}
		for _, a := range u.Resident {
			owned.Resident = append(owned.Resident, a.String())
		}
		s.Upstreams = append(s.Upstreams, owned)
	}
	return s
}

// writeOperators writes the cost of a command that shows the whole fleet.
func writeOperators(b *strings.Builder, t Target) {
	status := daemonStatus(t)
	size := float64(len(must(cbor.Marshal(status))))
	cost := secondsPerCall(func(int) {
		data := must(cbor.Marshal(status))
		var out protocol.DaemonStatus
		if err := cbor.Unmarshal(data, &out); err != nil {
			panic(err)
		}
	})
	daemons := float64(t.Daemons)
	fmt.Fprintf(b, `## Operators' commands

A command that shows the fleet (status, top, handover) has one daemon ask all others. Each answers with %.1f KB, which takes
%.0f µs to encode and decode: %.1f MB and %.0f ms of processor time for the whole fleet, in each command and not in the background. Each
daemon waits in a watch for drains: %.0f reads a second at the platform and %.0f waiting calls.

`, size/(1<<10), cost*1e6, size*daemons/(1<<20), cost*daemons*1e3, daemons/drainWatchSeconds, daemons)
}

// OperatorCalls returns the calls at the platform for drains.
func OperatorCalls(t Target) []Call {
	return []Call{{Role: "operators' commands", Mechanism: "watch for drains, one per daemon", Reads: float64(t.Daemons) / drainWatchSeconds}}
}
