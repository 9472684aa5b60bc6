package ejection

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// smoothing is the weight of a new result in the moving averages.
const smoothing = 0.2

type phase uint8

const (
	active phase = iota
	ejected
	awaitingProbe // the next repeatable request is the probe
	probing
)

// upstreamStats holds the recent results of one upstream and the progress of its
// ejection.
type upstreamStats struct {
	id                  state.UpstreamID
	phase               phase
	phaseEnd            time.Time // end of the ejection, or timeout of the probe
	ejectionTime        time.Duration
	consecutiveFailures int
	samples             int
	failureRate         float64 // moving average, 1 for a failure and 0 for a success
	latency             float64 // moving average of the unit latency, in seconds
	latencySamples      int
	probation           int  // successes left until the end of the probation
	ejectedAsSlow       bool // the probe must also stay within the latency limit
	lastResult          time.Time
}

// Detector detects outliers in one group of equivalent upstreams. It is not safe for
// concurrent use.
//
// Invariant: an ejection never raises the number of ejected upstreams above
// MaxEjected.
type Detector struct {
	opts         Options
	groupSize    int
	ejectedCount int // upstreams that are not active
	stats        map[state.UpstreamID]*upstreamStats
}

// NewDetector returns an outlier detector for a group of upstreams. The size of the
// group is 0, and nothing is ejected, until a GroupSize event sets it.
func NewDetector(opts Options) *Detector {
	return &Detector{opts: opts, stats: make(map[state.UpstreamID]*upstreamStats)}
}

// Ejected returns the number of upstreams that are ejected, including those that await
// a probe or are being probed.
func (d *Detector) Ejected() int { return d.ejectedCount }

// MaxEjected returns how many upstreams may be ejected at a time: MaxEjectedShare of
// the group, but at least one upstream. In a group of fewer than two upstreams the
// result is 0.
func (d *Detector) MaxEjected() int {
	if d.groupSize < 2 {
		return 0
	}
	return max(1, int(d.opts.MaxEjectedShare*float64(d.groupSize)))
}

// Handle processes an event and returns the gates to set.
func (d *Detector) Handle(now time.Time, event Event) []SetGate {
	switch e := event.(type) {
	case Result:
		return d.result(now, e)
	case ProbeSent:
		d.probeSent(now, e.Upstream)
	case ProbeInconclusive:
		return d.probeInconclusive(e.Upstream)
	case Restarted:
		return d.restarted(e.Upstream)
	case Removed:
		d.removed(e.Upstream)
	case GroupSize:
		d.groupSize = e.Count
		return d.readmitExcess()
	case Tick:
		return d.tick(now)
	}
	return nil
}

func (d *Detector) result(now time.Time, e Result) []SetGate {
	s := d.stats[e.Upstream]
	if s == nil {
		s = &upstreamStats{id: e.Upstream}
		d.stats[e.Upstream] = s
	}
	s.lastResult = now
	if s.phase == probing && e.Probe {
		return d.probeResult(now, s, e)
	}
	if s.phase != active {
		return nil // the request was sent before the ejection
	}
	s.update(e)
	switch {
	case e.Failed && s.probation > 0:
		return d.eject(now, s, ReasonProbationFailed)
	case s.consecutiveFailures >= d.opts.ConsecutiveFailures:
		return d.eject(now, s, ReasonConsecutiveFailures)
	case s.samples >= d.opts.MinSamples && s.failureRate >= d.opts.FailureRate:
		return d.eject(now, s, ReasonFailureRate)
	}
	if !e.Failed && s.probation > 0 {
		s.probation--
		if s.probation == 0 {
			s.ejectionTime = 0
		}
	}
	return nil
}

// update adds a result to the moving averages.
func (s *upstreamStats) update(e Result) {
	s.samples++
	failure := 0.0
	s.consecutiveFailures++
	if e.Failed {
		failure = 1
	} else {
		s.consecutiveFailures = 0
	}
	s.failureRate += (failure - s.failureRate) * smoothing
	if e.Failed || e.UnitLatency <= 0 {
		return
	}
	s.latencySamples++
	if s.latencySamples == 1 {
		s.latency = e.UnitLatency.Seconds()
		return
	}
	s.latency += (e.UnitLatency.Seconds() - s.latency) * smoothing
}

func (d *Detector) probeResult(now time.Time, s *upstreamStats, e Result) []SetGate {
	tooSlow := s.ejectedAsSlow && e.UnitLatency.Seconds() > d.latencyLimit(s)
	if e.Failed || tooSlow {
		d.ejectedCount--
		s.phase = active
		return d.eject(now, s, ReasonProbeFailed)
	}
	return d.readmit(s, ReasonProbePassed)
}

