package measure

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRunIsDeterministicPerSeed(t *testing.T) {
	const seed = 7
	scenario := Scenarios()[0]
	for _, p := range []Policy{Baselines()[2], DaemonPolicy()} {
		a := Run(Ridgeline(), scenario, p, seed)
		b := Run(Ridgeline(), scenario, p, seed)
		qt.Check(t, a, qt.DeepEquals, b, qt.Commentf("policy %s, seed %d", p.Name, seed))
	}
}

func TestFloodDoesNotChangeTheSteadyArrivals(t *testing.T) {
	const seed = 7
	steady := Scenarios()[0].Arrivals(Ridgeline(), seed)
	flooded := Scenarios()[2].Arrivals(Ridgeline(), seed)
	next := 0
	for _, a := range flooded {
		if next < len(steady) && a == steady[next] {
			next++
		}
	}
	qt.Assert(t, next, qt.Equals, len(steady), qt.Commentf("seed %d", seed))
}
