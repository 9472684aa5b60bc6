package admission

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// MarkerOptions are the constants of a Marker.
type MarkerOptions struct {
	TimeConstant   time.Duration // time constant of a class's usual rate
	ExcessDamping  float64       // factor on Memory while a class sends more than usual
	Headroom       float64       // multiple of the usual rate that a class may have
	Burst          time.Duration // unused rate that a class may save up
	MinBurst       float64       // requests that any class may send at once
	LearningPeriod time.Duration // nothing is marked this long after the first request
	ExcessHold     time.Duration // time without excess after which a class counts as calm
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

// Marker marks requests of a class beyond the rate that the class had before, or
// beyond its least share, whichever is more. An entry daemon marks what it
// receives; as callers are spread over the daemons, each sees the same part of a
// class. It is not safe for concurrent use.
type Marker struct {
	opts    MarkerOptions
	shares  []float64 // by rank
	since   time.Time // first request
	total   rate      // of unmarked requests
	classes map[state.Class]*bucket
	perRank []int // classes seen, by rank
}

// rate is a decayed mean of arrivals a second.
type rate struct {
	at    time.Time
	value float64
}

// bucket holds the requests that a class may still send unmarked.
type bucket struct {
	usual  rate
	tokens float64
	excess time.Time // last marked request
}

// NewMarker returns a marker without classes.
func NewMarker(opts MarkerOptions) *Marker {
	return &Marker{opts: opts, classes: make(map[state.Class]*bucket)}
}

// SetRanks sets the least shares of the ranks.
func (m *Marker) SetRanks(ranks []state.RankInfo) {
	m.shares = m.shares[:0]
	for _, r := range ranks {
		m.shares = append(m.shares, r.Share)
	}
}

// Mark notes a request and reports whether it is beyond the rate of its class.
func (m *Marker) Mark(now time.Time, class state.Class) bool {
	if m.since.IsZero() {
		m.since = now
	}
	b := m.bucket(now, class)
	memory := m.memory(now)
	if now.Sub(b.excess) < m.opts.ExcessHold || b.tokens < m.opts.MinBurst/2 {
		memory *= m.opts.ExcessDamping
	}
	elapsed := now.Sub(b.usual.at).Seconds()
	allowed := max(b.usual.value*m.opts.Headroom, m.floor(class.Rank))
	b.usual.add(now, memory)
	b.tokens = min(max(m.opts.MinBurst, allowed*m.opts.Burst.Seconds()), b.tokens+allowed*elapsed)
	if learned := now.Sub(m.since) >= m.opts.LearningPeriod; b.tokens < 1 && learned {
		b.excess = now
		return true
	}
	b.tokens = max(0, b.tokens-1)
	m.total.add(now, m.memory(now))
	return false
}

// memory returns the time constant in seconds. It is short at first, so that a
// daemon that has just started learns what is usual.
func (m *Marker) memory(now time.Time) float64 {
	return max(1, min(m.opts.TimeConstant.Seconds(), now.Sub(m.since).Seconds()))
}

// floor returns the rate of a class that follows from its rank's least share.
func (m *Marker) floor(rank state.Rank) float64 {
	if int(rank) >= len(m.shares) {
		return 0
	}
	return m.shares[rank] * m.total.value / float64(m.perRank[rank])
}

func (m *Marker) bucket(now time.Time, class state.Class) *bucket {
	b := m.classes[class]
	if b != nil {
		return b
	}
	for int(class.Rank) >= len(m.perRank) {
		m.perRank = append(m.perRank, 0)
	}
	m.perRank[class.Rank]++
	b = &bucket{usual: rate{at: now}, tokens: m.opts.MinBurst}
	m.classes[class] = b
	return b
}

// add notes an arrival. Memory is in seconds.
func (r *rate) add(now time.Time, memory float64) {
	r.value *= math.Exp(-now.Sub(r.at).Seconds() / memory)
	r.value += 1 / memory
	r.at = now
}
