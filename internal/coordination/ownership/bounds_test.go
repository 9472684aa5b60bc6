//go:build !race

package ownership_test

// exploredBounds are the bounds of the explorations of "make model", by name.
var exploredBounds = map[string]bounds{
	"engine that checks tokens, two changes of owner":  {firstEngine: 0, lastEngine: 0, lastTick: 2, reassignments: 2, unloads: 1},
	"engine that ignores tokens, two changes of owner": {firstEngine: 1, lastEngine: 1, lastTick: 2, reassignments: 2, unloads: 1},
	"engine that checks tokens, a fault":               {firstEngine: 0, lastEngine: 0, lastTick: 1, faults: 1, reassignments: 2, unloads: 1},
	"engine that ignores tokens, a fault":              {firstEngine: 1, lastEngine: 1, lastTick: 1, faults: 1, reassignments: 2, unloads: 1},
	"both engines":                                     {firstEngine: 0, lastEngine: 1, lastTick: 1, reassignments: 1, unloads: 1},
}
