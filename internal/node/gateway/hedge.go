package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/hedge"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Results of hedges, and reasons for which none was sent beside those of hedge.Verdict.
const (
	hedgeWon     = "won"    // the response of the second attempt was passed on
	hedgeLost    = "lost"   // the response of the first attempt was passed on
	hedgeFailed  = "failed" // neither
	noUpstream   = "upstream"
	noRetry      = "retry budget"
	notHedgeable = "request" // the request, its configuration or the daemon has changed
)

// HedgeMetrics counts hedges. It is safe for concurrent use.
type HedgeMetrics interface {
	// Hedge counts a hedge. cancelled is whether the attempt that lost was reset before its whole
	// response was received, and wasted is how long it was open.
	Hedge(route, result string, cancelled bool, wasted time.Duration)
	// HedgeSkipped counts a request that was due to be hedged and was not.
	HedgeSkipped(route, reason string)
}

// hedger shares the policy of a daemon's hedges among its requests. A nil hedger sends none.
type hedger struct {
	mu     sync.Mutex
	policy *hedge.Policy
}

func newHedger(limits hedge.Limits, clock func() time.Time) *hedger {
	if limits.Share <= 0 {
		return nil
	}
	return &hedger{policy: hedge.New(limits, clock())}
}

// with calls a function with the policy, under the lock.
func (h *hedger) with(do func(p *hedge.Policy)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do(h.policy)
}

// mayHedge reports whether the next attempt of the request may be hedged.
func (c *call) mayHedge() bool {
	return c.g.hedger != nil && c.route.Kind == routes.Idempotent && c.engine == nil && c.route.Attempts >= 2 &&
		c.sends == 0 && c.runs == 0 && !c.isTrial
}

// recordNoRoom records that no upstream has room for a request that might be hedged.
func (c *call) recordNoRoom() {
	if c.g.hedger != nil && c.route.Kind == routes.Idempotent && c.engine == nil {
		now := c.g.opts.Clock()
		c.g.hedger.with(func(p *hedge.Policy) { p.RecordRefusal(now) })
	}
}

// attempt is the state of one of the two attempts of a hedged send.
type attempt struct {
	call    *call
	isOpen  bool
	beganAt time.Time
	runs    int // valid if the attempt was made and is not open
	cancel  context.CancelFunc
}

// hedgedSend is a send that may be hedged. The first attempt is made by the call of the request on
// its goroutine. The second one is made by a call of its own, so that the two share only this
// struct and, once one of them has won, the caller's http.ResponseWriter. A nil hedgedSend stands
// for a send that is not hedged.
type hedgedSend struct {
	ctx     context.Context // of the request
	c       *call           // only fields that do not change during a send are read by the second attempt
	request fleet.PlacementRequest
	addr    string // of the first upstream
	delay   time.Duration
	done    chan struct{} // closed when the second attempt has ended or was not made
	outcome outcome       // of the second attempt, valid once done is closed

	mu            sync.Mutex
	first, second attempt
	hasMoved      bool // the first attempt was given up for another upstream
	winner        *call
	wonAt         time.Time
	wasted        time.Duration // how long the loser was open when the other attempt won
	hasLateAnswer bool          // the loser received its whole response all the same
}

// sendHedged sends the request like send. It sends the request to a second upstream, too, if the
// first one takes long and the policy allows it.
func (c *call) sendHedged(placement fleet.Placement) outcome {
	if !c.mayHedge() {
		return c.send(placement)
	}
	kind := hedge.Kind{Route: c.route.Name, Service: c.service}
	h := &hedgedSend{ctx: c.ctx, c: c, addr: placement.Upstream.Addr, done: make(chan struct{})}
	h.request = c.placementRequest()
	first, excluded := placement.Upstream.ID, maps.Clone(c.excluded)
	h.request.Excluded = func(id state.UpstreamID) bool { return id == first || excluded[id] }
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	h.first = attempt{call: c, isOpen: true, beganAt: c.g.opts.Clock(), cancel: cancel}
	c.ctx, c.hedged = ctx, h
	defer func() { c.ctx, c.hedged = h.ctx, nil }()

	var hasDelay bool
	c.g.hedger.with(func(p *hedge.Policy) { h.delay, hasDelay = p.Delay(h.first.beganAt, kind) })
	var timer *time.Timer
	if hasDelay {
		timer = time.AfterFunc(h.delay, h.sendSecond)
	}
	out := c.send(placement)
	h.end(c)
	if timer != nil && !timer.Stop() {
		<-h.done
		out = h.merge(out)
	}
	h.observe(kind, out, hasDelay)
	return out
}

