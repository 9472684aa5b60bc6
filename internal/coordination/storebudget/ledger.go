package storebudget

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// engineShare is an engine that counts towards the base share of this daemon, from
// usableFrom on.
type engineShare struct {
	usableFrom time.Time
	demand     Demand
}

// lentGrant is a grant as the lender records it. The lender does not use the amount
// until the time until, when the borrower has certainly stopped using the grant.
type lentGrant struct {
	amount Amount
	until  time.Time
}

// borrowedGrant is the latest grant of a lender as the borrower records it. The
// borrower may use the amount until the time until.
type borrowedGrant struct {
	amount Amount
	until  time.Time
}

// receivedRequest is the latest request of a borrower and the time of its arrival.
type receivedRequest struct {
	request ShareRequest
	at      time.Time
}

// Ledger computes which part of the limits one daemon may use. It records the
// grants that the daemon has lent and borrowed. It is not safe for concurrent use.
//
// Invariants: a daemon that lends grants uses no more than its base share, less
// the lent grants, plus the borrowed grants. The sum over all daemons of what they
// use never exceeds Limits.Total, as long as each engine has one lease holder at a
// time and Limits.Engines is not below the number of engines.
type Ledger struct {
	limits       Limits
	sequence     uint64 // of the latest request sent to any lender
	engines      map[state.UpstreamID]*engineShare
	lent         map[state.DaemonID]lentGrant       // by borrower
	borrowed     map[state.DaemonID]borrowedGrant   // by lender
	received     map[state.DaemonID]receivedRequest // by borrower
	sentSequence map[state.DaemonID]uint64          // of the latest request sent, by lender
}

// NewLedger returns a ledger without engines. Sequence must exceed every sequence
// of earlier ledgers of the same daemon.
func NewLedger(limits Limits, sequence uint64) *Ledger {
	return &Ledger{
		limits:       limits,
		sequence:     sequence,
		engines:      make(map[state.UpstreamID]*engineShare),
		lent:         make(map[state.DaemonID]lentGrant),
		borrowed:     make(map[state.DaemonID]borrowedGrant),
		received:     make(map[state.DaemonID]receivedRequest),
		sentSequence: make(map[state.DaemonID]uint64),
	}
}

// AddEngine adds an engine on which only this daemon may load from now on. The
// engine counts towards the base share once all grants of the engine's previous
// lease holder must have expired.
func (l *Ledger) AddEngine(now time.Time, id state.UpstreamID) {
	if l.engines[id] == nil {
		l.engines[id] = &engineShare{usableFrom: now.Add(l.limits.reservationTime())}
	}
}

// RemoveEngine removes an engine on which this daemon may no longer load.
func (l *Ledger) RemoveEngine(id state.UpstreamID) { delete(l.engines, id) }

// SetDemand sets the demand of an engine. It ignores an engine that was not added.
func (l *Ledger) SetDemand(id state.UpstreamID, d Demand) {
	if e := l.engines[id]; e != nil {
		e.demand = d
	}
}

// BaseShare returns the sum of the base shares of all engines of this daemon whose
// base share is usable at now.
func (l *Ledger) BaseShare(now time.Time) Amount {
	var base Amount
	for _, e := range l.engines {
		if !now.Before(e.usableFrom) {
			base = base.plus(l.limits.engineShare())
		}
	}
	return base
}

// lentExcept returns the sum of the grants that are reserved for borrowers other
// than except.
func (l *Ledger) lentExcept(now time.Time, except state.DaemonID) Amount {
	var sum Amount
	for id, g := range l.lent {
		if id != except && now.Before(g.until) {
			sum = sum.plus(g.amount)
		}
	}
	return sum
}

