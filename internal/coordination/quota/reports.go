package quota

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

// Own returns what this daemon reports of its accounts, and forgets idle accounts.
func (l *Ledger) Own(now time.Time) map[string]Use {
	var out map[string]Use
	for name, e := range l.entries {
		if now.Sub(e.lastTaken) > idleTTL && now.Sub(e.reportedAt) > idleTTL {
			delete(l.entries, name)
			continue
		}
		l.advance(now, e)
		if e.offered < minReported*e.size {
			continue
		}
		if out == nil {
			out = make(map[string]Use, len(l.entries))
		}
		out[name] = Use{Offered: float32(e.offered), Admitted: float32(e.admitted)}
	}
	return out
}

// minReported is the least sum of offered tokens with which an account is reported, as a part of a
// request. A request is reported for 24 s.
const minReported = 0.02

// SetOthers replaces the sums of the other daemons. Complete is whether the report names all
// accounts that are close to their quotas, beside those that this daemon had reported.
func (l *Ledger) SetOthers(now time.Time, reported map[string]Others, complete bool) {
	l.setAll(now, reported, complete, false)
}

// SumOthers does the same for a relay, which has summed up the reports of all daemons itself. Its
// own estimates of the levels stay.
func (l *Ledger) SumOthers(now time.Time, summed map[string]Others) {
	l.setAll(now, summed, true, true)
}

func (l *Ledger) setAll(now time.Time, reported map[string]Others, complete, isRelay bool) {
	l.reportAt, l.complete = now, complete
	for name, o := range reported {
		e := l.entries[name]
		if e == nil {
			e = l.newEntry(now, name, l.quotas[name])
		}
		l.setOthers(now, e, o, isRelay)
	}
}

func (l *Ledger) setOthers(now time.Time, e *entry, o Others, isRelay bool) {
	l.advance(now, e)
	switch isKnown := !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportTTL; {
	case e.quota.PerSecond <= 0: // unknown, so nothing drains
		e.level = float64(o.Level)
	case !isRelay && !l.isFresh(now, e):
		e.level = float64(o.Level) + e.ahead()
	case isKnown:
		admitted := float64(o.Admitted) - float64(e.others.Admitted)*decay(now.Sub(e.reportedAt))
		e.level = max(0, e.level+admitted-e.assumed(now))
	}
	e.setLost(o)
	e.others, e.reportedAt = o, now
	if now.Sub(e.generatedAt) >= minReportInterval {
		e.generatedAt = now
		copy(e.unconfirmed[1:], e.unconfirmed[:])
		e.unconfirmed[0] = 0
		copy(e.offeredAt[1:], e.offeredAt[:])
		e.offeredAt[0] = e.offered
		copy(e.totalAt[1:], e.totalAt[:])
		e.totalAt[0] = e.offered + float64(o.Offered)
	}
	// The sums of the others are as old as the oldest of this daemon's own sums here.
	own := e.offered
	for _, n := range e.offeredAt {
		if n > 0 {
			own = n
		}
	}
	if total := own + float64(o.Offered); total > 0 {
		e.share = own / total
	}
}

// setLost sets the share of daemons that are silent, by the traffic before they fell silent. The
// reachable daemons keep theirs, also if their traffic grows.
func (e *entry) setLost(o Others) {
	if (o.Lost > 0) == (e.lost > 0) && o.Lost == e.others.Lost {
		return
	}
	before := e.lost
	e.lost = 0
	if o.Lost > 0 {
		total := e.totalAt[len(e.totalAt)-1] // it includes the daemons that are silent now
		if total <= float64(o.Lost) {
			total = e.offered + float64(o.Offered) + float64(o.Lost)
		}
		e.lost = min(float64(o.Lost)/total, maxLost)
	}
	e.level *= (1 - e.lost) / (1 - before)
}

// maxLost leaves some of the quota to the daemons that can be reached.
const maxLost = 0.95

// BusyPart is the part of its rate from which an account is busy. Daemons learn of busy accounts
// although they have no requests of them.
const BusyPart = 0.75

// UsedPart returns the part of an account's rate that it uses, zero without a quota.
func UsedPart(q accounts.Quota, o Others) float64 {
	if q.PerSecond <= 0 {
		return 0
	}
	return max(float64(o.Offered+o.Lost)/offeredTime.Seconds(), float64(o.Admitted)/decayTime.Seconds()) / q.PerSecond
}

// Level returns the estimated tokens in use of an account.
func (l *Ledger) Level(now time.Time, account string) float64 {
	e := l.entries[account]
	if e == nil {
		return 0
	}
	l.advance(now, e)
	return e.level
}

// Served returns the tokens per second that an account is served at all daemons, the mean size of
// its requests here, and the averaging time.
func (l *Ledger) Served(now time.Time, account string) (perSecond, size float64, averaging time.Duration) {
	e := l.entries[account]
	if e == nil {
		return 0, 0, decayTime
	}
	l.advance(now, e)
	return (e.admitted + float64(e.others.Admitted)) / decayTime.Seconds(), e.size, decayTime
}

// State is the state of an account as operators see it.
type State struct {
	Served   float64 // tokens per second at all daemons
	Share    float64 // of the account's traffic that this daemon takes
	Level    float64 // estimated tokens in use
	Capacity float64 // tokens that may be in use; zero without a quota
	Refused  uint64  // at this daemon
	// ReportAge is the age of the other daemons' sums; negative without any.
	ReportAge time.Duration
}

// States returns the states of all accounts that have recently had requests here or were reported.
func (l *Ledger) States(now time.Time) map[string]State {
	list := make(map[string]State, len(l.entries))
	for name, e := range l.entries {
		served, _, _ := l.Served(now, name)
		s := State{Served: served, Share: e.share, Level: e.level, Refused: e.refused, ReportAge: -1}
		if e.quota.PerSecond > 0 {
			s.Capacity = l.limitsOf(e.quota, 1-e.lost).capacity
		}
		if !e.reportedAt.IsZero() {
			s.ReportAge = now.Sub(e.reportedAt)
		}
		list[name] = s
	}
	return list
}

// Rates returns the tokens per second that sums mean: those asked for, and those served.
func (o Others) Rates() (offered, admitted float64) {
	return float64(o.Offered) / offeredTime.Seconds(), float64(o.Admitted) / decayTime.Seconds()
}

// Others returns the last sums of the other daemons for an account. It returns false if none was
// reported.
func (l *Ledger) Others(account string) (Others, bool) {
	e := l.entries[account]
	if e == nil || e.reportedAt.IsZero() {
		return Others{}, false
	}
	return e.others, true
}
