package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowRounds delivers the messages of rounds of gossip, each of which takes a while on its way.
func (s *sim) slowRounds(until time.Time, delay time.Duration) {
	for s.now.Before(until) {
		next := s.now.Add(gossipInterval)
		for _, vm := range s.order {
			n := s.nodes[vm]
			for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
				n.mu.Lock()
				m.to.callInFlight = false
				n.mu.Unlock()
				self, sentAt := n.opts.Self, n.opts.BootClock()
				s.now = s.now.Add(delay)
				reply := s.nodes[m.to.VM].HandlePush(self.ID(), m.push)
				s.now = s.now.Add(delay)
				n.applyReply(m.to, reply)
				n.confirmByPeer(sentAt, reply.Revisions)
			}
		}
		if s.now.Before(next) {
			s.now = next
		}
	}
}

// Daemons passed on the age of the last read of the store without the time that the message took, and took the
// age in a reply to their own message for a later read. A copy that nobody had read for 4 s counted as 1.5 s
// old, and no daemon read the store.
func TestTheLastReadOfTheStoreDoesNotGetYoungerFromDaemonToDaemon(t *testing.T) {
	for _, each := range []int{3, 8} {
		s := newSim(t, 3, each)
		s.rounds(2)
		readAt := s.now
		for _, vm := range s.order {
			s.nodes[vm].revisions.Upstreams = 10
		}
		s.nodes["z0-00"].applyUpstreams(s.now, readAt, 10, nil)
		s.slowRounds(readAt.Add(6*time.Second), 5*time.Millisecond)
		for _, vm := range s.order {
			n := s.nodes[vm]
			late := n.reads.Last.Sub(readAt)
			s.Assert(late >= 0 && late <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%d daemons: at %s the read counts as %s younger than it is", 3*each, vm, late))
		}
	}
}
