package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/webservice"
)

// Bounds of the guarantees, from the platform's settings and documentation.
const (
	settleTime         = 4 * time.Second // time without disturbances after which time bounds apply
	maxConfigDelay     = 3 * time.Second // from the write to the last request under an older configuration
	maxDrainDelay      = 2 * time.Second
	maxVersionDelay    = 5 * time.Second
	minHolderChange    = 3 * time.Second        // between orders of successive lease holders
	delayedOrderWindow = 300 * time.Millisecond // after a disturbance, in which a link may deliver orders that it held back
	gracePeriod        = 8 * time.Second
	maxRejectTime      = 200 * time.Millisecond // from sending a request to its drop by a stopping daemon
	deadlineTolerance  = 500 * time.Millisecond
	// configRollbackTolerance allows for slow daemons, as all daemons of a run share one
	// machine.
	configRollbackTolerance = 2 * time.Second
	maxAttempts             = 2
	maxRareCases            = 3   // tolerated cases of a rare race per run
	requestsPerClientError  = 500 // number of requests for which one further client error is tolerated
	baseClientErrors        = 5
	maxLateAnswers          = 8
	minTailServed           = 0.25
	tailPeriod              = 4 * time.Second // period at the end of the run in which Result.Tail is measured
)

// Violation describes a case in which a guarantee did not hold.
type Violation struct {
	Guarantee string
	Detail    string
}

func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// Result is the result of checking a run.
type Result struct {
	Violations []Violation
	Checked    map[string]int // number of cases by guarantee
	Served     float64        // share of requests served in the whole run
	Tail       float64        // share of requests served at the end of the recovery
}

// checker checks one history and collects the result in v.
type checker struct {
	h          *History
	executions map[string][]Execution
	requests   map[string]*ClientRequest
	v          Result
}

// Check verifies that every guarantee holds in a history.
func Check(h *History) Result {
	h.sort()
	c := &checker{h: h, executions: h.executionsByRequest(), requests: make(map[string]*ClientRequest, len(h.Requests)), v: Result{Checked: make(map[string]int)}}
	for i := range h.Requests {
		c.requests[h.Requests[i].ID] = &h.Requests[i]
	}
	for _, check := range []func(){
		c.checkUnknownRequests, c.checkAtMostOnce, c.checkRefusals, c.checkAnswers, c.checkRoutes, c.checkConfigDelay, c.checkConfigRollback, c.checkVersionDelay, c.checkDrains,
		c.checkOrders, c.checkLostRequests, c.checkDeadlines, c.checkClientErrors, c.checkAttempts, c.checkProcesses, c.checkCrashingPart, c.checkRecovery,
	} {
		check()
	}
	return c.v
}

// expect counts one case of a guarantee and records a violation if ok is false.
func (c *checker) expect(guarantee string, ok bool, format string, args ...any) {
	c.v.Checked[guarantee]++
	if !ok {
		c.v.Violations = append(c.v.Violations, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
}

// at formats a time as seconds since the start of traffic.
func (c *checker) at(t time.Time) string {
	return fmt.Sprintf("%.2f s", t.Sub(c.h.TrafficStart).Seconds())
}

func (c *checker) checkUnknownRequests() {
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		ok := a != nil && a.Path == r.Path && a.Body == r.Body && (r.Service != engineService || strings.HasSuffix(a.Model, "/"+r.Adapter))
		c.expect("upstreams run only requests that callers sent, unchanged", ok, "%s ran %q at %s", r.Upstream, r.RequestID, c.at(r.At))
	}
}

func (c *checker) checkAtMostOnce() {
	for id, a := range c.requests {
		if a.Class == ClassCharge {
			c.expect("a non-idempotent request runs at most once", len(c.executions[id]) <= 1, "%s ran %d times", id, len(c.executions[id]))
		}
	}
}

// statesNotRun reports whether a status states that the request has not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *checker) checkRefusals() {
	for id, a := range c.requests {
		if a.Class == ClassCharge && statesNotRun(a.Answer.Status) {
			c.expect("a request refused as not run did not run", len(c.executions[id]) == 0, "%s got %d and ran", id, a.Answer.Status)
		}
	}
}

