package loadwindow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// loadSimulation simulates a flood of rare adapters. Every daemon always has loads to order.
// The weight store slows all loads down when more than limit loads are in flight.
type loadSimulation struct {
	daemons  int
	engines  int // per daemon
	limit    float64
	loadTime time.Duration // at full speed
	lag      time.Duration // until a daemon learns that a load is overdue
}

// run simulates a minute. It returns the mean time of a load, the loads per second and the
// share of overdue loads in the second half of that minute.
func (s loadSimulation) run() (mean time.Duration, perSecond, overdueShare float64) {
	const step, estimate = 5 * time.Millisecond, 300 * time.Millisecond
	const retryDelay = 100 * time.Millisecond // before a request that came too early is sent again
	type load struct {
		daemon   int
		work     time.Duration // remaining time at full speed
		due      time.Time
		start    time.Time
		reported bool
	}
	type overdueNotice struct {
		at     time.Time
		daemon int
		ratio  float64
	}
	windows := make([]*Window, s.daemons)
	for i := range windows {
		windows[i] = New()
		windows[i].SetEngines(s.engines)
	}
	var loads []*load
	var notices []overdueNotice
	var total, done time.Duration
	overdue := 0
	begin := time.Unix(0, 0)
	half := begin.Add(30 * time.Second)
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(step) {
		for len(notices) > 0 && !notices[0].at.After(now) {
			windows[notices[0].daemon].LoadOverdue(now, now.Add(120*time.Millisecond), notices[0].ratio)
			notices = notices[1:]
		}
		for i, w := range windows {
			for w.HasCapacity(now) {
				due := now.Add(time.Duration(w.Slowdown() * float64(estimate)))
				w.Begin(due)
				loads = append(loads, &load{daemon: i, work: s.loadTime, due: due.Add(retryDelay), start: now})
			}
		}
		speed := min(1, s.limit/float64(len(loads)))
		kept := loads[:0]
		for _, l := range loads {
			l.work -= time.Duration(speed * float64(step))
			if l.work <= 0 {
				if now.After(half) {
					total += now.Sub(l.start)
					done++
				}
				continue
			}
			if !l.reported && !now.Before(l.due) {
				l.reported = true
				notices = append(notices, overdueNotice{now.Add(s.lag), l.daemon, now.Sub(l.start).Seconds() / estimate.Seconds()})
				if now.After(half) {
					overdue++
				}
			}
			kept = append(kept, l)
		}
		loads = kept
	}
	return total / done, float64(done) / 30, float64(overdue) / float64(done)
}

func TestDaemonsShareAWeightStoreOfUnknownLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		loadSimulation
		share float64 // of the throughput that the weight store can reach
	}{
		"small fleet":                  {loadSimulation{daemons: 6, engines: 2, limit: 8, loadTime: 250 * time.Millisecond}, 0.8},
		"small fleet, delayed notices": {loadSimulation{daemons: 6, engines: 2, limit: 8, loadTime: 250 * time.Millisecond, lag: 300 * time.Millisecond}, 0.7},
		"large fleet":                  {loadSimulation{daemons: 12, engines: 8, limit: 48, loadTime: 288 * time.Millisecond, lag: 500 * time.Millisecond}, 0.7},
		"large fleet, high limit":      {loadSimulation{daemons: 12, engines: 5, limit: 64, loadTime: 288 * time.Millisecond, lag: 500 * time.Millisecond}, 0.7},
		"slow store":                   {loadSimulation{daemons: 6, engines: 4, limit: 12, loadTime: 600 * time.Millisecond, lag: 300 * time.Millisecond}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			mean, perSecond, overdueShare := tc.run()
			full := tc.limit / tc.loadTime.Seconds()
			t.Logf("mean load time %v, %.1f of at most %.1f loads per second, share of overdue loads %.2f", mean, perSecond, full, overdueShare)
			c.Check(mean < 2*tc.loadTime, qt.IsTrue)
			c.Check(perSecond > tc.share*full, qt.IsTrue)
		})
	}
}

func TestAWindowAlwaysAllowsOneLoad(t *testing.T) {
	c := qt.New(t)
	w := New()
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(time.Second)
		w.LoadOverdue(now, now, 2)
	}
	c.Assert(w.HasCapacity(now.Add(time.Second)), qt.IsTrue)
}
