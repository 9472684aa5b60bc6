package fleet

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// sim is a simulated fleet of nodes that exchange messages in memory.
type sim struct {
	*qt.C
	now   time.Time
	nodes map[string]*Node
	order []string
	down  map[string]bool
	calls []simCall // see roundsWithTimeouts
}

func newSim(t *testing.T, zones, each int) *sim {
	s := &sim{C: qt.New(t), now: time.Unix(1000, 0), nodes: make(map[string]*Node), down: make(map[string]bool)}
	var members []Member
	for z := range zones {
		for i := range each {
			vm := fmt.Sprintf("z%d-%02d", z, i)
			members = append(members, Member{VM: vm, Incarnation: "1", Zone: state.Zone(fmt.Sprint("z", z)), CPU: 0.2})
			s.order = append(s.order, vm)
		}
	}
	for _, m := range members {
		s.nodes[m.VM] = s.newNode(t, m)
		s.nodes[m.VM].applyRecords(s.now, Records{Revision: 1, Members: members, Holders: map[state.UpstreamID]Holder{"e0": {Engine: "e0", VM: "z0-00", Revision: 1}}})
	}
	return s
}

func (s *sim) newNode(t *testing.T, m Member) *Node {
	clock := func() time.Time { return s.now }
	log := decisionlog.New(io.Discard, m.VM)
	t.Cleanup(log.Close)
	view := NewView(ViewOptions{Zone: m.Zone, Log: log, Clock: clock, OutdatedGracePeriod: testGrace, Retries: RetryLimits{Ratio: 1, Burst: 1, Window: time.Second}})
	return New(Options{
		Self: m, View: view, Pins: new(peer.Pins), Log: log, Clock: clock, BootClock: func() time.Duration { return s.now.Sub(time.Unix(0, 0)) },
		UpstreamHeartbeat: 1200 * time.Millisecond, LapsedGracePeriod: 2 * time.Second,
	})
}

// rounds delivers the messages of a number of gossip rounds.
func (s *sim) rounds(count int) {
	for range count {
		s.now = s.now.Add(gossipInterval)
		for _, vm := range s.order {
			if s.down[vm] {
				continue
			}
			n := s.nodes[vm]
			for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
				n.mu.Lock()
				m.to.callInFlight = false
				n.mu.Unlock()
				if s.down[m.to.VM] {
					continue
				}
				self := n.opts.Self
				reply := s.nodes[m.to.VM].HandlePush(self.ID(), m.push)
				n.applyReply(m.to, reply)
				n.confirmByPeer(n.opts.BootClock(), reply.Revisions)
			}
		}
	}
}

// lost counts the pairs of running daemons (a, b) in which a considers b silent.
func (s *sim) lost() int {
	n := 0
	for vm, node := range s.nodes {
		for other, m := range node.members {
			if !s.down[vm] && !s.down[other] && s.now.Sub(m.lastHeard) >= relays.SilentAfter {
				n++
			}
		}
	}
	return n
}

// Whether a lead relay sent to other zones in a round once depended on the parity of a number
// that each of the relay's replies increased. With 17 members, the relay never sent to other
// zones.
func TestNoDaemonIsLostAtAnyZoneSize(t *testing.T) {
	for each := 1; each <= 24; each++ {
		s := newSim(t, 3, each)
		s.rounds(5)
		for range 20 {
			s.rounds(1)
			s.Assert(s.lost(), qt.Equals, 0, qt.Commentf("%d daemons per zone", each))
		}
	}
}

func TestRequestsInFlightAndCrashesReachAllDaemons(t *testing.T) {
	for _, each := range []int{2, 12} {
		s := newSim(t, 3, each)
		s.rounds(3)
		from := s.nodes["z1-01"]
		from.opts.View.WithTracker(func(t *balance.Tracker) { t.Begin(s.now, "e0", balance.Request{TokensIn: 70}) })
		from.opts.View.RecordCrashes([]quarantine.Crash{{ID: 7, Upstream: "e0"}, {ID: 7, Upstream: "e1"}})
		s.rounds(6)
		for vm, n := range s.nodes {
			n.opts.View.WithTracker(func(t *balance.Tracker) {
				s.Check(t.InFlight(s.now, "e0").PrefillTokens[0], qt.Equals, 70, qt.Commentf("%s of %d per zone", vm, each))
			})
			s.Check(n.opts.View.QuarantineTime([]quarantine.Trait{{ID: 7}}) > 0, qt.IsTrue, qt.Commentf("%s of %d per zone", vm, each))
		}
	}
}

func TestObjectsThatOneDaemonReadsReachAllDaemons(t *testing.T) {
	s := newSim(t, 3, 10)
	s.rounds(3)
	reader := s.nodes["z2-07"]
	reader.applyConfig(&routes.Config{Version: 9}, ConfigOrigin{})
	reader.applyVersions([]upstreams.Version{{Adapter: upstreams.Adapter{Model: "m", Name: "a"}, Version: 4}})
	reader.applyUpstreams(s.now, s.now, 50, []upstreams.Upstream{{ID: "e0", Service: "llm"}})
	s.rounds(8)
	for vm, n := range s.nodes {
		s.Check(n.opts.View.Table().Config.Version, qt.Equals, uint64(9), qt.Commentf(vm))
		s.Check(n.revisions.Versions, qt.Equals, uint64(4), qt.Commentf(vm))
		s.Check(n.opts.View.Upstream("e0"), qt.IsNotNil, qt.Commentf(vm))
	}
}

func TestNoDaemonIsLostAfterTheLeadRelayFails(t *testing.T) {
	s := newSim(t, 2, 12)
	s.rounds(5)
	s.down["z0-00"] = true
	s.rounds(20)
	s.Assert(s.lost(), qt.Equals, 0)
	s.down["z0-00"] = false
	s.rounds(20)
	s.Assert(s.lost(), qt.Equals, 0)
}

func TestDemandReachesTheLeaseHolder(t *testing.T) {
	a := upstreams.Adapter{Model: "m", Name: "a"}
	s := newSim(t, 3, 10)
	s.rounds(3)
	s.nodes["z2-07"].opts.View.RecordMiss("e0", a)
	var isDelivered bool
	for range 8 {
		s.now = s.now.Add(gossipInterval)
		for _, vm := range s.order {
			n := s.nodes[vm]
			for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
				n.mu.Lock()
				m.to.callInFlight = false
				n.mu.Unlock()
				reply := s.nodes[m.to.VM].HandlePush(n.opts.Self.ID(), m.push)
				isDelivered = isDelivered || m.to.VM == "z0-00" && containsMiss(m.push.Demand, a) || vm == "z0-00" && containsMiss(reply.Demand, a)
				n.applyReply(m.to, reply)
			}
		}
	}
	s.Assert(isDelivered, qt.IsTrue)
}

func containsMiss(d protocol.Demand, a upstreams.Adapter) bool {
	for _, b := range d.Missing["e0"] {
		if a == b {
			return true
		}
	}
	return false
}
