package loadwindow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// storm replays a flood of rare adapters: daemons with endless wishes at a store that
// shares its speed among the loads beyond a limit. Lateness is known only after lag.
type storm struct {
	daemons int
	engines int // of each daemon
	limit   float64
	base    time.Duration
	lag     time.Duration
}

// run returns the mean time of a load, loads a second and the share of late ones in
// the second half of a minute.
func (s storm) run() (mean time.Duration, perSecond, late float64) {
	const step, estimate = 5 * time.Millisecond, 300 * time.Millisecond
	const again = 100 * time.Millisecond // a request that came too early comes once more
	type load struct {
		daemon   int
		work     time.Duration // left at full speed
		due      time.Time
		start    time.Time
		reported bool
	}
	type notice struct {
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
	var notices []notice
	var took, done time.Duration
	lates := 0
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
				loads = append(loads, &load{daemon: i, work: s.base, due: due.Add(again), start: now})
			}
		}
		speed := min(1, s.limit/float64(len(loads)))
		kept := loads[:0]
		for _, l := range loads {
			l.work -= time.Duration(speed * float64(step))
			if l.work <= 0 {
				if now.After(half) {
					took += now.Sub(l.start)
					done++
				}
				continue
			}
			if !l.reported && !now.Before(l.due) {
				l.reported = true
				notices = append(notices, notice{now.Add(s.lag), l.daemon, now.Sub(l.start).Seconds() / estimate.Seconds()})
				if now.After(half) {
					lates++
				}
			}
			kept = append(kept, l)
		}
		loads = kept
	}
	return took / done, float64(done) / 30, float64(lates) / float64(done)
}

func TestDaemonsShareAStoreWithoutKnowingItsLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		storm
		share float64 // of what the store can bring
	}{
		"small fleet":             {storm{daemons: 6, engines: 2, limit: 8, base: 250 * time.Millisecond}, 0.8},
		"small fleet, late news":  {storm{daemons: 6, engines: 2, limit: 8, base: 250 * time.Millisecond, lag: 300 * time.Millisecond}, 0.7},
		"large fleet":             {storm{daemons: 12, engines: 8, limit: 48, base: 288 * time.Millisecond, lag: 500 * time.Millisecond}, 0.7},
		"large fleet, wide store": {storm{daemons: 12, engines: 5, limit: 64, base: 288 * time.Millisecond, lag: 500 * time.Millisecond}, 0.7},
		"slow store":              {storm{daemons: 6, engines: 4, limit: 12, base: 600 * time.Millisecond, lag: 300 * time.Millisecond}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			mean, perSecond, late := tc.run()
			full := tc.limit / tc.base.Seconds()
			t.Logf("a load takes %v, %.1f a second of %.1f, %.2f late", mean, perSecond, full, late)
			c.Check(mean < 2*tc.base, qt.IsTrue)
			c.Check(perSecond > tc.share*full, qt.IsTrue)
		})
	}
}

func TestAWindowNeverCloses(t *testing.T) {
	c := qt.New(t)
	w := New()
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(time.Second)
		w.LoadOverdue(now, now, 2)
	}
	c.Assert(w.HasCapacity(now.Add(time.Second)), qt.IsTrue)
}