// eject closes the gate of an active upstream and doubles its ejection time. If
// MaxEjected upstreams are already ejected, it only resets the upstream's count of
// consecutive failures.
func (d *Detector) eject(now time.Time, s *upstreamStats, reason Reason) []SetGate {
	if d.ejectedCount >= d.MaxEjected() {
		s.consecutiveFailures = 0
		return nil
	}
	s.ejectionTime = min(max(2*s.ejectionTime, d.opts.BaseEjectionTime), d.opts.MaxEjectionTime)
	s.phase = ejected
	s.phaseEnd = now.Add(s.ejectionTime)
	s.ejectedAsSlow = reason == ReasonSlow || reason == ReasonProbeFailed && s.ejectedAsSlow
	d.ejectedCount++
	if d.ejectedCount > d.MaxEjected() {
		panic(fmt.Sprintf("ejection: %d of %d upstreams are ejected, at most %d may be", d.ejectedCount, d.groupSize, d.MaxEjected()))
	}
	return []SetGate{{Upstream: s.id, Gate: state.GateClosed, Reason: reason, EjectionTime: s.ejectionTime}}
}

// readmit opens the gate of an upstream, resets its statistics and starts its
// probation.
func (d *Detector) readmit(s *upstreamStats, reason Reason) []SetGate {
	d.ejectedCount--
	*s = upstreamStats{id: s.id, ejectionTime: s.ejectionTime, probation: d.opts.ProbationResults, lastResult: s.lastResult}
	return []SetGate{{Upstream: s.id, Gate: state.GateOpen, Reason: reason}}
}

func (d *Detector) probeSent(now time.Time, id state.UpstreamID) {
	if s := d.stats[id]; s != nil && s.phase == awaitingProbe {
		s.phase = probing
		s.phaseEnd = now.Add(d.opts.ProbeTimeout)
	}
}

func (d *Detector) probeInconclusive(id state.UpstreamID) []SetGate {
	s := d.stats[id]
	if s == nil || s.phase != probing {
		return nil
	}
	s.phase = awaitingProbe
	return []SetGate{{Upstream: id, Gate: state.GateProbe, Reason: ReasonProbeInconclusive}}
}

func (d *Detector) restarted(id state.UpstreamID) []SetGate {
	s := d.stats[id]
	if s == nil {
		return nil
	}
	if s.phase == active {
		*s = upstreamStats{id: id, lastResult: s.lastResult}
		return nil
	}
	return d.readmit(s, ReasonRestarted)
}

func (d *Detector) removed(id state.UpstreamID) {
	s := d.stats[id]
	if s == nil {
		return
	}
	if s.phase != active {
		d.ejectedCount--
	}
	delete(d.stats, id)
}

// readmitExcess readmits upstreams in the order of their IDs until no more than
// MaxEjected are ejected.
func (d *Detector) readmitExcess() []SetGate {
	var gates []SetGate
	for _, s := range d.sorted() {
		if d.ejectedCount <= d.MaxEjected() {
			break
		}
		if s.phase != active {
			gates = append(gates, d.readmit(s, ReasonGroupShrank)...)
		}
	}
	return gates
}

func (d *Detector) tick(now time.Time) []SetGate {
	var gates []SetGate
	for _, s := range d.sorted() {
		switch {
		case s.phase == ejected && !now.Before(s.phaseEnd):
			s.phase = awaitingProbe
			gates = append(gates, SetGate{Upstream: s.id, Gate: state.GateProbe, Reason: ReasonEjectionTimeOver})
		case s.phase == probing && !now.Before(s.phaseEnd):
			gates = append(gates, d.probeInconclusive(s.id)...)
		case s.phase == active && now.Sub(s.lastResult) > d.opts.IdleTTL:
			delete(d.stats, s.id)
		}
	}
	return append(gates, d.ejectSlowest(now)...)
}

// ejectSlowest ejects the slowest active upstream if its latency exceeds its latency
// limit. Only one upstream is ejected as slow in each tick.
func (d *Detector) ejectSlowest(now time.Time) []SetGate {
	var slowest *upstreamStats
	for _, s := range d.sorted() {
		if s.phase != active || s.latencySamples < d.opts.MinSamples {
			continue
		}
		if slowest == nil || s.latency > slowest.latency {
			slowest = s
		}
	}
	if slowest == nil || slowest.latency <= d.latencyLimit(slowest) {
		return nil
	}
	return d.eject(now, slowest, ReasonSlow)
}

// latencyLimit returns the unit latency in seconds above which an upstream is too slow:
// SlowFactor times the median of its peers, and at least SlowFloor. Without peers to
// compare with, no upstream is too slow.
func (d *Detector) latencyLimit(s *upstreamStats) float64 {
	var latencies []float64
	for _, peer := range d.stats {
		if peer != s && peer.phase == active && peer.latencySamples >= d.opts.MinSamples {
			latencies = append(latencies, peer.latency)
		}
	}
	floor := d.opts.SlowFloor.Seconds()
	if len(latencies) == 0 {
		return max(floor, s.latency)
	}
	slices.Sort(latencies)
	return max(floor, latencies[len(latencies)/2]*d.opts.SlowFactor)
}

// sorted returns the statistics ordered by upstream ID.
func (d *Detector) sorted() []*upstreamStats {
	all := make([]*upstreamStats, 0, len(d.stats))
	for _, s := range d.stats {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *upstreamStats) int { return strings.Compare(string(a.id), string(b.id)) })
	return all
}
