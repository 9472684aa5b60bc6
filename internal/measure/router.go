package measure

import (
	"math/rand/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
)

// newDaemonRouter returns the router that the daemon uses.
func newDaemonRouter(env RouterEnv) routing.Router {
	return newWeightedRouter(env, routing.DefaultWeights())
}

// newWeightedRouter returns the router of the daemon with the given weights.
func newWeightedRouter(env RouterEnv, weights routing.Weights) routing.Router {
	const stream = 5
	s := routing.NewScored(routing.Options{
		Fleet:   env.Fleet,
		Weights: weights,
		Rand:    rand.New(rand.NewPCG(env.Seed, stream)),
	})
	s.SetDaemons(env.Daemons)
	return s
}
