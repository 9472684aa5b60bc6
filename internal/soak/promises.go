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

// Bounds of the promises, as the platform's settings and pages state them.
const (
	stable       = 4 * time.Second
	applyWithin  = 3 * time.Second
	drainWithin  = 2 * time.Second
	versionAfter = 5 * time.Second
	leaseTurn    = 3 * time.Second
	afterHeal    = 300 * time.Millisecond // orders that come late over a link that healed
	grace        = 8 * time.Second
	lossSlack    = 200 * time.Millisecond
	heldSlack    = 500 * time.Millisecond
	// downgradeAfter is for a slowed machine; all daemons share one here.
	downgradeAfter = 2 * time.Second
	attempts       = 2
	allowedFew     = 3   // cases of a kind that a run may have
	deniedEvery    = 500 // requests of which one may be denied
	deniedFew      = 5
	heldFew        = 8
	recoveredShare = 0.25
	recoveredTail  = 4 * time.Second // of the recovery, in which requests must be served
)

// Broken is a promise that did not hold.
type Broken struct {
	Promise string
	Detail  string
}

func (b Broken) String() string { return b.Promise + ": " + b.Detail }

// Verdict is the outcome of the checks.
type Verdict struct {
	Broken  []Broken
	Checked map[string]int // cases by promise
	Served  float64        // share of the requests that were served
	Tail    float64        // share at the end of the recovery
}

type checker struct {
	h    *History
	runs map[string][]Ran
	asks map[string]*Asked
	v    Verdict
}

// Check holds a history against the promises.
func Check(h *History) Verdict {
	h.sort()
	c := &checker{h: h, runs: h.runsOf(), asks: make(map[string]*Asked, len(h.Asks)), v: Verdict{Checked: make(map[string]int)}}
	for i := range h.Asks {
		c.asks[h.Asks[i].ID] = &h.Asks[i]
	}
	for _, check := range []func(){
		c.unasked, c.twice, c.refused, c.answers, c.routes, c.configuration, c.downgrade, c.versions, c.drains,
		c.orders, c.lost, c.held, c.denied, c.tries, c.processes, c.recovery,
	} {
		check()
	}
	return c.v
}

func (c *checker) holds(promise string, ok bool, format string, args ...any) {
	c.v.Checked[promise]++
	if !ok {
		c.v.Broken = append(c.v.Broken, Broken{promise, fmt.Sprintf(format, args...)})
	}
}

// at writes a time as seconds of traffic.
func (c *checker) at(t time.Time) string { return fmt.Sprintf("%.2f s", t.Sub(c.h.Begin).Seconds()) }

func (c *checker) unasked() {
	for _, r := range c.h.Runs {
		a := c.asks[r.RequestID]
		ok := a != nil && a.Path == r.Path && a.Body == r.Body && (a.Class != ClassChat || strings.HasSuffix(a.Model, "/"+r.Adapter))
		c.holds("only what callers sent runs, unchanged", ok, "%s ran %q at %s", r.Upstream, r.RequestID, c.at(r.At))
	}
}

