package fleet

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// TestALeavingEngineGetsNoOrders guards against a lease holder that sends orders and requests for reports
// to an engine that leaves or waits, and against load requests that wait there in vain.
func TestALeavingEngineGetsNoOrders(t *testing.T) {
	for reason, signals := range map[string]eligibility.Signals{
		"leaving": {Leaving: true}, "retry-after": {HasRetryAfter: true, RetryAfter: eligibility.MaxWait},
	} {
		s := newSim(t, 1, 1)
		n := s.nodes["z0-00"]
		n.ctx = context.Background()
		engines := &idleEngines{}
		n.opts.Engines = engines
		n.applyConfig(&routes.Config{Version: 1, Services: map[string]routes.Service{"llm": {Engine: &routes.EngineSpec{Models: []routes.Model{{Name: "m"}}, AdapterSlots: 4}}}}, ConfigOrigin{})
		u := upstreams.Upstream{ID: "e0", Service: "llm", StartTime: 1}
		n.applyUpstreams(s.now, s.now, 1, []upstreams.Upstream{u})
		w := &worker{node: n, id: "e0", wake: make(chan struct{}, 1), orderDone: make(chan struct{}), lease: holders.Lease{RenewedAt: n.opts.BootClock()}}
		for w.step(context.Background()) {
		}
		s.Assert(engines.reports, qt.Equals, 1)
		n.opts.View.RecordSignals(&u, signals, false, ResponseCause{Request: "order"})
		reply := w.requestLoad(context.Background(), protocol.LoadRequest{Upstream: "e0", Adapter: upstreams.Adapter{Model: "m", Name: "a"}})
		s.Check(reply.Reason, qt.Equals, "engine is barred: "+reason)
		for range 100 {
			s.now = s.now.Add(workerInterval)
			s.Check(w.step(context.Background()), qt.IsFalse)
		}
		s.Check(engines.reports, qt.Equals, 1)
	}
}

const (
	patternStep    = 10 * time.Millisecond
	patternDaemons = 4
	patternEngines = 8
	patternSlots   = 8
	patternRun     = 500 * time.Millisecond // time of a request in a slot
	patternTimeout = 4 * time.Second        // of callers
	// patternPerSecond is 1.5 times the usual load, which is 0.55 of what all engines serve.
	patternPerSecond = 1.5 * 0.55 * patternEngines * patternSlots * float64(time.Second) / float64(patternRun)
)

// patternRequest is a request of a caller, or a caller that will send it again.
type patternRequest struct {
	sent   time.Time
	next   time.Time // when it is sent, again, or its answer comes
	daemon int
	engine *upstreams.Upstream // that runs it
	isBack bool                // it was sent again after a refusal
	begun  time.Time
}

