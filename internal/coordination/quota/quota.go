// Package quota decides whether a request is within the quota of its client account, which
// holds over all daemons together. Each daemon keeps its own estimate of one token bucket per
// account. It adds its own admissions at once and those of the other daemons as their
// reports come.
package quota

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

const (
	// decayTime is the time constant of the sums that daemons report. A report shows the
	// admissions since the preceding one as the difference of two decayed sums, so a lost or
	// repeated report does no harm.
	decayTime = 2 * time.Second
	// reportTTL is how long the reports of other daemons allow admissions beyond this daemon's
	// share.
	reportTTL = 2 * time.Second
	// minReportInterval separates two generations of unconfirmed admissions.
	minReportInterval = 150 * time.Millisecond
	// capacityShare and ceilingShare divide the tolerance of a quota: the bucket is larger than
	// the burst by the first share, and admissions that the daemons don't know of each other
	// may exceed the burst by the second. The rest is for errors of the shares.
	capacityShare = 0.25
	ceilingShare  = 0.6
	// usualUse is the share of its rate that an account uses when its bucket is presumably full.
	usualUse = 0.6
	// idleTTL is how long an account without requests is kept.
	idleTTL = 30 * time.Second

	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 8 * time.Second
	unknownRetryAfter = 300 * time.Millisecond // until the next report, if only a report is missing
)

// Reasons of decisions.
const (
	ReasonNoQuota  = "no quota"
	ReasonRoom     = "room"           // the bucket has room
	ReasonShare    = "share"          // no fresh reports, and this daemon's share has room
	ReasonExceeded = "quota exceeded" // the bucket has no room
	ReasonAhead    = "share used up"  // this daemon's part of the room, until the next report
	ReasonNoReport = "share used up, no report"
	ReasonTooLarge = "larger than the quota"
)

// Options are the bounds within which quotas must hold: in any Window, an account's admitted
// tokens sum up to at most (rate x Window + burst) x (1 + Over) + Slack.
type Options struct {
	Window time.Duration
	Over   float64
	Slack  float64 // tokens; not for quotas in requests
}

// Use is what one daemon reports of an account: decaying sums of the tokens that were asked for
// and admitted there.
type Use struct {
	Offered  float32 `cbor:"1,keyasint"`
	Admitted float32 `cbor:"2,keyasint"`
}

// Others sums up what the other daemons reported of an account.
type Others struct {
	Offered  float32 `cbor:"1,keyasint"`
	Admitted float32 `cbor:"2,keyasint"`
	// Lost is the last Offered of daemons that are listed and silent. They may be serving behind
	// a cut.
	Lost float32 `cbor:"3,keyasint,omitempty"`
}

// Decision is the result of Take.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // estimated time until the tokens are available
	Reason     string
	Share      float64       // of the account's traffic that this daemon takes
	Level      float64       // estimated tokens in use
	Capacity   float64       // tokens that may be in use
	ReportAge  time.Duration // of the other daemons' sums; negative without any
}

// generations is how many reports it takes until the other daemons know this daemon's
// admissions.
const generations = 3

// entry is the state of an account.
type entry struct {
	at       time.Time // of the sums and the level
	quota    accounts.Quota
	offered  float64 // decaying, of this daemon
	admitted float64 // decaying, of this daemon
	level    float64 // estimated tokens in use, over all reachable daemons
	ownLevel float64 // tokens in use that this daemon admitted, as a bucket of its share
	share    float64
	lost     float64 // share of the traffic that silent daemons had when they fell silent

	others      Others
	reportedAt  time.Time // zero without a report
	generatedAt time.Time
	// unconfirmed are this daemon's admissions since the last reports, the present ones first.
	unconfirmed [generations]float64
	// offeredAt and totalAt are sums of offered tokens, of this daemon and of all reachable
	// ones, at the last reports.
	offeredAt [generations]float64
	totalAt   [2 * generations]float64
	lastTaken time.Time
	refused   uint64
}

// Ledger decides for the accounts of a daemon. It is not safe for concurrent use.
type Ledger struct {
	opts     Options
	daemons  int
	entries  map[string]*entry
	reportAt time.Time // of any account
	complete bool      // the last report named all accounts that are close to their quota
}

