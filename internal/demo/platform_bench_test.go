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

// BenchmarkPlatformCalls reports the object API calls per daemon and minute: idle, during an
// outage of the platform, and after it. Calls of the VM list are not counted.
func BenchmarkPlatformCalls(b *testing.B) {
	const interval = 15 * time.Second
	opts := demo.DefaultOptions()
	opts.CallerPorts = nil
	opts.DaemonsPerZone = 2
	d, err := demo.Start(context.Background(), opts)
	qt.Assert(b, err, qt.IsNil)
	defer d.Close(context.Background())
	qt.Assert(b, d.WaitReady(context.Background()), qt.IsNil)
	time.Sleep(interval)
	report := func(what string) {
		reads, writes := d.Objects.Calls(http.MethodGet), d.Objects.Calls(http.MethodPut)
		time.Sleep(interval)
		scale := 1 / (float64(len(d.Daemons)) * interval.Minutes())
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
