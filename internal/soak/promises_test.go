package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/caller"
	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
	"github.com/celerydeck/celerydeck/internal/standin/webservice"
)

var begin = time.Unix(5000, 0)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

// good returns a history of two daemons in which every promise held: a request each
// tenth of a second, under two configurations.
func good() *History {
	h := &History{
		Begin: begin, End: at(20), Recovery: at(12), Events: 3, Orders: map[string][]modelengine.Order{},
		Lives:   []Life{{Daemon: 0, From: at(-10)}, {Daemon: 1, From: at(-10)}},
		Configs: []Config{{Version: 1, Service: "web-1", Sent: at(-9), Acked: at(-9)}, {Version: 2, Service: "web-2", Sent: at(6), Acked: at(6)}},
	}
	for i := range 200 {
		when := at(float64(i) / 10)
		a := Asked{Class: ClassCharge, Daemon: i % 2}
		a.Request = caller.Request{ID: string(rune('a' + i)), Path: "/charge/1", Body: "b", Deadline: callDeadline}
		service := "web-1"
		if i > 80 {
			service = "web-2"
		}
		if i%10 == 0 {
			a.Class, service, a.Path, a.Model, a.Stream = ClassChat, chatService, "/chat/1", "base/a1", true
		}
		a.Answer = caller.Answer{
			Status: 200, RequestID: a.ID, Signed: true, Body: webservice.Answer(service, a.ID), Complete: true, Written: true, Reused: true,
			StartedAt: when, EndedAt: when.Add(20 * time.Millisecond),
		}
		r := Ran{RequestID: a.ID, Upstream: "u-" + service, Service: service, Path: a.Path, Body: "b", At: when.Add(10 * time.Millisecond)}
		if a.Class == ClassChat {
			a.Answer.Events = []int{0, 1, 2}
			r.Adapter, r.Version = "a1", 1
		}
		h.Asks = append(h.Asks, a)
		h.Runs = append(h.Runs, r)
	}
	h.Orders["i-0"] = []modelengine.Order{{Owner: "vm-0", Fence: 5, At: at(1)}, {Owner: "vm-0", Fence: 5, At: at(2)}, {Owner: "vm-1", Fence: 9, At: at(9)}}
	return h
}

func TestAHistoryInWhichAllHeldBreaksNothing(t *testing.T) {
	c := qt.New(t)
	v := Check(good())
	c.Assert(v.Broken, qt.HasLen, 0)
	c.Assert(v.Served, qt.Equals, 1.0)
	c.Assert(len(v.Checked) > 15, qt.IsTrue)
}

