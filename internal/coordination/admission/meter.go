package admission

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Options are the constants of a Meter.
type Options struct {
	Memory     time.Duration // time constant of the usual part
	Stiffness  float64       // factor on Memory in overload
	Headroom   float64       // multiple of the usual part that is within entitlement
	Burst      time.Duration // unused entitlement that may be saved up
	RankBurst  float64       // least saved entitlement of a rank, in slot-seconds
	ClassBurst float64       // least saved entitlement of a class, in slot-seconds
	FloorPart  float64       // part of a rank's share that it is entitled to without any use
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		Memory:     30 * time.Second,
		Stiffness:  20,
		Headroom:   1.2,
		Burst:      4 * time.Second,
		RankBurst:  10,
		ClassBurst: 4,
		FloorPart:  1,
	}
}

// Meter keeps, for each rank and each class, the batch slots that it uses and an
// entitlement that grows with its usual use. The unit is slot-seconds: one request
// running for one second. It is not safe for concurrent use.
type Meter struct {
	opts       Options
	slots      float64
	shares     []float64 // by rank
	overloaded bool
	since      time.Time // first use of any class
	ranks      []*account
	classes    map[state.Class]*account
	perRank    []int // classes seen, by rank
}

// account is the use of one rank or class.
type account struct {
	rank    state.Rank
	burst   float64
	at      time.Time // last settlement
	running int
	usual   float64 // slots in use, decayed mean
	saved   float64 // slot-seconds of entitlement left
}

// NewMeter returns a meter without classes.
func NewMeter(opts Options) *Meter {
	return &Meter{opts: opts, slots: 1, classes: make(map[state.Class]*account)}
}

// SetSlots sets the number of requests that the upstream runs at once.
func (m *Meter) SetSlots(slots int) { m.slots = float64(slots) }

// SetRanks sets the least shares of the ranks.
func (m *Meter) SetRanks(ranks []state.RankInfo) {
	m.shares = m.shares[:0]
	for _, r := range ranks {
		m.shares = append(m.shares, r.Share)
	}
}

// SetOverloaded says whether requests wait for batch slots. The usual part of a
// class hardly changes meanwhile, so that a flood does not become usual.
func (m *Meter) SetOverloaded(now time.Time, overloaded bool) {
	if overloaded == m.overloaded {
		return
	}
	for _, a := range m.ranks {
		m.settle(now, a, 1)
	}
	for _, a := range m.classes {
		m.settle(now, a, m.perRank[a.rank])
	}
	m.overloaded = overloaded
}

// Start notes that a request of a class began to run.
func (m *Meter) Start(now time.Time, class state.Class) {
	m.rank(now, class.Rank).running++
	m.class(now, class).running++
}

// End notes that a request of a class no longer runs.
func (m *Meter) End(now time.Time, class state.Class) {
	a := m.class(now, class)
	if a.running == 0 {
		panic("admission: more ends than starts")
	}
	a.running--
	m.rank(now, class.Rank).running--
}

// Within reports whether a class is within its entitlement: its whole rank is, or
// the class itself.
func (m *Meter) Within(now time.Time, class state.Class) bool {
	return m.RankWithin(now, class.Rank) || m.ClassWithin(now, class)
}

// ClassWithin reports whether a class by itself is within its entitlement.
func (m *Meter) ClassWithin(now time.Time, class state.Class) bool {
	return m.class(now, class).saved > 0
}

// Running returns the requests of a class that run.
func (m *Meter) Running(class state.Class) int {
	if a := m.classes[class]; a != nil {
		return a.running
	}
	return 0
}

// RankWithin reports whether a rank as a whole is within its entitlement.
func (m *Meter) RankWithin(now time.Time, rank state.Rank) bool {
	return m.rank(now, rank).saved > 0
}

// RankUse returns the slots that a rank usually uses and those that it uses now.
func (m *Meter) RankUse(now time.Time, rank state.Rank) (usual float64, running int) {
	a := m.rank(now, rank)
	return a.usual, a.running
}

func (m *Meter) rank(now time.Time, rank state.Rank) *account {
	for int(rank) >= len(m.ranks) {
		r := state.Rank(len(m.ranks))
		m.ranks = append(m.ranks, &account{rank: r, burst: m.opts.RankBurst, at: now, saved: m.opts.RankBurst})
		m.perRank = append(m.perRank, 0)
	}
	a := m.ranks[rank]
	m.settle(now, a, 1)
	return a
}

func (m *Meter) class(now time.Time, class state.Class) *account {
	a := m.classes[class]
	if a == nil {
		m.rank(now, class.Rank)
		m.perRank[class.Rank]++
		a = &account{rank: class.Rank, burst: m.opts.ClassBurst, at: now, saved: m.opts.ClassBurst}
		m.classes[class] = a
	}
	m.settle(now, a, m.perRank[class.Rank])
	return a
}

// settle brings an account up to date. Sharers is the number of accounts that
// divide the rank's share.
func (m *Meter) settle(now time.Time, a *account, sharers int) {
	if m.since.IsZero() {
		m.since = now
	}
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	running := float64(a.running)
	memory := min(m.opts.Memory.Seconds(), now.Sub(m.since).Seconds())
	if m.overloaded {
		memory = m.opts.Memory.Seconds() * m.opts.Stiffness
	}
	a.usual += (running - a.usual) * (1 - math.Exp(-dt/memory))
	entitled := m.entitlement(a, sharers)
	limit := max(a.burst, entitled*m.opts.Burst.Seconds())
	a.saved = min(limit, a.saved+(entitled-running)*dt)
	a.saved = max(a.saved, -limit)
}

// entitlement returns the slots that an account may use at any time.
func (m *Meter) entitlement(a *account, sharers int) float64 {
	floor := 0.0
	if int(a.rank) < len(m.shares) {
		floor = m.opts.FloorPart * m.shares[a.rank] * m.slots / float64(sharers)
	}
	return max(floor, a.usual*m.opts.Headroom)
}
