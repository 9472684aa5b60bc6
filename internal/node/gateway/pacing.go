package gateway

import (
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// maxReservations is the number of engines that are asked for a place for a prompt. The last
	// one is not asked with a limit: the prompt waits there as long as it must.
	maxReservations = 3
	// maxSlotWaitShare is the share of the latency objective that a prompt may wait at an engine
	// while another one may have room at once.
	maxSlotWaitShare = 0.25
	// maxSmoothShare is the share of the time left to the latency objective that a prompt may wait
	// only for the sake of the streams that run at the engine.
	maxSmoothShare = 0.5
)

// pacingState is what a call knows of the reservations for its prompt.
type pacingState struct {
	asked    int
	reserved state.UpstreamID // that has scheduled the prompt
	full     map[state.UpstreamID]time.Duration
}

// slotResult is the result of asking for a place for a prompt.
type slotResult uint8

const (
	slotTaken   slotResult = iota // the prompt may be sent now
	slotRefused                   // another engine is to be chosen
	slotNowhere                   // no engine has room in time; the request was refused
)

// awaitPromptSlot asks the lease holder of the chosen engine when the prompt may be sent, and waits
// until then. If the lease holder does not answer, the prompt is sent without a reservation. A
// request that no engine of several has room for in time is refused; a broken stream is resumed
// all the same.
func (c *call) awaitPromptSlot(placement fleet.Placement) slotResult {
	p := &c.pacing
	c.request.IsScheduled = false
	if c.g.opts.Pacer == nil || c.engine == nil || c.route.GapGoal <= 0 || c.request.TokensIn == 0 {
		return slotTaken
	}
	if p.reserved == placement.Upstream.ID { // held for another reason after its slot
		c.request.IsScheduled = true
		return slotTaken
	}
	p.asked++
	maxDelay := time.Duration(maxSlotWaitShare * float64(c.route.Goal))
	if p.asked >= maxReservations || placement.Replicas <= 1 {
		maxDelay = c.limits().MaxStartDelay // a load at another engine would take longer
	}
	reply, ok := c.g.opts.Pacer.ReservePrompt(c.ctx, protocol.PromptReservation{
		Upstream: placement.Upstream.ID, Tokens: c.request.TokensIn, Rank: c.precedence.Rank, MaxDelay: maxDelay, GapGoal: c.route.GapGoal,
		SmoothDelay: min(maxDelay, time.Duration(maxSmoothShare*float64(c.timeToObjective()))), Adapter: c.meta.Adapter,
	})
	if !ok {
		return slotTaken
	}
	c.g.opts.View.SetReplicaRatio(c.meta.Adapter, reply.ReplicaRatio)
	if !reply.Accepted {
		c.g.opts.Log.Event("no room for prompt", slog.String("request", c.meta.RequestID), slog.String("upstream", string(placement.Upstream.ID)),
			slog.Duration("delay", reply.Delay), slog.Int("asked", p.asked))
		if p.full == nil {
			p.full = make(map[state.UpstreamID]time.Duration)
		}
		p.full[placement.Upstream.ID] = reply.Delay
		switch {
		case p.asked < maxReservations:
			return slotRefused
		case c.responseStarted:
			return slotTaken
		}
		c.failWithRetryAfter(decisionlog.NoRoomForPrompt, reply.Delay)
		return slotNowhere
	}
	p.reserved = placement.Upstream.ID
	c.request.IsScheduled = true
	c.holdTime += reply.Delay
	c.sleep(min(reply.Delay, max(0, c.timeLeft()-minTimeLeft)))
	return slotTaken
}

// retryFull makes the engines that had no room for the prompt candidates again, if another choice has
// found no other engine. It returns false if there are none, or if they were asked again already.
func (c *call) retryFull() bool {
	if len(c.pacing.full) == 0 || c.pacing.asked >= maxReservations {
		return false
	}
	c.pacing.asked = maxReservations - 1
	clear(c.pacing.full)
	return true
}

// isFull reports whether an engine had no room for the prompt and another one may have.
func (c *call) isFull(id state.UpstreamID) bool {
	_, full := c.pacing.full[id]
	return full && c.pacing.asked < maxReservations
}
