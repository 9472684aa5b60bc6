package routing

import (
	"github.com/celerydeck/celerydeck/internal/state"
)

// meanLoadRemaining is the fraction of a load in flight that is left, on average, when
// a request arrives.
const meanLoadRemaining = 0.5

// replicaTargetFraction is the fraction of the first-token target that a request would
// rather wait at a replica than cause the load of a further replica.
const replicaTargetFraction = 0.25

// score returns the expected time to the first token at a candidate, plus the costs of
// choosing the candidate, in seconds.
func (p *selection) score(c *candidate) float64 {
	w := &p.router.costs
	score := p.startDelay(c) * (1 + p.jitter(c))
	score += float64(c.position) * w.orderCost
	if c.upstream.Zone != p.req.Zone {
		score += w.zoneCost
	}
	if p.req.Adapter.IsZero() {
		return score
	}
	switch {
	case c.resident:
	case c.loading:
		score += w.loadStall * meanLoadRemaining
	case p.anyResident:
		score += w.loadStall + max(w.replicaCost, p.req.FirstTokenTarget.Seconds()*replicaTargetFraction)
	default:
		score += w.loadStall
	}
	return score + p.prefill(c)
}

// startDelay estimates the start delay at a candidate in seconds. The estimate is based on
// the last report of the upstream and on the requests that daemons have sent since then.
func (p *selection) startDelay(c *candidate) float64 {
	u := c.upstream
	since, outstanding := c.entry.LocalLoad()
	others := float64(since) * (p.daemons - 1) * p.router.weights.PeerSendShare
	load := float64(u.Running+queuedAhead(u, p.req.Rank)+since) + others
	load = max(load, float64(outstanding))
	batch := float64(max(u.Batch, 1))
	if load < batch {
		return p.router.costs.fullBatch * load / batch
	}
	return p.router.costs.fullBatch + p.queueCost*(load-batch+1)/batch
}

// queuedAhead returns the number of queued requests that would run before a request of
// the given rank.
func queuedAhead(u *state.Upstream, rank state.Rank) int {
	if len(u.QueuedByRank) == 0 {
		return u.Queued
	}
	n := 0
	for _, queued := range u.QueuedByRank[:min(int(rank)+1, len(u.QueuedByRank))] {
		n += queued
	}
	return n
}

// prefill estimates the prefill time at a candidate in seconds. Tokens of a cached prefix
// take no time.
func (p *selection) prefill(c *candidate) float64 {
	tokens := p.req.PromptTokens
	for _, location := range p.prefixes {
		if location.Upstream == c.upstream.ID {
			tokens -= min(location.Tokens, tokens)
			break
		}
	}
	cost := float64(tokens) * p.router.costs.tokenCost
	if c.upstream.Role == state.RoleDecode && tokens > 0 {
		cost += p.router.costs.decodeOnly
	}
	return cost
}

// jitter returns the relative error that is added to the start delay. For a request with a
// prefix, half of the jitter depends on the prefix and the engine only, so that all daemons
// prefer the same engine for a conversation.
func (p *selection) jitter(c *candidate) float64 {
	own := unit(state.Mix(p.random ^ c.entry.Hash()))
	shared := own
	if p.req.Prefix != 0 {
		shared = unit(state.Mix(p.req.Prefix ^ c.entry.Hash()))
	}
	return p.router.weights.Jitter * (own + shared - 1)
}

// unit maps a hash to [0, 1).
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
