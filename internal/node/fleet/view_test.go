package fleet

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// An engine may be about to evict an adapter that has been idle. The lease holder must be
// notified at once of the first request that uses the adapter; gossip reports later uses.
func TestTheFirstUseOfAnIdleAdapterIsAnnouncedAtOnce(t *testing.T) {
	c := qt.New(t)
	log := decisionlog.New(io.Discard, "vm")
	c.Cleanup(log.Close)
	now := time.Unix(1000, 0)
	v := NewView(ViewOptions{Zone: "z", OutdatedGracePeriod: time.Second, Log: log, Clock: func() time.Time { return now }})
	a := upstreams.Adapter{Model: "m", Name: "a1"}
	v.SetUpstreams(now, []upstreams.Upstream{{ID: "e1", Service: "llm", Zone: "z", Slots: 8}})
	v.SetLoadable(map[state.UpstreamID]bool{"e1": true})
	idle := protocol.EngineState{Upstream: "e1", Models: []string{"m"}, CanOrder: true, Resident: []residency.ResidentAdapter{{Adapter: a, Version: 1, Idle: true}}}
	v.SetEngineState(idle)
	req := PlacementRequest{
		Service: "llm", Engine: &routes.EngineSpec{Slots: 8}, Adapter: a, Request: balance.Request{TokensIn: 10},
		Limits: balance.Limits{LatencyObjective: time.Second, MaxStartDelay: time.Second}, Excluded: func(state.UpstreamID) bool { return false },
	}
	c.Assert(v.Choose(req).AnnounceUse, qt.IsTrue)
	c.Assert(v.Choose(req).AnnounceUse, qt.IsFalse, qt.Commentf("announced just now"))
	now = now.Add(2 * time.Second)
	v.SetEngineState(idle)
	c.Assert(v.Admit(v.Upstream("e1"), req.Request, a), qt.Equals, time.Duration(0))
	c.Assert(v.Choose(req).AnnounceUse, qt.IsFalse, qt.Commentf("gossip reports the use"))
	v.End("e1", req.Request, a, true)
	c.Assert(v.Choose(req).AnnounceUse, qt.IsTrue)
	now = now.Add(2 * time.Second)
	idle.Resident[0].Idle = false
	v.SetEngineState(idle)
	c.Assert(v.Choose(req).AnnounceUse, qt.IsFalse)
}

func TestAnEngineWithoutAModelGetsTheLeastCoveredModel(t *testing.T) {
	c := qt.New(t)
	log := decisionlog.New(io.Discard, "vm")
	c.Cleanup(log.Close)
	now := time.Unix(1000, 0)
	v := NewView(ViewOptions{Zone: "z", OutdatedGracePeriod: time.Second, Log: log, Clock: func() time.Time { return now }})
	v.SetUpstreams(now, []upstreams.Upstream{{ID: "e1", Service: "llm"}, {ID: "e2", Service: "llm"}, {ID: "e3", Service: "llm"}})
	models := []routes.Model{{Name: "m0"}, {Name: "m1"}, {Name: "m2"}}
	v.SetEngineState(protocol.EngineState{Upstream: "e1", Models: []string{"m0"}})
	v.SetEngineState(protocol.EngineState{Upstream: "e2", Models: []string{"m1"}})
	c.Assert(v.LeastCoveredModel("llm", models), qt.Equals, "m2")
	req := PlacementRequest{Service: "llm", Engine: &routes.EngineSpec{Slots: 8}, Adapter: upstreams.Adapter{Model: "m1"}, Excluded: func(state.UpstreamID) bool { return false }}
	for range 9 {
		v.Choose(req)
	}
	c.Assert(v.LeastCoveredModel("llm", models), qt.Equals, "m1")
}

