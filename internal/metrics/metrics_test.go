package metrics_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

type clock struct{ now time.Time }

func (c *clock) tick(d time.Duration) { c.now = c.now.Add(d) }

type discardSink struct{}

func (discardSink) Head(protocol.Head) error   { return nil }
func (discardSink) Chunk(protocol.Chunk) error { return nil }
func (discardSink) End(protocol.End) error     { return nil }

// delayedGateway answers with three chunks: the first chunk after the time first, and each
// further chunk a gap after its predecessor.
type delayedGateway struct {
	clock      *clock
	first, gap time.Duration
	err        *protocol.Error
}

func (s delayedGateway) Serve(_ context.Context, _ *protocol.Call, _ string, sink protocol.Sink) *protocol.Error {
	if s.err != nil {
		return s.err
	}
	s.clock.tick(s.first)
	for range 3 {
		_ = sink.Chunk(protocol.Chunk{Count: 1})
		s.clock.tick(s.gap)
	}
	return nil
}

func newRecorder(t *testing.T, c *clock, classes int) *metrics.Recorder {
	r := metrics.New(metrics.Options{
		MaxClasses: classes,
		RankName:   func(r state.Rank) string { return fmt.Sprintf("rank-%d", r) },
		Clock:      func() time.Time { return c.now },
	})
	t.Cleanup(r.Close)
	return r
}

func call(customer int) *protocol.Call {
	return &protocol.Call{Customer: state.CustomerID(fmt.Sprintf("club-%d.x_y", customer)), Service: "advice", Model: &protocol.ModelCall{}}
}

var ranks = []state.RankInfo{{Name: "urgent", FirstToken: 500 * time.Millisecond, BetweenTokens: 65 * time.Millisecond}}

func TestThousandsOfCustomersMakeThousandsOfSeries(t *testing.T) {
	c := &clock{now: time.Unix(1e9, 0)}
	r := newRecorder(t, c, 10)
	g := metrics.Instrument(delayedGateway{clock: c, first: time.Millisecond}, r)
	for i := range 5000 {
		qt.Assert(t, g.Serve(t.Context(), call(i), "", discardSink{}) == nil, qt.IsTrue)
		r.Dispatched(call(i).Class(), time.Second, 0, 3)
	}
	routes := r.Routes()
	for i := range 500 {
		routes.Request(fmt.Sprintf("route-%d", i), "answered", time.Millisecond)
		routes.LongestPause(fmt.Sprintf("route-%d", i), time.Millisecond)
		routes.AccountRefused(fmt.Sprintf("account-%d", i), "unknown key")
		routes.Hedge(fmt.Sprintf("route-%d", i), "won", i%2 == 0, 7*time.Millisecond)
		routes.HedgeSkipped(fmt.Sprintf("route-%d", i), "load")
	}
	for i := range 500 {
		routes.Admitted(fmt.Sprintf("account-%d", i), 20)
	}
	r.Loaded(time.Second, false)
	r.SetOwned(2)
	r.Clients("callers").SetConnections(3)
	r.Clients("callers").Closed("head too slow", 2)
	r.SetRevision(7)
	r.SetBarredUpstreams(map[string]int{"leaving": 1})
	r.Close() // reports what was counted
	response := httptest.NewRecorder()
	r.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	text := response.Body.String()
	qt.Assert(t, strings.Count(text, "celerydeck_wait_seconds_count{"), qt.Equals, 11)
	qt.Assert(t, text, qt.Contains, `celerydeck_wait_seconds_count{customer="other",rank="other",service="other"} 4990`)
	qt.Assert(t, text, qt.Contains, `celerydeck_wait_seconds_count{customer="club-3.x_y",rank="rank-0",service="advice"} 1`)
	qt.Assert(t, strings.Count(text, "celerydeck_route_seconds_count{"), qt.Equals, 65)
	qt.Assert(t, text, qt.Contains, `celerydeck_account_tokens_total{account="other"} 8720`)
	qt.Assert(t, text, qt.Contains, `celerydeck_route_requests_total{outcome="answered",route="other"} 436`)
	qt.Assert(t, strings.Count(text, "celerydeck_account_refusals_total{"), qt.Equals, 65)
	qt.Assert(t, text, qt.Contains, `celerydeck_account_refusals_total{account="other",outcome="unknown_key"} 436`)
	qt.Assert(t, text, qt.Contains, `celerydeck_hedges_total{result="won",route="other"} 436`)
	qt.Assert(t, text, qt.Contains, `celerydeck_hedges_cancelled_total{route="other"} 218`)
	qt.Assert(t, text, qt.Contains, `celerydeck_hedge_wasted_ms_total{route="other"} 3052`)
	qt.Assert(t, text, qt.Contains, `celerydeck_hedges_skipped_total{reason="load",route="other"} 436`)
	qt.Assert(t, len(r.Classes(c.now, ranks)) <= 20, qt.IsTrue)
	for _, name := range metrics.Names() {
		qt.Check(t, strings.Contains(text, "# TYPE "+name+" "), qt.IsTrue, qt.Commentf(name))
	}
}

func TestRankStatusCountsLateTokensAsInTime(t *testing.T) {
	c := &clock{now: time.Unix(1e9, 0)}
	r := newRecorder(t, c, 10)
	fast, late := delayedGateway{clock: c, first: 100 * time.Millisecond, gap: 50 * time.Millisecond}, delayedGateway{clock: c, first: 2 * time.Second, gap: 80 * time.Millisecond}
	for i := range 10 {
		next := fast
		if i < 4 {
			next = late
		}
		_ = metrics.Instrument(next, r).Serve(t.Context(), call(1), "", discardSink{})
	}
	refused := protocol.Errorf(protocol.KindOverloaded, "s", protocol.OutcomeNotRun, "full")
	_ = metrics.Instrument(delayedGateway{clock: c, err: refused}, r).Serve(t.Context(), call(1), "", discardSink{})
	broken := protocol.Errorf(protocol.KindInterrupted, "s", protocol.OutcomeUnknown, "gone")
	_ = metrics.Instrument(delayedGateway{clock: c, err: broken}, r).Serve(t.Context(), call(1), "", discardSink{})
	gone := protocol.Errorf(protocol.KindCanceled, "s", protocol.OutcomeUnknown, "caller is gone")
	_ = metrics.Instrument(delayedGateway{clock: c, err: gone}, r).Serve(t.Context(), &protocol.Call{Customer: "c", Repeatable: true}, "", discardSink{})
	s := r.Ranks(c.now, ranks)[0]
	qt.Assert(t, s.Requests, qt.Equals, uint64(13))
	qt.Assert(t, s.Refused, qt.Equals, uint64(1))
	qt.Assert(t, s.Failed, qt.Equals, uint64(1))
	qt.Assert(t, s.FirstTokens, qt.Equals, uint64(10))
	qt.Assert(t, s.FirstTokensInTime, qt.Equals, uint64(6))
	qt.Assert(t, s.Gaps, qt.Equals, uint64(20))
	qt.Assert(t, s.GapsInTime, qt.Equals, uint64(12))
	unknown := r.Conditions(c.now)
	qt.Assert(t, unknown, qt.HasLen, 1) // only the interrupted call
	qt.Assert(t, unknown[0].Kind, qt.Equals, protocol.ConditionOutcomeUnknown)
	c.tick(2 * time.Hour)
	qt.Assert(t, r.Conditions(c.now), qt.HasLen, 0)
	qt.Assert(t, r.Ranks(c.now, ranks)[0].Requests, qt.Equals, uint64(0))
}
