package ownership_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

var randomSeeds = flag.Int("seeds", 3, "random runs of the ownership protocol")

// randomRun makes random moves for a virtual time. Faults of all kinds may happen
// at any moment, together and again and again.
func randomRun(seed uint64, ticks int) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	unlimited := bounds{first: 0, last: engines - 1, lastTick: ticks, faults: 1, flips: 1, unloads: 1}
	w := newWorld(correct, unlimited)
	var list []move
	for w.tick < ticks && w.broken == "" {
		w.bounds = unlimited
		w.bounds.faults = 0
		if rng.IntN(faultOdds) == 0 {
			w.bounds.faults = 1
		}
		list = w.moves(list[:0])
		for i := range w.nodes {
			if w.bounds.faults > 0 && w.nodes[i].run > 0 {
				list = append(list, move{kind: moveRestart, a: i})
			}
		}
		pick := list[rng.IntN(len(list))]
		if pick.kind == moveFlip && rng.IntN(flipOdds) != 0 {
			continue
		}
		pick.apply(&w)
		w.check()
	}
	return &w
}

const (
	faultOdds = 40 // one move in so many may be a fault
	flipOdds  = 10 // one change of owner in so many is taken
)

func TestRandomRunsOfAllFaultsTogetherKeepTheInvariants(t *testing.T) {
	const hour = 3600
	seeds, ticks := *randomSeeds, hour
	var owners, unloads, runs int
	for seed := range uint64(seeds) {
		w := randomRun(seed, ticks)
		qt.Assert(t, w.broken, qt.Equals, "", qt.Commentf("seed %d, tick %d", seed, w.tick))
		for e := range w.owners {
			owners += int(w.owners[e].record.Epoch)
		}
		unloads += w.unloads
		runs += w.nodes[0].run + w.nodes[1].run
	}
	t.Logf("%d seeds of %d s of virtual time each: %d changes of owner, %d unloads, %d restarts", seeds, ticks, owners, unloads, runs)
}
