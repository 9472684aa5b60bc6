package quota

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

var table = flag.Bool("table", false, "log the comparison of all ways in fleets of all sizes")

// trial is one run of a fleet with one account.
type trial struct {
	daemons, clients int
	rate, hot        float64 // hot is the factor on the traffic from hotFrom on, for 6 s
	fault            string  // from faultFrom to faultUntil
	seed             uint64
}

const (
	trialTime, hotFrom, faultFrom, faultUntil = 45.0, 20.0, 19.0, 24.0
	meanSize                                  = 1500.0
)

// result is what a trial measured.
type result struct {
	overrun float64 // most admitted in 8 s, as a part of what the rule allows
	refused float64 // part of the requests that a central bucket admits
	served  float64 // tokens admitted, of those that a central bucket admits
}

type event struct {
	at time.Time
	do func(now time.Time)
}
type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() (last any) {
	last, *q = (*q)[len(*q)-1], (*q)[:len(*q)-1]
	return last
}

// relay sums up what the daemons report.
type relay struct {
	uses   []Use
	sentAt []time.Time
	ledger *Ledger
	all    Others
	summed []Use // what each daemon contributed to all
	at     time.Time
}

func (r *relay) sum(now time.Time, q accounts.Quota) {
	if now.Sub(r.at) < 50*time.Millisecond {
		return
	}
	r.at, r.all, r.summed = now, Others{}, make([]Use, len(r.uses))
	for i, use := range r.uses {
		if silence := now.Sub(r.sentAt[i]); !r.sentAt[i].IsZero() && silence > 1300*time.Millisecond {
			r.all.Lost += use.Offered
			continue
		}
		r.summed[i] = use
		r.all.Offered += use.Offered
		r.all.Admitted += use.Admitted
	}
	r.ledger.SetQuotas(now, map[string]accounts.Quota{"a": q})
	r.ledger.SumOthers(now, map[string]Others{"a": r.all})
	r.all.Level = float32(r.ledger.Level(now, "a"))
}

