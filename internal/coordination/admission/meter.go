package admission

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Meter keeps the batch slots that each rank uses now and usually. It is not safe
// for concurrent use.
type Meter struct {
	memory time.Duration
	since  time.Time
	ranks  []use
}

// use is what one rank uses.
type use struct {
	at      time.Time
	running int
	usual   float64 // decayed mean of running
}

// NewMeter returns a meter with a time constant.
func NewMeter(memory time.Duration) *Meter { return &Meter{memory: memory} }

// Start notes that a request of a rank began to run.
func (m *Meter) Start(now time.Time, rank state.Rank) { m.rank(now, rank).running++ }

// End notes that a request of a rank no longer runs.
func (m *Meter) End(now time.Time, rank state.Rank) {
	u := m.rank(now, rank)
	if u.running == 0 {
		panic("admission: more ends than starts")
	}
	u.running--
}

// Usage returns the slots that a rank usually uses and those that it uses now.
func (m *Meter) Usage(now time.Time, rank state.Rank) (usual float64, running int) {
	u := m.rank(now, rank)
	return u.usual, u.running
}

// rank returns the use of a rank, up to date.
func (m *Meter) rank(now time.Time, rank state.Rank) *use {
	if m.since.IsZero() {
		m.since = now
	}
	for int(rank) >= len(m.ranks) {
		m.ranks = append(m.ranks, use{at: now})
	}
	u := &m.ranks[rank]
	if dt := now.Sub(u.at).Seconds(); dt > 0 {
		memory := min(m.memory.Seconds(), now.Sub(m.since).Seconds())
		u.usual += (float64(u.running) - u.usual) * (1 - math.Exp(-dt/memory))
		u.at = now
	}
	return u
}