// borrowedAmount returns the sum of the valid borrowed grants, and the time at which
// the first of them expires. The time is zero if nothing is borrowed.
func (l *Ledger) borrowedAmount(now time.Time) (Amount, time.Time) {
	var sum Amount
	var first time.Time
	for _, g := range l.borrowed {
		if !now.Before(g.until) || g.amount.IsZero() {
			continue
		}
		sum = sum.plus(g.amount)
		if first.IsZero() || g.until.Before(first) {
			first = g.until
		}
	}
	return sum, first
}

// Usable returns what this daemon may use: its base share, less the lent grants,
// plus the borrowed grants. It also returns the time at which the first borrowed
// grant expires, or the zero time if nothing is borrowed.
func (l *Ledger) Usable(now time.Time) (Amount, time.Time) {
	borrowed, until := l.borrowedAmount(now)
	return l.BaseShare(now).minus(l.lentExcept(now, "")).plus(borrowed), until
}

// totalDemand returns the amount that the engines of this daemon could use in total,
// at most Limits.Total, and the total worth of their pending loads.
func (l *Ledger) totalDemand() (amount Amount, worth float64) {
	for _, e := range l.engines {
		amount.Rate += int64(e.demand.PendingLoads) * Unit * ratePerPendingLoad
		amount.InFlight += int64(e.demand.PendingLoads+e.demand.LoadsInFlight) * Unit
		worth += e.demand.Worth
	}
	return amount.atMost(l.limits.Total), worth
}

// ratePerPendingLoad is the rate that is requested for each pending load, in loads
// a second.
const ratePerPendingLoad = 2

// NeedsRequest reports whether this daemon should send a request to a lender now.
// Without a valid grant of the lender, it should if its demand exceeds its base
// share and the grants of other lenders. With a valid grant, it should in order to
// renew a grant that expires soon, or to return a grant larger than needed.
func (l *Ledger) NeedsRequest(now time.Time, lender state.DaemonID) bool {
	needed := l.neededFrom(now, lender)
	g := l.borrowed[lender]
	if !now.Before(g.until) || g.amount.IsZero() {
		return !needed.IsZero()
	}
	return g.amount != needed.atMost(g.amount) || g.until.Sub(now) < l.limits.GrantTTL/2
}

// neededFrom returns the amount that this daemon needs to borrow from a lender: its
// total demand, less its base share and less the valid grants of other lenders.
func (l *Ledger) neededFrom(now time.Time, lender state.DaemonID) Amount {
	demand, _ := l.totalDemand()
	available := l.BaseShare(now)
	for id, g := range l.borrowed {
		if id != lender && now.Before(g.until) {
			available = available.plus(g.amount)
		}
	}
	return demand.minus(available)
}

// NewRequest returns a request to a lender and removes the lender's current grant,
// because the request ends it. The caller must apply the reduced budgets to the
// engines before it sends the request. From now on, HandleGrant accepts only the
// lender's answer to this request.
func (l *Ledger) NewRequest(now time.Time, lender state.DaemonID) ShareRequest {
	l.sequence++
	l.sentSequence[lender] = l.sequence
	delete(l.borrowed, lender)
	_, worth := l.totalDemand()
	return ShareRequest{Sequence: l.sequence, Worth: worth, Requested: l.neededFrom(now, lender)}
}

// HandleRequest processes the request of a borrower and returns the grant. It ends
// the borrower's earlier grant, reserves the new grant and removes expired state. A
// request that arrives after a later request of the borrower is answered with an
// empty grant and changes nothing.
func (l *Ledger) HandleRequest(now time.Time, from state.DaemonID, request ShareRequest) Grant {
	if last, ok := l.received[from]; ok && request.Sequence <= last.request.Sequence {
		return Grant{Sequence: request.Sequence} // a later request arrived first
	}
	l.received[from] = receivedRequest{request: request, at: now}
	delete(l.lent, from) // the request ends the earlier grant
	available := l.BaseShare(now).minus(l.lentExcept(now, from)).minus(l.retained())
	amount := l.fairShare(now, from).atMost(request.Requested).atMost(available)
	l.removeExpired(now)
	if !amount.IsZero() {
		l.assertCovered(now, from, amount)
		l.lent[from] = lentGrant{amount: amount, until: now.Add(l.limits.reservationTime())}
	}
	return Grant{Sequence: request.Sequence, Amount: amount}
}

