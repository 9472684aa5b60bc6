package metrics

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/statelog"
)

const (
	maxUnknownCalls      = 32
	unknownCallRetention = time.Hour
)

// unknownCall is a call with an unknown outcome that is not repeatable.
type unknownCall struct {
	at     time.Time
	call   string // request id
	detail string
}

// recordUnknown logs a call that failed with an unknown outcome and is not repeatable, and
// keeps it as a condition for operators, who have to check whether it ran.
func (r *Recorder) recordUnknown(call *protocol.Call, err *protocol.Error) {
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
	r.unknown = r.unknown[max(0, len(r.unknown)-maxUnknownCalls):]
}

// Conditions returns a condition for each call of the last hour with an unknown outcome
// that is not repeatable.
func (r *Recorder) Conditions(now time.Time) []protocol.Condition {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []protocol.Condition
	for _, u := range r.unknown {
		if now.Sub(u.at) > unknownCallRetention {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionOutcomeUnknown, Severity: protocol.SeverityUrgent,
			Subject: "request " + u.call, Detail: u.detail, Since: u.at.UTC(),
		})
	}
	return list
}