func (c *checker) twice() {
	for id, a := range c.asks {
		if a.Class == ClassCharge {
			c.holds("a request that must not repeat runs once at most", len(c.runs[id]) <= 1, "%s ran %d times", id, len(c.runs[id]))
		}
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *checker) refused() {
	for id, a := range c.asks {
		if a.Class == ClassCharge && promisesNotRun(a.Answer.Status) {
			c.holds("a refusal is true", len(c.runs[id]) == 0, "%s got %d and ran", id, a.Answer.Status)
		}
	}
}

func (c *checker) answers() {
	for id, a := range c.asks {
		ans := a.Answer
		if ans.Status == 0 {
			continue
		}
		if ans.Status != http.StatusOK {
			c.holds("a failure is not signed by an upstream that answered well", !ans.Signed, "%s got %d", id, ans.Status)
			continue
		}
		c.holds("a success is an upstream's answer to this request", ans.Signed && ans.RequestID == id && len(c.runs[id]) > 0,
			"%s: signed %v, for %q, %d runs", id, ans.Signed, ans.RequestID, len(c.runs[id]))
		if a.Class == ClassChat {
			whole := true
			for i, event := range ans.Events {
				whole = whole && i == event
			}
			c.holds("events come once and in order", whole, "%s got %v", id, ans.Events)
			c.holds("a stream that ends as complete is complete", !ans.Complete || len(ans.Events) == c.h.Events, "%s ended after %d events", id, len(ans.Events))
			continue
		}
		found := false
		for _, r := range c.runs[id] {
			found = found || ans.Body == webservice.Answer(r.Service, id)
		}
		c.holds("a body is an upstream's whole body", !ans.Complete || found, "%s got %q", id, ans.Body)
	}
}

func (c *checker) routes() {
	for _, r := range c.h.Runs {
		a := c.asks[r.RequestID]
		if a == nil {
			continue
		}
		ok := true
		switch a.Class {
		case ClassChat:
			ok = r.Service == chatService
		case ClassFixed:
			ok = r.Service == serviceName(0)
		case ClassRead, ClassCharge:
			ok = r.Service != chatService
		}
		c.holds("a request runs only at a service of its route", ok, "%s ran at %s", r.RequestID, r.Service)
	}
}

// allowed reports whether a version from first on, sent before a time, names a service.
func (c *checker) allowed(service string, first int, before time.Time) bool {
	for _, k := range c.h.Configs {
		if k.Version >= first && k.Service == service && !k.Sent.After(before) {
			return true
		}
	}
	return false
}

func (c *checker) configuration() {
	for _, r := range c.h.Runs {
		a := c.asks[r.RequestID]
		if a == nil || a.Class != ClassRead && a.Class != ClassCharge || !c.h.inTouch(a.Daemon, r.Upstream, a.Answer.StartedAt, r.At) {
			continue
		}
		first := 0
		for _, k := range c.h.Configs {
			if k.Acked.Add(applyWithin).Before(a.Answer.StartedAt) {
				first = k.Version
			}
		}
		c.holds("a new configuration is in force in time", c.allowed(r.Service, first, r.At), "%s ran at %s at %s under a configuration older than %d, daemon %d",
			r.RequestID, r.Service, c.at(r.At), first, a.Daemon)
	}
}

func (c *checker) downgrade() {
	type effect struct {
		at      time.Time
		version int
	}
	seen := make(map[int][]effect) // by life, with rising versions
	for _, r := range c.h.Runs {
		a := c.asks[r.RequestID]
		if a == nil || a.Class != ClassRead && a.Class != ClassCharge {
			continue
		}
		life := c.h.life(a.Daemon, a.Answer.StartedAt)
		if life < 0 || !c.h.undisturbed(a.Daemon, r.Upstream, a.Answer.StartedAt, r.At) {
			continue
		}
		floor, last := 0, 0
		for _, e := range seen[life] {
			if e.at.Add(downgradeAfter).Before(a.Answer.StartedAt) {
				floor = e.version
			}
			last = e.version
		}
		ok := c.allowed(r.Service, floor, r.At)
		c.holds("a daemon does not go back to an older configuration", ok, "%s ran at %s at %s after version %d, daemon %d",
			r.RequestID, r.Service, c.at(r.At), floor, a.Daemon)
		for _, k := range c.h.Configs {
			if k.Version >= last && k.Service == r.Service && !k.Sent.After(r.At) {
				if k.Version > last {
					seen[life] = append(seen[life], effect{r.At, k.Version})
				}
				break
			}
		}
	}
}

func (c *checker) versions() {
	for _, r := range c.h.Runs {
		a := c.asks[r.RequestID]
		if a == nil || a.Class != ClassChat || !c.h.calm(r.At.Add(-versionAfter-stable), r.At) || !c.h.inTouch(a.Daemon, r.Upstream, r.At, r.At) {
			continue
		}
		newest := 1
		for _, v := range c.h.Versions {
			if v.Adapter == r.Adapter && v.Acked.Add(versionAfter).Before(r.At) {
				newest = max(newest, v.Version)
			}
		}
		c.holds("a new version of an adapter is in effect in time", r.Version >= newest, "%s began at %s on version %d of %s, not %d",
			r.RequestID, c.at(r.At), r.Version, r.Adapter, newest)
	}
}

func (c *checker) drains() {
	for _, r := range c.h.Runs {
		a := c.asks[r.RequestID]
		if a == nil || !c.h.inTouch(a.Daemon, r.Upstream, r.At.Add(-drainWithin), r.At) {
			continue
		}
		for _, d := range c.h.Drains {
			if d.Upstream == r.Upstream {
				late := r.At.After(d.From.Add(drainWithin)) && r.At.Before(d.To)
				c.holds("a draining upstream gets no requests", !late, "%s ran at %s at %s, draining since %s", r.RequestID, r.Upstream, c.at(r.At), c.at(d.From))
			}
		}
	}
}

func (c *checker) orders() {
	for _, name := range c.h.Overfull {
		c.holds("an engine is not ordered to hold too much", false, "%s", name)
	}
	for name, list := range c.h.Orders {
		for i := 1; i < len(list); i++ {
			before, o := list[i-1], list[i]
			c.holds("one token names one holder", before.Fence != o.Fence || before.Owner == o.Owner, "%s: %s and %s with %d", name, before.Owner, o.Owner, o.Fence)
			if c.healed(o.At, name) {
				continue
			}
			c.holds("tokens do not fall", o.Fence >= before.Fence, "%s: %d after %d at %s", name, o.Fence, before.Fence, c.at(o.At))
			turn := before.Owner != o.Owner && o.At.Sub(before.At) < leaseTurn
			c.holds("holders do not take turns within a lease", !turn, "%s: %s %.2f s after %s at %s", name, o.Owner, o.At.Sub(before.At).Seconds(), before.Owner, c.at(o.At))
		}
	}
}

// healed reports whether something was disturbed until just before a time, so that an
// order could come late.
func (c *checker) healed(at time.Time, upstream string) bool {
	for _, s := range c.h.Spans {
		if (s.Upstream == "" || s.Upstream == upstream) && s.From.Before(at) && s.To.Add(afterHeal).After(at) {
			return true
		}
	}
	return false
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func (c *checker) lost() {
	few := 0
	var last string
	for id, a := range c.asks {
		ans := a.Answer
		if !ans.Written || ans.Complete || isTimeout(ans.Err) {
			continue
		}
		ran := len(c.runs[id]) > 0
		if ran && ans.Reused && c.h.inTouch(a.Daemon, c.runs[id][0].Upstream, ans.StartedAt, ans.EndedAt) {
			few++
			last = fmt.Sprintf("%s, %s at daemon %d from %s to %s, ran at %s, status %d, %d events: %v", id, a.Class, a.Daemon, c.at(ans.StartedAt), c.at(ans.EndedAt),
				c.runs[id][0].Upstream, ans.Status, len(ans.Events), ans.Err)
		}
		for _, l := range c.h.Lives {
			around := l.Daemon == a.Daemon && !l.Stopped.IsZero() && ans.EndedAt.After(l.Stopped) && ans.EndedAt.Before(l.Stopped.Add(grace+time.Second))
			if around && c.h.calm(ans.StartedAt.Add(-stable), ans.EndedAt) {
				c.holds("a planned stop loses no request", !ran && ans.EndedAt.Sub(ans.StartedAt) <= lossSlack, "%s at daemon %d, SIGTERM at %s, ended at %s: %v",
					id, a.Daemon, c.at(l.Stopped), c.at(ans.EndedAt), ans.Err)
			}
		}
	}
	c.holds("kept connections are not closed under a request", few <= allowedFew, "%d times, last %s", few, last)
}

func (c *checker) held() {
	held, long := 0, 0
	for _, a := range c.asks {
		took := a.Answer.EndedAt.Sub(a.Answer.StartedAt)
		if took < a.Deadline || !c.h.inTouch(a.Daemon, "", a.Answer.StartedAt, a.Answer.EndedAt) {
			continue
		}
		long++
		if took > a.Deadline+heldSlack {
			held++
		}
	}
	c.holds("requests end at their deadlines", held < heldFew || held*4 <= long, "%d of %d did not", held, long)
}

func (c *checker) denied() {
	denied, unready, last := 0, 0, ""
	for _, a := range c.asks {
		status := a.Answer.Status
		if !c.h.inTouch(a.Daemon, "", a.Answer.StartedAt, a.Answer.EndedAt) {
			continue
		}
		if status >= 300 && status < 500 && !promisesNotRun(status) {
			denied++
		}
		if !a.Answer.Written && status == 0 {
			unready++
			last = fmt.Sprintf("%s at daemon %d from %s to %s: %v", a.ID, a.Daemon, c.at(a.Answer.StartedAt), c.at(a.Answer.EndedAt), a.Answer.Err)
		}
	}
	c.holds("proper requests are not denied", denied <= deniedFew+len(c.asks)/deniedEvery, "%d of %d", denied, len(c.asks))
	c.holds("a ready daemon takes connections", unready <= allowedFew, "%d failed, last %s", unready, last)
}

func (c *checker) tries() {
	over := 0
	for id := range c.asks {
		at := make(map[string]bool)
		for _, r := range c.runs[id] {
			at[r.Upstream] = true
		}
		if len(at) > attempts {
			over++
		}
	}
	c.holds("requests keep to their attempts", over <= allowedFew, "%d did not", over)
}

func (c *checker) processes() {
	for _, l := range c.h.Lives {
		switch {
		case l.Killed:
		case l.Stopped.IsZero():
			c.holds("a daemon does not end by itself", l.Ended.IsZero(), "daemon %d at %s with %d", l.Daemon, c.at(l.Ended), l.Code)
		default:
			c.holds("a daemon ends within the grace", !l.Ended.IsZero() && l.Code == 0 && (l.Ended.Sub(l.Stopped) <= grace ||
				!c.h.calm(l.Stopped, l.Ended)), "daemon %d, SIGTERM at %s, ended at %s with %d", l.Daemon, c.at(l.Stopped), c.at(l.Ended), l.Code)
		}
	}
}

func (c *checker) recovery() {
	served, tail, tailServed := 0, 0, 0
	for _, a := range c.asks {
		ok := a.Answer.Status == http.StatusOK && a.Answer.Complete
		if ok {
			served++
		}
		if a.Answer.StartedAt.After(c.h.End.Add(-recoveredTail)) {
			tail++
			if ok {
				tailServed++
			}
		}
	}
	c.v.Served = float64(served) / float64(max(1, len(c.asks)))
	c.v.Tail = float64(tailServed) / float64(max(1, tail))
	c.holds("service is back after the last fault", c.v.Tail >= recoveredShare, "%.2f of %d requests served", c.v.Tail, tail)
}
