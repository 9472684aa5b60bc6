package gateway

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

// fail ends a request like failWithRetryAfter, with defaultRetryAfter.
func (c *call) fail(reason string) { c.failWithRetryAfter(reason, defaultRetryAfter) }

// defaultRetryAfter is the Retry-After if there is no better estimate.
const defaultRetryAfter = 250 * time.Millisecond

// failWithRetryAfter ends a request without a complete response. If the response has started,
// it closes the connection to the caller. Otherwise the status shows whether the request may
// have run; the Retry-After is sent only if the request has not run.
func (c *call) failWithRetryAfter(reason string, retryAfter time.Duration) {
	switch {
	case c.responseStarted:
		c.logOutcome(reason, -1)
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(reason, retryAfter)
	case c.timeLeft() < minTimeLeft:
		c.respond(http.StatusGatewayTimeout, reason)
	default:
		c.respond(http.StatusBadGateway, reason)
	}
}

// refuse responds with a Retry-After to a request that has not run and will not run.
func (c *call) refuse(reason string, retryAfter time.Duration) {
	c.g.opts.HeaderCodec.EncodeRefusal(c.w.Header(), retryAfter)
	c.respond(http.StatusServiceUnavailable, reason)
}

// respond sends a response of the gateway itself and logs the outcome.
func (c *call) respond(status int, reason string) {
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1)) // the response may be flushed before it ends
	c.w.Header().Set("X-Celerydeck-Reason", reason)
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // the caller may have left
	if c.credential.isRequired {
		c.g.opts.Metrics.AccountRefused(c.accountName(), reason)
	}
	c.logOutcome(reason, status)
}

// accountName returns the name of the caller's account, or "" if there is none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// isStalled reports whether the stream had a longer pause than its route allows.
func (c *call) isStalled() bool {
	return c.route != nil && c.route.GapGoal > 0 && c.longestPause > c.route.GapGoal
}

// logOutcome logs and counts the outcome of a request. Status 0 means that the caller left without a
// response, -1 that the response broke off.
func (c *call) logOutcome(outcome string, status int) {
	now := c.g.opts.Clock()
	took := now.Sub(c.arrival)
	var pause time.Duration
	if !c.lastWrite.IsZero() {
		pause = now.Sub(c.lastWrite)
	}
	routeName := ""
	if c.route != nil {
		routeName = c.route.Name
	}
	c.g.opts.Metrics.Request(routeName, outcome, took)
	if !c.lastWrite.IsZero() {
		c.g.opts.Metrics.LongestPause(routeName, c.longestPause)
	}
	conn := fateNone
	if c.attempt != nil {
		conn = c.attempt.connFate()
	}
	basis := c.g.opts.View.ConfigBasis(c.config)
	attrs := append(basis.Attrs(), slog.Uint64("account_config", c.credential.checkedIn))
	attrs = append(attrs, c.versionAttrs()...)
	c.g.opts.Log.Request(
		decisionlog.End{Request: c.meta.RequestID, Route: routeName, Outcome: outcome, Answered: status >= 200 && status < 300},
		append(attrs, slog.String("account", c.accountName()), slog.String("key", c.credential.fingerprint()), slog.String("service", c.service), slog.String("adapter", c.meta.Adapter.String()), slog.Int("status", status),
			slog.Int("sends", c.sends), slog.Int("runs", c.runs), slog.String("upstream", string(c.upstream)), slog.String("conn", conn.String()),
			slog.Duration("took", took), slog.Duration("first", c.firstEventDelay), slog.Duration("load_wait", c.loadWait),
			slog.Duration("estimate", c.placement.Estimate), slog.Duration("list_age", c.placement.ListAge),
			slog.Duration("held_age", c.placement.ResidencyAge),
			slog.Int("candidates", c.placement.Candidates), slog.Int("full", c.placement.AtCapacity), slog.Int("far", c.placement.NotPreferred), slog.Int("last_event", c.lastEvent), slog.Duration("pause", pause),
			slog.Duration("hold", c.holdTime), slog.Duration("longest_pause", c.longestPause), slog.String("longest_pause_at", string(c.longestPauseAt)), slog.Bool("stalled", c.isStalled()), slog.Int("tokens", c.meta.TokensIn))...,
	)
}

// versionAttrs returns what the last choice of an upstream knew of the versions of the adapter, if a
// version was announced, and how long after the arrival of the request it was sent.
func (c *call) versionAttrs() []slog.Attr {
	b := c.placement.Basis
	if b.Newest == 0 {
		return nil
	}
	attrs := []slog.Attr{
		slog.Int("version", c.placement.Version), slog.Int("newest", b.Newest), slog.Duration("newest_age", b.NewestAge),
		slog.Int("resident", b.Resident), slog.Bool("can_load", b.CanLoad),
	}
	if c.attempt != nil {
		attrs = append(attrs, slog.Duration("sent_after", c.attempt.sentAt.Sub(c.arrival)))
	}
	return attrs
}
