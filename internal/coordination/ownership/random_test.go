package ownership_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

var randomSeeds = flag.Int("seeds", 3, "random runs of the ownership protocol")

// randomRun applies random moves for a number of ticks of virtual time. Faults of all
// kinds occur at any time, repeatedly and together.
func randomRun(seed uint64, ticks int) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	unlimited := bounds{firstEngine: 0, lastEngine: engines - 1, lastTick: ticks, faults: 1, reassignments: 1, unloads: 1}
	w := newWorld(correct, unlimited)
	var list []move
	for w.tick < ticks && w.violation == "" {
		w.bounds = unlimited
		w.bounds.faults = 0
		if rng.IntN(faultOdds) == 0 {
			w.bounds.faults = 1
		}
		list = w.moves(list[:0])
		for i := range w.nodes {
			if w.bounds.faults > 0 && w.nodes[i].incarnation > 0 {
				list = append(list, move{kind: moveRestart, a: i})
			}
		}
		pick := list[rng.IntN(len(list))]
		if pick.kind == moveReassign && rng.IntN(reassignOdds) != 0 {
			continue
		}
		pick.apply(&w)
		w.check()
	}
	return &w
}

const (
	faultOdds    = 40 // one move in faultOdds may have a fault
	reassignOdds = 10 // one drawn change of assignment in reassignOdds is applied
)

func TestRandomRunsOfAllFaultsTogetherKeepTheInvariants(t *testing.T) {
	const hour = 3600
	seeds, ticks := *randomSeeds, hour
	var owners, unloads, restarts int
	for seed := range uint64(seeds) {
		w := randomRun(seed, ticks)
		qt.Assert(t, w.violation, qt.Equals, "", qt.Commentf("seed %d, tick %d", seed, w.tick))
		for e := range w.owners {
			owners += int(w.owners[e].record.Epoch)
		}
		unloads += w.unloads
		restarts += w.nodes[0].incarnation + w.nodes[1].incarnation
	}
	t.Logf("%d seeds of %d s of virtual time each: %d changes of owner, %d unloads, %d restarts", seeds, ticks, owners, unloads, restarts)
}
