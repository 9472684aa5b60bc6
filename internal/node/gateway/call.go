package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// call is a caller's request with the state of its processing.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context // ends when the caller leaves or with EndAll
	arrival time.Time

	meta       Metadata
	route      *routes.Route
	account    *accounts.Account // nil on public routes, and if the configuration has no accounts
	credential credential
	precedence routes.Precedence
	service    string
	engine     *routes.EngineSpec
	body       []byte
	traits     []quarantine.Trait
	deadline   time.Time
	request    balance.Request

	pacing  pacingState
	isTrial bool // admitted as a trial of refused prompt parts
	sends   int  // attempts that got a connection to an upstream
	runs    int  // attempts in which the request may have run
	// usedConns are the connections that carried an attempt. A response is matched by the request
	// ID, so on these connections a delayed copy of the response to that attempt could be taken
	// for the response to another attempt.
	usedConns       []*httpconn.Conn
	excluded        map[state.UpstreamID]bool // upstreams that are not to be chosen again
	failedLoads     int                       // load requests that were refused
	retryTaken      atomic.Bool               // the next retry was already taken from the budget
	responseStarted bool                      // the response headers were written
	cannotResume    atomic.Bool               // the caller has an event without an ID, which a further attempt would repeat
	streamHead      streamHead                // of the response that was begun, if it is a stream
	lastWrite       time.Time                 // when an event was last written to the caller
	longestPause    time.Duration             // between two events written to the caller
	longestPauseAt  state.UpstreamID          // the upstream that sent the event after the longest pause
	lastEvent       int                       // last event that the caller has, -1 for none
	placement       fleet.Placement           // the last choice of an upstream
	config          *fleet.ConfigInForce      // that decided about the request, at first the one at its arrival
	upstream        state.UpstreamID          // of the last attempt
	attempt         *exchange                 // the last attempt that got a connection
	loadingAt       state.UpstreamID          // where the request waited for a load
	earlyRejections int                       // rejections by the engine loadingAt
	firstEventDelay time.Duration             // from the arrival to the first event
	loadWait        time.Duration             // total wait for loads
	hold            time.Duration             // wait for room for the prompt at an engine
	holdTime        time.Duration             // sum of these waits
	quota           quotaUse
	hedged          *hedgedSend // the send in progress, if it may be hedged
}

// setDeadline computes the deadline from the route's timeout and the time that the caller
// allows.
func (c *call) setDeadline() {
	wait := c.route.Timeout
	if c.meta.Deadline > 0 && (wait <= 0 || c.meta.Deadline < wait) {
		wait = c.meta.Deadline
	}
	c.deadline = c.arrival.Add(wait)
}

// readBody reads the whole body, so that the body can be sent more than once. It returns false
// if it has refused the request. It closes the connection if the body breaks off or does not
// arrive by the deadline.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline) // a closed connection fails the read
	memory := c.memoryFor(c.g.opts.Bodies)
	body, err := memory.read(c.r.Body, c.r.ContentLength, limit)
	switch {
	case errors.Is(err, errBodyTooLong):
		c.respond(http.StatusRequestEntityTooLarge, decisionlog.BodyTooLarge)
		return false
	case errors.Is(err, errBodyMemory):
		c.refuse(decisionlog.BodyMemoryExhausted, noConfigRetryAfter)
		return false
	case memory.conn.WasAborted(): // counted there
		panic(http.ErrAbortHandler)
	case err != nil:
		c.g.opts.Log.Event("request body broke off", slog.String("request", c.meta.RequestID), slog.String("err", err.Error()))
		panic(http.ErrAbortHandler)
	}
	// After a failure the read deadline stays, as net/http reads the rest of the body.
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return true
}

