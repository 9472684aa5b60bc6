// Package hedge decides when a request is sent to a second upstream while its first attempt is
// still open, and whether that is allowed.
package hedge

import "time"

const (
	// minDelay is the least delay of a hedge. A daemon with a small share of a core is at
	// times not scheduled for several milliseconds.
	minDelay = 10 * time.Millisecond
	// medianFactor caps the delay at a multiple of the median, for the case that more requests
	// are slow than may be hedged.
	medianFactor = 3
	// lowestQuantile keeps the usual response times out of the delay if the share is large.
	lowestQuantile = 0.9
	// minSamples is the number of response times without which there is no delay.
	minSamples = 20
	// sampleWindow is the period of a histogram. Response times count for one to two periods: a
	// daemon of a large fleet sends about one lookup a second.
	sampleWindow = 30 * time.Second
	// maxSaved is how many unused hedges are kept. With a few requests a second and a share of
	// 0.02, a period without trouble of a minute saves about two.
	maxSaved = 4
	// maxKinds limits the kinds of requests with response times of their own.
	maxKinds = 128
	// refusalWindow is the period in which refusals are counted, and maxRefusals the share of
	// them above which there is no room for second attempts.
	refusalWindow = 5 * time.Second
	maxRefusals   = 0.02
)

// Limits are what operators allow. The zero value allows no hedges.
type Limits struct {
	Share   float64 // hedges as a share of the requests that might be hedged
	MaxFill float64 // requests in flight as a share of the upstreams' slots, above which no request is hedged
}

// Kind is what requests have in common whose response times are alike.
type Kind struct{ Route, Service string }

// Verdict is whether a hedge is allowed, and otherwise why not.
type Verdict string

// Verdicts.
const (
	Allowed  Verdict = "allowed"
	OverFill Verdict = "load"
	Refusals Verdict = "refusals"
	NoShare  Verdict = "share"
)

// samples are the response times of one kind of request.
type samples struct {
	recent, older *histogram
	since         time.Time // start of the recent period
}

// rotate begins a new period if the recent one is over.
func (s *samples) rotate(now time.Time) {
	switch age := now.Sub(s.since); {
	case age < sampleWindow:
		return
	case age < 2*sampleWindow:
		s.older, s.recent = s.recent, s.older
		*s.recent = histogram{}
	default:
		*s.older, *s.recent = histogram{}, histogram{}
	}
	s.since = now
}

// period counts requests and refusals.
type period struct{ requests, refused float64 }

// Policy decides about the hedges of one daemon. It is not safe for concurrent use.
type Policy struct {
	limits        Limits
	kinds         map[Kind]*samples
	saved         float64 // hedges that may be sent
	recent, older period
	since         time.Time // start of the recent period
}

// New returns a policy that knows no response times.
func New(limits Limits, now time.Time) *Policy {
	return &Policy{limits: limits, kinds: make(map[Kind]*samples), since: now}
}

// rotate begins a new period of refusals if the recent one is over.
func (p *Policy) rotate(now time.Time) {
	switch age := now.Sub(p.since); {
	case age < refusalWindow:
		return
	case age < 2*refusalWindow:
		p.older = p.recent
	default:
		p.older = period{}
	}
	p.recent, p.since = period{}, now
}

// RecordRequest counts a request that might be hedged.
func (p *Policy) RecordRequest(now time.Time) {
	p.rotate(now)
	p.recent.requests++
	p.saved = min(p.saved+p.limits.Share, maxSaved)
}

// RecordRefusal counts a request that this daemon refused or that an upstream rejected for lack
// of room.
func (p *Policy) RecordRefusal(now time.Time) {
	p.rotate(now)
	p.recent.refused++
}

// Observe records the response time of a first attempt, or the time for which it was open if the
// second attempt won.
func (p *Policy) Observe(now time.Time, k Kind, took time.Duration) {
	s := p.kinds[k]
	if s == nil {
		if len(p.kinds) >= maxKinds {
			p.forgetIdleKinds(now)
		}
		if len(p.kinds) >= maxKinds {
			return
		}
		s = &samples{recent: &histogram{}, older: &histogram{}, since: now}
		p.kinds[k] = s
	}
	s.rotate(now)
	s.recent.add(took)
}

// forgetIdleKinds removes the kinds whose response times no longer count.
func (p *Policy) forgetIdleKinds(now time.Time) {
	for k, s := range p.kinds {
		if s.rotate(now); s.recent.total+s.older.total == 0 {
			delete(p.kinds, k)
		}
	}
}

// Delay returns how long the first attempt of a request may be open before it is hedged. It returns
// false if too few response times are known.
func (p *Policy) Delay(now time.Time, k Kind) (time.Duration, bool) {
	s := p.kinds[k]
	if s == nil {
		return 0, false
	}
	s.rotate(now)
	if s.recent.total+s.older.total < minSamples {
		return 0, false
	}
	tail := quantile(s.recent, s.older, max(1-p.limits.Share, lowestQuantile))
	return max(minDelay, min(tail, medianFactor*quantile(s.recent, s.older, 0.5))), true
}

// Take decides whether a hedge may be sent now, and counts it if so. The fill is the requests in
// flight at the upstreams of the service as a share of their slots.
func (p *Policy) Take(now time.Time, fill float64) Verdict {
	p.rotate(now)
	switch {
	case !(fill <= p.limits.MaxFill): // also if it is not a number
		return OverFill
	case p.recent.refused+p.older.refused > maxRefusals*(p.recent.requests+p.older.requests):
		return Refusals
	case p.saved < 1:
		return NoShare
	}
	p.saved--
	return Allowed
}

// Return gives a hedge back that Take counted and that was not sent.
func (p *Policy) Return() { p.saved = min(p.saved+1, maxSaved) }
