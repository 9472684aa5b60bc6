package storebudget

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// engineShare is the base share of an owned engine.
type engineShare struct {
	matures time.Time // when the share may be used
	demand  Demand
}

// loan is a grant that was given, as its lender sees it.
type loan struct {
	amount Amount
	until  time.Time
}

// debt is the latest grant of a lender, as its borrower sees it.
type debt struct {
	amount Amount
	until  time.Time
}

// peerAsk is the latest Ask of a peer.
type peerAsk struct {
	ask   ShareRequest
	heard time.Time
}

// Ledger is the part of one daemon. It is not safe for concurrent use.
//
// Invariant: what a Ledger uses and what it has lent never exceed its base
// shares and what it has borrowed. Over all daemons, the sum of what is used
// never exceeds Limits.Total, as long as each engine has one owner at a time and
// Limits.Engines is not below the number of engines.
type Ledger struct {
	limits   Limits
	sequence uint64
	engines  map[state.UpstreamID]*engineShare
	loans    map[state.DaemonID]loan
	debts    map[state.DaemonID]debt
	asks     map[state.DaemonID]peerAsk
	asked    map[state.DaemonID]uint64 // latest Ask per lender
}

// NewLedger returns a ledger without engines. Sequence must exceed every sequence
// of earlier ledgers of the same daemon.
func NewLedger(limits Limits, sequence uint64) *Ledger {
	return &Ledger{
		limits:   limits,
		sequence: sequence,
		engines:  make(map[state.UpstreamID]*engineShare),
		loans:    make(map[state.DaemonID]loan),
		debts:    make(map[state.DaemonID]debt),
		asks:     make(map[state.DaemonID]peerAsk),
		asked:    make(map[state.DaemonID]uint64),
	}
}

// AddEngine notes that this daemon alone may load on an engine from now on. Its base
// share counts after the grants of an earlier owner have ended.
func (l *Ledger) AddEngine(now time.Time, id state.UpstreamID) {
	if l.engines[id] == nil {
		l.engines[id] = &engineShare{matures: now.Add(l.limits.hold())}
	}
}

// RemoveEngine notes that this daemon may no longer load on an engine.
func (l *Ledger) RemoveEngine(id state.UpstreamID) { delete(l.engines, id) }

// SetDemand notes the demand of an engine.
func (l *Ledger) SetDemand(id state.UpstreamID, d Demand) {
	if e := l.engines[id]; e != nil {
		e.demand = d
	}
}

// BaseShare returns the sum of the base shares that may be used.
func (l *Ledger) BaseShare(now time.Time) Amount {
	var base Amount
	for _, e := range l.engines {
		if !now.Before(e.matures) {
			base = base.plus(l.limits.share())
		}
	}
	return base
}

// lent returns what is held back for all borrowers but one.
func (l *Ledger) lent(now time.Time, except state.DaemonID) Amount {
	var sum Amount
	for id, g := range l.loans {
		if id != except && now.Before(g.until) {
			sum = sum.plus(g.amount)
		}
	}
	return sum
}

// borrowed returns what may be used of grants, and when the first of them ends.
func (l *Ledger) borrowed(now time.Time) (Amount, time.Time) {
	var sum Amount
	var first time.Time
	for _, d := range l.debts {
		if !now.Before(d.until) || d.amount.IsZero() {
			continue
		}
		sum = sum.plus(d.amount)
		if first.IsZero() || d.until.Before(first) {
			first = d.until
		}
	}
	return sum, first
}

// Usable returns what this daemon may use, and when that may become less.
func (l *Ledger) Usable(now time.Time) (Amount, time.Time) {
	borrowed, until := l.borrowed(now)
	return l.BaseShare(now).less(l.lent(now, "")).plus(borrowed), until
}

// need returns what the engines of this daemon could use in all.
func (l *Ledger) need() (want Amount, worth float64) {
	for _, e := range l.engines {
		want.Rate += int64(e.demand.PendingLoads) * Unit * loadsPerWaiting
		want.InFlight += int64(e.demand.PendingLoads+e.demand.LoadsInFlight) * Unit
		worth += e.demand.Worth
	}
	return want.atMost(l.limits.Total), worth
}

// loadsPerWaiting is the rate in loads a second asked for each waiting load.
const loadsPerWaiting = 2

// NeedsRequest reports whether to ask a lender now: because something is missing, or
// a grant ends soon, or more is borrowed than wanted.
func (l *Ledger) NeedsRequest(now time.Time, lender state.DaemonID) bool {
	want := l.wantOf(now, lender)
	d := l.debts[lender]
	if !now.Before(d.until) || d.amount.IsZero() {
		return !want.IsZero()
	}
	return d.amount != want.atMost(d.amount) || d.until.Sub(now) < l.limits.GrantTTL/2
}