// prepare chooses the service and its engine specification, and computes the traits and the
// description of the request for the balancer.
func (c *call) prepare(table *routes.Table) {
	h := xxhash.New()
	_, _ = h.WriteString(c.r.Host)
	_, _ = h.WriteString(c.r.RequestURI)
	_, _ = h.Write(c.body)
	c.traits = append(c.traits, quarantine.Trait{Kind: quarantine.Content, ID: h.Sum64()})
	c.meta.SharedParts = withoutRepeats(c.meta.SharedParts)
	c.traits = slices.Grow(c.traits, len(c.meta.SharedParts))
	for _, id := range c.meta.SharedParts {
		c.traits = append(c.traits, quarantine.Trait{Kind: quarantine.PromptPart, ID: id})
	}
	c.service = c.route.Pick(float64(xxhash.Sum64String(c.meta.RequestID)>>11) / (1 << 53))
	c.engine = table.Config.Services[c.service].Engine
	c.lastEvent = c.meta.LastEvent
	c.precedence = table.Precedence(c.account, c.route)
	c.request = balance.Request{Rank: c.precedence.Rank, IsStream: c.route.Kind == routes.Stream, Ticket: c.g.tickets.Add(1)}
	c.request.TokensIn, c.request.TokensOut = c.plausibleTokens(c.meta.TokensIn), c.plausibleTokens(c.meta.TokensOut)
	// Less urgent ranks yield to more urgent ones that arrive somewhat later.
	c.request.StartBy = c.arrival.Add(c.route.Goal * time.Duration(2+c.precedence.Rank) / 2)
	c.excluded = make(map[state.UpstreamID]bool)
}

// withoutRepeats returns a list with only the first of equal IDs.
func withoutRepeats(list []uint64) []uint64 {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if len(sorted) == len(list) { // as nearly always
		return list
	}
	seen := make(map[uint64]bool, len(sorted))
	kept := make([]uint64, 0, len(sorted))
	for _, id := range list {
		if !seen[id] {
			seen[id] = true
			kept = append(kept, id)
		}
	}
	return kept
}

// plausibleTokens bounds a number of tokens that the caller names by the memory of an engine. A false
// number could otherwise keep the requests of others from the engine.
func (c *call) plausibleTokens(n int) int {
	if c.engine != nil && c.engine.KVTokens > 0 {
		n = min(n, c.engine.KVTokens)
	}
	return max(n, 0)
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return c.deadline.Sub(c.g.opts.Clock()) }

// abandonAfter returns the estimated pause after which callers abandon a stream.
func (c *call) abandonAfter() time.Duration {
	return max(2*time.Second, 4*c.route.Goal, 8*c.route.GapGoal)
}

// timeToObjective returns the time until the request misses its latency objective. It is
// negative if the request has missed the objective.
func (c *call) timeToObjective() time.Duration {
	return c.route.Goal - c.g.opts.Clock().Sub(c.arrival)
}

// firstEventAfterLoad estimates the time from the end of a load to the first event.
const firstEventAfterLoad = 100 * time.Millisecond

// timeToAbandon returns the estimated time until the caller abandons a paused stream, less a
// margin.
func (c *call) timeToAbandon() time.Duration {
	return c.abandonAfter()*9/10 - c.g.opts.Clock().Sub(c.lastWrite)
}

// limits returns the limits for the next placement of the request.
func (c *call) limits() balance.Limits {
	elapsed := c.g.opts.Clock().Sub(c.arrival)
	if c.route.Kind != routes.Stream {
		return balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: c.timeLeft() * 7 / 10}
	}
	if c.responseStarted { // a resumed stream must continue before the caller abandons it
		return balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: min(max(c.timeToAbandon(), c.route.Goal), c.timeLeft()*7/10)}
	}
	latest := max(c.route.Goal, c.abandonAfter()*6/10)
	return balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: min(latest-elapsed, c.timeLeft()*7/10)}
}

// placementRequest returns the description of the request for the next placement.
func (c *call) placementRequest() fleet.PlacementRequest {
	return fleet.PlacementRequest{
		Service: c.service, Engine: c.engine, Request: c.request, Adapter: c.meta.Adapter, Limits: c.fairLimits(c.limits()), TimeLeft: c.timeLeft(),
		Excluded: func(id state.UpstreamID) bool { return c.excluded[id] || c.isFull(id) },
	}
}

