package admission

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// MarkerOptions are the constants of a Marker.
type MarkerOptions struct {
	TimeConstant   time.Duration // time constant of the mean rate of a class
	ExcessDamping  float64       // factor on TimeConstant while a class exceeds its usual rate
	Headroom       float64       // ratio of the allowed rate of a class to its usual rate
	Burst          time.Duration // time over which a class can accumulate unused allowed rate
	MinBurst       float64       // requests that any class may send at once
	LearningPeriod time.Duration // time after the first request in which nothing is marked
	ExcessHold     time.Duration // time after a marked request in which its class counts as above its usual rate
}

// DefaultMarkerOptions returns the options of the daemon.
func DefaultMarkerOptions() MarkerOptions {
	return MarkerOptions{
		TimeConstant:   120 * time.Second,
		ExcessDamping:  30,
		Headroom:       1.5,
		Burst:          5 * time.Second,
		MinBurst:       4,
		LearningPeriod: 30 * time.Second,
		ExcessHold:     10 * time.Second,
	}
}

// Marker marks the excess requests of each class, which exceed the allowed rate of the
// class. The allowed rate is the usual rate of the class times Headroom, or the class's
// share of the guaranteed rate of its rank, whichever is higher.
//
// Each entry daemon marks the requests that it receives. This works without coordination
// because callers are spread evenly over the daemons: each daemon sees the same fraction of
// every class. A Marker is not safe for concurrent use.
type Marker struct {
	opts           MarkerOptions
	shares         []float64 // guaranteed share of the total rate, by rank
	start          time.Time // time of the first request
	totalRate      rate      // rate of unmarked requests
	classes        map[state.Class]*bucket
	classesPerRank []int // number of classes seen, by rank
}

// rate is an exponentially weighted mean of arrivals a second.
type rate struct {
	at    time.Time // last update
	value float64
}

// bucket is the token bucket of a class. Its refill rate follows the usual rate.
type bucket struct {
	usual      rate
	tokens     float64   // requests that may still arrive without being marked
	lastExcess time.Time // time of the last marked request
}

// NewMarker returns a marker without classes.
func NewMarker(opts MarkerOptions) *Marker {
	return &Marker{opts: opts, classes: make(map[state.Class]*bucket)}
}

// SetRanks sets the guaranteed shares of the ranks.
func (m *Marker) SetRanks(ranks []state.RankInfo) {
	m.shares = m.shares[:0]
	for _, r := range ranks {
		m.shares = append(m.shares, r.Share)
	}
}

// Mark counts a request and reports whether the request exceeds the allowed rate of its
// class.
func (m *Marker) Mark(now time.Time, class state.Class) bool {
	if m.start.IsZero() {
		m.start = now
	}
	b := m.bucket(now, class)
	timeConstant := m.timeConstant(now)
	if now.Sub(b.lastExcess) < m.opts.ExcessHold || b.tokens < m.opts.MinBurst/2 {
		timeConstant *= m.opts.ExcessDamping // a flood must raise the usual rate only slowly
	}
	elapsed := now.Sub(b.usual.at).Seconds()
	allowed := max(b.usual.value*m.opts.Headroom, m.minRate(class.Rank))
	b.usual.add(now, timeConstant)
	b.tokens = min(max(m.opts.MinBurst, allowed*m.opts.Burst.Seconds()), b.tokens+allowed*elapsed)
	if learned := now.Sub(m.start) >= m.opts.LearningPeriod; b.tokens < 1 && learned {
		b.lastExcess = now
		return true
	}
	b.tokens = max(0, b.tokens-1)
	m.totalRate.add(now, m.timeConstant(now))
	return false
}

// timeConstant returns the time constant of the mean rates in seconds. It is short soon after
// the first request, so that the means reach the usual rates quickly.
func (m *Marker) timeConstant(now time.Time) float64 {
	return max(1, min(m.opts.TimeConstant.Seconds(), now.Sub(m.start).Seconds()))
}

// minRate returns the guaranteed rate of a class: the guaranteed rate of its rank,
// divided evenly among the classes of the rank.
func (m *Marker) minRate(rank state.Rank) float64 {
	if int(rank) >= len(m.shares) {
		return 0
	}
	return m.shares[rank] * m.totalRate.value / float64(m.classesPerRank[rank])
}

// bucket returns the bucket of a class. For a class without a bucket it adds a bucket with
// MinBurst tokens.
func (m *Marker) bucket(now time.Time, class state.Class) *bucket {
	b := m.classes[class]
	if b != nil {
		return b
	}
	for int(class.Rank) >= len(m.classesPerRank) {
		m.classesPerRank = append(m.classesPerRank, 0)
	}
	m.classesPerRank[class.Rank]++
	b = &bucket{usual: rate{at: now}, tokens: m.opts.MinBurst}
	m.classes[class] = b
	return b
}

// add decays the rate to now and counts an arrival. The time constant is in seconds.
func (r *rate) add(now time.Time, timeConstant float64) {
	r.value *= math.Exp(-now.Sub(r.at).Seconds() / timeConstant)
	r.value += 1 / timeConstant
	r.at = now
}
