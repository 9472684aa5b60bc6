package ejection

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// gain is the share of a new result in the recent means.
const gain = 0.2

type phase uint8

const (
	active phase = iota
	ejected
	awaitingProbe // the next repeatable request is the probe
	probing
)

type record struct {
	id        state.UpstreamID
	phase     phase
	until     time.Time // end of the ejection or of the wait for a probe
	term      time.Duration
	inRow     int
	samples   int
	failed    float64 // mean of results, 1 for a failure
	pace      float64 // mean in seconds
	paced     int
	probation int
	slow      bool // ejected for its pace
	seen      time.Time
}

// Detector watches one group of like upstreams. It is not safe for concurrent use.
//
// Invariant: an ejection never raises the number of ejected upstreams above the
// limit that follows from MaxShare.
type Detector struct {
	opts    Options
	members int
	out     int // records that are not active
	records map[state.UpstreamID]*record
}

// NewDetector returns a detector of a group without members.
func NewDetector(opts Options) *Detector {
	return &Detector{opts: opts, records: make(map[state.UpstreamID]*record)}
}

// Ejected returns the number of upstreams that are ejected or on probe.
func (d *Detector) Ejected() int { return d.out }

// MaxEjected returns how many upstreams may be ejected at a time: MaxShare of them,
// at least one of two.
func (d *Detector) MaxEjected() int {
	if d.members < 2 {
		return 0
	}
	return max(1, int(d.opts.MaxEjectedShare*float64(d.members)))
}

// Handle takes an event.
func (d *Detector) Handle(now time.Time, event Event) []SetGate {
	switch e := event.(type) {
	case Result:
		return d.result(now, e)
	case ProbeSent:
		d.probeSent(now, e.Upstream)
	case ProbeInconclusive:
		return d.probeLost(e.Upstream)
	case Restarted:
		return d.restarted(e.Upstream)
	case Removed:
		d.gone(e.Upstream)
	case GroupSize:
		d.members = e.Count
		return d.shrink()
	case Tick:
		return d.tick(now)
	}
	return nil
}

func (d *Detector) result(now time.Time, e Result) []SetGate {
	r := d.records[e.Upstream]
	if r == nil {
		r = &record{id: e.Upstream}
		d.records[e.Upstream] = r
	}
	r.seen = now
	if r.phase == probing && e.Probe {
		return d.probeResult(now, r, e)
	}
	if r.phase != active {
		return nil // sent before the ejection
	}
	r.note(e)
	switch {
	case e.Failed && r.probation > 0:
		return d.eject(now, r, ReasonProbationFailed)
	case r.inRow >= d.opts.ConsecutiveFailures:
		return d.eject(now, r, ReasonConsecutiveFailures)
	case r.samples >= d.opts.MinSamples && r.failed >= d.opts.FailureRate:
		return d.eject(now, r, ReasonFailureRate)
	}
	if !e.Failed && r.probation > 0 {
		r.probation--
		if r.probation == 0 {
			r.term = 0
		}
	}
	return nil
}

// note updates the means with a result.
func (r *record) note(e Result) {
	r.samples++
	failure := 0.0
	r.inRow++
	if e.Failed {
		failure = 1
	} else {
		r.inRow = 0
	}
	r.failed += (failure - r.failed) * gain
	if e.Failed || e.UnitLatency <= 0 {
		return
	}
	r.paced++
	if r.paced == 1 {
		r.pace = e.UnitLatency.Seconds()
		return
	}
	r.pace += (e.UnitLatency.Seconds() - r.pace) * gain
}

func (d *Detector) probeResult(now time.Time, r *record, e Result) []SetGate {
	tooSlow := r.slow && e.UnitLatency.Seconds() > d.slowLimit(r)
	if e.Failed || tooSlow {
		d.out--
		r.phase = active
		return d.eject(now, r, ReasonProbeFailed)
	}
	return d.readmit(r, ReasonProbePassed)
}

