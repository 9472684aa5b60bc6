package app

import (
	"math/rand/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

func newRouter(fleet *state.Fleet) *routing.Scored {
	return routing.NewScored(routing.Options{
		Fleet:   fleet,
		Weights: routing.DefaultWeights(),
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}
