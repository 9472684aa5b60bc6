package measure

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
)

// RoutingSweep returns the policy of the daemon with one weight of routing at a
// time changed.
func RoutingSweep() []Policy {
	durations := []struct {
		name  string
		field func(*routing.Weights) *time.Duration
	}{
		{"load stall", func(w *routing.Weights) *time.Duration { return &w.LoadStall }},
		{"replica cost", func(w *routing.Weights) *time.Duration { return &w.ReplicaCost }},
		{"order cost", func(w *routing.Weights) *time.Duration { return &w.OrderCost }},
		{"full batch", func(w *routing.Weights) *time.Duration { return &w.FullBatch }},
		{"token cost", func(w *routing.Weights) *time.Duration { return &w.TokenCost }},
	}
	numbers := []struct {
		name  string
		field func(*routing.Weights) *float64
	}{
		{"queue share", func(w *routing.Weights) *float64 { return &w.QueueShare }},
		{"herd share", func(w *routing.Weights) *float64 { return &w.PeerSendShare }},
		{"jitter", func(w *routing.Weights) *float64 { return &w.Jitter }},
	}
	factors := []float64{0.25, 0.5, 2, 4}
	policies := []Policy{Current()}
	for _, d := range durations {
		for _, factor := range factors {
			w := routing.DefaultWeights()
			*d.field(&w) = time.Duration(float64(*d.field(&w)) * factor)
			policies = append(policies, withWeights(fmt.Sprintf("%s x%g", d.name, factor), w))
		}
	}
	for _, n := range numbers {
		for _, factor := range append([]float64{0}, factors...) {
			w := routing.DefaultWeights()
			*n.field(&w) *= factor
			policies = append(policies, withWeights(fmt.Sprintf("%s x%g", n.name, factor), w))
		}
	}
	return policies
}

func withWeights(name string, w routing.Weights) Policy {
	p := Current()
	p.Name = name
	p.NewRouter = func(env Env) routing.Router { return newWeighted(env, w) }
	return p
}