// eject closes the gate of an active upstream unless too many are out already.
func (d *Detector) eject(now time.Time, r *record, reason Reason) []SetGate {
	if d.out >= d.MaxEjected() {
		r.inRow = 0
		return nil
	}
	r.term = min(max(2*r.term, d.opts.BaseEjectionTime), d.opts.MaxEjectionTime)
	r.phase = ejected
	r.until = now.Add(r.term)
	r.slow = reason == ReasonSlow || reason == ReasonProbeFailed && r.slow
	d.out++
	if d.out > d.MaxEjected() {
		panic(fmt.Sprintf("ejection: %d of %d upstreams are out", d.out, d.members))
	}
	return []SetGate{{Upstream: r.id, Gate: state.GateClosed, Reason: reason, EjectionTime: r.term}}
}

// readmit opens the gate of an upstream on probation with fresh means.
func (d *Detector) readmit(r *record, reason Reason) []SetGate {
	d.out--
	*r = record{id: r.id, term: r.term, probation: d.opts.ProbationResults, seen: r.seen}
	return []SetGate{{Upstream: r.id, Gate: state.GateOpen, Reason: reason}}
}

func (d *Detector) probeSent(now time.Time, id state.UpstreamID) {
	if r := d.records[id]; r != nil && r.phase == awaitingProbe {
		r.phase = probing
		r.until = now.Add(d.opts.ProbeTimeout)
	}
}

func (d *Detector) probeLost(id state.UpstreamID) []SetGate {
	r := d.records[id]
	if r == nil || r.phase != probing {
		return nil
	}
	r.phase = awaitingProbe
	return []SetGate{{Upstream: id, Gate: state.GateProbe, Reason: ReasonProbeInconclusive}}
}

func (d *Detector) restarted(id state.UpstreamID) []SetGate {
	r := d.records[id]
	if r == nil {
		return nil
	}
	if r.phase == active {
		*r = record{id: id, seen: r.seen}
		return nil
	}
	return d.readmit(r, ReasonRestarted)
}

func (d *Detector) gone(id state.UpstreamID) {
	r := d.records[id]
	if r == nil {
		return
	}
	if r.phase != active {
		d.out--
	}
	delete(d.records, id)
}

// shrink readmits upstreams while more are out than the limit allows.
func (d *Detector) shrink() []SetGate {
	var gates []SetGate
	for _, r := range d.sorted() {
		if d.out <= d.MaxEjected() {
			break
		}
		if r.phase != active {
			gates = append(gates, d.readmit(r, ReasonGroupShrank)...)
		}
	}
	return gates
}

func (d *Detector) tick(now time.Time) []SetGate {
	var gates []SetGate
	for _, r := range d.sorted() {
		switch {
		case r.phase == ejected && !now.Before(r.until):
			r.phase = awaitingProbe
			gates = append(gates, SetGate{Upstream: r.id, Gate: state.GateProbe, Reason: ReasonEjectionTimeOver})
		case r.phase == probing && !now.Before(r.until):
			gates = append(gates, d.probeLost(r.id)...)
		case r.phase == active && now.Sub(r.seen) > d.opts.IdleTTL:
			delete(d.records, r.id)
		}
	}
	return append(gates, d.ejectSlow(now)...)
}

// ejectSlow ejects the slowest upstream when it is far behind its peers. One at
// a time is enough: the next tick follows soon.
func (d *Detector) ejectSlow(now time.Time) []SetGate {
	var slowest *record
	for _, r := range d.sorted() {
		if r.phase != active || r.paced < d.opts.MinSamples {
			continue
		}
		if slowest == nil || r.pace > slowest.pace {
			slowest = r
		}
	}
	if slowest == nil || slowest.pace <= d.slowLimit(slowest) {
		return nil
	}
	return d.eject(now, slowest, ReasonSlow)
}

// slowLimit returns the pace in seconds above which r is too slow: a multiple of
// the median of its peers.
func (d *Detector) slowLimit(r *record) float64 {
	var paces []float64
	for _, other := range d.records {
		if other != r && other.phase == active && other.paced >= d.opts.MinSamples {
			paces = append(paces, other.pace)
		}
	}
	floor := d.opts.SlowFloor.Seconds()
	if len(paces) == 0 {
		return max(floor, r.pace)
	}
	slices.Sort(paces)
	return max(floor, paces[len(paces)/2]*d.opts.SlowFactor)
}

// sorted returns the records in the order of their identifiers.
func (d *Detector) sorted() []*record {
	all := make([]*record, 0, len(d.records))
	for _, r := range d.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int { return strings.Compare(string(a.id), string(b.id)) })
	return all
}