func (c *checker) checkAnswers() {
	for id, a := range c.requests {
		ans := a.Answer
		if ans.Status == 0 {
			continue
		}
		if ans.Status != http.StatusOK {
			c.expect("an error answer carries no signature of a successful upstream answer", !ans.Signed, "%s got %d", id, ans.Status)
			continue
		}
		c.expect("a success is an upstream's answer to the same request", ans.Signed && ans.RequestID == id && len(c.executions[id]) > 0,
			"%s: signed %v, answer to %q, %d executions", id, ans.Signed, ans.RequestID, len(c.executions[id]))
		if a.Stream {
			whole := true
			for i, event := range ans.Events {
				whole = whole && i == event
			}
			c.expect("stream events arrive once and in order", whole, "%s got %v", id, ans.Events)
			c.expect("a stream that ends as complete has all its events", !ans.Complete || len(ans.Events) == c.h.StreamEvents, "%s ended after %d events", id, len(ans.Events))
			continue
		}
		found := false
		for _, r := range c.executions[id] {
			found = found || ans.Body == webservice.Answer(r.Service, id)
		}
		c.expect("a complete body is the whole body of an upstream", !ans.Complete || found, "%s got %q", id, ans.Body)
	}
}

func (c *checker) checkRoutes() {
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		if a == nil {
			continue
		}
		ok := true
		switch a.Class {
		case ClassChat:
			ok = r.Service == engineService
		case ClassAsk:
			ok = r.Service == engineService || r.Service == serviceName(0)
		case ClassFixed:
			ok = r.Service == serviceName(0)
		case ClassRead, ClassCharge:
			ok = r.Service != engineService
		}
		c.expect("a request runs only on a service of its route", ok, "%s ran at %s", r.RequestID, r.Service)
	}
}

// allowed reports whether a service is named by a configuration whose version is first or
// newer and whose write was sent by the time before.
func (c *checker) allowed(service string, first int, before time.Time) bool {
	for _, k := range c.h.Configs {
		if k.Version >= first && k.Service == service && !k.Sent.After(before) {
			return true
		}
	}
	return false
}

func (c *checker) checkConfigDelay() {
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		if a == nil || a.Class != ClassRead && a.Class != ClassCharge || !c.h.settled(a.Daemon, r.Upstream, a.Answer.StartedAt, r.At) {
			continue
		}
		first := 0
		for _, k := range c.h.Configs {
			if k.Acked.Add(maxConfigDelay).Before(a.Answer.StartedAt) {
				first = k.Version
			}
		}
		c.expect("a new configuration takes effect in time", c.allowed(r.Service, first, r.At), "%s ran on %s at %s under a configuration older than %d, daemon %d",
			r.RequestID, r.Service, c.at(r.At), first, a.Daemon)
	}
}

func (c *checker) checkConfigRollback() {
	type effect struct {
		at      time.Time
		version int
	}
	seen := make(map[int][]effect) // by incarnation, in ascending order of version
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		if a == nil || a.Class != ClassRead && a.Class != ClassCharge {
			continue
		}
		incarnation := c.h.incarnation(a.Daemon, a.Answer.StartedAt)
		if incarnation < 0 || !c.h.undisturbed(a.Daemon, r.Upstream, a.Answer.StartedAt, r.At) {
			continue
		}
		floor, last := 0, 0
		for _, e := range seen[incarnation] {
			if e.at.Add(configRollbackTolerance).Before(a.Answer.StartedAt) {
				floor = e.version
			}
			last = e.version
		}
		ok := c.allowed(r.Service, floor, r.At)
		c.expect("a daemon does not return to an older configuration", ok, "%s ran on %s at %s after version %d, daemon %d",
			r.RequestID, r.Service, c.at(r.At), floor, a.Daemon)
		for _, k := range c.h.Configs {
			if k.Version >= last && k.Service == r.Service && !k.Sent.After(r.At) {
				if k.Version > last {
					seen[incarnation] = append(seen[incarnation], effect{r.At, k.Version})
				}
				break
			}
		}
	}
}

