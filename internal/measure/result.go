package measure

import (
	"slices"
	"time"
)

const (
	minNormalTime       = 2 * time.Second // time for which queues must stay short to count as normal
	normalQueueFloor    = 12              // fleet-wide queue length that always counts as normal
	normalQueueQuantile = 0.95            // quantile of the queue lengths before the disturbance up to which a queue counts as normal
)

// Result holds the measurements of a run. Requests that arrive during the warm-up are not
// counted.
type Result struct {
	Size     string `json:"size"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Requests             int       `json:"requests"`
	MeanStall            float64   `json:"stall_s"`       // mean seconds for which a request waited for loads
	StalledFraction      float64   `json:"stalled"`       // fraction of the requests that waited for a load
	MeanBatch            float64   `json:"batch"`         // mean number of requests in a decoding step
	TokensPerSecond      float64   `json:"tokens_per_s"`  // tokens per second of busy engine time
	WithinTargets        []float64 `json:"in_target"`     // fraction within both targets, by rank
	WorthServed          float64   `json:"worth"`         // fraction of the offered worth served within targets
	OthersKept           float64   `json:"kept"`          // goodput of the non-flooding classes in the disturbance, divided by their goodput before the disturbance
	FlooderWithinTargets float64   `json:"flooder"`       // fraction of the flooding class within targets
	RecoverySeconds      float64   `json:"recovery_s"`    // from the end of the disturbance until queues are normal
	LoadsPerSecond       float64   `json:"loads_per_s"`   // loads from the weight store per second
	RefusedFraction      float64   `json:"refused"`       // fraction refused
	PrefixCached         float64   `json:"prefix_cached"` // fraction of prompt tokens served by the prefix cache
	StallBound           float64   `json:"bound_s"`       // lower bound of the stall, with prefetching
	OnDemandStall        float64   `json:"on_demand_s"`   // stall with the fewest loads, without prefetching
}

// ratio accumulates a fraction.
type ratio struct{ part, whole float64 }

func (r *ratio) add(part, whole float64) {
	r.part += part
	r.whole += whole
}

func (r ratio) value() float64 {
	if r.whole == 0 {
		return 0
	}
	return r.part / r.whole
}

// result computes the measurements at the end of a run.
func (r *simulation) result(seed uint64) Result {
	res := Result{Size: r.size.Name, Scenario: r.scenario.Name, Policy: r.policy.Name, Seed: seed}
	withinTargets := make([]ratio, len(r.size.Ranks))
	var stall, stalled, worth, refusals, before, during, flooder, prompts ratio
	for _, c := range r.calls {
		if c.arrival.At < warmUp {
			continue
		}
		res.Requests++
		rank := r.size.Ranks[c.arrival.Rank]
		met := 0.0
		if c.metTargets(rank) {
			met = 1
		}
		stall.add(c.stall.Seconds(), 1)
		stalled.add(indicator(c.stall > 0), 1)
		refusals.add(indicator(c.outcome == outcomeRefused), 1)
		worth.add(met*rank.Worth, rank.Worth)
		prompts.add(0, float64(c.promptTokens))
		withinTargets[c.arrival.Rank].add(met, 1)
		switch at := c.arrival.At; {
		case r.scenario.floods(c.arrival):
			flooder.add(met, 1)
		case at < disturbanceStart:
			before.add(met, 1)
		case at < disturbanceEnd:
			during.add(met, 1)
		}
	}
	res.MeanStall, res.StalledFraction, res.WorthServed, res.RefusedFraction = stall.value(), stalled.value(), worth.value(), refusals.value()
	for _, t := range withinTargets {
		res.WithinTargets = append(res.WithinTargets, t.value())
	}
	if before.part > 0 {
		res.OthersKept = during.value() / before.value()
	}
	res.FlooderWithinTargets = flooder.value()
	res.RecoverySeconds = r.recoveryTime().Seconds()
	res.LoadsPerSecond = float64(r.store.loads) / runEnd.Seconds()
	r.addEngineTotals(&res, prompts.whole)
	res.StallBound, res.OnDemandStall = r.stallBounds()
	return res
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// addEngineTotals adds the measurements of the engines to a result.
func (r *simulation) addEngineTotals(res *Result, prompts float64) {
	var tokens, steps, cachedTokens int
	var busy time.Duration
	for _, h := range r.hosts {
		tokens += h.engine.tokens
		steps += h.engine.steps
		busy += h.engine.busy
		cachedTokens += h.engine.cachedTokens
	}
	res.MeanBatch = float64(tokens) / float64(max(1, steps))
	res.TokensPerSecond = float64(tokens) / max(1, busy.Seconds())
	res.PrefixCached = float64(cachedTokens) / max(1, prompts)
}

// recoveryTime returns the time from the end of the disturbance until the queues are normal,
// or until the end of the run.
func (r *simulation) recoveryTime() time.Duration {
	var baseline []int
	for _, s := range r.samples {
		if s.at >= warmUp && s.at < disturbanceStart {
			baseline = append(baseline, s.queued)
		}
	}
	slices.Sort(baseline)
	limit := max(normalQueueFloor, baseline[int(normalQueueQuantile*float64(len(baseline)-1))])
	normalSince := time.Duration(-1)
	for _, s := range r.samples {
		if s.at < disturbanceEnd {
			continue
		}
		if s.queued > limit {
			normalSince = -1
			continue
		}
		if normalSince < 0 {
			normalSince = s.at
		}
		if s.at-normalSince >= minNormalTime {
			return normalSince - disturbanceEnd
		}
	}
	return runEnd - disturbanceEnd
}