// HandleGrant records a lender's answer to a request that NewRequest returned at the
// time sent. It reports whether the grant is valid. A grant is ignored if it answers
// an earlier request or arrives after its TTL.
func (l *Ledger) HandleGrant(now, sent time.Time, lender state.DaemonID, g Grant) bool {
	until := sent.Add(l.limits.GrantTTL)
	if g.Sequence != l.sentSequence[lender] || !now.Before(until) {
		return false
	}
	l.borrowed[lender] = borrowedGrant{amount: g.Amount, until: until}
	return true
}

// retainedRateFraction is the fraction of its base share's rate that a daemon with
// pending loads never lends.
const retainedRateFraction = 0.25

// retained returns the part of the base share that this daemon does not lend: enough
// for its loads in flight and, while it has pending loads, a fraction of the rate.
func (l *Ledger) retained() Amount {
	var retained Amount
	pending := false
	engines := int64(0)
	for _, e := range l.engines {
		engines++
		retained.InFlight += int64(e.demand.LoadsInFlight) * Unit
		pending = pending || e.demand.PendingLoads > 0
	}
	if pending {
		retained.Rate = int64(retainedRateFraction * float64(engines*l.limits.engineShare().Rate))
	}
	return retained
}

// fairShare returns the part of this daemon's base share that is due to a borrower.
// The base share is divided by worth among this daemon and all peers whose latest
// request arrived within the last GrantTTL. None receives more than it requested.
func (l *Ledger) fairShare(now time.Time, borrower state.DaemonID) Amount {
	demand, worth := l.totalDemand()
	contenders := []contender{{worth: worth, requested: demand}}
	for id, r := range l.received {
		if now.Sub(r.at) < l.limits.GrantTTL {
			contenders = append(contenders, contender{id: id, worth: r.request.Worth, requested: r.request.Requested})
		}
	}
	slices.SortFunc(contenders, func(a, b contender) int { return strings.Compare(string(a.id), string(b.id)) })
	base := l.BaseShare(now)
	rates := divideByWorth(base.Rate, contenders, func(a Amount) int64 { return a.Rate })
	inFlight := divideByWorth(base.InFlight, contenders, func(a Amount) int64 { return a.InFlight })
	for i, c := range contenders {
		if c.id == borrower {
			return Amount{Rate: rates[i], InFlight: inFlight[i]}
		}
	}
	return Amount{}
}

// removeExpired removes lent grants whose reservation has ended, and received
// requests that are older than the reservation time.
func (l *Ledger) removeExpired(now time.Time) {
	for id, g := range l.lent {
		if !now.Before(g.until) {
			delete(l.lent, id)
		}
	}
	for id, r := range l.received {
		if now.Sub(r.at) > l.limits.reservationTime() {
			delete(l.received, id)
		}
	}
}

// assertCovered panics if the base share does not cover all lent grants including a
// new grant to a borrower. The base share may have shrunk below the earlier grants,
// so only components that are not zero in the new grant are checked.
func (l *Ledger) assertCovered(now time.Time, borrower state.DaemonID, amount Amount) {
	base, lent := l.BaseShare(now), l.lentExcept(now, borrower).plus(amount)
	rate := amount.Rate < 0 || amount.Rate > 0 && lent.Rate > base.Rate
	inFlight := amount.InFlight < 0 || amount.InFlight > 0 && lent.InFlight > base.InFlight
	if rate || inFlight {
		panic(fmt.Sprintf("storebudget: a grant of %+v raises the lent amount to %+v, beyond the base share %+v", amount, lent, base))
	}
}
