package operator

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// outageAfter is the time without an answer after which the platform counts as
// unreachable.
const outageAfter = 5 * time.Second

// outage is a time in which the platform does not answer this daemon.
type outage struct {
	since time.Time // zero while it answers
}

// notePlatform records the end of a call of the platform.
func (n *Node) notePlatform(now time.Time, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil && !n.outage.since.IsZero():
		n.note(now, peerPlatform, fmt.Sprintf("answers again after %s", now.Sub(n.outage.since).Round(time.Second)))
		n.outage = outage{}
	case err != nil && n.outage.since.IsZero() && n.ctx.Err() == nil:
		n.outage = outage{since: now}
		n.note(now, peerPlatform, "stopped answering")
	}
}

// platformConditions reports an outage of the platform. The caller must hold mu.
func (n *Node) platformConditions(now time.Time) []protocol.Condition {
	if n.outage.since.IsZero() || now.Sub(n.outage.since) < outageAfter {
		return nil
	}
	return []protocol.Condition{{
		Kind: protocol.ConditionPlatformDown, Severity: protocol.SeverityUrgent, Subject: peerPlatform,
		Detail: "does not answer daemons of zone " + string(n.opts.Zone), Daemon: n.opts.Self, Since: n.outage.since.UTC(),
	}}
}