// New returns a ledger without accounts.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, daemons: 1, entries: make(map[string]*entry)}
}

// SetDaemons sets the number of listed daemons.
func (l *Ledger) SetDaemons(n int) { l.daemons = max(n, 1) }

// limits are the tokens that may be in use.
type limits struct {
	rate     float64
	capacity float64 // above which nothing is admitted
	ceiling  float64 // which unconfirmed admissions of all daemons may reach
}

// limitsOf returns the limits of a quota for a part of the fleet.
func (l *Ledger) limitsOf(q accounts.Quota, part float64) limits {
	burst := q.Burst
	if burst <= 0 {
		burst = q.PerSecond // one second
	}
	if !q.InTokens {
		burst = max(burst, 1)
	}
	tolerance := l.opts.Over * (q.PerSecond*l.opts.Window.Seconds() + burst)
	if q.InTokens {
		tolerance += l.opts.Slack
	}
	return limits{rate: q.PerSecond * part, capacity: (burst + capacityShare*tolerance) * part, ceiling: (burst + ceilingShare*tolerance) * part}
}

func decay(d time.Duration) float64 { return math.Exp(-max(0, d).Seconds() / decayTime.Seconds()) }

// entryOf returns the state of an account as of now.
func (l *Ledger) entryOf(now time.Time, name string, q accounts.Quota) *entry {
	e := l.entries[name]
	if e == nil {
		e = &entry{at: now, lastTaken: now, share: 1 / float64(l.daemons)}
		l.entries[name] = e
	}
	l.advance(now, e)
	if e.quota.PerSecond <= 0 && !e.reportedAt.IsZero() { // reported before the account had requests here
		e.quota = q
		e.level += l.firstLevel(e, e.others)
	}
	e.quota = q
	return e
}

// advance lets the time pass for an account: its sums decay, and its buckets drain.
func (l *Ledger) advance(now time.Time, e *entry) {
	d := now.Sub(e.at)
	if d <= 0 {
		return
	}
	f := decay(d)
	e.offered *= f
	e.admitted *= f
	lim := l.limitsOf(e.quota, 1-e.lost)
	inflow := e.assumed(now) - e.assumed(e.at)
	e.level = max(0, e.level-lim.rate*d.Seconds()+inflow)
	e.ownLevel = max(0, e.ownLevel-e.quota.PerSecond*e.share*d.Seconds())
	e.at = now
}

// assumed returns the tokens that the other daemons have presumably admitted since their last
// report: as many a second as before, until the report is too old.
func (e *entry) assumed(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return float64(e.others.Admitted) * min(now.Sub(e.reportedAt), reportTTL).Seconds() / decayTime.Seconds()
}

func (l *Ledger) isFresh(now time.Time, e *entry) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportTTL
}

// Take decides about a request for a number of tokens and, if it is within the quota, takes
// them.
func (l *Ledger) Take(now time.Time, account *accounts.Account, tokens float64) Decision {
	e := l.entryOf(now, account.Name, account.Quota)
	e.lastTaken = now
	// A request that names an absurd number of tokens must not count for the share.
	e.offered += min(tokens, l.limitsOf(e.quota, 1).ceiling)
	d := l.decide(now, e, tokens)
	if !d.Admitted {
		e.refused++
		return d
	}
	e.admitted += tokens
	e.level += tokens
	e.ownLevel += tokens
	e.unconfirmed[0] += tokens
	return d
}