// TestHalfOfTheEnginesNameWaits replays a load pattern: for 10 s half of a service's engines answer 503 with a
// Retry-After of 2 s under 1.5 times the usual load. It guards against callers that wait for their
// deadline in vain, against requests in the waits, and against engines that stay unused afterwards.
func TestHalfOfTheEnginesNameWaits(t *testing.T) {
	c := qt.New(t)
	log := decisionlog.New(io.Discard, "vm")
	c.Cleanup(log.Close)
	start := time.Unix(1_700_000_000, 0)
	now := start
	var views []*View
	list := make([]upstreams.Upstream, patternEngines)
	for i := range list {
		list[i] = upstreams.Upstream{ID: state.UpstreamID(rune('a' + i)), Service: "llm", Zone: "z0", Slots: patternSlots, Residency: upstreams.Residency{Models: map[string]int{"m": 1}}}
	}
	for range patternDaemons {
		v := NewView(ViewOptions{Zone: "z0", Log: log, Clock: func() time.Time { return now }})
		v.SetUpstreams(now, append([]upstreams.Upstream(nil), list...))
		views = append(views, v)
	}
	spec := &routes.EngineSpec{Slots: patternSlots}
	request := balance.Request{TokensIn: 100, TokensOut: 50}
	waitsFrom, waitsTo, end := start.Add(5*time.Second), start.Add(15*time.Second), start.Add(25*time.Second)
	isWaiting := func(u *upstreams.Upstream) bool {
		return u.ID < list[patternEngines/2].ID && !now.Before(waitsFrom) && now.Before(waitsTo)
	}
	running := make(map[state.UpstreamID][]time.Time) // ends of the runs by engine
	lastRefusal := make(map[eligibility.Run]map[int]time.Time)
	var open []*patternRequest
	var served, refused, late, unwanted, servedAtEnd int
	send := func(q *patternRequest) (isOver bool) {
		v := views[q.daemon]
		for range patternEngines + 1 {
			left := q.sent.Add(patternTimeout).Sub(now)
			p := v.Choose(PlacementRequest{
				Service: "llm", Engine: spec, Request: request, Adapter: upstreams.Adapter{Model: "m"}, TimeLeft: left,
				Limits: balance.Limits{LatencyObjective: time.Second, MaxStartDelay: min(1500*time.Millisecond, left*7/10)}, Excluded: func(state.UpstreamID) bool { return false },
			})
			if p.Upstream == nil {
				if refused++; q.isBack || p.RetryAfter > left/3 {
					return true
				}
				q.isBack, q.next = true, now.Add(p.RetryAfter)
				return false
			}
			u := p.Upstream
			if v.BeginSend(u).IsBarred() || v.Admit(u, request, upstreams.Adapter{Model: "m"}) > 0 {
				continue
			}
			if isWaiting(u) {
				run := runOf(u)
				if lastRefusal[run] == nil {
					lastRefusal[run] = make(map[int]time.Time)
				}
				if since := now.Sub(lastRefusal[run][q.daemon]); since > 500*time.Millisecond && since < 2*time.Second {
					unwanted++
				}
				lastRefusal[run][q.daemon] = now
				v.RecordSignals(u, eligibility.Signals{HasRetryAfter: true, RetryAfter: 2 * time.Second}, false, ResponseCause{Status: 503})
				v.End(u.ID, request, upstreams.Adapter{Model: "m"}, false)
				v.EndSend(u)
				continue
			}
			begin := now // the earliest free slot
			if ends := running[u.ID]; len(ends) >= patternSlots {
				begin = laterOf(now, ends[len(ends)-patternSlots])
			}
			q.engine, q.begun, q.next = u, now, begin.Add(patternRun)
			running[u.ID] = append(running[u.ID], q.next)
			return false
		}
		c.Fatal("no end of choices")
		return true
	}
	due := 0.0
	for ; now.Before(end.Add(patternTimeout)); now = now.Add(patternStep) {
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			for i, v := range views {
				for j, other := range views {
					if i != j {
						v.SetPeerInFlight(state.DaemonID(rune('0'+j)), other.OwnInFlight())
					}
				}
			}
		}
		for due += patternPerSecond * patternStep.Seconds(); due >= 1 && now.Before(end); due-- {
			open = append(open, &patternRequest{sent: now, next: now, daemon: (served + refused + len(open)) % patternDaemons})
		}
		kept := open[:0]
		for _, q := range open {
			switch {
			case q.next.After(now):
				kept = append(kept, q)
				continue
			case q.engine == nil:
				if !send(q) {
					kept = append(kept, q)
				}
				continue
			}
			v := views[q.daemon]
			v.RecordAnswered(q.engine, q.begun)
			v.WithTracker(func(t *balance.Tracker) { t.ObserveStreamTime(patternRun) })
			v.End(q.engine.ID, request, upstreams.Adapter{Model: "m"}, true)
			v.EndSend(q.engine)
			if served++; now.Sub(q.sent) > patternTimeout {
				late++
			}
			if q.engine.ID < list[patternEngines/2].ID && now.After(waitsTo.Add(5*time.Second)) {
				servedAtEnd++
			}
		}
		open = kept
	}
	t.Logf("served %d, refusals %d, late %d, requests in waits %d, served at the end by engines that had waited %d", served, refused, late, unwanted, servedAtEnd)
	c.Check(late+len(open), qt.Equals, 0)
	c.Check(unwanted, qt.Equals, 0)
	c.Check(float64(served) >= 0.8*patternPerSecond*25, qt.IsTrue, qt.Commentf("served %d", served))
	c.Check(float64(servedAtEnd) >= 0.4*patternPerSecond*5, qt.IsTrue, qt.Commentf("served %d", servedAtEnd))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
