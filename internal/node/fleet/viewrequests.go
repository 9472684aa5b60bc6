package fleet

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Admit counts a request that is about to be sent to an upstream, and the request's use of an
// adapter. It counts neither if the upstream has no room for the request's prompt, and then
// returns the time until the next attempt.
func (v *View) Admit(u *upstreams.Upstream, r balance.Request, a upstreams.Adapter) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if wait := v.tracker.Admit(v.opts.Clock(), u, r); wait > 0 {
		return wait
	}
	if a.Name != "" {
		v.adapterRequests[engineAdapter{u.ID, a}]++
	}
	if v.promptNotices && r.TokensIn > 0 {
		if v.notice.Tokens == nil {
			v.notice.Tokens = make(map[state.UpstreamID]int)
		}
		v.notice.Tokens[u.ID] += r.TokensIn
		v.signalNotice()
	}
	return 0
}

// MeanStreamTime returns the mean time of streams from the first event to the last one.
func (v *View) MeanStreamTime() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.MeanStreamTime()
}

// SetPromptNotices sets whether the daemons notify each other of each prompt. Otherwise the
// prompts are part of the reports of requests in flight.
func (v *View) SetPromptNotices(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.promptNotices = on
	v.tracker.ReportRecentTokens(!on)
}

// signalNotice signals that there is a notice for the peers. The caller holds the lock.
func (v *View) signalNotice() {
	select {
	case v.noticePending <- struct{}{}:
	default:
	}
}

// NoticePending returns a channel with an element if there is a notice for DrainNotice.
func (v *View) NoticePending() <-chan struct{} { return v.noticePending }

// DrainNotice returns and removes the notice that is not yet sent to the peers.
func (v *View) DrainNotice() protocol.PromptNotice {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.notice
	v.notice = protocol.PromptNotice{}
	return out
}

// ApplyNotice applies a peer's notice.
func (v *View) ApplyNotice(n *protocol.PromptNotice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	for id, tokens := range n.Tokens {
		v.tracker.AddRecentTokens(now, id, tokens)
	}
	for id, slowdown := range n.Slowdowns {
		v.tracker.SetSlowdown(now, id, slowdown)
	}
}

// SetReportedLoad sets the load that an upstream reported. If the upstream is or was slow,
// the peers are notified of it.
func (v *View) SetReportedLoad(id state.UpstreamID, l balance.ReportedLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	before := v.tracker.Slowdown(now, id)
	v.tracker.SetReportedLoad(now, id, l)
	if !v.promptNotices || max(before, l.Slowdown) <= 1 {
		return
	}
	if v.notice.Slowdowns == nil {
		v.notice.Slowdowns = make(map[state.UpstreamID]float64)
	}
	v.notice.Slowdowns[id] = l.Slowdown
	v.signalNotice()
}

// End removes a request that Admit counted; hadFirstEvent is whether the
// first event of the response was received.
func (v *View) End(id state.UpstreamID, r balance.Request, a upstreams.Adapter, hadFirstEvent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.End(id, r, hadFirstEvent)
	if a.Name == "" {
		return
	}
	key := engineAdapter{id, a}
	if v.adapterRequests[key]--; v.adapterRequests[key] <= 0 {
		delete(v.adapterRequests, key)
		v.newlyUsed[id] = append(v.newlyUsed[id], a) // the next round of gossip reports the use once more
	}
}

// RecordMiss records that an engine rejected a request because it did not have an adapter.
func (v *View) RecordMiss(id state.UpstreamID, a upstreams.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.missedAt[engineAdapter{id, a}] = v.opts.Clock()
	v.newlyMissing[id] = append(v.newlyMissing[id], a)
}

// RecordOverdueLoad records that an engine still does not have an adapter after the
// estimated end of its load.
func (v *View) RecordOverdueLoad(id state.UpstreamID, a upstreams.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newlyMissing[id] = append(v.newlyMissing[id], a)
}