// Guards against requests that begin on an old version of their adapter: versions 2 and 3 follow each other by a little more
// than the grace period, and the announcement of version 3 let engines with version 1 serve again. An engine that nobody
// can order to load keeps its version for as long as that.
func TestAnEngineIsNotChosenForAVersionWhoseTimeIsOver(t *testing.T) {
	c := qt.New(t)
	log := decisionlog.New(io.Discard, "vm")
	c.Cleanup(log.Close)
	begin := time.Unix(1000, 0)
	now := begin
	v := NewView(ViewOptions{Zone: "z", OutdatedGracePeriod: 3 * time.Second, Log: log, Clock: func() time.Time { return now }})
	a := upstreams.Adapter{Model: "m", Name: "a1"}
	announce := func(version int) {
		v.RecordVersion(upstreams.Version{Adapter: a, Version: version})
	}
	v.SetUpstreams(now, []upstreams.Upstream{{
		ID: "e1", Service: "llm", Zone: "z", Slots: 8, Residency: upstreams.Residency{Models: map[string]int{"m": 1}, Adapters: map[upstreams.Adapter]int{a: 1}},
	}})
	req := PlacementRequest{
		Service: "llm", Engine: &routes.EngineSpec{Slots: 8, KVTokens: 1 << 20}, Adapter: a, Request: balance.Request{TokensIn: 10},
		Limits: balance.Limits{LatencyObjective: time.Second, MaxStartDelay: time.Second}, Excluded: func(state.UpstreamID) bool { return false },
	}
	isChosen := func() bool { return v.Choose(req).Upstream != nil }
	c.Assert(isChosen(), qt.IsTrue)
	announce(2)
	now = begin.Add(2900 * time.Millisecond)
	c.Assert(isChosen(), qt.IsTrue, qt.Commentf("within the grace period of version 2"))
	v.WithTracker(func(t *balance.Tracker) { t.Begin(now, "e1", balance.Request{TokensIn: 40000}) })
	req.Limits.MaxStartDelay = 20 * time.Second
	c.Assert(isChosen(), qt.IsFalse, qt.Commentf("the run would begin after its end"))
	v.WithTracker(func(t *balance.Tracker) { t.End("e1", balance.Request{TokensIn: 40000}, true) })
	now = begin.Add(3 * time.Second)
	c.Assert(isChosen(), qt.IsFalse, qt.Commentf("after it"))
	now = begin.Add(5400 * time.Millisecond)
	announce(3)
	c.Assert(isChosen(), qt.IsFalse, qt.Commentf("after the announcement of version 3"))
	c.Assert(v.Choose(req).Basis, qt.Equals, VersionBasis{Newest: 3})
}

// Guards against refusals of all requests for a model itself after new weights of it were announced: no engine has them, and
// nobody orders them.
func TestRequestsForAModelAreServedAfterNewWeightsWereAnnounced(t *testing.T) {
	c := qt.New(t)
	log := decisionlog.New(io.Discard, "vm")
	c.Cleanup(log.Close)
	now := time.Unix(1000, 0)
	v := NewView(ViewOptions{Zone: "z", OutdatedGracePeriod: 3 * time.Second, Log: log, Clock: func() time.Time { return now }})
	model := upstreams.Adapter{Model: "m"}
	v.SetUpstreams(now, []upstreams.Upstream{{ID: "e1", Service: "llm", Zone: "z", Slots: 8, Residency: upstreams.Residency{Models: map[string]int{"m": 1}}}})
	v.SetEngineState(protocol.EngineState{Upstream: "e1", Models: []string{"m"}, CanOrder: true})
	req := PlacementRequest{
		Service: "llm", Engine: &routes.EngineSpec{Slots: 8, KVTokens: 1 << 20}, Adapter: model, Request: balance.Request{TokensIn: 10},
		Limits: balance.Limits{LatencyObjective: time.Second, MaxStartDelay: time.Second}, Excluded: func(state.UpstreamID) bool { return false },
	}
	v.RecordVersion(upstreams.Version{Adapter: model, Version: 2})
	for range 8 {
		now = now.Add(time.Second)
		p := v.Choose(req)
		c.Assert(p.Upstream, qt.IsNotNil, qt.Commentf("%v after the announcement: %s", now.Sub(time.Unix(1000, 0)), p.Reason))
		c.Assert(p.Version, qt.Equals, 0)
	}
	_, hasEnd := v.VersionEndsIn(model, 1)
	c.Assert(hasEnd, qt.IsFalse)
}