func (c *checker) checkVersionDelay() {
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		if a == nil || r.Service != engineService || !c.h.onlyPlannedStops(r.At.Add(-maxVersionDelay-settleTime), r.At) || !c.h.settled(a.Daemon, r.Upstream, r.At, r.At) {
			continue
		}
		newest := 1
		for _, v := range c.h.Versions {
			if v.Adapter == r.Adapter && v.Acked.Add(maxVersionDelay).Before(r.At) {
				newest = max(newest, v.Version)
			}
		}
		c.expect("a new adapter version takes effect in time", r.Version >= newest, "%s started at %s on version %d of %s, newest %d",
			r.RequestID, c.at(r.At), r.Version, r.Adapter, newest)
	}
}

func (c *checker) checkDrains() {
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		if a == nil || !c.h.settled(a.Daemon, r.Upstream, r.At.Add(-maxDrainDelay), r.At) {
			continue
		}
		for _, d := range c.h.Drains {
			if d.Upstream == r.Upstream {
				tooLate := r.At.After(d.From.Add(maxDrainDelay)) && r.At.Before(d.To)
				c.expect("a draining upstream gets no requests", !tooLate, "%s ran on %s at %s, draining since %s", r.RequestID, r.Upstream, c.at(r.At), c.at(d.From))
			}
		}
	}
}

func (c *checker) checkOrders() {
	for _, name := range c.h.OverfullEngines {
		c.expect("an engine is not ordered to load more adapters than fit", false, "%s", name)
	}
	for name, list := range c.h.Orders {
		for i := 1; i < len(list); i++ {
			previous, o := list[i-1], list[i]
			c.expect("a fencing token belongs to one lease holder", previous.Fence != o.Fence || previous.Owner == o.Owner, "%s: %s and %s with token %d", name, previous.Owner, o.Owner, o.Fence)
			if c.orderMayBeDelayed(o.At, name) {
				continue
			}
			c.expect("fencing tokens do not decrease", o.Fence >= previous.Fence, "%s: token %d after %d at %s", name, o.Fence, previous.Fence, c.at(o.At))
			changed := previous.Owner != o.Owner && o.At.Sub(previous.At) < minHolderChange
			c.expect("the lease holder does not change within a lease", !changed, "%s: %s %.2f s after %s at %s", name, o.Owner, o.At.Sub(previous.At).Seconds(), previous.Owner, c.at(o.At))
		}
	}
}