func TestEachPromiseIsSeenBroken(t *testing.T) {
	charge, chat := 101, 100 // numbers of requests; both after the second configuration
	for _, tc := range []struct {
		promise string
		harm    func(h *History)
	}{
		{"only what callers sent runs, unchanged", func(h *History) { h.Runs[charge].Body = "other" }},
		{"only what callers sent runs, unchanged", func(h *History) { h.Runs[charge].RequestID = "unknown" }},
		{"a request that must not repeat runs once at most", func(h *History) { h.Runs = append(h.Runs, h.Runs[charge]) }},
		{"a refusal is true", func(h *History) { h.Asks[charge].Answer.Status = 503 }},
		{"a failure is not signed by an upstream that answered well", func(h *History) { h.Asks[charge].Answer.Status = 502 }},
		{"a success is an upstream's answer to this request", func(h *History) { h.Asks[charge].Answer.RequestID = "other" }},
		{"a success is an upstream's answer to this request", func(h *History) { h.Asks[charge].Answer.Signed = false }},
		{"events come once and in order", func(h *History) { h.Asks[chat].Answer.Events = []int{0, 2, 2} }},
		{"a stream that ends as complete is complete", func(h *History) { h.Asks[chat].Answer.Events = []int{0, 1} }},
		{"a body is an upstream's whole body", func(h *History) { h.Asks[charge].Answer.Body = "web" }},
		{"a request runs only at a service of its route", func(h *History) { h.Runs[chat].Service = "web-0" }},
		{"a new configuration is in force in time", func(h *History) { h.Runs[charge].Service = "web-1" }},
		{"a daemon does not go back to an older configuration", func(h *History) {
			h.Spans = append(h.Spans, Span{From: at(11), To: at(11.1), Daemon: 1}) // so that the bound on time does not hold
			h.Runs[charge+20].Service = "web-1"
		}},
		{"a new version of an adapter is in effect in time", func(h *History) {
			h.Versions = append(h.Versions, Announced{"a1", 2, at(4)})
		}},
		{"a draining upstream gets no requests", func(h *History) {
			h.Drains = append(h.Drains, Drained{"u-web-2", at(9), at(15)})
		}},
		{"an engine is not ordered to hold too much", func(h *History) { h.Overfull = []string{"i-0"} }},
		{"one token names one holder", func(h *History) { h.Orders["i-0"][1].Owner = "vm-1" }},
		{"tokens do not fall", func(h *History) { h.Orders["i-0"][1].Fence = 4 }},
		{"holders do not take turns within a lease", func(h *History) { h.Orders["i-0"][2].At = at(3) }},
		{"a planned stop loses no request", func(h *History) {
			h.Lives[1].Stopped, h.Lives[1].Ended = at(10), at(16)
			h.Asks[charge].Answer = caller.Answer{Written: true, Reused: true, StartedAt: at(10.1), EndedAt: at(10.2)}
		}},
		{"kept connections are not closed under a request", func(h *History) {
			for i := charge; i < charge+8; i += 2 {
				h.Asks[i].Answer.Status, h.Asks[i].Answer.Complete = 0, false
			}
		}},
		{"requests end at their deadlines", func(h *History) {
			for i := charge; i < charge+16; i++ {
				h.Asks[i].Answer.EndedAt = h.Asks[i].Answer.StartedAt.Add(3 * time.Second)
			}
		}},
		{"proper requests are not denied", func(h *History) {
			for i := charge; i < charge+14; i++ {
				h.Asks[i].Answer.Status, h.Asks[i].Answer.Signed = 404, false
			}
		}},
		{"a ready daemon takes connections", func(h *History) {
			for i := charge; i < charge+8; i++ {
				h.Asks[i].Answer = caller.Answer{StartedAt: h.Asks[i].Answer.StartedAt, EndedAt: h.Asks[i].Answer.EndedAt}
			}
		}},
		{"requests keep to their attempts", func(h *History) {
			for i := 10; i < 60; i += 10 {
				for _, u := range []string{"u-1", "u-2"} {
					r := h.Runs[i]
					r.Upstream = u
					h.Runs = append(h.Runs, r)
				}
			}
		}},
		{"a daemon does not end by itself", func(h *History) { h.Lives[0].Ended = at(15) }},
		{"a daemon ends within the grace", func(h *History) { h.Lives[0].Stopped, h.Lives[0].Ended = at(3), at(13) }},
		{"a daemon ends within the grace", func(h *History) { h.Lives[0].Stopped, h.Lives[0].Ended, h.Lives[0].Code = at(3), at(8), 2 }},
		{"service is back after the last fault", func(h *History) {
			for i := 150; i < 200; i++ {
				h.Asks[i].Answer.Complete = false
			}
		}},
	} {
		t.Run(tc.promise, func(t *testing.T) {
			c := qt.New(t)
			h := good()
			tc.harm(h)
			names := make(map[string]bool)
			for _, b := range Check(h).Broken {
				names[b.Promise] = true
			}
			c.Assert(names[tc.promise], qt.IsTrue, qt.Commentf("%v", names))
		})
	}
}

func TestASeedHasOnePlan(t *testing.T) {
	c := qt.New(t)
	kinds := make(map[Kind]bool)
	for seed := range uint64(100) {
		plan := Plan(seed, DefaultSize())
		c.Assert(plan, qt.DeepEquals, Plan(seed, DefaultSize()))
		for _, e := range plan {
			kinds[e.Kind] = true
			c.Assert(e.At+e.For < 25*time.Second, qt.IsTrue)
		}
	}
	for _, k := range drawn {
		c.Assert(kinds[k], qt.IsTrue, qt.Commentf("%s", k))
	}
}
