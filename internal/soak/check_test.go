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

// correctHistory returns a history of two daemons in which every guarantee holds. It has
// a request every 100 ms and a change of the configuration.
func correctHistory() *History {
	h := &History{
		TrafficStart: begin, TrafficEnd: at(20), RecoveryStart: at(12), StreamEvents: 3, Orders: map[string][]modelengine.Order{},
		Incarnations: []Incarnation{{Daemon: 0, From: at(-10)}, {Daemon: 1, From: at(-10)}},
		Configs:      []ConfigWrite{{Version: 1, Service: "web-1", Sent: at(-9), Acked: at(-9)}, {Version: 2, Service: "web-2", Sent: at(6), Acked: at(6)}},
	}
	for i := range 200 {
		when := at(float64(i) / 10)
		a := ClientRequest{Class: ClassCharge, Daemon: i % 2}
		a.Request = caller.Request{ID: string(rune('a' + i)), Path: "/charge/1", Body: "b", Deadline: callDeadline}
		service := "web-1"
		if i > 80 {
			service = "web-2"
		}
		if i%10 == 0 {
			a.Class, service, a.Path, a.Model, a.Stream = ClassChat, engineService, "/chat/1", "base/a1", true
		}
		a.Answer = caller.Answer{
			Status: 200, RequestID: a.ID, Signed: true, Body: webservice.Answer(service, a.ID), Complete: true, Written: true, Reused: true,
			StartedAt: when, EndedAt: when.Add(20 * time.Millisecond),
		}
		r := Execution{RequestID: a.ID, Upstream: "u-" + service, Service: service, Path: a.Path, Body: "b", At: when.Add(10 * time.Millisecond)}
		if a.Class == ClassChat {
			a.Answer.Events = []int{0, 1, 2}
			r.Adapter, r.Version = "a1", 1
		}
		h.Requests = append(h.Requests, a)
		h.Executions = append(h.Executions, r)
	}
	h.Orders["i-0"] = []modelengine.Order{{Owner: "vm-0", Fence: 5, At: at(1)}, {Owner: "vm-0", Fence: 5, At: at(2)}, {Owner: "vm-1", Fence: 9, At: at(9)}}
	return h
}

func TestCheckFindsNoViolationInACorrectHistory(t *testing.T) {
	c := qt.New(t)
	v := Check(correctHistory())
	c.Assert(v.Violations, qt.HasLen, 0)
	c.Assert(v.Served, qt.Equals, 1.0)
	c.Assert(len(v.Checked) > 15, qt.IsTrue)
}

