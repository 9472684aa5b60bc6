package admission

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Meter tracks the batch slots that each rank uses now and uses on average. It is not safe
// for concurrent use.
type Meter struct {
	timeConstant time.Duration
	start        time.Time // first use of the meter
	ranks        []rankUsage
}

// rankUsage is the use of the batch by one rank.
type rankUsage struct {
	at      time.Time // last update of usual
	running int
	usual   float64 // exponentially weighted mean of running
}

// NewMeter returns a meter whose means decay with the given time constant.
func NewMeter(timeConstant time.Duration) *Meter { return &Meter{timeConstant: timeConstant} }

// Start records that a request of a rank started to run.
func (m *Meter) Start(now time.Time, rank state.Rank) { m.usage(now, rank).running++ }

// End records that a request of a rank ended.
func (m *Meter) End(now time.Time, rank state.Rank) {
	u := m.usage(now, rank)
	if u.running == 0 {
		panic("admission: more requests of a rank ended than started")
	}
	u.running--
}

// Usage returns the number of batch slots that a rank uses on average, and the number
// in use now.
func (m *Meter) Usage(now time.Time, rank state.Rank) (usual float64, running int) {
	u := m.usage(now, rank)
	return u.usual, u.running
}

// usage returns the use of the batch by a rank, after it has updated the mean to now.
func (m *Meter) usage(now time.Time, rank state.Rank) *rankUsage {
	if m.start.IsZero() {
		m.start = now
	}
	for int(rank) >= len(m.ranks) {
		m.ranks = append(m.ranks, rankUsage{at: now})
	}
	u := &m.ranks[rank]
	if dt := now.Sub(u.at).Seconds(); dt > 0 {
		// Shortly after the first use, the mean covers only the time since then.
		timeConstant := min(m.timeConstant.Seconds(), now.Sub(m.start).Seconds())
		u.usual += (float64(u.running) - u.usual) * (1 - math.Exp(-dt/timeConstant))
		u.at = now
	}
	return u
}
