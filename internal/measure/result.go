package measure

import (
	"slices"
	"time"
)

const (
	quietFor      = 2 * time.Second // queues count as normal when they stay short this long
	normalFloor   = 12              // a fleet-wide queue this short always counts as normal
	normalCeiling = 0.95            // quantile of the queue before the disturbance
)

// Result is what one run measured. Requests that arrive during the warm-up are
// left out.
type Result struct {
	Size     string `json:"size"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Requests int       `json:"requests"`
	Stall    float64   `json:"stall_s"`       // seconds a request waited for loads, mean
	Stalled  float64   `json:"stalled"`       // part of the requests that waited for a load
	Batch    float64   `json:"batch"`         // requests in a decoding step, mean
	Speed    float64   `json:"tokens_per_s"`  // tokens in a second in which an engine works
	InTarget []float64 `json:"in_target"`     // by rank, part within both targets
	Worth    float64   `json:"worth"`         // part of the offered worth served within targets
	Kept     float64   `json:"kept"`          // goodput of others in the disturbance against before
	Flooder  float64   `json:"flooder"`       // part of the flooding class within targets
	Recovery float64   `json:"recovery_s"`    // until queues are normal after the disturbance
	Loads    float64   `json:"loads_per_s"`   // loads from the weight store
	Refused  float64   `json:"refused"`       // part refused without being run
	Prefixed float64   `json:"prefix_cached"` // part of prompt tokens from the prefix cache
	Bound    float64   `json:"bound_s"`       // stall that no order of loads avoids
	OnDemand float64   `json:"on_demand_s"`   // stall of the fewest loads without loading ahead
}

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

func (r *run) result(seed uint64) Result {
	res := Result{Size: r.size.Name, Scenario: r.scenario.Name, Policy: r.policy.Name, Seed: seed}
	inTarget := make([]ratio, len(r.size.Ranks))
	var stall, stalled, worth, refusals, before, during, flooder, prompts ratio
	for _, c := range r.calls {
		if c.arrival.At < warmUp {
			continue
		}
		res.Requests++
		rank := r.size.Ranks[c.arrival.Rank]
		good := 0.0
		if c.inTime(rank) {
			good = 1
		}
		stall.add(c.stall.Seconds(), 1)
		stalled.add(oneIf(c.stall > 0), 1)
		refusals.add(oneIf(c.outcome == refused), 1)
		worth.add(good*rank.Worth, rank.Worth)
		prompts.add(0, float64(c.prompt))
		inTarget[c.arrival.Rank].add(good, 1)
		switch at := c.arrival.At; {
		case r.scenario.floods(c.arrival):
			flooder.add(good, 1)
		case at < disturbStart:
			before.add(good, 1)
		case at < disturbEnd:
			during.add(good, 1)
		}
	}
	res.Stall, res.Stalled, res.Worth, res.Refused = stall.value(), stalled.value(), worth.value(), refusals.value()
	for _, t := range inTarget {
		res.InTarget = append(res.InTarget, t.value())
	}
	if before.part > 0 {
		res.Kept = during.value() / before.value()
	}
	res.Flooder = flooder.value()
	res.Recovery = r.recovery().Seconds()
	res.Loads = float64(r.store.loads) / runEnd.Seconds()
	r.engineTotals(&res, prompts.whole)
	res.Bound, res.OnDemand = r.bounds()
	return res
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (r *run) engineTotals(res *Result, prompts float64) {
	var tokens, steps, prefixed int
	var busy time.Duration
	for _, h := range r.hosts {
		tokens += h.engine.tokens
		steps += h.engine.steps
		busy += h.engine.busy
		prefixed += h.engine.prefixed
	}
	res.Batch = float64(tokens) / float64(max(1, steps))
	res.Speed = float64(tokens) / max(1, busy.Seconds())
	res.Prefixed = float64(prefixed) / max(1, prompts)
}

// recovery returns how long after the disturbance the queues were normal again.
func (r *run) recovery() time.Duration {
	var usual []int
	for _, s := range r.samples {
		if s.at >= warmUp && s.at < disturbStart {
			usual = append(usual, s.queued)
		}
	}
	slices.Sort(usual)
	limit := max(normalFloor, usual[int(normalCeiling*float64(len(usual)-1))])
	since := time.Duration(-1)
	for _, s := range r.samples {
		if s.at < disturbEnd {
			continue
		}
		if s.queued > limit {
			since = -1
			continue
		}
		if since < 0 {
			since = s.at
		}
		if s.at-since >= quietFor {
			return since - disturbEnd
		}
	}
	return runEnd - disturbEnd
}