// observe records what the attempts tell of response times and of room.
func (h *hedgedSend) observe(kind hedge.Kind, out outcome, hasDelay bool) {
	if out == held {
		return
	}
	c := h.c
	now := c.g.opts.Clock()
	took, isKnown := h.wonAt.Sub(h.first.beganAt), h.winner != nil
	if !isKnown && out == broken && hasDelay {
		// Without the attempts that got no response, the delay would not follow lost responses.
		took = now.Sub(h.first.beganAt)
		isKnown = took > h.delay
	}
	c.g.hedger.with(func(p *hedge.Policy) {
		p.RecordRequest(now)
		if isKnown {
			p.Observe(now, kind, took)
		}
		if out == notRun && c.sends > 0 {
			p.RecordRefusal(now)
		}
	})
}

// sendSecond makes the second attempt, if the first one is still open.
func (h *hedgedSend) sendSecond() {
	defer close(h.done)
	c := h.c
	placement, reason := h.place()
	if reason != "" {
		if reason != hedgeLost {
			c.g.opts.HedgeMetrics.HedgeSkipped(c.route.Name, reason)
		}
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	second := &call{
		g: c.g, w: c.w, r: c.r, ctx: ctx, arrival: c.arrival, meta: c.meta, route: c.route, account: c.account, credential: c.credential,
		precedence: c.precedence, service: c.service, engine: c.engine, body: c.body, traits: c.traits, deadline: c.deadline, request: h.request.Request,
		sends: 1, excluded: make(map[state.UpstreamID]bool), lastEvent: c.lastEvent, placement: placement, config: c.config, hedged: h,
	}
	if !h.openSecond(second, cancel) {
		c.g.hedger.with(func(p *hedge.Policy) { p.Return() })
		return
	}
	h.outcome = second.send(placement)
	h.end(second)
	if h.outcome == held {
		c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.Withdraw(h.request.Request) })
	}
}

// place chooses the upstream of the second attempt, and takes a hedge from the policy and a retry
// from the budget. It returns a reason if there is to be no second attempt.
func (h *hedgedSend) place() (placement fleet.Placement, reason string) {
	c, view := h.c, h.c.g.opts.View
	if !h.isFirstOpen() {
		return placement, hedgeLost
	}
	_, isLeaving := c.g.endBy()
	if isLeaving || h.ctx.Err() != nil || c.timeLeft() < 2*minTimeLeft || view.Table().Config.Version != c.credential.checkedIn || view.IsQuarantined(c.traits) {
		return placement, notHedgeable
	}
	fill, failed := view.HedgeState(c.service)
	var verdict hedge.Verdict
	now := c.g.opts.Clock()
	c.g.hedger.with(func(p *hedge.Policy) { verdict = p.Take(now, fill) })
	if verdict != hedge.Allowed {
		return placement, string(verdict)
	}
	req := h.request
	req.Limits = balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: min(c.route.Goal, c.timeLeft())}
	req.Excluded = func(id state.UpstreamID) bool { return failed[id] || h.request.Excluded(id) }
	placement = view.Choose(req)
	u := placement.Upstream
	switch {
	case u == nil || u.Addr == h.addr || placement.Load || placement.ReadyIn > 0:
		reason = noUpstream
	case !view.TakeRetry(c.service):
		reason = noRetry
	default:
		return placement, ""
	}
	c.g.hedger.with(func(p *hedge.Policy) { p.Return() })
	return placement, reason
}

func (h *hedgedSend) isFirstOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.first.isOpen && h.winner == nil && !h.hasMoved
}

// openSecond begins the second attempt. It returns false if the first one no longer waits for its
// response.
func (h *hedgedSend) openSecond(second *call, cancel context.CancelFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.first.isOpen || h.winner != nil || h.hasMoved {
		return false
	}
	h.second = attempt{call: second, isOpen: true, beganAt: h.c.g.opts.Clock(), cancel: cancel}
	return true
}

