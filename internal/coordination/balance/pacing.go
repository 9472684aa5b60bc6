package balance

import (
	"math"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// An engine reads prompts between the steps in which each running request produces a token.
// Many prompts within a short time therefore delay the events of all streams that run there.
// The tracker limits the prompt tokens that all daemons send to one engine within
// recentPeriod: further requests wait at their daemons, or go to another engine. A request
// that waits at its daemon starts hardly later than one that waits at the engine.

const (
	// recentPeriod is the time constant with which sent prompt tokens are forgotten.
	recentPeriod = 150 * time.Millisecond
	// minRecentTokens is the smallest sum of recently sent tokens that is reported to peers.
	minRecentTokens = 32
	// The prompt limit is adapted between minPromptLimit and maxPromptLimit, in tokens for each
	// millisecond of the longest pause that the streams allow. Below the minimum, pauses have
	// other causes. Engines that read prompts in small pieces reach the maximum.
	initialPromptLimit = 14
	minPromptLimit     = 11
	maxPromptLimit     = 64
	// promptLimitDecrease is the factor that a too long pause applies to the tokens sent in it
	// to compute the new prompt limit.
	promptLimitDecrease = 0.85
	// promptLimitIncrease is the relative growth of the prompt limit with each tolerable pause
	// in which nearly as many tokens were sent as the limit allows.
	promptLimitIncrease = 0.01
	// minAdmittedShare is the share of the prompt limit that is left to a prompt that is
	// longer than the limit.
	minAdmittedShare = 0.2

	// slowdownTTL is how long a reported slowdown is valid. Engines share their machines with
	// other work, which comes and goes within a second.
	slowdownTTL = 400 * time.Millisecond
	// stepShare is the share of the longest pause that the steps of an engine take without
	// prompts.
	stepShare = 0.15

	// minHold and maxHold limit the time between two attempts to admit a request.
	minHold = 5 * time.Millisecond
	maxHold = 40 * time.Millisecond
)

// recentTokens is an exponentially decaying sum of tokens.
type recentTokens struct {
	sum       float64
	updatedAt time.Time
}

// at returns the sum at a time not before the last update.
func (s recentTokens) at(now time.Time) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-float64(now.Sub(s.updatedAt))/float64(recentPeriod))
}

// AddRecentTokens counts prompt tokens that were just sent to an engine.
func (t *Tracker) AddRecentTokens(now time.Time, id state.UpstreamID, tokens int) {
	t.recent[id] = recentTokens{sum: t.recent[id].at(now) + float64(tokens), updatedAt: now}
}

// RecentTokens returns the prompt tokens that this daemon and its peers have sent to an engine
// within about recentPeriod.
func (t *Tracker) RecentTokens(now time.Time, id state.UpstreamID) int {
	t.expirePeers(now)
	return int(t.recent[id].at(now)) + t.peerSums[id].RecentTokens
}

// ReportRecentTokens sets whether the reports for peers contain the recently sent tokens.
func (t *Tracker) ReportRecentTokens(on bool) { t.reportRecent = on }

// promptLimit is the limit of the prompt tokens sent recently to an engine of a service.
type promptLimit struct {
	tokens float64
	goal   time.Duration // longest pause that the streams allow
}

// waiter is a request of this daemon that waits until an engine may be sent its prompt.
type waiter struct {
	ticket  uint64
	startBy time.Time
	tokens  int
}

// isBefore reports whether a waiter is admitted before a request.
func (w waiter) isBefore(r *Request) bool {
	if !w.startBy.Equal(r.StartBy) {
		return w.startBy.Before(r.StartBy)
	}
	return w.ticket < r.Ticket
}

// waitingTokens returns the prompt tokens of the requests that are admitted at an engine
// before a request.
func (t *Tracker) waitingTokens(id state.UpstreamID, r *Request) int {
	sum := 0
	for _, w := range t.waiters[id] {
		if w.isBefore(r) {
			sum += w.tokens
		}
	}
	return sum
}

// startDelay returns how long a request must wait at this daemon before it may be sent to an
// upstream.
func (t *Tracker) startDelay(now time.Time, u *upstreams.Upstream, r *Request) time.Duration {
	return max(t.holdTime(now, u, r), t.rateWait(now, u.ID, r))
}

