package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	// crashCheckDelay is the time between a broken attempt and the check whether the
	// upstream has crashed.
	crashCheckDelay = 60 * time.Millisecond
	// startCheckInterval is the interval at which a request that has not started is checked
	// for a newer version of its adapter and for a quarantine.
	startCheckInterval = 300 * time.Millisecond
	// survivalTime is the time after the first event after which a run counts as past its
	// beginning, where a request that crashes its upstream would have done so.
	survivalTime = 500 * time.Millisecond
)

// refuseQuarantined refuses the request if it must not be sent to any upstream because upstreams
// crashed under requests like it, and reports whether it did. A request that is admitted as a trial
// remains one in later calls.
func (c *call) refuseQuarantined() bool {
	if c.isTrial && !c.g.opts.View.IsQuarantined(c.traits) {
		return false
	}
	var wait time.Duration
	if wait, c.isTrial = c.g.opts.View.AdmitTraits(c.traits); c.isTrial {
		c.g.opts.Log.Event("quarantine trial", slog.String("request", c.meta.RequestID), slog.String("parts", formatParts(c.meta.SharedParts)))
	}
	if wait == 0 {
		return false
	}
	c.failWithRetryAfter(decisionlog.Quarantined, wait)
	return true
}

// guardStart resets the connection of a request that must no longer start: the version on which it
// would run must not begin a run any more, or it was quarantined since it was sent, so that it would
// crash its upstream.
func (x *exchange) guardStart(version int, started <-chan struct{}) {
	view := x.c.g.opts.View
	for {
		wait := startCheckInterval
		endsIn, hasEnd := view.VersionEndsIn(x.c.meta.Adapter, version)
		if hasEnd {
			wait = min(wait, max(0, endsIn))
		}
		timer := time.NewTimer(wait)
		select {
		case <-started:
			timer.Stop()
			return
		case <-timer.C:
		}
		endsIn, hasEnd = view.VersionEndsIn(x.c.meta.Adapter, version)
		step := ""
		switch {
		case hasEnd && endsIn <= 0:
			step = "adapter version superseded"
		case view.IsQuarantined(x.c.traits):
			x.wasWithdrawn.Store(true)
			step = "quarantined while waiting"
		default:
			continue
		}
		x.resetFor(step)
		return
	}
}

// stopStartGuard stops guardStart. Only the goroutine of the exchange calls it.
func (x *exchange) stopStartGuard() {
	if x.started != nil {
		close(x.started)
		x.started = nil
	}
}

// recordSurvival records that the run got past its beginning: it is no cause of a crash.
func (x *exchange) recordSurvival() {
	if x.hasSurvived {
		return
	}
	x.hasSurvived = true
	x.c.g.opts.View.RecordSurvival(x.c.traits)
}

// brokenRun is a run of a request that broke off before it was past its beginning.
type brokenRun struct {
	upstream      *upstreams.Upstream
	traits        []quarantine.Trait
	requestID     string
	adapter       upstreams.Adapter
	sharedParts   []uint64
	hadHead       bool // the response head was received
	hadFirstEvent bool // a first event was received
}

// checkCrash records a crash if the upstream crashed while it ran the request. A connection to
// a crashed upstream is refused, as its port is closed. The port of an upstream that leaves is
// closed, too.
func (g *Gateway) checkCrash(b brokenRun) {
	u := b.upstream
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDelay*5)
	defer cancel()
	conn, err := g.opts.Pool.Get(ctx, u.Addr, true)
	if err == nil {
		conn.Discard() // an answered dial doesn't show that the link delivers a request
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) { // cut off, or out of connections
		return
	}
	if listed := g.opts.View.Upstream(u.ID); listed == nil || listed.Draining || g.opts.View.Eligibility(u, true).Reason == eligibility.Leaving {
		return
	}
	g.opts.Log.Event("upstream crashed under a request", slog.String("upstream", string(u.ID)), slog.Int64("boot", u.StartTime),
		slog.Uint64("fingerprint", b.traits[0].ID), slog.String("request", b.requestID), slog.String("adapter", b.adapter.String()),
		slog.String("parts", formatParts(b.sharedParts)), slog.Bool("had_head", b.hadHead), slog.Bool("had_event", b.hadFirstEvent))
	crashes := make([]quarantine.Crash, len(b.traits))
	for i, trait := range b.traits {
		crashes[i] = quarantine.Crash{ID: trait.ID, Kind: trait.Kind, Upstream: u.ID, Boot: u.StartTime}
	}
	g.opts.View.RecordCrashes(crashes)
}

// maxLoggedParts limits the length of a log line. Parts that are refused have a line each.
const maxLoggedParts = 64

// formatParts returns the IDs of prompt parts in hexadecimal, separated by commas. Of more than maxLoggedParts, it
// returns the first ones and the number of the others.
func formatParts(parts []uint64) string {
	var text []string
	for _, id := range parts[:min(len(parts), maxLoggedParts)] {
		text = append(text, strconv.FormatUint(id, 16))
	}
	if more := len(parts) - len(text); more > 0 {
		text = append(text, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(text, ",")
}
