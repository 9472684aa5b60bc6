package app

import (
	"time"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

// barredInterval is the time between two updates of the metric of barred upstreams.
const barredInterval = time.Second

// countBarredUpstreams keeps the metric of barred upstreams up to date.
func countBarredUpstreams(lc fx.Lifecycle, view *fleet.View, r *metrics.Recorder) {
	done := make(chan struct{})
	count := func() {
		t := time.NewTicker(barredInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.SetBarredUpstreams(view.BarredUpstreams())
			case <-done:
				return
			}
		}
	}
	lc.Append(fx.StartStopHook(func() { go count() }, func() { close(done) }))
}
