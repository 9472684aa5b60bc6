//go:build !race

package ownership_test

// exploredBounds are those of "make model".
var exploredBounds = map[string]bounds{
	"engine that checks, two changes of owner":  {first: 0, last: 0, lastTick: 2, flips: 2, unloads: 1},
	"engine that ignores, two changes of owner": {first: 1, last: 1, lastTick: 2, flips: 2, unloads: 1},
	"engine that checks, a fault":               {first: 0, last: 0, lastTick: 1, faults: 1, flips: 2, unloads: 1},
	"engine that ignores, a fault":              {first: 1, last: 1, lastTick: 1, faults: 1, flips: 2, unloads: 1},
	"both engines":                              {first: 0, last: 1, lastTick: 1, flips: 1, unloads: 1},
}
