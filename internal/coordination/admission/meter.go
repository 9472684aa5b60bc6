package admission

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Options are the constants of a Meter.
type Options struct {
	Memory     time.Duration // time constant of a class's usual part
	Stiffness  float64       // factor on Memory in overload
	Headroom   float64       // a class may use this multiple of its usual part
	Burst      time.Duration // unused entitlement that a class may save up
	BurstSlots float64       // least saved entitlement, in slot-seconds
	FloorPart  float64       // part of the rank's share that each class of the rank divides
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		Memory:     30 * time.Second,
		Stiffness:  20,
		Headroom:   1.3,
		Burst:      10 * time.Second,
		BurstSlots: 20,
		FloorPart:  0.5,
	}
}

// Meter keeps, for each class, the batch slots that it uses and an entitlement
// that grows with its usual use. The unit is slot-seconds: one request running for
// one second. It is not safe for concurrent use.
type Meter struct {
	opts       Options
	slots      float64
	shares     []float64 // by rank
	overloaded bool
	since      time.Time // first use of any class
	classes    map[state.Class]*account
	perRank    []int // classes seen, by rank
}

// account is the use of one class.
type account struct {
	rank    state.Rank
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
	for _, a := range m.classes {
		m.settle(now, a)
	}
	m.overloaded = overloaded
}

// Start notes that a request of a class began to run.
func (m *Meter) Start(now time.Time, class state.Class) {
	a := m.account(now, class)
	a.running++
}

// End notes that a request of a class no longer runs.
func (m *Meter) End(now time.Time, class state.Class) {
	a := m.account(now, class)
	if a.running == 0 {
		panic("admission: more ends than starts")
	}
	a.running--
}

// Within reports whether a class is within its entitlement.
func (m *Meter) Within(now time.Time, class state.Class) bool {
	return m.account(now, class).saved > 0
}

// Running returns the requests of a class that run.
func (m *Meter) Running(class state.Class) int {
	if a := m.classes[class]; a != nil {
		return a.running
	}
	return 0
}

func (m *Meter) account(now time.Time, class state.Class) *account {
	a := m.classes[class]
	if a != nil {
		m.settle(now, a)
		return a
	}
	for int(class.Rank) >= len(m.perRank) {
		m.perRank = append(m.perRank, 0)
	}
	m.perRank[class.Rank]++
	if m.since.IsZero() {
		m.since = now
	}
	a = &account{rank: class.Rank, at: now, saved: m.opts.BurstSlots}
	m.classes[class] = a
	return a
}

// settle brings an account up to date.
func (m *Meter) settle(now time.Time, a *account) {
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	running := float64(a.running)
	entitled := m.entitlement(a)
	memory := min(m.opts.Memory.Seconds(), now.Sub(m.since).Seconds())
	if m.overloaded {
		memory = m.opts.Memory.Seconds() * m.opts.Stiffness
	}
	a.usual += (running - a.usual) * (1 - math.Exp(-dt/memory))
	limit := max(m.opts.BurstSlots, entitled*m.opts.Burst.Seconds())
	a.saved = min(limit, a.saved+(entitled-running)*dt)
	a.saved = max(a.saved, -limit)
}

// entitlement returns the slots that a class may use at any time.
func (m *Meter) entitlement(a *account) float64 {
	floor := 0.0
	if int(a.rank) < len(m.shares) {
		floor = m.opts.FloorPart * m.shares[a.rank] * m.slots / float64(m.perRank[a.rank])
	}
	return max(floor, a.usual*m.opts.Headroom)
}
