package metrics

import "time"

const (
	nameHedges          = "hedges_total"
	nameHedgesCancelled = "hedges_cancelled_total"
	nameHedgeWaste      = "hedge_wasted_ms_total"
	nameHedgesSkipped   = "hedges_skipped_total"
)

// Hedge counts a request that was sent to a second upstream, by its result. cancelled is whether the
// attempt that lost was reset before its whole response was received, and wasted is how long it was open.
func (r *Routes) Hedge(route, result string, cancelled bool, wasted time.Duration) {
	scope := r.scope.Tagged(map[string]string{"route": r.label(route)})
	scope.Tagged(map[string]string{"result": result}).Counter(nameHedges).Inc(1)
	if cancelled {
		scope.Counter(nameHedgesCancelled).Inc(1)
	}
	scope.Counter(nameHedgeWaste).Inc(wasted.Milliseconds())
}

// HedgeSkipped counts a request that was due to be hedged and was not.
func (r *Routes) HedgeSkipped(route, reason string) {
	r.scope.Tagged(map[string]string{"route": r.label(route), "reason": reason}).Counter(nameHedgesSkipped).Inc(1)
}
