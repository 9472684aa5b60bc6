package fleet

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// simCall is a message in flight to a daemon that is down.
type simCall struct {
	from *Node
	to   *member
	at   time.Time
}

// roundsWithTimeouts is like rounds, and a message to a daemon that is down stays in flight for gossipTimeout.
func (s *sim) roundsWithTimeouts(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(gossipInterval)
		for len(s.calls) > 0 && s.now.Sub(s.calls[0].at) >= gossipTimeout {
			s.calls[0].from.recordUnanswered(s.calls[0].to, errors.New("no answer"))
			s.calls = s.calls[1:]
		}
		for _, vm := range s.order {
			if s.down[vm] {
				continue
			}
			n := s.nodes[vm]
			for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
				if s.down[m.to.VM] {
					s.calls = append(s.calls, simCall{n, m.to, s.now})
					continue
				}
				self := n.opts.Self
				reply := s.nodes[m.to.VM].HandlePush(self.ID(), m.push)
				n.recordAnswered(m.to)
				n.applyReply(m.to, reply)
				n.confirmByPeer(n.opts.BootClock(), reply.Revisions)
			}
		}
	}
}

// All relays of all zones lost power at once, and the store turned away most of the others. A daemon that heard from nobody
// sent only to the relays that it had known, and kept an old configuration until one of them was back.
func TestDaemonsFindEachOtherAfterAllRelaysAreGone(t *testing.T) {
	for _, each := range []int{8, 24} {
		s := newSim(t, 3, each)
		s.roundsWithTimeouts(2 * time.Second)
		for _, vm := range s.order {
			if vm[3:] <= "02" {
				s.down[vm] = true
			}
		}
		s.nodes["z1-05"].applyConfig(&routes.Config{Version: 2}, ConfigOrigin{})
		const applyTime = 3 * time.Second // of deployments of this size
		s.roundsWithTimeouts(applyTime)
		for _, vm := range s.order {
			if !s.down[vm] {
				s.Check(s.nodes[vm].opts.View.version(), qt.Equals, uint64(2), qt.Commentf("%s of %d", vm, 3*each))
			}
		}
		const recoverTime = 12 * time.Second
		s.roundsWithTimeouts(recoverTime - applyTime)
		s.Check(s.lost(), qt.Equals, 0)
	}
}
