package storebudget_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/state"
)

var start = time.Unix(1000, 0)

func limits() storebudget.Limits {
	return storebudget.Limits{
		Total:         storebudget.Amount{Rate: 3 * storebudget.Unit, InFlight: 8 * storebudget.Unit},
		Engines:       12,
		GrantTTL:      storebudget.DefaultGrantTTL,
		MaxClockDrift: storebudget.DefaultMaxClockDrift,
	}
}

func daemonID(i int) state.DaemonID { return state.DaemonID(fmt.Sprintf("daemon-%d", i)) }

func engineID(i int) state.UpstreamID { return state.UpstreamID(fmt.Sprintf("engine-%02d", i)) }

// packet is a message in the network.
type packet struct {
	arrival  time.Time
	from, to int
	sent     time.Time                 // when the request was sent, by the borrower's clock
	request  *storebudget.ShareRequest // nil for a grant
	grant    storebudget.Grant
}

// world runs ledgers with drifting clocks over a network that loses and delays
// messages.
type world struct {
	rt      *rapid.T
	now     time.Time
	ledgers []*storebudget.Ledger // nil after a crash
	drift   []float64             // relative, by daemon
	holders []int                 // lease holder by engine, -1 for none
	cut     map[[2]int]bool       // broken links, as sender and receiver
	packets []packet
	starts  uint64 // total number of daemon starts
}

// clock returns the time by a daemon's clock.
func (w *world) clock(d int) time.Time {
	elapsed := w.now.Sub(start)
	return start.Add(elapsed + time.Duration(float64(elapsed)*w.drift[d]))
}

func (w *world) boot(d int) {
	w.starts++
	w.ledgers[d] = storebudget.NewLedger(limits(), w.starts<<32)
}

func (w *world) crash(d int) {
	w.ledgers[d] = nil
	for e, holder := range w.holders {
		if holder == d {
			w.holders[e] = -1
		}
	}
}

func (w *world) moveLease(e, d int) {
	if previous := w.holders[e]; previous >= 0 && previous != d {
		w.ledgers[previous].RemoveEngine(engineID(e))
	}
	w.holders[e] = d
	w.ledgers[d].AddEngine(w.clock(d), engineID(e))
}

func (w *world) send(p packet) {
	if w.cut[[2]int{p.from, p.to}] || rapid.IntRange(0, 9).Draw(w.rt, "lost") == 0 {
		return
	}
	delay := rapid.OneOf(rapid.IntRange(1, 20), rapid.IntRange(1, 3000)).Draw(w.rt, "delay")
	p.arrival = w.now.Add(time.Duration(delay) * time.Millisecond)
	w.packets = append(w.packets, p)
}

// sendRequests sends a daemon's requests to all peers for which NeedsRequest is true.
func (w *world) sendRequests(d int) {
	for to := range w.ledgers {
		if to != d && w.ledgers[d].NeedsRequest(w.clock(d), daemonID(to)) {
			request := w.ledgers[d].NewRequest(w.clock(d), daemonID(to))
			w.send(packet{from: d, to: to, sent: w.clock(d), request: &request})
		}
	}
}

func (w *world) deliver() {
	slices.SortStableFunc(w.packets, func(a, b packet) int { return a.arrival.Compare(b.arrival) })
	for len(w.packets) > 0 && !w.packets[0].arrival.After(w.now) {
		p := w.packets[0]
		w.packets = w.packets[1:]
		l := w.ledgers[p.to]
		switch {
		case l == nil:
		case p.request != nil:
			g := l.HandleRequest(w.clock(p.to), daemonID(p.from), *p.request)
			w.send(packet{from: p.to, to: p.from, sent: p.sent, grant: g})
		default:
			l.HandleGrant(w.clock(p.to), p.sent, daemonID(p.from), p.grant)
		}
	}
}

