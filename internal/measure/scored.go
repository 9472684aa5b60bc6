package measure

import (
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

// tracked is a routing.Tracker behind Dispatches.
type tracked struct{ *routing.Scored }

// Sent implements Dispatches.
func (t tracked) Sent(now time.Time, req *routing.Request, to state.UpstreamID) {
	t.Scored.Sent(now, req, routing.Choice{Upstream: &state.Upstream{ID: to}})
}

// Done implements Dispatches.
func (t tracked) Done(now time.Time, req *routing.Request, to state.UpstreamID, refused, failed bool) {
	result := routing.Result{Outcome: routing.OutcomeNeutral}
	switch {
	case refused:
		result.Outcome = routing.OutcomeRefused
	case failed:
		result.Outcome = routing.OutcomeFailed
	}
	t.Ended(now, req, routing.Choice{Upstream: &state.Upstream{ID: to}}, result)
}

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
	return tracked{s}
}
