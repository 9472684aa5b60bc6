package app

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/transport/frontconn"
	"github.com/celerydeck/celerydeck/platform"
)

const (
	// clientLogInterval is the time between lines on clients that were closed or refused.
	clientLogInterval = 2 * time.Second
	// headMargin is the tolerance for heads over the limit of the configuration.
	headMargin = 1.25
	// headRefusalRetryAfter is the Retry-After of a request for whose head there is no memory.
	headRefusalRetryAfter = time.Second
)

// edgeGuards limit the clients of each listener. Crowds at one listener take nothing from the others.
type edgeGuards struct{ callers, ready, metrics *frontconn.Guard }

func newEdgeGuards(s platform.Settings) edgeGuards {
	small := s.Clients.Small(int64(s.MemoryMB) << 20)
	g := edgeGuards{frontconn.NewGuard(s.Clients), frontconn.NewGuard(small), frontconn.NewGuard(small)}
	g.callers.SetRefusal(edgeHeadRefusal())
	return g
}

// edgeHeadRefusal returns the response to a request for whose head there is no memory.
func edgeHeadRefusal() string {
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	platform.Dialect{}.EncodeRefusal(h, headRefusalRetryAfter)
	var b strings.Builder
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	_ = h.Write(&b) // a strings.Builder never fails
	return b.String() + "\r\n"
}

// superviseEdgeClients closes clients that are too slow, keeps the limits of the configuration, and reports
// what was closed, until the daemon stops.
func superviseEdgeClients(lc fx.Lifecycle, guards edgeGuards, view *fleet.View, log *decisionlog.Log, r *metrics.Recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	callers := clientReporter{name: "callers", guard: guards.callers, log: log, metrics: r.Clients("callers")}
	ready := clientReporter{name: "readiness", guard: guards.ready, log: log, metrics: r.Clients("readiness")}
	operators := clientReporter{name: "metrics", guard: guards.metrics, log: log, metrics: r.Clients("metrics")}
	followLimits := func() {
		if table := view.Table(); table != nil && table.Config.Limits.HeaderBytes > 0 {
			guards.callers.SetMaxHead(min(edgeHeaderBytes, int(float64(table.Config.Limits.HeaderBytes)*headMargin)))
		}
		callers.report()
	}
	lc.Append(fx.StartStopHook(func() {
		go guards.callers.Sweep(ctx, followLimits)
		go guards.ready.Sweep(ctx, ready.report)
		go guards.metrics.Sweep(ctx, operators.report)
	}, cancel))
}

// clientReporter reports the clients of a listener that were closed or refused.
type clientReporter struct {
	name    string
	guard   *frontconn.Guard
	log     *decisionlog.Log
	metrics *metrics.Clients

	counted  [clientbudget.Reasons]int64
	logged   [clientbudget.Reasons]int64
	loggedAt time.Time
}

func (c *clientReporter) report() {
	c.metrics.SetConnections(c.guard.Connections())
	var attrs []slog.Attr
	now := time.Now()
	isDue := now.Sub(c.loggedAt) >= clientLogInterval
	for r := clientbudget.None + 1; r < clientbudget.Reasons; r++ {
		total := c.guard.Closed(r)
		if total > c.counted[r] {
			c.metrics.Closed(r.String(), total-c.counted[r])
			c.counted[r] = total
		}
		if isDue && total > c.logged[r] {
			attrs = append(attrs, slog.Int64(r.String(), total-c.logged[r]))
			c.logged[r] = total
		}
	}
	if len(attrs) > 0 {
		c.loggedAt = now
		c.log.Event("clients closed", slog.String("listener", c.name), slog.Any("reasons", slog.GroupValue(attrs...)),
			slog.Int("connections", c.guard.Connections()))
	}
}