func (l *Ledger) decide(now time.Time, e *entry, tokens float64) Decision {
	lim := l.limitsOf(e.quota, 1-e.lost)
	d := Decision{Share: e.share, Level: e.level, Capacity: lim.capacity, ReportAge: -1}
	if !e.reportedAt.IsZero() {
		d.ReportAge = now.Sub(e.reportedAt)
	}
	if e.quota.PerSecond <= 0 {
		d.Admitted, d.Reason = true, ReasonNoQuota
		return d
	}
	if tokens > lim.ceiling { // it would exceed the quota at any time
		d.Reason, d.RetryAfter = ReasonTooLarge, maxRetryAfter
		return d
	}
	if !l.isFresh(now, e) && !l.isKnownQuiet(now) {
		whole := l.limitsOf(e.quota, 1)
		own := whole.capacity * e.share
		d.Admitted, d.Reason = e.ownLevel+tokens <= own, ReasonShare
		if !d.Admitted {
			d.Reason = ReasonNoReport
			d.RetryAfter = clampRetry(max(seconds((e.ownLevel+tokens-own)/(whole.rate*e.share)), unknownRetryAfter))
		}
		return d
	}
	// A request larger than the bucket needs an empty one, and the bucket is in debt afterwards.
	if missing := e.level + min(tokens, lim.capacity) - lim.capacity; missing > 0 {
		d.Reason, d.RetryAfter = ReasonExceeded, clampRetry(seconds(missing/lim.rate))
		return d
	}
	// The other daemons admit requests at the same time. Each one may use its share of what is
	// left up to the ceiling, and one request.
	ahead := 0.0
	for _, n := range e.unconfirmed {
		ahead += n
	}
	if ahead > 0 && ahead >= e.share*(lim.ceiling-(e.level-ahead)) {
		d.Reason, d.RetryAfter = ReasonAhead, unknownRetryAfter
		return d
	}
	d.Admitted, d.Reason = true, ReasonRoom
	return d
}

// isKnownQuiet reports whether an account of which no report came is known to be far from its
// quota: reports name all accounts that are not.
func (l *Ledger) isKnownQuiet(now time.Time) bool {
	return l.complete && !l.reportAt.IsZero() && now.Sub(l.reportAt) <= reportTTL
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Return gives back the tokens of a request that was admitted at the given time and ran nowhere.
func (l *Ledger) Return(now time.Time, account *accounts.Account, tokens float64, admittedAt time.Time) {
	e := l.entryOf(now, account.Name, account.Quota)
	left := tokens * decay(now.Sub(admittedAt))
	e.admitted = max(0, e.admitted-left)
	e.level = max(0, e.level-left)
	e.ownLevel = max(0, e.ownLevel-left)
	for i := range e.unconfirmed {
		n := min(left, e.unconfirmed[i])
		e.unconfirmed[i] -= n
		left -= n
	}
}

// Own returns what this daemon reports of its accounts, and forgets idle accounts.
func (l *Ledger) Own(now time.Time) map[string]Use {
	var out map[string]Use
	for name, e := range l.entries {
		if now.Sub(e.lastTaken) > idleTTL {
			delete(l.entries, name)
			continue
		}
		l.advance(now, e)
		if e.offered < minReported {
			continue
		}
		if out == nil {
			out = make(map[string]Use, len(l.entries))
		}
		out[name] = Use{Offered: float32(e.offered), Admitted: float32(e.admitted)}
	}
	return out
}

// minReported is the least sum of offered tokens or requests with which an account is reported.
// A request that counts 1 is reported for nine seconds.
const minReported = 0.01

// SetOthers replaces the sums of the other daemons. Complete is whether the report names all
// accounts that are close to their quotas, beside those that this daemon had reported.
func (l *Ledger) SetOthers(now time.Time, reported map[string]Others, complete bool) {
	l.reportAt, l.complete = now, complete
	for name, o := range reported {
		e := l.entries[name]
		if e == nil {
			e = &entry{at: now, lastTaken: now, share: 1 / float64(l.daemons)}
			l.entries[name] = e
		}
		l.setOthers(now, e, o)
	}
}

func (l *Ledger) setOthers(now time.Time, e *entry, o Others) {
	l.advance(now, e)
	if e.reportedAt.IsZero() {
		e.level += l.firstLevel(e, o)
	} else {
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

// firstLevel estimates the level of an account from its first report.
func (l *Ledger) firstLevel(e *entry, o Others) float64 {
	if e.quota.PerSecond <= 0 {
		return 0
	}
	use := float64(o.Admitted) / (e.quota.PerSecond * decayTime.Seconds())
	return l.limitsOf(e.quota, 1).capacity * min(1, max(0, (use-usualUse)/(1-usualUse)))
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
const BusyPart = 0.5

// UsedPart returns the part of an account's rate that it uses, zero without a quota.
func UsedPart(q accounts.Quota, o Others) float64 {
	if q.PerSecond <= 0 {
		return 0
	}
	return float64(max(o.Offered, o.Admitted)+o.Lost) / (q.PerSecond * decayTime.Seconds())
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