// check asserts that neither the usable shares of all daemons nor the budgets of all
// engines add up to more than the limits.
func (w *world) check() {
	var rate float64
	var sum storebudget.Amount
	inFlight := 0
	for d, l := range w.ledgers {
		if l == nil {
			continue
		}
		usable, _ := l.Usable(w.clock(d))
		sum.Rate += usable.Rate
		sum.InFlight += usable.InFlight
		for _, b := range l.EngineBudgets(w.clock(d)) {
			rate += b.Rate
			inFlight += b.InFlight
		}
	}
	total := limits().Total
	const rounding = 1e-6
	if sum.Rate > total.Rate || sum.InFlight > total.InFlight ||
		rate*storebudget.Unit > float64(total.Rate)+rounding || int64(inFlight)*storebudget.Unit > total.InFlight {
		w.rt.Fatalf("daemons may use %+v and engines %.3f loads a second with %d in flight, of a total of %+v", sum, rate, inFlight, total)
	}
}

func TestSharesNeverExceedTheLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(2, 4).Draw(rt, "daemons")
		w := &world{rt: rt, now: start, ledgers: make([]*storebudget.Ledger, daemons), cut: make(map[[2]int]bool)}
		for d := range daemons {
			w.drift = append(w.drift, rapid.Float64Range(-0.02, 0.02).Draw(rt, "drift"))
			w.boot(d)
		}
		for e := range limits().Engines {
			w.holders = append(w.holders, -1)
			w.moveLease(e, rapid.IntRange(0, daemons-1).Draw(rt, "holder"))
		}
		w.now = w.now.Add(time.Minute)
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			w.deliver()
			w.check()
			w.step()
			w.check()
		}
	})
}

// step picks a random daemon. If the daemon has crashed, step starts it again;
// otherwise it executes one random event: a crash, a broken or repaired link, a move
// of a lease, a change of demand, or a round of requests.
func (w *world) step() {
	d := rapid.IntRange(0, len(w.ledgers)-1).Draw(w.rt, "daemon")
	e := rapid.IntRange(0, len(w.holders)-1).Draw(w.rt, "engine")
	action := rapid.IntRange(0, 23).Draw(w.rt, "action")
	if w.ledgers[d] == nil {
		w.boot(d)
		return
	}
	switch action {
	case 0:
		w.crash(d)
	case 1:
		a, b := rapid.IntRange(0, len(w.ledgers)-1).Draw(w.rt, "a"), rapid.IntRange(0, len(w.ledgers)-1).Draw(w.rt, "b")
		w.cut[[2]int{a, b}] = !w.cut[[2]int{a, b}]
	case 2:
		w.moveLease(e, d)
	case 3, 4, 5, 6, 7, 8:
		w.ledgers[d].SetDemand(engineID(e), storebudget.Demand{
			Worth:         float64(rapid.IntRange(0, 100).Draw(w.rt, "worth")),
			PendingLoads:  rapid.IntRange(0, 6).Draw(w.rt, "waiting"),
			LoadsInFlight: rapid.IntRange(0, 3).Draw(w.rt, "loading"),
		})
	default:
		w.sendRequests(d)
	}
}

// pair returns two ledgers with six engines each, and a time at which the base shares
// of both are usable.
func pair() (a, b *storebudget.Ledger, now time.Time) {
	a, b = storebudget.NewLedger(limits(), 0), storebudget.NewLedger(limits(), 0)
	for i := range 6 {
		a.AddEngine(start, engineID(i))
		b.AddEngine(start, engineID(6+i))
	}
	return a, b, start.Add(time.Minute)
}

func TestIdleDaemonLendsItsShareUntilTheGrantExpires(t *testing.T) {
	a, b, now := pair()
	b.SetDemand(engineID(6), storebudget.Demand{Worth: 10, PendingLoads: 4})
	request := b.NewRequest(now, daemonID(0))
	qt.Assert(t, b.HandleGrant(now, now, daemonID(0), a.HandleRequest(now, daemonID(1), request)), qt.IsTrue)
	usable, until := b.Usable(now)
	qt.Assert(t, usable.Rate, qt.Equals, limits().Total.Rate)
	qt.Assert(t, until, qt.Equals, now.Add(storebudget.DefaultGrantTTL))
	used, _ := a.Usable(now)
	qt.Assert(t, used.Rate, qt.Equals, int64(0))
	later := now.Add(storebudget.DefaultGrantTTL)
	usable, _ = b.Usable(later)
	qt.Assert(t, usable.Rate, qt.Equals, limits().Total.Rate/2)
	used, _ = a.Usable(later.Add(time.Second))
	qt.Assert(t, used.Rate, qt.Equals, limits().Total.Rate/2)
}

