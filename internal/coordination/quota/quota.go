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
	// decayTime is the time constant of the sums of admitted tokens that daemons report. A report
	// shows the admissions since the preceding one as the difference of two decayed sums, so a
	// lost or repeated report does no harm.
	decayTime = 2 * time.Second
	// offeredTime is the time constant of the sums of offered tokens. With 2 s, the share of a
	// daemon with few requests fell below one request between two of them.
	offeredTime = 6 * time.Second
	// reportTTL is how long the reports of other daemons allow admissions beyond this daemon's
	// share.
	reportTTL = 2 * time.Second
	// warmUp is how long a daemon keeps to an equal share after its start. The first sums of
	// offered tokens are small and of unequal age, so the shares would sum to more than 1.
	warmUp = 1500 * time.Millisecond
	// minReportInterval separates two generations of unconfirmed admissions.
	minReportInterval = 150 * time.Millisecond
	// capacityShare and ceilingShare divide the tolerance of a quota: the bucket is larger than
	// the burst by the first share, and admissions that the daemons don't know of each other
	// may exceed the burst by the second. The rest is for errors of the shares.
	capacityShare = 0.3
	ceilingShare  = 0.6
	// reportDelay and surgeFactor bound what arrives before the daemons know of a surge: the
	// traffic of reportDelay at surgeFactor times the rate.
	reportDelay = 500 * time.Millisecond
	surgeFactor = 6.0
	// maxOvercommit is the factor on a daemon's share if a whole surge fits below the ceiling.
	maxOvercommit = 50.0
	// idleTTL is how long an account is kept without requests and reports.
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
	// Level is the estimate of the relay for the tokens in use at all daemons. A daemon that has no
	// estimate of its own starts from it.
	Level float32 `cbor:"4,keyasint,omitempty"`
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
const generations = 2

// chanceFactor is how many standard deviations of the tokens that arrive by chance within
// reportDelay a daemon may admit beyond its share.
const chanceFactor = 2.5

// entry is the state of an account.
type entry struct {
	at       time.Time // of the sums and the level
	quota    accounts.Quota
	offered  float64 // decaying, of this daemon
	admitted float64 // decaying, of this daemon
	level    float64 // estimated tokens in use, over all reachable daemons
	ownLevel float64 // tokens in use that this daemon admitted, as a bucket of its share
	size     float64 // moving average of the tokens of a request
	chance   float64 // part of a request beyond the share that may be admitted, up to 1
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
	started  time.Time
	daemons  int
	quotas   map[string]accounts.Quota
	entries  map[string]*entry
	reportAt time.Time // of any account
	complete bool      // the last report named all accounts that are close to their quota
}

// New returns a ledger without accounts. It assumes that the quotas were used up when the daemon
// started: all daemons may have restarted.
func New(now time.Time, opts Options) *Ledger {
	return &Ledger{opts: opts, started: now, daemons: 1, entries: make(map[string]*entry)}
}

// SetDaemons sets the number of listed daemons.
func (l *Ledger) SetDaemons(n int) { l.daemons = max(n, 1) }

// SetQuotas sets the quotas of the accounts, which the caller must not change afterwards.
func (l *Ledger) SetQuotas(now time.Time, quotas map[string]accounts.Quota) {
	l.quotas = quotas
	for name, e := range l.entries {
		l.advance(now, e)
		e.quota = quotas[name]
	}
}

// limits are the tokens that may be in use.
type limits struct {
	rate     float64
	capacity float64 // above which nothing is admitted
	ceiling  float64 // which unconfirmed admissions of all daemons may reach
	most     float64 // that the rule allows
	// overcommit is the factor on the shares of the room below the ceiling. It is 1 if a surge at
	// all daemons would exceed the ceiling before they know of each other.
	overcommit float64
}

