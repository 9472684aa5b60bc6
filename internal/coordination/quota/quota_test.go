package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

var (
	bounds = Options{Window: 8 * time.Second, Over: 0.1, Slack: 11_000}
	start  = time.Unix(1000, 0)
	// longAgo is when the daemons of most tests started.
	longAgo = start.Add(-time.Minute)
)

func account(rate float64) *accounts.Account {
	return &accounts.Account{Name: "a", Quota: accounts.Quota{PerSecond: rate, Burst: rate, InTokens: true}}
}

// fill takes requests of 1,000 tokens until one is refused, and returns the tokens taken.
func fill(l *Ledger, now time.Time, a *accounts.Account) (float64, Decision) {
	for taken := 0.0; ; taken += 1000 {
		if d := l.Take(now, a, 1000); !d.Admitted {
			return taken, d
		}
	}
}

func TestAnAccountWithoutAQuotaIsNeverRefused(t *testing.T) {
	c := qt.New(t)
	l := New(longAgo, bounds)
	c.Assert(l.Take(start, &accounts.Account{Name: "a"}, 1e12).Admitted, qt.IsTrue)
}

// Guards against a daemon that admits the whole quota although it knows nothing of the others:
// after a restart of all daemons, each one would do so.
func TestWithoutReportsADaemonHasAnEqualShare(t *testing.T) {
	c := qt.New(t)
	l := New(longAgo, bounds)
	l.SetDaemons(10)
	taken, d := fill(l, start, account(100_000))
	c.Assert(taken <= 15_000, qt.IsTrue, qt.Commentf("%v", taken))
	c.Assert(d.Reason, qt.Equals, ReasonNoReport)
	c.Assert(d.ReportAge < 0, qt.IsTrue)
}

func TestARequestWithinTheQuotaIsAdmittedAlthoughTheShareHasRunOut(t *testing.T) {
	c := qt.New(t)
	l, a := New(longAgo, bounds), account(100_000)
	l.SetDaemons(100)
	l.Take(start, a, 1000)
	for i := range 5 { // the others offer 99 times as much
		l.SetOthers(start.Add(time.Duration(i)*200*time.Millisecond), map[string]Others{"a": {Offered: 99_000, Admitted: 99_000}}, true)
	}
	now := start.Add(time.Second)
	d := l.Take(now, a, 6000)
	c.Assert(d.Share < 0.02, qt.IsTrue)
	c.Assert(d.Admitted, qt.IsTrue, qt.Commentf("%+v", d))
}

func TestAdmissionsOfOtherDaemonsFillTheBucket(t *testing.T) {
	c := qt.New(t)
	l, a := New(longAgo, bounds), account(10_000)
	l.Take(start, a, 1000)
	l.SetOthers(start, map[string]Others{"a": {}}, true)
	l.SetOthers(start.Add(200*time.Millisecond), map[string]Others{"a": {Offered: 30_000, Admitted: 30_000}}, true)
	d := l.Take(start.Add(200*time.Millisecond), a, 1000)
	c.Assert(d.Reason, qt.Equals, ReasonExceeded)
	c.Assert(d.RetryAfter > time.Second, qt.IsTrue, qt.Commentf("%v", d.RetryAfter))
	later := start.Add(201*time.Millisecond + d.RetryAfter)
	l.SetOthers(later, map[string]Others{"a": {Offered: 30_000, Admitted: float32(30_000 * decay(later.Sub(start.Add(200*time.Millisecond))))}}, true)
	c.Assert(l.Take(later, a, 1000).Admitted, qt.IsTrue, qt.Commentf("Retry-After must name the time at which the tokens are available"))
}

// Guards against counting the same admissions again when a report is repeated or comes late.
func TestRepeatedReportsDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	once, often := New(longAgo, bounds), New(longAgo, bounds)
	a := account(10_000)
	for _, l := range []*Ledger{once, often} {
		l.Take(start, a, 1000)
		l.SetOthers(start, map[string]Others{"a": {}}, true)
	}
	at := start.Add(200 * time.Millisecond)
	report := map[string]Others{"a": {Offered: 5_000, Admitted: 5_000}}
	once.SetOthers(at, report, true)
	for range 20 {
		often.SetOthers(at, report, true)
	}
	c.Assert(often.Take(at, a, 1).Level, qt.Equals, once.Take(at, a, 1).Level)
}

func TestReturnedTokensAreAvailableAgain(t *testing.T) {
	c := qt.New(t)
	l, a := New(longAgo, bounds), account(50_000)
	l.SetOthers(start, nil, true)
	taken, _ := fill(l, start, a)
	l.Return(start, a, taken, start)
	again, _ := fill(l, start, a)
	c.Assert(again, qt.Equals, taken)
}

func TestARequestLargerThanTheBucketNeedsAnEmptyOne(t *testing.T) {
	c := qt.New(t)
	l, a := New(longAgo, bounds), account(1000)
	l.SetOthers(start, nil, true)
	c.Assert(l.Take(start, a, 6000).Admitted, qt.IsTrue)
	d := l.Take(start, a, 6000)
	c.Assert(d.Admitted, qt.IsFalse)
	c.Assert(d.RetryAfter > 5*time.Second, qt.IsTrue, qt.Commentf("%v", d.RetryAfter))
}

func TestARequestOfAnAccountAtItsQuotaIsRefusedWhereTheAccountIsNew(t *testing.T) {
	c := qt.New(t)
	l, a := New(longAgo, bounds), account(10_000)
	l.SetDaemons(50)
	l.SetOthers(start, map[string]Others{"a": {Offered: 90_000, Admitted: 20_000, Level: 18_000}}, true)
	c.Assert(l.Take(start, a, 1000).Reason, qt.Equals, ReasonExceeded)
}

// Guards against two halves of a cut fleet that each admit the whole quota.
func TestSilentDaemonsKeepTheirPart(t *testing.T) {
	c := qt.New(t)
	l, a := New(longAgo, bounds), account(100_000)
	now := start
	report := func(o Others) {
		now = now.Add(200 * time.Millisecond)
		l.SetOthers(now, map[string]Others{"a": o}, true)
	}
	for range 10 {
		l.Take(now, a, 5000)
		report(Others{Offered: 50_000, Admitted: 50_000})
	}
	whole := l.Take(now, a, 1).Capacity
	for range 10 {
		l.Take(now, a, 20_000) // growth after the cut gives no part of the others' quota
		report(Others{Offered: 30_000, Admitted: 30_000, Lost: 40_000})
	}
	part := l.Take(now, a, 1).Capacity / whole
	c.Assert(part > 0.3 && part < 0.6, qt.IsTrue, qt.Commentf("%v", part))
	report(Others{Offered: 50_000, Admitted: 50_000})
	c.Assert(l.Take(now, a, 1).Capacity, qt.Equals, whole)
}
