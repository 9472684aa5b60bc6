package hedge

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// event is a function that runs at a time of the replay.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// replay is a service in virtual time. A daemon sends each request to the upstream with the fewest
// requests. An upstream finishes a request whose response nobody waits for.
type replay struct {
	upstreams, slow int     // the slow ones need five times as long
	lost            float64 // share of the responses that the first upstream loses
	perSecond       float64
	limits          Limits
	slowFrom        time.Duration // from then on all upstreams need five times as long

	now, start time.Time
	queue      events
	rng        *rand.Rand
	policy     *Policy
	busy       []int
	backlog    [][]func() // by upstream, beyond its slots
	times      []time.Duration
	hedges     int
	lastHedge  time.Duration
}

const (
	replaySlots   = 6
	replayTime    = 60 * time.Second
	replayService = 20 * time.Millisecond
)

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.queue, event{r.now.Add(d), do}) }

func (r *replay) fill() float64 {
	sum := 0
	for i := range r.busy {
		sum += r.busy[i] + len(r.backlog[i])
	}
	return float64(sum) / float64(replaySlots*r.upstreams)
}

func (r *replay) choose(except int) int {
	best, first := -1, r.rng.IntN(r.upstreams)
	for n := range r.upstreams {
		i := (first + n) % r.upstreams
		if i != except && (best < 0 || r.busy[i]+len(r.backlog[i]) < r.busy[best]+len(r.backlog[best])) {
			best = i
		}
	}
	return best
}

// send runs a request at an upstream.
func (r *replay) send(i int, answered func()) {
	if r.busy[i] >= replaySlots {
		r.backlog[i] = append(r.backlog[i], func() { r.send(i, answered) })
		return
	}
	r.busy[i]++
	d := time.Duration(float64(replayService) * (0.5 + r.rng.Float64()))
	if i < r.slow || r.slowFrom > 0 && r.now.Sub(r.start) >= r.slowFrom {
		d *= 5
	}
	isLost := i == 0 && r.rng.Float64() < r.lost
	r.after(d, func() {
		r.busy[i]--
		if !isLost {
			answered()
		}
		if len(r.backlog[i]) > 0 {
			next := r.backlog[i][0]
			r.backlog[i] = r.backlog[i][1:]
			next()
		}
	})
}

var lookup = Kind{"/lookup/", "app"}

func (r *replay) request() {
	begin, isDone, isRetried := r.now, false, false
	first := r.choose(-1)
	done := func() {
		if isDone {
			return
		}
		isDone = true
		r.policy.Observe(r.now, lookup, r.now.Sub(begin))
		r.times = append(r.times, r.now.Sub(begin))
	}
	r.policy.RecordRequest(r.now)
	r.send(first, done)
	again := func() {
		isRetried = true
		r.send(r.choose(first), done)
	}
	if delay, ok := r.policy.Delay(r.now, lookup); ok {
		r.after(delay, func() {
			if !isDone && r.policy.Take(r.now, r.fill()) == Allowed {
				r.hedges++
				r.lastHedge = r.now.Sub(r.start)
				again()
			}
		})
	}
	r.after(300*time.Millisecond, func() { // the attempt timeout
		if !isDone && !isRetried && r.lost > 0 {
			again()
		}
	})
}

func (r replay) run() *replay {
	r.start = time.Unix(1e9, 0)
	r.now, r.rng = r.start, rand.New(rand.NewPCG(1, 2))
	r.policy, r.busy, r.backlog = New(r.limits, r.now), make([]int, r.upstreams), make([][]func(), r.upstreams)
	var arrive func()
	arrive = func() {
		if r.now.Sub(r.start) < replayTime {
			r.request()
			r.after(time.Duration(r.rng.ExpFloat64()/r.perSecond*1e9), arrive)
		}
	}
	arrive()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	slices.Sort(r.times)
	return &r
}

func (r *replay) percentile(p float64) time.Duration {
	return r.times[int(p*float64(len(r.times)))]
}

var twoPercent = Limits{Share: 0.02, MaxFill: 0.7}

