package measure

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routing"
)

// RoutingSweep returns the policy of the daemon and its variants with a single routing
// weight scaled.
func RoutingSweep() []Policy {
	durations := []struct {
		name   string
		weight func(*routing.Weights) *time.Duration
	}{
		{"load stall", func(w *routing.Weights) *time.Duration { return &w.LoadStall }},
		{"replica cost", func(w *routing.Weights) *time.Duration { return &w.ReplicaCost }},
		{"order cost", func(w *routing.Weights) *time.Duration { return &w.OrderCost }},
		{"full batch", func(w *routing.Weights) *time.Duration { return &w.FullBatch }},
		{"token cost", func(w *routing.Weights) *time.Duration { return &w.TokenCost }},
	}
	numbers := []struct {
		name   string
		weight func(*routing.Weights) *float64
	}{
		{"queue share", func(w *routing.Weights) *float64 { return &w.QueueShare }},
		{"herd share", func(w *routing.Weights) *float64 { return &w.PeerSendShare }},
		{"jitter", func(w *routing.Weights) *float64 { return &w.Jitter }},
	}
	factors := []float64{0.25, 0.5, 2, 4}
	policies := []Policy{DaemonPolicy()}
	for _, d := range durations {
		for _, factor := range factors {
			w := routing.DefaultWeights()
			*d.weight(&w) = time.Duration(float64(*d.weight(&w)) * factor)
			policies = append(policies, withWeights(fmt.Sprintf("%s x%g", d.name, factor), w))
		}
	}
	for _, n := range numbers {
		for _, factor := range append([]float64{0}, factors...) {
			w := routing.DefaultWeights()
			*n.weight(&w) *= factor
			policies = append(policies, withWeights(fmt.Sprintf("%s x%g", n.name, factor), w))
		}
	}
	return policies
}

func withWeights(name string, w routing.Weights) Policy {
	p := DaemonPolicy()
	p.Name = name
	p.NewRouter = func(env RouterEnv) routing.Router { return newWeightedRouter(env, w) }
	return p
}
