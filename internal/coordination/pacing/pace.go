package pacing

import "math"

const (
	// InitialPace is the limit of the scheduled prompt tokens, for each millisecond of the longest pause
	// that the streams allow, of a daemon that has seen no stream yet.
	InitialPace = 20.0
	// MinPace is the least limit. Engines read 20 to 26 tokens in a millisecond. Below the minimum,
	// pauses have other causes.
	MinPace = 14.0
	// MaxPace is the highest limit, at which hardly any prompt waits. Engines that read prompts in
	// small pieces have no long pauses and reach it.
	MaxPace = 64.0
	// targetStalled is the share of streams with a pause that is too long at which the limit stays.
	targetStalled = 0.06
	// paceGain is the relative change of the limit with a stalled stream. With a stream that has not
	// stalled the limit grows by targetStalled of it. The first streams of a daemon change it by up to
	// firstGain more, less and less within some gainSamples, as the first limit fits no engine well.
	paceGain    = 0.15
	firstGain   = 0.85
	gainSamples = 5.0
	// minSamples is the number of streams from which on a daemon trusts its own limit.
	minSamples = 5
	// mergeGain is the weight of one daemon's limit in that of a lease holder.
	mergeGain = 0.1
)

// Pace is the limit of prompt tokens for a service, learned from the pauses of its streams. The zero
// value has seen no stream.
type Pace struct {
	limit   float64
	samples int
}

// Limit returns the limit in tokens for each millisecond of the longest pause that streams allow.
func (p *Pace) Limit() float64 {
	if p.limit == 0 {
		return InitialPace
	}
	return p.limit
}

// ObserveStream learns from a stream that has ended. isStalled is whether it had a pause that was too
// long.
func (p *Pace) ObserveStream(isStalled bool) {
	stalled := 0.0
	if isStalled {
		stalled = 1
	}
	gain := paceGain + firstGain/(1+float64(p.samples)/gainSamples)
	p.limit = clampPace(p.Limit() * math.Exp(gain*(targetStalled-stalled)))
	p.samples++
}

// Adopt takes over the limit of a lease holder until this daemon has seen enough streams itself: a
// daemon that has just started would otherwise send prompts too densely.
func (p *Pace) Adopt(limit float64) {
	if p.samples < minSamples && limit > 0 {
		p.limit = clampPace(limit)
	}
}

// Merge adds the limit that a daemon has learned to the limit that a lease holder applies.
func (p *Pace) Merge(limit float64) {
	if !(limit > 0) { // also what is no number
		return
	}
	if p.limit == 0 {
		p.limit = clampPace(limit)
		return
	}
	p.limit += mergeGain * (clampPace(limit) - p.limit)
}

func clampPace(limit float64) float64 { return min(max(limit, MinPace), MaxPace) }
