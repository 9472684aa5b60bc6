package operator

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// outageConditionDelay is how long the object store must fail to answer before the
// status has a condition for it.
const outageConditionDelay = 5 * time.Second

// outage is a time during which the object store does not answer this daemon.
type outage struct {
	since time.Time // zero while the object store answers
}

// recordCall records the result of a call to the object store.
func (n *Node) recordCall(now time.Time, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil && !n.outage.since.IsZero():
		n.recordChange(now, objectStoreSubject, fmt.Sprintf("answers again after %s", now.Sub(n.outage.since).Round(time.Second)))
		n.outage = outage{}
	case err != nil && n.outage.since.IsZero() && n.ctx.Err() == nil:
		n.outage = outage{since: now}
		n.recordChange(now, objectStoreSubject, "stopped answering")
	}
}

// outageConditions returns a condition for an outage of the object store. The caller
// must hold mu.
func (n *Node) outageConditions(now time.Time) []protocol.Condition {
	if n.outage.since.IsZero() || now.Sub(n.outage.since) < outageConditionDelay {
		return nil
	}
	return []protocol.Condition{{
		Kind: protocol.ConditionPlatformDown, Severity: protocol.SeverityUrgent, Subject: objectStoreSubject,
		Detail: "does not answer daemons of zone " + string(n.opts.Zone), Daemon: n.opts.Self, Since: n.outage.since.UTC(),
	}}
}
