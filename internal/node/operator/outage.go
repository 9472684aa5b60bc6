package operator

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// outageConditionDelay is how long an outage of the object store must last before the
// status of the daemon reports it as a condition.
const outageConditionDelay = 5 * time.Second

// outage is the current outage of the object store, as seen by this daemon.
type outage struct {
	since time.Time // start of the outage; zero while the object store answers
}

// recordCall processes the result of a call to the object store. It records the start
// and the end of an outage as state changes.
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

// outageConditions returns a condition if an outage of the object store has lasted for
// outageConditionDelay, and none otherwise. The caller must hold mu.
func (n *Node) outageConditions(now time.Time) []protocol.Condition {
	if n.outage.since.IsZero() || now.Sub(n.outage.since) < outageConditionDelay {
		return nil
	}
	return []protocol.Condition{{
		Kind: protocol.ConditionPlatformDown, Severity: protocol.SeverityUrgent, Subject: objectStoreSubject,
		Detail: "does not answer daemons of zone " + string(n.opts.Zone), Daemon: n.opts.Self, Since: n.outage.since.UTC(),
	}}
}