// attempts returns the attempt that a call makes, and the other one. The caller holds h.mu.
func (h *hedgedSend) attempts(c *call) (own, other *attempt) {
	if c == h.c {
		return &h.first, &h.second
	}
	return &h.second, &h.first
}

// end records the end of an attempt. Only the goroutine of the attempt calls it.
func (h *hedgedSend) end(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own, _ := h.attempts(c)
	own.isOpen, own.runs = false, c.runs
}

// claim is what an attempt may do with a whole response.
type claim uint8

const (
	claimWon   claim = iota // pass it on
	claimYield              // leave the request to the other attempt
	claimLost               // nothing: the other attempt has won
)

// claim decides what an attempt may do with its whole response, before anything of it is recorded
// or written to the caller. If the attempt wins, claim ends the other one.
func (h *hedgedSend) claim(c *call, status int) claim {
	if h == nil {
		return claimWon
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	own, other := h.attempts(c)
	switch {
	case h.winner != nil:
		h.hasLateAnswer = true
		return claimLost
	case status >= http.StatusInternalServerError && other.isOpen:
		own.isOpen, own.runs = false, c.runs+1
		return claimYield
	case status >= http.StatusInternalServerError:
		own.isOpen, own.runs = false, c.runs+1 // no second attempt begins now
		return claimWon
	}
	h.winner, h.wonAt = c, h.c.g.opts.Clock()
	if other.isOpen {
		h.wasted = h.wonAt.Sub(other.beganAt)
		// The loser must find its context ended when it finds that it has lost.
		other.cancel()
	}
	return claimWon
}

// otherRuns returns how often the request may have run in the other attempt, if it was made.
func (h *hedgedSend) otherRuns(c *call) int {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, other := h.attempts(c)
	return other.mayHaveRun()
}

func (a *attempt) mayHaveRun() int {
	if a.isOpen {
		return 1
	}
	return a.runs
}

// mayMove reports whether an attempt may be given up for another upstream: while two attempts are
// open there is no third one.
func (h *hedgedSend) mayMove(c *call) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLastOpen(c)
}

// isLastOpen reports whether only this attempt is open, and the route allows a further one. The
// caller holds h.mu.
func (h *hedgedSend) isLastOpen(c *call) bool {
	_, other := h.attempts(c)
	return h.winner == nil && !other.isOpen && other.runs+2 <= c.route.Attempts
}

// move gives an attempt up for another upstream, unless mayMove has become false.
func (h *hedgedSend) move(c *call) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isLastOpen(c) {
		h.hasMoved = true
		return true
	}
	return false
}

// merge adds the second attempt to the call of the request, and returns the outcome of both.
func (h *hedgedSend) merge(out outcome) outcome {
	c, s := h.c, h.second.call
	if s == nil {
		return out
	}
	if c.sends == 0 && s.sends > 1 {
		c.g.opts.View.CountRequest(c.service) // the first attempt got no connection
	}
	c.sends += s.sends - 1
	c.runs += s.runs
	c.usedConns = append(c.usedConns, s.usedConns...)
	maps.Copy(c.excluded, s.excluded)
	if s.retryTaken.Load() {
		c.retryTaken.Store(true)
	}
	result, firstUpstream := hedgeFailed, c.upstream
	switch {
	case out == delivered:
		result = hedgeLost
	case h.outcome == delivered:
		result, out = hedgeWon, delivered
		c.upstream, c.attempt, c.placement = s.upstream, s.attempt, s.placement
	case out == broken || h.outcome == broken:
		out = broken
	default:
		out = notRun
	}
	if h.wasted > 0 {
		loser := firstUpstream
		if h.winner == c {
			loser = s.upstream
		}
		c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.ObserveServiceTimeAtLeast(loser, h.wasted) })
	}
	isCancelled := h.wasted > 0 && !h.hasLateAnswer
	c.g.opts.HedgeMetrics.Hedge(c.route.Name, result, isCancelled, h.wasted)
	c.g.opts.Log.Event("hedge", slog.String(decisionlog.KeyRequest, c.meta.RequestID), slog.String("route", c.route.Name),
		slog.String("peer", string(firstUpstream)), slog.String("upstream", string(s.upstream)), slog.String("result", result),
		slog.Duration("after", h.delay), slog.Bool("cancelled", isCancelled), slog.Duration("wasted", h.wasted))
	return out
}
