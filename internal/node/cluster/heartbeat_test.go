package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// noConfig is a configuration that never changes.
type noConfig struct{}

func (noConfig) Revision() uint64                           { return 1 }
func (noConfig) ObservePeerRevision(state.DaemonID, uint64) {}

// newTestCluster returns a cluster with one other daemon in its zone.
func newTestCluster(id state.DaemonID, other state.DaemonID, clock func() time.Time) *Cluster {
	c := New(Options{
		Self: peer.Peer{ID: id}, Incarnation: "1", Zone: "z", Fleet: state.NewFleet(), Config: noConfig{}, Clock: clock,
	})
	c.members[other] = &member{peer: peer.Peer{ID: other}, zone: "z"}
	return c
}

// statuses returns the statuses of n engines, whose load depends on the round.
func statuses(n, round int) []protocol.UpstreamStatus {
	var all []protocol.UpstreamStatus
	for i := range n {
		s := protocol.UpstreamStatus{ID: state.UpstreamID(fmt.Sprintf("engine-%04d", i)), Epoch: 1, Boot: "b", Healthy: true}
		s.Running = round % (i + 2)
		for a := range 16 {
			s.Resident = append(s.Resident, state.AdapterRef{Service: "advice", Adapter: fmt.Sprintf("adapter-%05d", i*16+a), Version: "v1"})
		}
		all = append(all, s)
	}
	return all
}

// pair is a sender and a receiver of heartbeats in one zone.
type pair struct {
	from, to *Cluster
	now      time.Time
}

// newPair returns a pair whose receiver has n engines in its fleet.
func newPair(n int) *pair {
	p := &pair{now: time.Unix(1000, 0)}
	clock := func() time.Time { return p.now }
	p.from, p.to = newTestCluster("a", "b", clock), newTestCluster("b", "a", clock)
	for _, s := range statuses(n, 0) {
		p.to.opts.Fleet.Put(state.Upstream{ID: s.ID, Zone: "z"})
	}
	return p
}

// exchange sends one heartbeat and returns its size in bytes. If lost is true, the heartbeat
// does not arrive.
func (p *pair) exchange(t testing.TB, all []protocol.UpstreamStatus, lost bool) int {
	p.now = p.now.Add(time.Second)
	out := p.from.newHeartbeats(all)
	qt.Assert(t, out, qt.HasLen, 1)
	data, err := cbor.Marshal(out[0].beat)
	qt.Assert(t, err, qt.IsNil)
	if lost {
		return len(data)
	}
	ack, err := p.to.HandleHeartbeat("a", &out[0].beat)
	qt.Assert(t, err, qt.IsNil)
	p.from.recordAck("b", ack.Sequence)
	return len(data)
}

func TestReceiverHasTheSendersStateAfterLossAndRestart(t *testing.T) {
	p := newPair(4)
	for round := range 40 {
		if round == 20 {
			p.to.requestFullState("") // as after a restart of the receiver
		}
		p.exchange(t, statuses(4-round/10, round), round%3 == 1)
	}
	last := statuses(1, 40)
	p.exchange(t, last, false)
	p.exchange(t, last, false)
	u := p.to.opts.Fleet.Get(last[0].ID)
	qt.Assert(t, u.Owner, qt.Equals, state.DaemonID("a"))
	qt.Assert(t, u.Running, qt.Equals, last[0].Running)
	qt.Assert(t, u.Resident, qt.DeepEquals, last[0].Resident)
	qt.Assert(t, p.to.opts.Fleet.Get("engine-0001").Owner, qt.Equals, state.DaemonID(""))
}

func TestHeartbeatThatNamesADaemonOtherThanItsSenderIsRejected(t *testing.T) {
	p := newPair(1)
	_, err := p.to.HandleHeartbeat("c", &protocol.Heartbeat{Daemon: "a"})
	qt.Assert(t, err, qt.IsNotNil)
}

func TestHeartbeatOmitsUnchangedState(t *testing.T) {
	for _, n := range []int{1, 4, 16, 64} {
		p := newPair(n)
		full := p.exchange(t, statuses(n, 1), false)
		unchanged := p.exchange(t, statuses(n, 1), false)
		loadsChanged := p.exchange(t, statuses(n, 2), false)
		t.Logf("%d upstreams: %d bytes in the first heartbeat, %d without changes, %d when loads change", n, full, unchanged, loadsChanged)
		qt.Assert(t, unchanged < 100, qt.IsTrue, qt.Commentf("%d", unchanged))
		qt.Assert(t, loadsChanged < 100+40*n, qt.IsTrue, qt.Commentf("%d", loadsChanged))
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p := newPair(n)
			b.ReportAllocs()
			for i := range b.N {
				p.exchange(b, statuses(n, i), false)
			}
		})
	}
}

func TestIncarnationIsLostWhenItIsSilentOrAnotherOneFollows(t *testing.T) {
	c := qt.New(t)
	p := newPair(1)
	c.Assert(p.to.IncarnationLost("a", "1"), qt.IsFalse, qt.Commentf("never heard"))
	p.exchange(t, statuses(1, 0), false)
	c.Assert(p.to.IncarnationLost("a", "1"), qt.IsFalse)
	c.Assert(p.to.IncarnationLost("a", "0"), qt.IsTrue)
	p.now = p.now.Add(lostTimeout + time.Second)
	c.Assert(p.to.IncarnationLost("a", "1"), qt.IsTrue)
}
