package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5 // of what the limit allows within limitWindow
	limitBurst  = 5   // further requests
	limitGrace  = 3 * time.Second
)

// limitedFleet simulates daemons that send requests to one upstream with a limit, without any
// message between them.
type limitedFleet struct {
	daemons  []*Tracker
	upstream *upstreams.Upstream
	now      time.Time
	limit    RateLimit
	sent     []time.Time
	random   *rand.Rand
	ticket   uint64
}

func newLimitedFleet(daemons int, seed uint64) *limitedFleet {
	f := &limitedFleet{upstream: &upstreams.Upstream{ID: "e1", Service: "llm", Slots: 64}, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2))}
	for position := range daemons {
		t := NewTracker()
		t.SetDaemons(daemons, position)
		f.daemons = append(f.daemons, t)
	}
	return f
}

// run lets requests arrive at random daemons at a rate per second for a time. Each request that is
// sent tells its daemon the limit.
func (f *limitedFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		t := f.daemons[f.random.IntN(len(f.daemons))]
		f.ticket++
		r := Request{Ticket: f.ticket, StartBy: f.now}
		if t.Admit(f.now, f.upstream, r) > 0 {
			t.Withdraw(r)
			continue
		}
		f.sent = append(f.sent, f.now)
		t.SetRateLimit(f.now, f.upstream.ID, f.limit)
		t.End(f.upstream.ID, r, false)
	}
}

// mostSince returns the most requests sent in any limitWindow that starts at a time or later.
func (f *limitedFleet) mostSince(from time.Time) float64 {
	most := 0
	for i, first := range f.sent {
		n := 0
		for _, at := range f.sent[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		if !first.Before(from) {
			most = max(most, n)
		}
	}
	return float64(most)
}

func allowed(perSecond float64) float64 {
	return limitFactor*perSecond*limitWindow.Seconds() + limitBurst
}

// TestTheSharesOfALimitDoNotExceedIt replays limits below the demand that rise and fall, at daemons
// that cannot reach each other, and ends with the limit.
func TestTheSharesOfALimitDoNotExceedIt(t *testing.T) {
	for _, daemons := range []int{1, 6, 9} {
		for seed := range uint64(20) {
			c := qt.New(t)
			f := newLimitedFleet(daemons, seed)
			for _, limit := range []float64{5.3, 2.1, 12, 2.9} {
				f.limit = RateLimit{PerSecond: limit}
				f.run(limitGrace+limitWindow, 20) // one window goes by until all windows have the new limit
				from := f.now
				f.run(20*time.Second, 20)
				c.Check(f.mostSince(from) <= allowed(limit), qt.IsTrue, qt.Commentf("%d daemons, seed %d, limit %g: %g", daemons, seed, limit, f.mostSince(from)))
				used := 0.0
				for _, at := range f.sent {
					if !at.Before(from) {
						used++
					}
				}
				c.Check(used >= 0.7*limit*20, qt.IsTrue, qt.Commentf("%d daemons, seed %d, limit %g: %g sent", daemons, seed, limit, used))
			}
			f.limit = RateLimit{Ended: true}
			f.run(10*time.Second, 20)
			from := f.now
			f.run(5*time.Second, 20)
			c.Check(f.mostSince(from) > 60, qt.IsTrue, qt.Commentf("%d daemons, seed %d: the ended limit still holds", daemons, seed))
		}
	}
}

// TestIdleDaemonsOfALargeFleetDoNotExceedALimitTogether lets all daemons know a limit, leaves the
// upstream nearly idle and then sends it a burst. Each idle daemon could hold a whole token. Under
// constant demand the limit must still be used.
func TestIdleDaemonsOfALargeFleetDoNotExceedALimitTogether(t *testing.T) {
	for _, daemons := range []int{6, 20, 70, 195} {
		for seed := range uint64(20) {
			c := qt.New(t)
			f := newLimitedFleet(daemons, seed)
			for _, limit := range []float64{2.1, 4.5} {
				f.limit = RateLimit{PerSecond: limit}
				for _, d := range f.daemons {
					d.SetRateLimit(f.now, f.upstream.ID, f.limit)
				}
				f.run(60*time.Second, limit/4)
				from := f.now
				f.run(10*time.Second, 100)
				c.Check(f.mostSince(from) <= allowed(limit), qt.IsTrue, qt.Commentf("%d daemons, seed %d, limit %g: %g", daemons, seed, limit, f.mostSince(from)))

				count := len(f.sent)
				f.run(20*time.Second, max(20, 1.5*float64(daemons)))
				count = len(f.sent) - count
				c.Check(float64(count) >= 0.7*limit*20, qt.IsTrue, qt.Commentf("%d daemons, seed %d, limit %g: %d sent", daemons, seed, limit, count))
				c.Check(f.mostSince(from) <= allowed(limit), qt.IsTrue, qt.Commentf("%d daemons, seed %d, limit %g: %g", daemons, seed, limit, f.mostSince(from)))
			}
		}
	}
}

func TestAnUpstreamThatAllowsNothingIsProbed(t *testing.T) {
	c := qt.New(t)
	f := newLimitedFleet(4, 1)
	f.run(limitGrace, 20)
	from := f.now
	f.run(time.Minute, 20)
	c.Check(f.mostSince(from) <= limitBurst, qt.IsTrue)
	c.Check(len(f.sent) > 4, qt.IsTrue)
}

func TestAnOlderReportDoesNotReplaceALimit(t *testing.T) {
	c := qt.New(t)
	tracker := NewTracker()
	now := time.Unix(1000, 0)
	c.Assert(tracker.SetRateLimit(now, "e1", RateLimit{PerSecond: 2}), qt.IsTrue)
	c.Assert(tracker.MergeRateLimit(now, "e1", RateLimit{Ended: true, Age: time.Second}), qt.IsFalse)
	limit, ok := tracker.RateLimit("e1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(limit, qt.Equals, 2.0)
	c.Assert(tracker.MergeRateLimit(now.Add(time.Second), "e1", RateLimit{Ended: true, Age: time.Second / 2}), qt.IsTrue)
	_, ok = tracker.RateLimit("e1")
	c.Assert(ok, qt.IsFalse)
	c.Assert(tracker.MergeRateLimit(now, "e2", RateLimit{Ended: true}), qt.IsFalse) // never had one
	tracker.Retain(func(state.UpstreamID) bool { return false })
	c.Assert(tracker.rates, qt.HasLen, 0)
}