// serve sends the request to upstreams until a complete response has been forwarded, no further
// attempt is possible, or the caller has left. It also starts replications and notices of use
// that the choice of an upstream asks for.
func (c *call) serve() {
	defer c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.Withdraw(c.request) })
	defer c.returnQuota()
	for {
		if c.hasCallerLeft() {
			c.logOutcome(decisionlog.CallerLeft, 0)
			return
		}
		if c.refuseRevoked() {
			return
		}
		if c.ctx.Err() != nil {
			c.endWithDaemon()
			return
		}
		if c.refuseWaitingWhileLeaving() {
			return
		}
		if c.timeLeft() < minTimeLeft {
			c.fail(decisionlog.Deadline)
			return
		}
		// The request may have waited since the last check, or may itself have crashed an upstream.
		if c.refuseQuarantined() {
			return
		}
		if !c.takeQuota() {
			return
		}
		placement := c.g.opts.View.Choose(c.placementRequest())
		c.placement = placement
		if placement.ReplicateTo != nil && c.g.opts.View.AllowReplication(c.meta.Adapter) {
			go c.g.replicate(placement.ReplicateTo.ID, c.meta.Adapter, placement.Version)
		}
		if placement.Upstream == nil && c.retryFull() {
			continue
		}
		if placement.Upstream == nil && c.responseStarted {
			clear(c.excluded)
			c.sleep(resumeRetryInterval)
			continue
		}
		if placement.Upstream == nil {
			c.recordNoRoom()
			c.failWithRetryAfter(placement.Reason, placement.RetryAfter)
			return
		}
		if c.sends > 0 && !c.retryTaken.Swap(false) && !c.g.opts.View.TakeRetry(c.service) {
			if c.responseStarted {
				c.sleep(resumeRetryInterval)
				continue
			}
			c.fail(decisionlog.RetryBudget)
			return
		}
		if placement.AnnounceUse {
			go c.g.announceUse(placement.Upstream.ID, c.meta.Adapter)
		}
		if !c.awaitLoad(&placement) {
			if c.failedLoads >= maxLoadRequests && !c.responseStarted {
				c.failWithRetryAfter(decisionlog.LoadNotOrdered, balance.NoEngineRetryAfter)
				return
			}
			c.retryTaken.Store(c.sends > 0)
			continue
		}
		switch c.awaitReservation(placement) {
		case promptHasNoRoom:
			return
		case promptRefused:
			c.retryTaken.Store(c.sends > 0)
			continue
		}
		if c.refuseQuarantined() || c.refuseRevoked() { // the request may have waited for a load or for its turn
			return
		}
		if c.hasLeft(placement) {
			c.retryTaken.Store(c.sends > 0)
			continue
		}
		switch c.sendHedged(placement) {
		case delivered:
			c.quota.isSpent = true
			return
		case held:
			c.retryTaken.Store(c.sends > 0)
			c.holdTime += c.hold
			c.sleep(min(c.hold, max(0, c.timeLeft()-minTimeLeft)))
		case notRun:
			if c.ctx.Err() != nil || c.sends < maxSends {
				continue
			}
			if !c.responseStarted {
				c.fail(decisionlog.Rejected)
				return
			}
			c.sleep(resumeRetryInterval)
		case broken:
			if c.ctx.Err() == nil && !c.mayRunAgain() {
				c.fail(decisionlog.UpstreamDisconnected)
				return
			}
			c.isTrial = false // the trial has ended
		}
	}
}

// mayRunAgain reports whether a request whose last attempt broke off may be sent to another upstream.
func (c *call) mayRunAgain() bool {
	return c.route.Repeatable() && c.runs < c.route.Attempts && !c.cannotResume.Load()
}

// maxSends is the number of attempts after which a request that an upstream rejects is not
// sent again, unless it is a stream that the caller is receiving.
const maxSends = 4

// resumeRetryInterval is the pause between attempts to resume a broken stream. The attempts
// continue until the deadline: the caller decides how long it waits for the stream.
const resumeRetryInterval = 100 * time.Millisecond

// maxLoadRequests is the maximum number of refused load requests for one request of a caller.
const maxLoadRequests = 4
