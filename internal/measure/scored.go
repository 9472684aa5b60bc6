package measure

import (
	"math/rand/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
)

// newScored returns the router of the daemon.
func newScored(env Env) routing.Router { return newWeighted(env, routing.DefaultWeights()) }

func newWeighted(env Env, weights routing.Weights) routing.Router {
	const stream = 5
	s := routing.NewScored(routing.Options{
		Fleet:   env.Fleet,
		Weights: weights,
		Rand:    rand.New(rand.NewPCG(env.Seed, stream)),
	})
	s.SetDaemons(env.Daemons)
	return s
}