// holdTime returns how long a request must wait before its prompt may be sent to an engine. It
// is zero if the prompt may be sent now.
func (t *Tracker) holdTime(now time.Time, u *upstreams.Upstream, r *Request) time.Duration {
	limit := t.limits[u.Service]
	if limit == nil || r.TokensIn == 0 || r.IsScheduled {
		return 0
	}
	tokens := limit.tokens * t.slowdownFactor(now, u.ID)
	sent := float64(t.RecentTokens(now, u.ID) + t.waitingTokens(u.ID, r))
	room := max(tokens-float64(r.TokensIn), minAdmittedShare*tokens)
	if sent <= room {
		return 0
	}
	return time.Duration(math.Log(sent/room) * float64(recentPeriod))
}

// Admit counts a request like Begin if it may be sent to an upstream now, and returns zero.
// Otherwise it records that the request waits for this upstream, and for no other one, and
// returns the time until the next attempt. Requests are admitted in the order of StartBy.
func (t *Tracker) Admit(now time.Time, u *upstreams.Upstream, r Request) time.Duration {
	wait := min(t.holdTime(now, u, &r), maxHold)
	wait = max(wait, min(t.rateWait(now, u.ID, &r), maxRateHold))
	if t.overfills(now, u, t.memory[u.Service], &r) {
		wait = maxHold
	}
	t.Withdraw(r)
	if wait == 0 {
		t.Begin(now, u.ID, r)
		t.takeToken(u.ID)
		return 0
	}
	t.waiters[u.ID] = append(t.waiters[u.ID], waiter{r.Ticket, r.StartBy, r.TokensIn})
	t.waitsFor[r.Ticket] = u.ID
	return max(wait, minHold)
}

// Withdraw forgets that a request waits for an engine, if it does.
func (t *Tracker) Withdraw(r Request) {
	id, ok := t.waitsFor[r.Ticket]
	if !ok {
		return
	}
	delete(t.waitsFor, r.Ticket)
	t.waiters[id] = slices.DeleteFunc(t.waiters[id], func(w waiter) bool { return w.ticket == r.Ticket })
	if len(t.waiters[id]) == 0 {
		delete(t.waiters, id)
	}
}

// ObservePause adapts the prompt limit of a service to a pause between two events of a stream
// at one of its engines. goal is the longest pause that the stream allows.
func (t *Tracker) ObservePause(now time.Time, u *upstreams.Upstream, pause, goal time.Duration) {
	if goal <= 0 {
		return
	}
	ms := float64(goal.Milliseconds())
	limit := t.limits[u.Service]
	if limit == nil || goal < limit.goal {
		limit = &promptLimit{tokens: initialPromptLimit * ms, goal: goal}
		t.limits[u.Service] = limit
	}
	if goal > limit.goal {
		return
	}
	sent := float64(t.RecentTokens(now, u.ID))
	switch {
	case pause > goal && sent > minPromptLimit*ms:
		limit.tokens = max(min(limit.tokens, promptLimitDecrease*sent), minPromptLimit*ms)
	case pause <= goal && sent > promptLimitDecrease*limit.tokens:
		limit.tokens = min(limit.tokens*(1+promptLimitIncrease), maxPromptLimit*ms)
	}
}

// PromptLimit returns the prompt limit of a service in tokens, or zero if there is none.
func (t *Tracker) PromptLimit(service string) int {
	if limit := t.limits[service]; limit != nil {
		return int(limit.tokens)
	}
	return 0
}

// SetSlowdown records how long work takes at an engine at present, relative to the usual time.
func (t *Tracker) SetSlowdown(now time.Time, id state.UpstreamID, slowdown float64) {
	h := t.healthOf(id)
	h.slowdown, h.slowdownAt = slowdown, now
}

// Slowdown returns how long work takes at an engine at present, relative to the usual time. It
// is 1 without a recent report.
func (t *Tracker) Slowdown(now time.Time, id state.UpstreamID) float64 {
	if h := t.health[id]; h != nil && now.Sub(h.slowdownAt) < slowdownTTL {
		return max(1, h.slowdown)
	}
	return 1
}

// slowdownFactor returns the share of the prompt limit that applies to an engine that is slow
// at present: what remains of the longest pause after the steps without prompts, which are
// slowed as well.
func (t *Tracker) slowdownFactor(now time.Time, id state.UpstreamID) float64 {
	return max(minAdmittedShare, (1/t.Slowdown(now, id)-stepShare)/(1-stepShare))
}

// readTime estimates how long an engine reads a number of prompt tokens.
func (t *Tracker) readTime(id state.UpstreamID, tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMS * t.healthOf(id).latencyRatio * float64(time.Millisecond))
}