// run plays a trial: each half of the fleet has a relay, messages take 0.1 to 0.7 s in all, 5% are
// lost, 5% are late and 5% are doubled, and a refused request returns once, at another daemon.
func (tr trial) run(newWay func(now time.Time, daemons int) way) result {
	rng := rand.New(rand.NewPCG(tr.seed, 7))
	var events queue
	at := func(t time.Time, do func(time.Time)) { heap.Push(&events, event{t, do}) }
	span := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	since := func(t time.Time) float64 { return t.Sub(start).Seconds() }
	isOn := func(t time.Time, fault string) bool {
		return tr.fault == fault && since(t) >= faultFrom && since(t) < faultUntil
	}
	rateAt := func(s float64) float64 {
		factor := map[string]float64{"lowered": 1. / 3, "raised": 3}[tr.fault]
		if s < faultFrom || factor == 0 {
			return tr.rate
		}
		return tr.rate * factor
	}
	quotaAt := func(t time.Time) accounts.Quota {
		r := rateAt(since(t))
		return accounts.Quota{PerSecond: r, Burst: r, InTokens: true}
	}
	ways := make([]way, tr.daemons)
	relays := [2]*relay{}
	for r := range relays {
		relays[r] = &relay{uses: make([]Use, tr.daemons), sentAt: make([]time.Time, tr.daemons), ledger: New(start.Add(-time.Minute), bounds)}
	}
	configure := func(now time.Time, i int) {
		if w, ok := ways[i].(ledgerWay); ok {
			w.SetQuotas(now, map[string]accounts.Quota{"a": quotaAt(now)})
		}
	}
	begin := func(now time.Time, i int) {
		ways[i] = newWay(now, tr.daemons)
		configure(now, i)
	}
	for i := range ways {
		begin(start.Add(-time.Minute), i)
	}
	var home bucket // at the relay of the first half
	isDown := func(t time.Time, i int) bool { return i%20 == 0 && (isOn(t, "frozen") || isOn(t, "new")) }
	var gossip func(now time.Time, i int)
	gossip = func(now time.Time, i int) {
		at(now.Add(200*time.Millisecond), func(t time.Time) { gossip(t, i) })
		if isDown(now, i) {
			return
		}
		use := ways[i].own(now)
		for r, relay := range relays {
			for range 1 + int(rng.Float64()+0.05) {
				if rng.Float64() < 0.05 || r != i%2 && isOn(now, "cut") {
					continue
				}
				at(now.Add(span(0.05+0.3*rng.Float64()+0.5*float64(int(rng.Float64()+0.05)))), func(t time.Time) {
					if !now.Before(relay.sentAt[i]) {
						relay.uses[i], relay.sentAt[i] = use, now
					}
					if r != i%2 {
						return
					}
					q, grant := quotaAt(t), 0.0
					relay.sum(t, q)
					o := relay.all
					o.Offered -= relay.summed[i].Offered
					o.Admitted -= relay.summed[i].Admitted
					if home.take(t, q.PerSecond, q.Burst, 0); r == 0 || !isOn(t, "cut") {
						grant = max(0, min(float64(use.Offered), q.Burst-home.level))
						home.level += grant
					}
					if rng.Float64() < 0.05 {
						return
					}
					at(t.Add(span(0.05+0.15*rng.Float64())), func(t time.Time) {
						if !isDown(t, i) {
							ways[i].set(t, o, grant)
						}
					})
				})
			}
		}
	}
	for i := range ways {
		at(start.Add(span(-2+0.2*rng.Float64())), func(t time.Time) { gossip(t, i) })
	}
	at(start.Add(span(faultFrom)), func(now time.Time) {
		for i := range ways {
			configure(now, i)
		}
	})
	at(start.Add(span(faultUntil)), func(now time.Time) {
		for i := range ways {
			if tr.fault == "restart" || tr.fault == "new" && i%20 == 0 {
				begin(now, i)
				for _, relay := range relays {
					if tr.fault == "restart" {
						relay.ledger = New(now, bounds)
					}
					relay.uses[i], relay.sentAt[i] = Use{}, time.Time{}
				}
			}
		}
	})
	var central bucket
	var proper, refused, admitted, centralAdmitted float64
	var admittedAt [int(trialTime) * 100]float64
	send := func(t time.Time, i int, n float64) Decision {
		for isDown(t, i) {
			i = rng.IntN(tr.daemons)
		}
		d := ways[i].take(t, quotaAt(t), n)
		if d.Admitted {
			admittedAt[int(since(t)*100)] += n
			admitted += n
		}
		return d
	}
	var arrive func(now time.Time, client, daemon int)
	arrive = func(now time.Time, client, daemon int) {
		s := since(now)
		load := 0.55 * (1 + 0.4*math.Sin(2*math.Pi*s/11+float64(tr.seed)))
		if int(s)%9 == 4 {
			load *= 1.7
		}
		if s >= hotFrom && s < hotFrom+6 {
			load *= tr.hot
		}
		weights := math.Log(float64(tr.clients)) + 0.58
		perSecond := tr.rate * load / weights / float64(client+1) / meanSize
		at(now.Add(span(rng.ExpFloat64()/perSecond)), func(t time.Time) { arrive(t, client, daemon) })
		size := min(6000, max(100, 1130*math.Exp(0.75*rng.NormFloat64())))
		q := quotaAt(now)
		isProper := central.take(now, q.PerSecond, q.Burst, size)
		d := send(now, daemon, size)
		if isProper {
			proper++
			centralAdmitted += size
		}
		if d.Admitted {
			return
		}
		if isProper {
			refused++
		}
		at(now.Add(d.RetryAfter), func(t time.Time) { send(t, rng.IntN(tr.daemons), size) })
	}
	for c := range tr.clients {
		at(start.Add(span(rng.ExpFloat64()*float64(c+1)*meanSize/tr.rate/0.55*4)), func(t time.Time) { arrive(t, c, rng.IntN(tr.daemons)) })
	}
	for since(events[0].at) < trialTime {
		e := heap.Pop(&events).(event)
		e.do(e.at)
	}
	out := result{refused: refused / max(proper, 1), served: admitted / max(centralAdmitted, 1)}
	in8 := 0.0
	for i, n := range admittedAt {
		in8 += n
		if i >= 800 {
			in8 -= admittedAt[i-800]
		}
		rate := max(rateAt(float64(i)/100), rateAt(float64(i)/100-8-3)) // a lowered limit binds a window after 3 s
		out.overrun = max(out.overrun, in8/(rate*9*1.1+11_000))
	}
	return out
}
