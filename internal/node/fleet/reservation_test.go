package fleet

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/pacing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

var reservation = protocol.PromptReservation{
	Upstream: "e0", Tokens: 3000, Pace: pacing.MinPace, MaxDelay: time.Second, GapGoal: 300 * time.Millisecond, Adapter: upstreams.Adapter{Model: "m", Name: "a"},
}

// newReservationSim returns a fleet in which z0-00 has a worker for the engine e0.
func newReservationSim(t *testing.T, each int) (*sim, *Node, *worker) {
	s := newSim(t, 2, each)
	s.rounds(6)
	n := s.nodes["z0-00"]
	w := &worker{node: n, id: "e0", lease: holders.Lease{RenewedAt: n.opts.BootClock()}}
	n.workers["e0"] = w
	n.opts.View.SetUpstreams(s.now, []upstreams.Upstream{{ID: "e0", Service: "llm", Slots: 8}})
	return s, n, w
}

// Guards against two daemons that both schedule prompts at an engine, each without the other's.
func TestOnlyTheLeaseHolderSchedulesPrompts(t *testing.T) {
	s, n, w := newReservationSim(t, 12)
	s.Assert(n.ServePromptReservation(reservation), qt.Equals, protocol.PromptReservationReply{Known: true, Accepted: true, ReplicaRatio: 1, Pace: pacing.MinPace})
	reply, ok := n.ReservePrompt(context.Background(), reservation)
	s.Assert(ok && reply.Accepted, qt.IsTrue)
	s.Assert(reply.Delay, qt.Equals, reservation.GapGoal, qt.Commentf("prompts of the holder and of its peers share a ledger"))
	s.Assert(s.nodes["z0-01"].ServePromptReservation(reservation).Known, qt.IsFalse)
	w.lease.RenewedAt -= holders.LeaseDuration
	s.Assert(n.ServePromptReservation(reservation).Known, qt.IsFalse)
	_, ok = n.ReservePrompt(context.Background(), reservation)
	s.Assert(ok, qt.IsFalse)
}

// Guards against reservations in a small fleet, where daemons notify each other of each prompt.
func TestASmallFleetReservesNoPrompts(t *testing.T) {
	s, n, _ := newReservationSim(t, 3)
	_, ok := n.ReservePrompt(context.Background(), reservation)
	s.Assert(ok, qt.IsFalse)
}

// Guards against a prompt that waits long, or at once causes many loads, because of one peer's impossible
// reply.
func TestImpossibleRepliesToReservationsAreNotUsed(t *testing.T) {
	c := qt.New(t)
	for _, delay := range []time.Duration{-time.Second, reservation.MaxDelay + 1, math.MaxInt64} {
		_, ok := checkReply(reservation, protocol.PromptReservationReply{Known: true, Accepted: true, Delay: delay})
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", delay))
		reply, ok := checkReply(reservation, protocol.PromptReservationReply{Known: true, Delay: delay})
		c.Check(ok && reply.Delay >= 0 && reply.Delay <= maxPromptDelay, qt.IsTrue, qt.Commentf("%s", reply.Delay))
	}
	reply, ok := checkReply(reservation, protocol.PromptReservationReply{Known: true, Accepted: true, Delay: reservation.MaxDelay})
	c.Check(ok && reply.Delay == reservation.MaxDelay, qt.IsTrue)
}

// Guards against a peer whose impossible request keeps the prompts of all others from an engine.
func TestAnImpossibleReservationDoesNotBlockAnEngine(t *testing.T) {
	s, n, w := newReservationSim(t, 12)
	odd := reservation
	odd.Tokens, odd.GapGoal, odd.MaxDelay = math.MaxInt, 1000*time.Hour, math.MaxInt64
	for range 200 {
		n.ServePromptReservation(odd)
	}
	s.now = s.now.Add(maxPromptDelay + pacing.MaxWindow)
	w.lease.RenewedAt = n.opts.BootClock()
	reply := n.ServePromptReservation(reservation)
	s.Assert(reply.Accepted && reply.Delay == 0, qt.IsTrue, qt.Commentf("%s", reply.Delay))
}

// Guards against a table of ratios that grows with all adapters that were ever in demand, and against
// ratios that are no number.
func TestRatiosOfReplicasAreBounded(t *testing.T) {
	s, n, _ := newReservationSim(t, 12)
	view := n.opts.View
	a := reservation.Adapter
	for ratio, want := range map[float64]float64{math.NaN(): 1, math.Inf(1): maxReplicaRatio, -1: 1, 2.5: 2.5} {
		delete(view.replicaRatios, a)
		view.SetReplicaRatio(a, ratio)
		s.Check(view.replicaRatio(s.now, a), qt.Equals, want, qt.Commentf("%v", ratio))
	}
	view.SetReplicaRatio(a, 3)
	s.now = s.now.Add(2 * replicaRatioTTL)
	view.SetUpstreams(s.now, nil)
	s.Assert(view.replicaRatios, qt.HasLen, 0)
}

// Guards against demand that is counted at each engine that had no room for the prompt.
func TestARefusedReservationIsNoUseOfTheAdapter(t *testing.T) {
	s, n, _ := newReservationSim(t, 12)
	first := reservation
	first.Pace = pacing.MinPace // leaves no room for a second prompt
	refused := first
	refused.MaxDelay = 0
	n.ServePromptReservation(first)
	for range 100 {
		reply := n.ServePromptReservation(refused)
		s.Assert(reply.Known && !reply.Accepted, qt.IsTrue)
		s.Assert(reply.ReplicaRatio, qt.Equals, 1.0)
	}
}
