package fleet

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// maxLeavingUpstreams is the maximum number of leaving upstreams in a reply.
const maxLeavingUpstreams = 256

// leavingUpstreams returns the upstreams that told this daemon, or a peer heard from recently, that
// they leave, by the start time of the run. The caller holds the lock.
func (n *Node) leavingUpstreams(now time.Time) map[state.UpstreamID]int64 {
	list := n.opts.View.OwnLeaving()
	for _, m := range n.members {
		if now.Sub(m.lastHeard) > daemonStateTTL {
			continue
		}
		for id, start := range m.state.LeavingUpstreams {
			if len(list) >= maxLeavingUpstreams {
				return list
			}
			if list == nil {
				list = make(map[state.UpstreamID]int64)
			}
			list[id] = max(list[id], start) // of two runs, the later one is the one that still runs
		}
	}
	return list
}
