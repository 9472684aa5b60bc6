package fleet

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/pacing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	// reservationTimeout limits the wait for a lease holder's reply. A request whose prompt is not
	// scheduled by then is sent without a schedule.
	reservationTimeout = 40 * time.Millisecond
	// smoothShare is the part of the limit that applies while prompts can wait for their turn without
	// missing their latency objective.
	smoothShare = 0.5
	// replicaRatioTTL is how long a lease holder's figure on the replicas of an adapter is used.
	replicaRatioTTL = 400 * time.Millisecond
	// maxReplicaRatio bounds such a figure. All slots of an engine in use by one adapter give 2.5.
	maxReplicaRatio = 16
	// maxPromptDelay bounds the delay of a reservation, and with it the size of a ledger, whatever a
	// peer asks for.
	maxPromptDelay = 10 * time.Second
)

// ObserveStream records whether a stream of a service had a pause that was too long.
func (v *View) ObserveStream(service string, isStalled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pace(service).ObserveStream(isStalled)
}

// Pace returns this daemon's limit of prompt tokens for the engines of a service, for each millisecond
// of the longest pause that the streams allow.
func (v *View) Pace(service string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pace(service).Limit()
}

// AdoptPace records the limit that a lease holder applies to an engine of a service.
func (v *View) AdoptPace(service string, limit float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pace(service).Adopt(limit)
}

// pace returns the limit for a service. The caller holds the lock.
func (v *View) pace(service string) *pacing.Pace {
	p := v.paces[service]
	if p == nil {
		p = new(pacing.Pace)
		v.paces[service] = p
	}
	return p
}

// replicaRatio is a lease holder's figure on the replicas of an adapter.
type replicaRatio struct {
	ratio float64
	at    time.Time
}

// SetReplicaRatio records how many replicas an adapter should have for each one that it has.
func (v *View) SetReplicaRatio(a upstreams.Adapter, ratio float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if ratio > 1 { // false for what is no number
		v.replicaRatios[a] = replicaRatio{min(ratio, maxReplicaRatio), v.opts.Clock()}
	}
}

// expireReplicaRatios discards the figures that are no longer used. The caller holds the lock.
func (v *View) expireReplicaRatios(now time.Time) {
	for a, r := range v.replicaRatios {
		if now.Sub(r.at) > replicaRatioTTL {
			delete(v.replicaRatios, a)
		}
	}
}

// replicaRatio returns how many replicas an adapter should have for each one that it has, or 1 if
// that is not known. The caller holds the lock.
func (v *View) replicaRatio(now time.Time, a upstreams.Adapter) float64 {
	r, ok := v.replicaRatios[a]
	if !ok {
		return 1
	}
	if now.Sub(r.at) > replicaRatioTTL {
		delete(v.replicaRatios, a)
		return 1
	}
	return r.ratio
}

// ReservePrompt asks the lease holder of an engine when a prompt may be sent there. It returns
// false if the lease holder is unknown or does not answer in time, and in a small fleet, where
// daemons notify each other of each prompt.
func (n *Node) ReservePrompt(ctx context.Context, msg protocol.PromptReservation) (protocol.PromptReservationReply, bool) {
	n.mu.Lock()
	isSmall := n.isSmall()
	w := n.workers[msg.Upstream]
	var to *peer.Peer
	if m := n.members[n.holders[msg.Upstream].VM]; m != nil && !m.lost && m.contacted {
		to = &peer.Peer{ID: m.ID(), Addr: m.Addr}
	}
	n.mu.Unlock()
	if isSmall {
		return protocol.PromptReservationReply{}, false
	}
	if w != nil {
		reply := w.reservePrompt(msg)
		return reply, reply.Known
	}
	if to == nil {
		return protocol.PromptReservationReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	var reply protocol.PromptReservationReply
	if err := n.opts.Pool.Exchange(ctx, *to, protocol.MsgPromptReservation, msg, &reply); err != nil {
		return protocol.PromptReservationReply{}, false
	}
	return checkReply(msg, reply)
}

// checkReply returns a peer's reply to a reservation with a plausible delay, and whether it can be
// used.
func checkReply(msg protocol.PromptReservation, reply protocol.PromptReservationReply) (protocol.PromptReservationReply, bool) {
	if !reply.Known || reply.Accepted && (reply.Delay < 0 || reply.Delay > msg.MaxDelay) {
		return protocol.PromptReservationReply{}, false
	}
	reply.Delay = min(max(reply.Delay, 0), maxPromptDelay)
	return reply, true
}

// ServePromptReservation schedules a peer's prompt at an engine of this daemon.
func (n *Node) ServePromptReservation(msg protocol.PromptReservation) protocol.PromptReservationReply {
	n.mu.Lock()
	w := n.workers[msg.Upstream]
	n.mu.Unlock()
	if w == nil {
		return protocol.PromptReservationReply{}
	}
	return w.reservePrompt(msg)
}

// reservePrompt schedules a prompt at the worker's engine.
func (w *worker) reservePrompt(msg protocol.PromptReservation) protocol.PromptReservationReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lease.Valid(w.node.opts.BootClock()) || msg.GapGoal <= 0 {
		return protocol.PromptReservationReply{}
	}
	window := min(msg.GapGoal, pacing.MaxWindow)
	now, ms := w.node.opts.Clock(), float64(window.Milliseconds())
	w.pace.Merge(msg.Pace)
	limit := pacing.Limit{Tokens: w.pace.Limit() * ms, SmoothTokens: smoothShare * w.pace.Limit() * ms, Window: window}
	delay, ok := w.prompts.Reserve(now, limit, pacing.Request{Tokens: msg.Tokens, Rank: msg.Rank, SmoothDelay: msg.SmoothDelay, MaxDelay: min(msg.MaxDelay, maxPromptDelay)})
	reply := protocol.PromptReservationReply{Known: true, Accepted: ok, Delay: delay, ReplicaRatio: 1, Pace: w.pace.Limit()}
	if u := w.node.opts.View.Upstream(w.id); u != nil && msg.Adapter.Name != "" {
		figure := w.use.Record
		if !ok { // counted at the engine that it goes to
			figure = w.use.ReplicaRatio
		}
		reply.ReplicaRatio = figure(now, msg.Adapter, w.node.opts.View.MeanStreamTime(), u.Slots)
	}
	return reply
}