func TestPartitionedDaemonKeepsItsBaseShare(t *testing.T) {
	a, _, now := pair()
	usable, until := a.Usable(now.Add(24 * time.Hour))
	qt.Assert(t, usable.Rate, qt.Equals, limits().Total.Rate/2)
	qt.Assert(t, until.IsZero(), qt.IsTrue)
}

func TestLenderReservesALostGrantUntilItsBorrowerCouldNoLongerUseIt(t *testing.T) {
	a, b, now := pair()
	b.SetDemand(engineID(6), storebudget.Demand{Worth: 10, PendingLoads: 4})
	a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0))) // the grant is lost
	const lenderClockSpeed = 1.04                                     // relative to the borrower, within MaxClockDrift
	used, _ := a.Usable(now.Add(time.Duration(lenderClockSpeed * float64(storebudget.DefaultGrantTTL))))
	qt.Assert(t, used.Rate, qt.Equals, int64(0))
	used, _ = a.Usable(now.Add(storebudget.DefaultGrantTTL * 2))
	qt.Assert(t, used.Rate, qt.Equals, limits().Total.Rate/2)
}

func TestGrantThatArrivesAfterItsTTLIsNotUsed(t *testing.T) {
	a, b, now := pair()
	b.SetDemand(engineID(6), storebudget.Demand{Worth: 10, PendingLoads: 4})
	grant := a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0)))
	qt.Assert(t, b.HandleGrant(now.Add(storebudget.DefaultGrantTTL), now, daemonID(0), grant), qt.IsFalse)
}

func TestNewLeaseHolderWaitsForGrantsOfThePreviousHolder(t *testing.T) {
	a, b, now := pair()
	b.SetDemand(engineID(6), storebudget.Demand{Worth: 10, PendingLoads: 4})
	b.HandleGrant(now, now, daemonID(0), a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0))))
	c := storebudget.NewLedger(limits(), 0)
	for i := range 6 {
		a.RemoveEngine(engineID(i))
		c.AddEngine(now, engineID(i))
	}
	usable, _ := c.Usable(now.Add(storebudget.DefaultGrantTTL))
	qt.Assert(t, usable.IsZero(), qt.IsTrue)
	usable, _ = c.Usable(now.Add(2 * storebudget.DefaultGrantTTL))
	qt.Assert(t, usable.Rate, qt.Equals, limits().Total.Rate/2)
}

func TestGrantForAnEarlierRequestIsNotUsed(t *testing.T) {
	a, b, now := pair()
	b.SetDemand(engineID(6), storebudget.Demand{Worth: 10, PendingLoads: 4})
	first := a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0)))
	a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0)))
	qt.Assert(t, b.HandleGrant(now, now, daemonID(0), first), qt.IsFalse)
}

func TestBorrowerReturnsAGrantItNoLongerNeeds(t *testing.T) {
	a, b, now := pair()
	b.SetDemand(engineID(6), storebudget.Demand{Worth: 10, PendingLoads: 4})
	b.HandleGrant(now, now, daemonID(0), a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0))))
	b.SetDemand(engineID(6), storebudget.Demand{})
	qt.Assert(t, b.NeedsRequest(now, daemonID(0)), qt.IsTrue)
	a.HandleRequest(now, daemonID(1), b.NewRequest(now, daemonID(0)))
	used, _ := a.Usable(now)
	qt.Assert(t, used.Rate, qt.Equals, limits().Total.Rate/2)
}
