package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Guards against an engine that daemons fill beyond its memory until it crashes with all requests.
func TestRequestsOfAllDaemonsStayWithinTheMemoryOfAnEngine(t *testing.T) {
	c := qt.New(t)
	list := engines(2, 0)
	list[0].Upstream.Service = "llm"
	list[1].Loadable = false
	tr := NewTracker()
	tr.SetMemory("llm", memory)
	long := Request{TokensIn: memory / 4, TokensOut: memory / 8}
	var reported InFlight
	for range 6 { // a peer's prompts that were read, and fill the memory 1.875 times
		reported.Add(&InFlight{Requests: 1, KVTokens: memoryOf(&long)})
	}
	tr.SetPeerInFlight(now, "d2", map[state.UpstreamID]InFlight{"e0": reported})
	choose := func(r Request) Decision {
		return tr.ChooseEngine(now, r, adapt, list, memory, Limits{LatencyObjective: time.Second, MaxStartDelay: time.Minute}, 0.5)
	}
	d := choose(long)
	c.Check(d.Reason, qt.Equals, "no memory at engines")
	c.Check(d.RetryAfter >= NoEngineRetryAfter, qt.IsTrue)
	c.Check(tr.Admit(now, list[0].Upstream, long) > 0, qt.IsTrue)
	// What this daemon sends counts at once.
	short := Request{TokensIn: memory / 20}
	c.Check(choose(short).Upstream, qt.IsNotNil)
	c.Check(tr.Admit(now, list[0].Upstream, short), qt.Equals, time.Duration(0))
	tr.FirstEvent("e0", short)
	c.Check(tr.Admit(now, list[0].Upstream, short), qt.Equals, time.Duration(0))
	c.Check(choose(short).Reason, qt.Equals, "no memory at engines")
	// Without the peer's requests there is room again, and a request larger than the bound runs alone.
	tr.SetPeerInFlight(now, "d2", nil)
	c.Check(tr.overfills(now, list[0].Upstream, memory, &long), qt.IsFalse)
	huge := Request{TokensIn: 3 * memory}
	c.Check(tr.overfills(now, list[0].Upstream, memory, &huge), qt.IsTrue)
	c.Check(NewTracker().overfills(now, list[0].Upstream, memory, &huge), qt.IsFalse)
	// An engine without a configured memory has no bound.
	tr.SetMemory("llm", 0)
	c.Check(tr.Admit(now, list[0].Upstream, huge), qt.Equals, time.Duration(0))
}

// Guards against a bound that refuses requests which an engine of a present deployment could start
// in time. The sizes are those of the deployments. A request is refused for its start delay first, unless
// the running requests alone exceed the bound.
func TestTheMemoryBoundDoesNotRefuseWhatCanStartInTime(t *testing.T) {
	c := qt.New(t)
	for _, engine := range []struct{ slots, memory int }{{32, 103_444}, {12, 65_266}, {12, 66_154}} {
		for _, r := range []Request{{TokensIn: 200, TokensOut: 100}, {TokensIn: 1460, TokensOut: 80}, {TokensIn: 4000, TokensOut: 1000}, {TokensIn: 12_000, TokensOut: 400}} {
			for _, read := range []bool{false, true} { // whether the requests in flight had their first event
				tr := NewTracker()
				u := &upstreams.Upstream{ID: "e0", Service: "llm", Zone: "z1", Slots: engine.slots}
				list := []Candidate{{Upstream: u, Resident: true}}
				lim := Limits{LatencyObjective: time.Second, MaxStartDelay: 2400 * time.Millisecond}
				var d Decision
				n := 0
				for ; n < 1000; n++ {
					if d = tr.ChooseEngine(now, r, adapt, list, engine.memory, lim, 0.5); d.Upstream == nil {
						break
					}
					tr.Begin(now, u.ID, r)
					if read && n < engine.slots {
						tr.FirstEvent(u.ID, r)
					}
				}
				comment := qt.Commentf("%+v, %+v, read %t: %d requests, %.2f of the memory", engine, r, read, n, float64(tr.InFlight(now, u.ID).KVTokens)/float64(engine.memory))
				c.Log(comment)
				want := "no room in time"
				if read && r.TokensIn*engine.slots > maxMemoryUse*engine.memory {
					want = "no memory at engines" // the requests in its slots alone overfill the engine
				}
				c.Check(d.Reason, qt.Equals, want, comment)
			}
		}
	}
}