// wantOf returns what is wanted of a lender beside the base and other grants.
func (l *Ledger) wantOf(now time.Time, lender state.DaemonID) Amount {
	want, _ := l.need()
	others := l.BaseShare(now)
	for id, d := range l.debts {
		if id != lender && now.Before(d.until) {
			others = others.plus(d.amount)
		}
	}
	return want.less(others)
}

// NewRequest returns what to ask of a lender now. It gives the lender's grants back:
// the caller must hand out the reduced shares before it sends the Ask. The answer
// counts from now on.
func (l *Ledger) NewRequest(now time.Time, lender state.DaemonID) ShareRequest {
	l.sequence++
	l.asked[lender] = l.sequence
	delete(l.debts, lender)
	_, worth := l.need()
	return ShareRequest{Sequence: l.sequence, Worth: worth, Requested: l.wantOf(now, lender)}
}

// HandleRequest handles the Ask of a peer and returns the grant for it.
func (l *Ledger) HandleRequest(now time.Time, from state.DaemonID, ask ShareRequest) Grant {
	if last, ok := l.asks[from]; ok && ask.Sequence <= last.ask.Sequence {
		return Grant{Sequence: ask.Sequence} // overtaken on its way
	}
	l.asks[from] = peerAsk{ask: ask, heard: now}
	delete(l.loans, from) // given back with the Ask
	free := l.BaseShare(now).less(l.lent(now, from)).less(l.kept())
	amount := l.fairPart(now, from).atMost(ask.Requested).atMost(free)
	l.drop(now)
	if !amount.IsZero() {
		l.check(now, from, amount)
		l.loans[from] = loan{amount: amount, until: now.Add(l.limits.hold())}
	}
	return Grant{Sequence: ask.Sequence, Amount: amount}
}

// HandleGrant handles the answer to the Ask that was returned at sent. It reports
// whether the grant counts.
func (l *Ledger) HandleGrant(now, sent time.Time, lender state.DaemonID, g Grant) bool {
	until := sent.Add(l.limits.GrantTTL)
	if g.Sequence != l.asked[lender] || !now.Before(until) {
		return false
	}
	l.debts[lender] = debt{amount: g.Amount, until: until}
	return true
}

// keptShare is the part of the base rate that a daemon with demand never lends.
const keptShare = 0.25

// kept returns what is not lent: loads in progress, and a part of the rate while
// loads wait here.
func (l *Ledger) kept() Amount {
	var kept Amount
	waiting := false
	engines := int64(0)
	for _, e := range l.engines {
		engines++
		kept.InFlight += int64(e.demand.LoadsInFlight) * Unit
		waiting = waiting || e.demand.PendingLoads > 0
	}
	if waiting {
		kept.Rate = int64(keptShare * float64(engines*l.limits.share().Rate))
	}
	return kept
}

// fairPart returns the part of the base for a borrower: the base is divided among
// this daemon and all that asked lately, in proportion to worth and up to what
// each wants.
func (l *Ledger) fairPart(now time.Time, borrower state.DaemonID) Amount {
	want, worth := l.need()
	contenders := []contender{{worth: worth, want: want}}
	for id, p := range l.asks {
		if now.Sub(p.heard) < l.limits.GrantTTL {
			contenders = append(contenders, contender{id: id, worth: p.ask.Worth, want: p.ask.Requested})
		}
	}
	slices.SortFunc(contenders, func(a, b contender) int { return strings.Compare(string(a.id), string(b.id)) })
	base := l.BaseShare(now)
	rates := fill(base.Rate, contenders, func(a Amount) int64 { return a.Rate })
	flights := fill(base.InFlight, contenders, func(a Amount) int64 { return a.InFlight })
	for i, c := range contenders {
		if c.id == borrower {
			return Amount{Rate: rates[i], InFlight: flights[i]}
		}
	}
	return Amount{}
}

// drop forgets grants that have ended and peers that no longer ask.
func (l *Ledger) drop(now time.Time) {
	for id, g := range l.loans {
		if !now.Before(g.until) {
			delete(l.loans, id)
		}
	}
	for id, p := range l.asks {
		if now.Sub(p.heard) > l.limits.hold() {
			delete(l.asks, id)
		}
	}
}

// check panics when a grant to a borrower is not covered by the base. What was
// lent before may exceed a base that has shrunk since.
func (l *Ledger) check(now time.Time, borrower state.DaemonID, amount Amount) {
	base, lent := l.BaseShare(now), l.lent(now, borrower).plus(amount)
	rate := amount.Rate < 0 || amount.Rate > 0 && lent.Rate > base.Rate
	flights := amount.InFlight < 0 || amount.InFlight > 0 && lent.InFlight > base.InFlight
	if rate || flights {
		panic(fmt.Sprintf("storebudget: grant of %+v makes %+v of a base of %+v", amount, lent, base))
	}
}