// limitsOf returns the limits of a quota for a part of the fleet.
func (l *Ledger) limitsOf(q accounts.Quota, part float64) limits {
	if q.PerSecond <= 0 {
		return limits{}
	}
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
	lim := limits{rate: q.PerSecond * part, capacity: (burst + capacityShare*tolerance) * part, ceiling: (burst + ceilingShare*tolerance) * part, most: (burst + tolerance) * part}
	excess := 1 - lim.ceiling/(surgeFactor*reportDelay.Seconds()*lim.rate)
	lim.overcommit = min(maxOvercommit, max(1, fullShareExcess/max(excess, 1e-9)))
	return lim
}

// maxCounted is the most tokens that a request of an account without a quota counts.
const maxCounted = 1e6

// sizeGain is the weight of a request in the average size.
const sizeGain = 0.1

// fullShareExcess is the part of a surge that exceeds the ceiling from which on daemons keep to
// their shares exactly.
const fullShareExcess = 0.3

func decay(d time.Duration) float64 { return math.Exp(-max(0, d).Seconds() / decayTime.Seconds()) }

// entryOf returns the state of an account as of now.
func (l *Ledger) entryOf(now time.Time, name string, q accounts.Quota) *entry {
	e := l.entries[name]
	if e == nil {
		e = l.newEntry(now, name, q)
	}
	l.advance(now, e)
	e.quota = q
	return e
}

func (l *Ledger) newEntry(now time.Time, name string, q accounts.Quota) *entry {
	e := &entry{at: now, lastTaken: now, quota: q, share: 1 / float64(l.daemons)}
	lim := l.limitsOf(e.quota, 1)
	e.level = max(0, lim.most-lim.rate*now.Sub(l.started).Seconds())
	l.entries[name] = e
	return e
}

// advance lets the time pass for an account: its sums decay, and its buckets drain.
func (l *Ledger) advance(now time.Time, e *entry) {
	d := now.Sub(e.at)
	if d <= 0 {
		return
	}
	e.offered *= math.Exp(-d.Seconds() / offeredTime.Seconds())
	e.admitted *= decay(d)
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
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportTTL && now.Sub(l.started) >= warmUp
}

// Take decides about a request for a number of tokens and, if it is within the quota, takes
// them.
func (l *Ledger) Take(now time.Time, account *accounts.Account, tokens float64) Decision {
	e := l.entryOf(now, account.Name, account.Quota)
	e.lastTaken = now
	// A request that names an absurd number of tokens must not count for the share.
	counted := min(tokens, maxCounted)
	if e.quota.PerSecond > 0 {
		counted = min(tokens, l.limitsOf(e.quota, 1).ceiling)
	}
	e.offered += counted
	if e.size == 0 {
		e.size = counted
	}
	e.size += sizeGain * (counted - e.size)
	d := l.decide(now, e, tokens)
	if !d.Admitted {
		e.refused++
		return d
	}
	if e.quota.PerSecond <= 0 {
		e.admitted += counted
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
	// left below the ceiling. Beyond that, only as many requests are admitted as there is room for
	// if all daemons do the same.
	ahead := e.ahead()
	part := lim.overcommit * e.share * (lim.ceiling - (e.level - ahead))
	if ahead+tokens > part {
		margin := chanceFactor * math.Sqrt(max(0, e.share*lim.rate*reportDelay.Seconds()*e.size))
		arriving := (e.offered + float64(e.others.Offered)) / offeredTime.Seconds() * reportDelay.Seconds()
		e.chance = min(1, e.chance+(lim.ceiling-e.level)/max(arriving, 1))
		if ahead > part+margin || e.chance < 1 {
			d.Reason, d.RetryAfter = ReasonAhead, unknownRetryAfter
			return d
		}
		e.chance--
	}
	d.Admitted, d.Reason = true, ReasonRoom
	return d
}

// ahead returns the admissions of this daemon that others may not know of.
func (e *entry) ahead() float64 {
	sum := 0.0
	for _, n := range e.unconfirmed {
		sum += n
	}
	return sum
}

// isKnownQuiet reports whether an account of which no report came is known to be far from its
// quota: reports name all accounts that are not. After a restart of all daemons, their reports
// don't show yet what was admitted before.
func (l *Ledger) isKnownQuiet(now time.Time) bool {
	return l.complete && now.Sub(l.reportAt) <= reportTTL && now.Sub(l.started) >= warmUp
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
