package metrics

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/statelog"
)

const (
	maxUnknown  = 32
	keepUnknown = time.Hour
)

// unknownCall is a call that must not repeat and whose outcome is not known.
type unknownCall struct {
	at     time.Time
	call   string // request id
	detail string
}

// noteUnknown keeps a call that someone has to look into.
func (r *Recorder) noteUnknown(call *protocol.Call, err *protocol.Error) {
	if err == nil || err.Outcome != protocol.OutcomeUnknown || call.Repeatable {
		return
	}
	statelog.Request("Outcome of a call that must not repeat is unknown", call.RequestID, err,
		"customer", call.Customer, "service", call.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unknown = append(r.unknown, unknownCall{
		at:     r.opts.Clock(),
		call:   call.RequestID,
		detail: fmt.Sprintf("customer %s, service %s: %v", call.Customer, call.Service, err),
	})
	r.unknown = r.unknown[max(0, len(r.unknown)-maxUnknown):]
}

// Conditions reports the calls of the last hour that must not repeat and whose
// outcome is not known.
func (r *Recorder) Conditions(now time.Time) []protocol.Condition {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []protocol.Condition
	for _, u := range r.unknown {
		if now.Sub(u.at) > keepUnknown {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionOutcomeUnknown, Severity: protocol.SeverityUrgent,
			Subject: "request " + u.call, Detail: u.detail, Since: u.at.UTC(),
		})
	}
	return list
}
