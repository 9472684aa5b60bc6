package quota

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

// way is how one daemon decides, and what it reports and learns.
type way interface {
	take(now time.Time, q accounts.Quota, n float64) Decision
	own(now time.Time) Use
	set(now time.Time, o Others, grant float64)
}

type ledgerWay struct{ *Ledger }

func (w ledgerWay) take(now time.Time, q accounts.Quota, n float64) Decision {
	return w.Take(now, &accounts.Account{Name: "a", Quota: q}, n)
}

func (w ledgerWay) own(now time.Time) Use { return w.Own(now)["a"] }

func (w ledgerWay) set(now time.Time, o Others, _ float64) {
	if w.entries["a"] == nil && UsedPart(w.quotas["a"], o) < BusyPart { // neither reported nor busy
		w.SetOthers(now, nil, true)
		return
	}
	w.SetOthers(now, map[string]Others{"a": o}, true)
}

// bucket is a token bucket; a request larger than the burst needs a full one.
type bucket struct {
	at    time.Time
	level float64
}

func (b *bucket) take(now time.Time, rate, burst, n float64) bool {
	b.level, b.at = max(0, b.level-rate*now.Sub(b.at).Seconds()), now
	if b.level+min(n, burst) > burst {
		return false
	}
	b.level += n
	return true
}

type equalWay struct {
	bucket
	daemons float64
}

func (w *equalWay) take(now time.Time, q accounts.Quota, n float64) Decision {
	return Decision{Admitted: w.bucket.take(now, q.PerSecond/w.daemons, q.Burst/w.daemons, n), RetryAfter: time.Second}
}
func (*equalWay) own(time.Time) Use              { return Use{} }
func (*equalWay) set(time.Time, Others, float64) {}

// countWay admits while its sum and the last known sum of the others are below the quota.
type countWay struct {
	at               time.Time
	admitted, others float64
}

func (w *countWay) take(now time.Time, q accounts.Quota, n float64) Decision {
	w.own(now)
	if w.admitted+w.others+n > max(q.PerSecond*decayTime.Seconds(), n) {
		return Decision{RetryAfter: time.Second}
	}
	w.admitted += n
	return Decision{Admitted: true}
}

func (w *countWay) own(now time.Time) Use {
	w.admitted, w.at = w.admitted*decay(now.Sub(w.at)), now
	return Use{Admitted: float32(w.admitted)}
}
func (w *countWay) set(_ time.Time, o Others, _ float64) { w.others = float64(o.Admitted) }

// homeWay spends credit that the home daemon of the account grants for its demand.
type homeWay struct{ credit, demand float64 }

func (w *homeWay) take(_ time.Time, _ accounts.Quota, n float64) Decision {
	w.demand += n
	if n > w.credit {
		return Decision{RetryAfter: time.Second}
	}
	w.credit -= n
	return Decision{Admitted: true}
}

func (w *homeWay) own(time.Time) Use {
	wanted := max(0, 2*w.demand-w.credit)
	w.demand *= 0.8
	return Use{Offered: float32(wanted)}
}
func (w *homeWay) set(_ time.Time, _ Others, grant float64) { w.credit += grant }
