package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// maxReservations is the number of engines that are asked for a place for a prompt. The last
	// one is not asked with a limit: the prompt waits there as long as it must.
	maxReservations = 3
	// maxReservationWaitShare is the share of the latency objective that a prompt may wait at an engine
	// while another one may have room at once.
	maxReservationWaitShare = 0.25
	// maxSmoothShare is the share of the time left to the latency objective that a prompt may wait
	// only for the sake of the streams that run at the engine.
	maxSmoothShare = 0.5
)

// pacingState is what a call knows of the reservations for the prompt of its next attempt.
type pacingState struct {
	asked int // lease holders
	// settled is the engine at which the prompt may be sent until settledUntil without another
	// question, and isScheduled is whether its lease holder has scheduled the prompt.
	settled      state.UpstreamID
	settledUntil time.Time
	isScheduled  bool
	full         map[state.UpstreamID]bool // engines that had no room for the prompt
}

// settle records that the prompt may be sent to an engine after a delay. The lease holder counts a
// scheduled prompt for one window from then on. One that does not answer is not asked again earlier,
// as each question may take as long as a round trip may.
func (c *call) settle(id state.UpstreamID, delay time.Duration, isScheduled bool) {
	p := &c.pacing
	p.settled, p.settledUntil, p.isScheduled = id, c.g.opts.Clock().Add(delay+c.route.GapGoal), isScheduled
	c.request.IsScheduled = isScheduled
}

// endReservation forgets the reservations for an attempt that has begun. A further attempt sends the
// prompt again.
func (c *call) endReservation() {
	c.pacing = pacingState{}
	c.request.IsScheduled = false
}

// reservationResult is the result of asking for a place for a prompt.
type reservationResult uint8

const (
	promptReserved  reservationResult = iota // the prompt may be sent now
	promptRefused                            // another engine is to be chosen
	promptHasNoRoom                          // no engine has room in time; the request was refused
)

// awaitReservation asks the lease holder of the chosen engine when the prompt may be sent, and waits
// until then. If the lease holder does not answer, the prompt is sent without a reservation. A
// request that no engine of several has room for in time is refused; a broken stream is resumed
// all the same.
func (c *call) awaitReservation(placement fleet.Placement) reservationResult {
	p := &c.pacing
	c.request.IsScheduled = false
	if c.g.opts.Pacer == nil || c.engine == nil || c.route.GapGoal <= 0 || c.request.TokensIn == 0 {
		return promptReserved
	}
	if p.settled == placement.Upstream.ID && c.g.opts.Clock().Before(p.settledUntil) { // held for another reason
		c.request.IsScheduled = p.isScheduled
		return promptReserved
	}
	p.settled = ""
	p.asked++
	maxDelay := time.Duration(maxReservationWaitShare * float64(c.route.Goal))
	if p.asked >= maxReservations || placement.Replicas <= 1 {
		// A load at another engine would take longer. After a load the limit may be exceeded already.
		maxDelay = max(c.fairLimits(c.limits()).MaxStartDelay, 0)
	}
	reply, ok := c.g.opts.Pacer.ReservePrompt(c.ctx, protocol.PromptReservation{
		Upstream: placement.Upstream.ID, Tokens: c.request.TokensIn, Rank: c.precedence.Rank, MaxDelay: maxDelay, GapGoal: c.route.GapGoal,
		SmoothDelay: min(maxDelay, time.Duration(maxSmoothShare*float64(c.timeToObjective()))), Adapter: c.meta.Adapter, Pace: c.g.opts.View.Pace(c.service),
	})
	if !ok {
		c.settle(placement.Upstream.ID, 0, false)
		return promptReserved
	}
	c.g.opts.View.AdoptPace(c.service, reply.Pace)
	c.g.opts.View.SetReplicaRatio(c.meta.Adapter, reply.ReplicaRatio)
	if !reply.Accepted {
		c.g.opts.Log.Event("no room for prompt", slog.String("request", c.meta.RequestID), slog.String("upstream", string(placement.Upstream.ID)),
			slog.Duration("delay", reply.Delay), slog.Int("asked", p.asked))
		if p.full == nil {
			p.full = make(map[state.UpstreamID]bool)
		}
		p.full[placement.Upstream.ID] = true
		switch {
		case p.asked < maxReservations:
			return promptRefused
		case c.responseStarted:
			c.settle(placement.Upstream.ID, 0, false)
			return promptReserved
		}
		c.failWithRetryAfter(decisionlog.NoRoomForPrompt, balance.RetryAfter(reply.Delay, rand.Float64()))
		return promptHasNoRoom
	}
	c.settle(placement.Upstream.ID, reply.Delay, true)
	c.holdTime += reply.Delay
	c.sleep(min(reply.Delay, max(0, c.timeLeft()-minTimeLeft)))
	return promptReserved
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
	return c.pacing.full[id] && c.pacing.asked < maxReservations
}
