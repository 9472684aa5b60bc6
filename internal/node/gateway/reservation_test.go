package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// breakingOnce answers the first request with one event and a broken connection, the others with a whole
// stream.
func breakingOnce(n int, r *http.Request, w net.Conn) {
	streamHead(r, w)
	chunk(w, "id: 0\ndata: x\n\n")
	if n == 1 {
		_ = w.Close()
		return
	}
	chunk(w, "id: 1\ndata: y\n\n")
	_, _ = io.WriteString(w, "0\r\n\r\n")
}

// Guards against a broken stream that waits until its deadline because the only engine has no room for
// its prompt.
func TestABrokenStreamIsResumedWithoutRoomForItsPrompt(t *testing.T) {
	w := newPacedFixtureAt(t, serveUpstream(t, "a", breakingOnce))
	w.pacer.reserve = func(protocol.PromptReservation) protocol.PromptReservationReply {
		return protocol.PromptReservationReply{Known: len(w.pacer.asked) > 1, Delay: 5 * time.Second}
	}
	status, took := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusOK)
	w.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

// Guards against a second attempt that relies on the reservation of the first one.
func TestAReservationIsForOneAttempt(t *testing.T) {
	w := newPacedFixtureAt(t, serveUpstream(t, "a", breakingOnce))
	w.pacer.reserve = func(protocol.PromptReservation) protocol.PromptReservationReply {
		return protocol.PromptReservationReply{Known: true, Accepted: true}
	}
	status, _ := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusOK)
	w.Assert(w.pacer.asked, qt.HasLen, 2)
}

// Guards against a refusal that promises that the request has not run, although an earlier attempt may have.
func TestARefusalAfterABrokenAttemptPromisesNothing(t *testing.T) {
	closing := func(_ int, _ *http.Request, w net.Conn) { _ = w.Close() }
	w := newPacedFixtureAt(t, serveUpstream(t, "a", closing), serveUpstream(t, "b", closing))
	w.pacer.reserve = func(protocol.PromptReservation) protocol.PromptReservationReply {
		return protocol.PromptReservationReply{Known: true, Accepted: len(w.pacer.asked) == 1, Delay: time.Millisecond}
	}
	resp, _ := w.doPacedFor("a1")
	w.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
	w.Assert(resp.Header.Get("X-Celerydeck-Reason"), qt.Equals, decisionlog.NoRoomForPrompt)
	w.Assert(resp.Header.Get("Retry-After"), qt.Equals, "")
}

// Guards against an account above its fair share whose prompts wait as long as those of others.
func TestAPromptOfAnAccountAboveItsShareMayWaitLess(t *testing.T) {
	w := newPacedFixtureAt(t, serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { breakingOnce(2, r, w) }))
	busy := account("busy", secret)
	busy.Quota = accounts.Quota{PerSecond: 1e6, Burst: 1e6, InTokens: true, PlainTokens: 50_000}
	w.setAccounts(busy)
	var delays []time.Duration
	w.pacer.reserve = func(msg protocol.PromptReservation) protocol.PromptReservationReply {
		delays = append(delays, msg.MaxDelay)
		return protocol.PromptReservationReply{Known: true, Accepted: true}
	}
	const noPriorityGroup, requests = -1, 30 // fewer are not surely above the share
	for range requests {
		resp, _ := w.doPacedFor("a1", "Authorization", "Bearer "+secret)
		w.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
	w.view.SetFairLevels(map[int]float32{noPriorityGroup: 0.001})
	_, _ = w.doPacedFor("a1", "Authorization", "Bearer "+secret)
	w.Assert(delays, qt.HasLen, requests+1)
	w.Assert(delays[requests] < delays[0]*3/4, qt.IsTrue, qt.Commentf("%v", delays))
}

// Guards against a request that is refused after a load, although the engine has room at once, because the
// load took longer than the request's start may be delayed.
func TestAfterALoadRoomAtOnceIsTaken(t *testing.T) {
	w := newPacedFixture(t)
	w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true, "b-llm": true})
	w.loader.requestLoad = func(context.Context, protocol.LoadRequest) protocol.LoadReply {
		return protocol.LoadReply{Accepted: true, ReadyIn: 1500 * time.Millisecond}
	}
	w.pacer.reserve = func(msg protocol.PromptReservation) protocol.PromptReservationReply {
		return protocol.PromptReservationReply{Known: true, Accepted: msg.MaxDelay >= 0}
	}
	resp, _ := w.doPacedFor("rare")
	w.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against requests that ask a lease holder that does not answer again in each round of their wait.
func TestASilentLeaseHolderIsNotAskedInEachRound(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) { breakingOnce(2, r, w) })
	w := newPacedFixtureAt(t, u)
	engine := w.view.Upstream("a-llm")
	w.view.WithTracker(func(tr *balance.Tracker) {
		now := time.Now()
		tr.ObservePause(now, engine, 10*time.Millisecond, 300*time.Millisecond)
		tr.AddRecentTokens(now, engine.ID, 15_000)
	})
	status, took := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusOK)
	w.Assert(took > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s: the request must wait for the test to show anything", took))
	w.Assert(w.pacer.asked, qt.HasLen, 1)
}

// Guards against callers that come back at the same time, or never, because of a lease holder's delay.
func TestTheRetryAfterOfARefusedPromptIsBounded(t *testing.T) {
	for _, delay := range []time.Duration{0, 3 * time.Second, time.Hour} {
		w := newPacedFixture(t)
		w.pacer.reserve = func(protocol.PromptReservation) protocol.PromptReservationReply {
			return protocol.PromptReservationReply{Known: true, Delay: delay}
		}
		resp, _ := w.doPacedFor("a1")
		w.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		w.Assert(err, qt.IsNil)
		w.Check(seconds >= max(0.2, min(delay.Seconds(), 4)) && seconds <= 6, qt.IsTrue, qt.Commentf("%s: %g s", delay, seconds))
	}
}
