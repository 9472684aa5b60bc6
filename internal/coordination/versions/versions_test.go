package versions_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/versions"
)

const grace = 3 * time.Second

// Guards against runs on an old version long after the next one was announced: the announcement of a later version once
// renewed the grace period of all older ones.
func TestALaterVersionDoesNotRenewTheGracePeriodOfAnOlderOne(t *testing.T) {
	c := qt.New(t)
	for _, pace := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 2999 * time.Millisecond, 5400 * time.Millisecond} {
		var h versions.History
		for v := 1; v <= 60; v++ {
			now := time.Duration(v) * pace
			c.Assert(h.Add(now, grace, versions.Announcement{Version: v, At: now}), qt.IsTrue)
			for older := range v + 1 {
				superseded := time.Duration(older+1) * pace
				mayBegin := older >= h.Oldest(now, grace)
				note := qt.Commentf("pace %v, version %d at the announcement of %d", pace, older, v)
				if now-superseded >= grace && older < v {
					c.Assert(mayBegin, qt.IsFalse, note)
				}
				if older == v {
					c.Assert(mayBegin, qt.IsTrue, note)
				}
				left, isSuperseded := h.EndsIn(now, grace, older)
				c.Assert(isSuperseded, qt.Equals, older < v, note)
				if isSuperseded {
					c.Assert(left > 0, qt.Equals, mayBegin, note)
					c.Assert(left <= superseded+grace-now || !mayBegin, qt.IsTrue, note)
				}
			}
		}
	}
}

// Guards against a limit on the number of announcements that takes the whole grace period from a version: 100 follow each
// other within it.
func TestEachVersionKeepsMostOfItsGracePeriod(t *testing.T) {
	c := qt.New(t)
	var h versions.History
	const pace = 30 * time.Millisecond
	for v := 1; v <= 100; v++ {
		now := time.Duration(v) * pace
		h.Add(now, grace, versions.Announcement{Version: v, At: now})
		n := 0
		h.Each(func(versions.Announcement) { n++ })
		c.Assert(n <= 10, qt.IsTrue, qt.Commentf("%d announcements are kept", n))
		left, _ := h.EndsIn(now, grace, v-1)
		c.Assert(left >= grace/2, qt.IsTrue, qt.Commentf("version %d has %v left at its end", v-1, left))
	}
}

// Guards against announcements that arrive late, twice or in another order, as they do between daemons: the earliest time of
// each version decides, as in a plain list of all announcements, and no version gets more time than there.
func TestAnnouncementsInAnyOrderDecideLikeAListOfAll(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var h versions.History
		all := make(map[int]time.Duration)
		now := time.Minute
		for range 40 {
			now += time.Duration(rng.IntN(1500)) * time.Millisecond
			newest := 0
			for v := range all {
				newest = max(newest, v)
			}
			a := versions.Announcement{Version: max(1, newest+1-rng.IntN(3)), At: now - time.Duration(rng.IntN(1000))*time.Millisecond}
			if at, ok := all[a.Version]; ok {
				a.At = min(at, a.At)
			}
			all[a.Version] = a.At
			c.Assert(h.Add(now, grace, a), qt.Equals, a.Version > newest)
			for v := range newest + 2 {
				isOld := false
				for other, at := range all {
					isOld = isOld || other > v && now-at >= grace
				}
				if isOld {
					c.Assert(v < h.Oldest(now, grace), qt.IsTrue, qt.Commentf("seed %d: version %d", seed, v))
				}
			}
		}
	}
}

// Guards against old news that count as new: a daemon that starts reads a version without knowing since when it has been
// announced.
func TestAVersionOfUnknownAgeIsNotNew(t *testing.T) {
	c := qt.New(t)
	var h versions.History
	now := time.Minute
	h.Add(now, grace, versions.Announcement{Version: 4, IsOld: true})
	c.Assert(h.Oldest(now, grace), qt.Equals, 4)
	left, isSuperseded := h.EndsIn(now, grace, 3)
	c.Assert(left, qt.Equals, time.Duration(0))
	c.Assert(isSuperseded, qt.IsTrue)
	// A peer knows that it was announced a second ago.
	h.Add(now, grace, versions.Announcement{Version: 4, At: now - time.Second})
	c.Assert(h.Oldest(now, grace), qt.Equals, 0)
	left, _ = h.EndsIn(now, grace, 3)
	c.Assert(left, qt.Equals, 2*time.Second)
	h.Add(now, grace, versions.Announcement{Version: 4, IsOld: true})
	c.Assert(h.Oldest(now, grace), qt.Equals, 0)
}
