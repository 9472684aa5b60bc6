package gateway

import (
	"net/http"

	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

// mayBegin reports whether the upstream may be sent a request now. If so, the attempt counts, and
// EndSend must be called.
func (x *exchange) mayBegin() bool {
	d := x.c.g.opts.View.BeginSend(x.u)
	if d.IsBarred() {
		x.c.logStep("upstream is barred: "+d.Reason.String(), x.u, fateNone, nil)
	}
	return !d.IsBarred()
}

// isBarred reports whether the upstream must no longer be sent the request of an attempt that
// mayBegin has counted.
func (x *exchange) isBarred() bool {
	d := x.c.g.opts.View.Eligibility(x.u, true)
	if d.IsBarred() {
		x.c.logStep("upstream is barred: "+d.Reason.String(), x.u, fateNone, nil)
	}
	return d.IsBarred()
}

// recordSignals records what the head of a response says about the upstream. Of a response to
// another request it records only that the upstream leaves: it may be a late copy, whose wait has
// been recorded before.
func (x *exchange) recordSignals(status int, a ResponseMetadata) {
	s := a.Signals
	if a.RequestID != "" && a.RequestID != x.c.meta.RequestID {
		s = eligibility.Signals{Leaving: s.Leaving}
	}
	x.c.g.opts.View.RecordSignals(x.u, s, a.Misrouted, fleet.ResponseCause{Status: status, Request: x.c.meta.RequestID})
}

// recordAnswered records that the upstream served the request, if the status shows that. The response must be whole, or
// the first event of a stream received: a head alone may be all that an upstream sends before it crashes.
func (x *exchange) recordAnswered(status int) {
	if status < http.StatusInternalServerError {
		x.c.g.opts.View.RecordAnswered(x.u, x.sentAt)
	}
}
