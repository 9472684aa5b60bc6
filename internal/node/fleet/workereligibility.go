package fleet

import (
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// isBarred reports whether the engine must not be sent orders and requests for reports.
func (w *worker) isBarred(u *upstreams.Upstream) bool {
	return w.node.opts.View.Eligibility(u, true).IsBarred()
}

// barredReason returns why the engine accepts no loads, or nothing.
func (w *worker) barredReason() string {
	u := w.node.opts.View.Upstream(w.id)
	if u == nil {
		return "" // the planner finds that the engine is gone
	}
	if d := w.node.opts.View.Eligibility(u, true); d.IsBarred() {
		return "engine is barred: " + d.Reason.String()
	}
	return ""
}

// reportingRun returns the run of an engine that sent a report, which may be a later one than the
// listed run.
func reportingRun(u *upstreams.Upstream, startTime int64) *upstreams.Upstream {
	if startTime == 0 || startTime == u.StartTime || u.StartTime == 0 {
		return u
	}
	run := *u
	run.StartTime = startTime
	return &run
}
