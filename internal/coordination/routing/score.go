package routing

import (
	"github.com/celerydeck/celerydeck/internal/state"
)

// loadingShare is the mean share of a load that is still to come when a request
// meets it.
const loadingShare = 0.5

// replicaPart is the part of its target that a request should rather wait than
// cause a further replica.
const replicaPart = 0.25

// score returns the expected time in seconds until the first token.
func (p *pick) score(c *candidate) float64 {
	w := &p.s.sec
	score := p.wait(c) * (1 + p.jitter(c))
	score += float64(c.position) * w.orderCost
	if c.upstream.Zone != p.req.Zone {
		score += w.zoneCost
	}
	if p.req.Adapter.IsZero() {
		return score
	}
	switch {
	case c.ready:
	case c.loading:
		score += w.loadStall * loadingShare
	case p.anyReady:
		score += w.loadStall + max(w.replicaCost, p.req.FirstTokenTarget.Seconds()*replicaPart)
	default:
		score += w.loadStall
	}
	return score + p.prefill(c)
}

// wait returns the expected wait in seconds behind the work of the upstream.
func (p *pick) wait(c *candidate) float64 {
	u := c.upstream
	since, outstanding := c.entry.SentLoad()
	others := float64(since) * (p.daemons - 1) * p.s.weights.PeerSendShare
	load := float64(u.Running+ahead(u, p.req.Rank)+since) + others
	load = max(load, float64(outstanding))
	batch := float64(max(u.Batch, 1))
	if load < batch {
		return p.s.sec.fullBatch * load / batch
	}
	return p.s.sec.fullBatch + p.service*(load-batch+1)/batch
}

// ahead returns the queued requests that would run before one of the given rank.
func ahead(u *state.Upstream, rank state.Rank) int {
	if len(u.QueuedByRank) == 0 {
		return u.Queued
	}
	n := 0
	for _, queued := range u.QueuedByRank[:min(int(rank)+1, len(u.QueuedByRank))] {
		n += queued
	}
	return n
}

// prefill returns the expected prefill time in seconds.
func (p *pick) prefill(c *candidate) float64 {
	tokens := p.req.PromptTokens
	for _, home := range p.homes {
		if home.Upstream == c.upstream.ID {
			tokens -= min(home.Tokens, tokens)
			break
		}
	}
	cost := float64(tokens) * p.s.sec.tokenCost
	if c.upstream.Role == state.RoleDecode && tokens > 0 {
		cost += p.s.sec.decodeOnly
	}
	return cost
}

// jitter returns the relative error of an expected wait. Half of it follows from
// the prefix, so that daemons send a conversation to the same engine.
func (p *pick) jitter(c *candidate) float64 {
	own := unit(state.Mix(p.random ^ c.entry.Hash()))
	shared := own
	if p.req.Prefix != 0 {
		shared = unit(state.Mix(p.req.Prefix ^ c.entry.Hash()))
	}
	return p.s.weights.Jitter * (own + shared - 1)
}

// unit maps a hash to [0, 1).
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