// Guards against hedges that help nobody, that go beyond the share, or that take room from others
// at full load.
func TestHedgesUnderPatternsOfLoad(t *testing.T) {
	for name, test := range map[string]struct {
		load  replay
		check func(c *qt.C, off, on *replay)
	}{
		"calm": {replay{upstreams: 4, perSecond: 200}, func(c *qt.C, _, on *replay) {
			c.Assert(on.hedges < 20, qt.IsTrue)
		}},
		"one slow upstream": {replay{upstreams: 4, slow: 1, perSecond: 200}, func(c *qt.C, off, on *replay) {
			c.Assert(on.percentile(0.95) < off.percentile(0.95)*19/20, qt.IsTrue)
		}},
		"ten slow upstreams of 40": {replay{upstreams: 40, slow: 10, perSecond: 2000}, func(c *qt.C, off, on *replay) {
			c.Assert(on.percentile(0.999) <= off.percentile(0.999), qt.IsTrue)
		}},
		"one upstream loses responses": {replay{upstreams: 4, lost: 0.05, perSecond: 200}, func(c *qt.C, off, on *replay) {
			c.Assert(on.percentile(0.99) < off.percentile(0.99)*2/3, qt.IsTrue)
		}},
		"all become slow": {replay{upstreams: 4, slowFrom: replayTime / 4, perSecond: 100}, func(c *qt.C, _, on *replay) {
			delay, _ := on.policy.Delay(on.now, lookup)
			c.Assert(delay > 5*replayService, qt.IsTrue, qt.Commentf("the delay of %s does not follow the usual time", delay))
		}},
		"full load": {replay{upstreams: 4, perSecond: 1150}, func(c *qt.C, _, on *replay) {
			c.Assert(on.hedges, qt.Equals, 0)
		}},
		"full load and a slow upstream": {replay{upstreams: 4, slow: 1, perSecond: 1000}, func(c *qt.C, _, on *replay) {
			c.Assert(on.lastHedge < 5*time.Second, qt.IsTrue, qt.Commentf("a hedge after the upstreams have filled"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			off := test.load.run()
			test.load.limits = twoPercent
			on := test.load.run()
			c.Assert(off.hedges, qt.Equals, 0)
			c.Assert(float64(on.hedges) <= twoPercent.Share*float64(len(on.times))+maxSaved, qt.IsTrue, qt.Commentf("%d hedges of %d requests", on.hedges, len(on.times)))
			test.check(c, off, on)
		})
	}
}

// Guards against hedges while upstreams have no room although few requests are in flight.
func TestRefusalsTurnHedgesOffForAWhile(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	p := New(Limits{Share: 1, MaxFill: 0.7}, now)
	for range 100 {
		p.RecordRequest(now)
	}
	c.Assert(p.Take(now, 0.7), qt.Equals, Allowed)
	c.Assert(p.Take(now, 0.71), qt.Equals, OverFill)
	c.Assert(p.Take(now, math.NaN()), qt.Equals, OverFill)
	for range 3 {
		p.RecordRefusal(now)
	}
	c.Assert(p.Take(now, 0), qt.Equals, Refusals)
	now = now.Add(2 * refusalWindow)
	for range maxSaved - 1 {
		c.Assert(p.Take(now, 0), qt.Equals, Allowed)
	}
	c.Assert(p.Take(now, 0), qt.Equals, NoShare)
	p.Return()
	c.Assert(p.Take(now, 0), qt.Equals, Allowed)
}

// Guards against a delay from too few or outdated response times, and against memory that grows
// with names of routes.
func TestTheDelayNeedsRecentResponseTimes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	p := New(twoPercent, now)
	for i := range minSamples {
		_, ok := p.Delay(now, lookup)
		c.Assert(ok, qt.IsFalse)
		p.Observe(now, lookup, time.Duration(i)*time.Microsecond)
	}
	delay, ok := p.Delay(now, lookup)
	c.Assert(ok, qt.IsTrue)
	c.Assert(delay, qt.Equals, minDelay)
	now = now.Add(2 * sampleWindow)
	_, ok = p.Delay(now, lookup)
	c.Assert(ok, qt.IsFalse)
	for i := range 2 * maxKinds {
		p.Observe(now, Kind{Route: string(rune(i))}, time.Hour)
	}
	c.Assert(len(p.kinds), qt.Equals, maxKinds)
	c.Assert(p.kinds[lookup], qt.IsNil)
}

func TestTheBoundOfABucketIsAboveItsDurations(t *testing.T) {
	for us := int64(0); us < 60e6; us += 1 + us/100 {
		d := time.Duration(us) * time.Microsecond
		bound := upperBound(bucketOf(d))
		qt.Assert(t, bound > d && bound <= d+d/8+time.Microsecond, qt.IsTrue, qt.Commentf("%s: %s", d, bound))
	}
}
