//go:build race

package ownership_test

// exploredBounds are smaller under the race detector, which slows the exploration
// down; "make model" runs the full ones.
var exploredBounds = map[string]bounds{
	"engine that checks":  {first: 0, last: 0, lastTick: 1, faults: 0, flips: 2, unloads: 1},
	"engine that ignores": {first: 1, last: 1, lastTick: 1, faults: 0, flips: 2, unloads: 1},
}