// orderMayBeDelayed reports whether a disturbance lasted until delayedOrderWindow before a
// time or longer. The upstream may then receive an order long after the order was sent.
func (c *checker) orderMayBeDelayed(at time.Time, upstream string) bool {
	for _, s := range c.h.Disturbances {
		if (s.Upstream == "" || s.Upstream == upstream) && s.From.Before(at) && s.To.Add(delayedOrderWindow).After(at) {
			return true
		}
	}
	return false
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func (c *checker) checkLostRequests() {
	closed := 0
	var last string
	for id, a := range c.requests {
		ans := a.Answer
		if !ans.Written || ans.Complete || isTimeout(ans.Err) {
			continue
		}
		runs := c.executions[id]
		ran := len(runs) > 0
		if ran && runs[len(runs)-1].BrokeOff { // the answer must look broken off
			continue
		}
		if ran && ans.Reused && c.h.settled(a.Daemon, c.executions[id][0].Upstream, ans.StartedAt, ans.EndedAt) {
			closed++
			last = fmt.Sprintf("%s, %s at daemon %d from %s to %s, ran at %s, status %d, %d events: %v", id, a.Class, a.Daemon, c.at(ans.StartedAt), c.at(ans.EndedAt),
				c.executions[id][0].Upstream, ans.Status, len(ans.Events), ans.Err)
		}
		for _, l := range c.h.Incarnations {
			duringStop := l.Daemon == a.Daemon && !l.Stopped.IsZero() && ans.EndedAt.After(l.Stopped) && ans.EndedAt.Before(l.Stopped.Add(gracePeriod+time.Second))
			if duringStop && c.h.onlyPlannedStops(ans.StartedAt.Add(-settleTime), ans.EndedAt) {
				c.expect("a planned stop loses no request", !ran && ans.EndedAt.Sub(ans.StartedAt) <= maxRejectTime, "%s at daemon %d, SIGTERM at %s, ended at %s: %v",
					id, a.Daemon, c.at(l.Stopped), c.at(ans.EndedAt), ans.Err)
			}
		}
	}
	c.expect("a kept-alive connection is not closed during a request", closed <= maxRareCases, "%d times, last: %s", closed, last)
}

func (c *checker) checkDeadlines() {
	late, long := 0, 0
	for _, a := range c.requests {
		took := a.Answer.EndedAt.Sub(a.Answer.StartedAt)
		if took < a.Deadline || !c.h.settled(a.Daemon, "", a.Answer.StartedAt, a.Answer.EndedAt) {
			continue
		}
		long++
		if took > a.Deadline+deadlineTolerance {
			late++
		}
	}
	c.expect("requests end at their deadlines", late < maxLateAnswers || late*4 <= long, "%d of %d ended later", late, long)
}

func (c *checker) checkClientErrors() {
	clientErrors, unconnected, last := 0, 0, ""
	for _, a := range c.requests {
		status := a.Answer.Status
		if !c.h.settled(a.Daemon, "", a.Answer.StartedAt, a.Answer.EndedAt) {
			continue
		}
		if status >= 300 && status < 500 && !statesNotRun(status) {
			clientErrors++
		}
		if !a.Answer.Written && status == 0 {
			unconnected++
			last = fmt.Sprintf("%s at daemon %d from %s to %s: %v", a.ID, a.Daemon, c.at(a.Answer.StartedAt), c.at(a.Answer.EndedAt), a.Answer.Err)
		}
	}
	c.expect("valid requests get no redirect or client error", clientErrors <= baseClientErrors+len(c.requests)/requestsPerClientError, "%d of %d", clientErrors, len(c.requests))
	c.expect("a ready daemon accepts connections", unconnected <= maxRareCases, "%d failed, last: %s", unconnected, last)
}

func (c *checker) checkAttempts() {
	exceeded := 0
	for id := range c.requests {
		at := make(map[string]bool)
		for _, r := range c.executions[id] {
			at[r.Upstream] = true
		}
		if len(at) > maxAttempts {
			exceeded++
		}
	}
	c.expect("requests stay within their attempts", exceeded <= maxRareCases, "%d ran on more upstreams", exceeded)
}

func (c *checker) checkProcesses() {
	for _, l := range c.h.Incarnations {
		switch {
		case l.Killed:
		case l.Stopped.IsZero():
			c.expect("a daemon does not exit by itself", l.Ended.IsZero(), "daemon %d exited at %s with code %d", l.Daemon, c.at(l.Ended), l.Code)
		default:
			c.expect("a daemon exits within the grace period", !l.Ended.IsZero() && l.Code == 0 && (l.Ended.Sub(l.Stopped) <= gracePeriod ||
				!c.h.onlyPlannedStops(l.Stopped, l.Ended)), "daemon %d, SIGTERM at %s, exited at %s with code %d", l.Daemon, c.at(l.Stopped), c.at(l.Ended), l.Code)
		}
	}
}

func (c *checker) checkRecovery() {
	served, tail, tailServed := 0, 0, 0
	for _, a := range c.requests {
		ok := a.Answer.Status == http.StatusOK && a.Answer.Complete
		if ok {
			served++
		}
		if a.Answer.StartedAt.After(c.h.TrafficEnd.Add(-tailPeriod)) {
			tail++
			if ok {
				tailServed++
			}
		}
	}
	c.v.Served = float64(served) / float64(max(1, len(c.requests)))
	c.v.Tail = float64(tailServed) / float64(max(1, tail))
	c.expect("requests are served again after the last fault", c.v.Tail >= minTailServed, "%.2f of %d requests served", c.v.Tail, tail)
}