func TestCheckFindsTheViolationOfEachGuarantee(t *testing.T) {
	charge, chat := 101, 100 // indexes of requests after the second configuration
	for _, tc := range []struct {
		guarantee string
		corrupt   func(h *History)
	}{
		{"upstreams run only requests that callers sent, unchanged", func(h *History) { h.Executions[charge].Body = "other" }},
		{"upstreams run only requests that callers sent, unchanged", func(h *History) { h.Executions[charge].RequestID = "unknown" }},
		{"a non-idempotent request runs at most once", func(h *History) { h.Executions = append(h.Executions, h.Executions[charge]) }},
		{"a request refused as not run did not run", func(h *History) { h.Requests[charge].Answer.Status = 503 }},
		{"an error answer carries no signature of a successful upstream answer", func(h *History) { h.Requests[charge].Answer.Status = 502 }},
		{"a success is an upstream's answer to the same request", func(h *History) { h.Requests[charge].Answer.RequestID = "other" }},
		{"a success is an upstream's answer to the same request", func(h *History) { h.Requests[charge].Answer.Signed = false }},
		{"stream events arrive once and in order", func(h *History) { h.Requests[chat].Answer.Events = []int{0, 2, 2} }},
		{"a stream that ends as complete has all its events", func(h *History) { h.Requests[chat].Answer.Events = []int{0, 1} }},
		{"a complete body is the whole body of an upstream", func(h *History) { h.Requests[charge].Answer.Body = "web" }},
		{"a request runs only on a service of its route", func(h *History) { h.Executions[chat].Service = "web-0" }},
		{"a new configuration takes effect in time", func(h *History) { h.Executions[charge].Service = "web-1" }},
		{"a daemon does not return to an older configuration", func(h *History) {
			h.Disturbances = append(h.Disturbances, Disturbance{From: at(11), To: at(11.1), Daemon: 1}) // suspends the time bound
			h.Executions[charge+20].Service = "web-1"
		}},
		{"a new adapter version takes effect in time", func(h *History) {
			h.Versions = append(h.Versions, VersionWrite{"a1", 2, at(4)})
		}},
		{"a draining upstream gets no requests", func(h *History) {
			h.Drains = append(h.Drains, DrainPeriod{"u-web-2", at(9), at(15)})
		}},
		{"an engine is not ordered to load more adapters than fit", func(h *History) { h.OverfullEngines = []string{"i-0"} }},
		{"a fencing token belongs to one lease holder", func(h *History) { h.Orders["i-0"][1].Owner = "vm-1" }},
		{"fencing tokens do not decrease", func(h *History) { h.Orders["i-0"][1].Fence = 4 }},
		{"the lease holder does not change within a lease", func(h *History) { h.Orders["i-0"][2].At = at(3) }},
		{"a planned stop loses no request", func(h *History) {
			h.Incarnations[1].Stopped, h.Incarnations[1].Ended = at(10), at(16)
			h.Requests[charge].Answer = caller.Answer{Written: true, Reused: true, StartedAt: at(10.1), EndedAt: at(10.2)}
		}},
		{"a kept-alive connection is not closed during a request", func(h *History) {
			for i := charge; i < charge+8; i += 2 {
				h.Requests[i].Answer.Status, h.Requests[i].Answer.Complete = 0, false
			}
		}},
		{"requests end at their deadlines", func(h *History) {
			for i := charge; i < charge+16; i++ {
				h.Requests[i].Answer.EndedAt = h.Requests[i].Answer.StartedAt.Add(3 * time.Second)
			}
		}},
		{"valid requests get no redirect or client error", func(h *History) {
			for i := charge; i < charge+14; i++ {
				h.Requests[i].Answer.Status, h.Requests[i].Answer.Signed = 404, false
			}
		}},
		{"a ready daemon accepts connections", func(h *History) {
			for i := charge; i < charge+8; i++ {
				h.Requests[i].Answer = caller.Answer{StartedAt: h.Requests[i].Answer.StartedAt, EndedAt: h.Requests[i].Answer.EndedAt}
			}
		}},
		{"requests stay within their attempts", func(h *History) {
			for i := 10; i < 60; i += 10 {
				for _, u := range []string{"u-1", "u-2"} {
					r := h.Executions[i]
					r.Upstream = u
					h.Executions = append(h.Executions, r)
				}
			}
		}},
		{"a daemon does not exit by itself", func(h *History) { h.Incarnations[0].Ended = at(15) }},
		{"a daemon exits within the grace period", func(h *History) { h.Incarnations[0].Stopped, h.Incarnations[0].Ended = at(3), at(13) }},
		{"a daemon exits within the grace period", func(h *History) {
			h.Incarnations[0].Stopped, h.Incarnations[0].Ended, h.Incarnations[0].Code = at(3), at(8), 2
		}},
		{"requests with a prompt part that crashes engines are refused", func(h *History) {
			for i := 0; i < 200; i += 10 {
				h.Requests[i].Crashes = true
			}
		}},
		{"sound requests are served beside those that crash engines", func(h *History) {
			h.Requests[0].Crashes = true
			for i := 150; i < 200; i += 10 {
				h.Requests[i].Answer.Complete = false
			}
		}},
		{"requests are served again after the last fault", func(h *History) {
			for i := 150; i < 200; i++ {
				h.Requests[i].Answer.Complete = false
			}
		}},
	} {
		t.Run(tc.guarantee, func(t *testing.T) {
			c := qt.New(t)
			h := correctHistory()
			tc.corrupt(h)
			names := make(map[string]bool)
			for _, b := range Check(h).Violations {
				names[b.Guarantee] = true
			}
			c.Assert(names[tc.guarantee], qt.IsTrue, qt.Commentf("%v", names))
		})
	}
}

func TestPlanDependsOnlyOnSeedAndSize(t *testing.T) {
	c := qt.New(t)
	kinds := make(map[EventKind]bool)
	for seed := range uint64(100) {
		plan := Plan(seed, DefaultSize())
		c.Assert(plan, qt.DeepEquals, Plan(seed, DefaultSize()))
		for _, e := range plan {
			kinds[e.Kind] = true
			c.Assert(e.At+e.For < 25*time.Second, qt.IsTrue)
		}
	}
	for _, k := range drawnKinds {
		c.Assert(kinds[k], qt.IsTrue, qt.Commentf("%s", k))
	}
}
