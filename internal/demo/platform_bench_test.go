package demo_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
)

// BenchmarkPlatformCalls reports the calls of the object API per daemon and minute,
// without the list of VMs.
func BenchmarkPlatformCalls(b *testing.B) {
	const span = 15 * time.Second
	opts := demo.DefaultOptions()
	opts.CallerPorts = nil
	opts.DaemonsPerZone = 2
	d, err := demo.Start(context.Background(), opts)
	qt.Assert(b, err, qt.IsNil)
	defer d.Close(context.Background())
	qt.Assert(b, d.WaitReady(context.Background()), qt.IsNil)
	time.Sleep(span)
	report := func(what string) {
		reads, writes := d.Objects.Calls(http.MethodGet), d.Objects.Calls(http.MethodPut)
		time.Sleep(span)
		scale := 1 / (float64(len(d.Daemons)) * span.Minutes())
		b.ReportMetric(float64(d.Objects.Calls(http.MethodGet)-reads)*scale, what+"-reads/daemon/min")
		b.ReportMetric(float64(d.Objects.Calls(http.MethodPut)-writes)*scale, what+"-writes/daemon/min")
	}
	for range b.N {
		report("idle")
		d.Objects.SetFaults(objectapi.Faults{Down: true})
		report("outage")
		d.Objects.SetFaults(objectapi.Faults{})
		report("after")
	}
}
