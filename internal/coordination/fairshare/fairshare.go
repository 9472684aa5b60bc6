// Package fairshare decides which client accounts yield when upstreams have too little capacity.
// An account that is served more than its weighted max-min fair share gets a lower limit on the
// start delay of its requests.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// capacityTime is the time constant of the tokens served. Requests of a surge count as served
	// when they are sent to an upstream, so for a second more seems to be served than before.
	capacityTime = 10 * time.Second
	// chanceDeviations is by how many standard deviations an average must be above the share. With
	// none, accounts with a request per second yielded after every request.
	chanceDeviations = 1.0
	// sizeSpread is the mean square of the sizes of requests, relative to the square of their mean.
	sizeSpread = 1.7
	// yieldFrom and yieldFull are the parts of its fair share from which an account yields, and at
	// which it has no more than the latency objective. Sums of requests of different sizes vary by
	// about a tenth.
	yieldFrom = 1.0
	yieldFull = 1.15
)

// Use is the traffic of an account.
type Use struct {
	Demand float64 // tokens per second that its callers ask for
	Served float64 // tokens per second that upstreams run
	Weight float64 // more than zero
}

// Meter computes the level up to which accounts are served.
type Meter struct {
	at          time.Time
	sum, weight float64 // decaying; sum/weight is the average of the tokens per second served
}

// Level returns the tokens per second and unit of weight that each account may be served, so that
// together the accounts are served what they were on average: no account gets more than it asks
// for, and what is left goes to the others. It returns infinity if all demand is met.
func (m *Meter) Level(now time.Time, uses []Use) float64 {
	order := slices.Clone(uses)
	left, weight := 0.0, 0.0
	for i, u := range order {
		order[i].Demand = max(u.Demand, u.Served) // the average of the demand may be the slower one
		left += u.Served
		weight += u.Weight
	}
	left = min(left, m.average(now, left))
	slices.SortFunc(order, func(a, b Use) int { return cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight) })
	for _, u := range order {
		if u.Demand*weight > left*u.Weight {
			return max(0, left) / weight
		}
		left -= u.Demand
		weight -= u.Weight
	}
	return math.Inf(1)
}

// average adds a sample and returns the average since something was first served.
func (m *Meter) average(now time.Time, served float64) float64 {
	if m.weight == 0 {
		m.at = now.Add(-minSampleTime)
	}
	if served == 0 && m.sum == 0 {
		return 0
	}
	kept := math.Exp(-now.Sub(m.at).Seconds() / capacityTime.Seconds())
	m.at, m.sum, m.weight = now, m.sum*kept+served*(1-kept), m.weight*kept+1-kept
	return m.sum / m.weight
}

// minSampleTime is the weight of the first sample.
const minSampleTime = 100 * time.Millisecond

// Excess returns what an account is surely served as a part of its fair share at a level. Size is
// the mean size of its requests, and served their moving average over an averaging time.
func Excess(served, weight, level, size float64, averaging time.Duration) float64 {
	share := weight * level
	if share <= 0 {
		return 0
	}
	deviation := math.Sqrt(served * size * sizeSpread / (2 * averaging.Seconds()))
	return max(0, served-chanceDeviations*deviation) / share
}

// Limit returns the limit on the start delay of a request. It is the full limit for an account
// within its share. It is never below the time until the latency objective, so that nothing is
// refused that an upstream could start in time.
func Limit(full, toObjective time.Duration, excess float64) time.Duration {
	if full <= toObjective || excess <= yieldFrom {
		return full
	}
	kept := max(0, (yieldFull-excess)/(yieldFull-yieldFrom))
	lowest := max(0, toObjective)
	return lowest + time.Duration(kept*float64(full-lowest))
}
