package continuity

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const maxPause = 2 * time.Second

var epoch = time.Unix(1000, 0)

// period returns the period between two times in seconds.
func period(since, last float64) Reads {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	return Reads{at(since), at(last)}
}

// Guards against an outage of one daemon's calls that is taken for an outage of the store, and
// against an outage of the store that goes unnoticed.
func TestOnlyAPauseOfTheWholeFleetIsAnInterruption(t *testing.T) {
	for name, test := range map[string]struct{ a, b, want Reads }{
		"first read":                  {Reads{}, period(5, 5), period(5, 5)},
		"next read":                   {period(0, 5), period(6, 6), period(0, 6)},
		"read after an interruption":  {period(0, 5), period(8, 8), period(8, 8)},
		"peer read all the while":     {period(8, 8), period(0, 8), period(0, 8)},
		"peer knows an older period":  {period(8, 9), period(0, 5), period(8, 9)},
		"peer read first after it":    {period(8, 9), period(7, 8), period(7, 9)},
		"peer has read nothing":       {period(8, 9), Reads{}, period(8, 9)},
		"periods that just touch":     {period(0, 5), period(7, 9), period(0, 9)},
		"both cut off at other times": {period(0, 4), period(5, 9), period(0, 9)},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Merge(test.a, test.b, maxPause), qt.Equals, test.want)
			qt.Assert(t, Merge(test.b, test.a, maxPause), qt.Equals, test.want)
		})
	}
}

// Daemons that read at random times, and tell each other in any order and more than once, agree
// with an observer of all reads.
func TestDaemonsAgreeInAnyOrderOfMessages(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		daemons := make([]Reads, 2+rng.IntN(4))
		var all Reads
		now := epoch
		for range 30 {
			now = now.Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
			if rng.IntN(8) == 0 {
				now = now.Add(maxPause) // nobody reads
			}
			d := rng.IntN(len(daemons))
			daemons[d] = Merge(daemons[d], At(now), maxPause)
			all = Merge(all, At(now), maxPause)
			to, from := rng.IntN(len(daemons)), rng.IntN(len(daemons))
			daemons[to] = Merge(daemons[to], daemons[from], maxPause)
			qt.Assert(t, daemons[to].Since.Before(all.Since) && daemons[to].Last.Equal(all.Last), qt.IsFalse, qt.Commentf("seed %d: an interruption is missed", seed))
		}
		for range 2 { // every daemon hears from every other one
			for to := range daemons {
				for from := range daemons {
					daemons[to] = Merge(daemons[to], daemons[from], maxPause)
				}
			}
		}
		for i, d := range daemons {
			qt.Assert(t, d.Last, qt.Equals, all.Last, qt.Commentf("seed %d, daemon %d", seed, i))
			qt.Assert(t, d.Since.Before(all.Since), qt.IsFalse, qt.Commentf("seed %d, daemon %d", seed, i))
		}
	}
}
