package report_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
	"github.com/celerydeck/celerydeck/internal/state"
)

// targetInput returns a fleet of the target size: 390 daemons that own about 6,200 engines.
func targetInput() report.Input {
	in := report.Input{Since: noon.Add(-time.Hour)}
	in.Fleet = protocol.FleetView{At: noon, Collector: "d0"}
	for i := range 390 {
		zone := fmt.Sprintf("zone-%02d", i%20)
		d := protocol.DaemonStatus{Daemon: state.DaemonID(fmt.Sprintf("d%d", i)), Zone: state.Zone(zone), Ranks: []protocol.RankStatus{rank("gate", time.Second, 990)}}
		for j := range 16 {
			u := upstream(zone, j)
			u.ID = state.UpstreamID(fmt.Sprintf("%s-%d-%d", zone, i, j))
			u.Healthy = j > 0
			d.Upstreams = append(d.Upstreams, u)
		}
		for range 256 {
			d.Changes = append(d.Changes, protocol.StateChange{At: noon, Daemon: d.Daemon, Subject: "u", Description: "restarted"})
		}
		in.Fleet.Daemons = append(in.Fleet.Daemons, d)
	}
	return in
}

func BenchmarkHandoverAtTargetSize(b *testing.B) {
	in := targetInput()
	for b.Loop() {
		qt.Assert(b, report.Build(in).HTML(io.Discard), qt.IsNil)
	}
}
