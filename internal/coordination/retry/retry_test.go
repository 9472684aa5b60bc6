package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/retry"
)

var now = time.Unix(1_800_000_000, 0)

func TestOnlySafeFailuresAreRetried(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		resumable  bool
		failure    retry.Failure
		want       bool
	}{
		{"rejected and not repeatable", false, false, retry.Failure{Cause: retry.Rejected}, true},
		{"may have run and not repeatable", false, true, retry.Failure{Cause: retry.Failed, MaybeRan: true}, false},
		{"not sent and not repeatable", false, false, retry.Failure{Cause: retry.Failed}, true},
		{"may have run and repeatable", true, true, retry.Failure{Cause: retry.Failed, MaybeRan: true}, true},
		{"answer started and resumable", true, true, retry.Failure{Cause: retry.Failed, MaybeRan: true, AnswerStarted: true}, true},
		{"answer started and not resumable", true, false, retry.Failure{Cause: retry.Failed, MaybeRan: true, AnswerStarted: true}, false},
		{"permanent", true, true, retry.Failure{Cause: retry.Permanent}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := retry.NewRetrier(retry.NewBudget(), test.repeatable, test.resumable)
			qt.Check(t, r.Handle(now, test.failure).Retry, qt.Equals, test.want)
		})
	}
}

func TestRejectionDoesNotClearThatTheRequestMayHaveRun(t *testing.T) {
	r := retry.NewRetrier(retry.NewBudget(), true, true)
	r.Handle(now, retry.Failure{Cause: retry.Failed, MaybeRan: true})
	r.Handle(now, retry.Failure{Cause: retry.Rejected})
	qt.Check(t, r.MaybeRan(), qt.IsTrue)
}

func TestAttemptsAreBounded(t *testing.T) {
	r := retry.NewRetrier(retry.NewBudget(), true, true)
	attempts := 1
	for r.Handle(now, retry.Failure{Cause: retry.Rejected}).Retry {
		attempts++
	}
	qt.Check(t, attempts, qt.Equals, retry.MaxAttempts)
}

func TestRetriesForAnOwnerAreBoundedByTime(t *testing.T) {
	r := retry.NewRetrier(retry.NewBudget(), false, false)
	at := now
	for {
		d := r.Handle(at, retry.Failure{Cause: retry.NotOwner})
		if !d.Retry {
			break
		}
		qt.Assert(t, d.Exclude, qt.IsFalse)
		at = at.Add(d.Backoff)
	}
	qt.Check(t, at.Sub(now) < 6*time.Second, qt.IsTrue)
	qt.Check(t, at.Sub(now) > 4*time.Second, qt.IsTrue)
}

func TestBudgetLimitsRetriesOfAFailingFleet(t *testing.T) {
	budget := retry.NewBudget()
	const requests = 10000
	retries := 0
	for range requests {
		r := retry.NewRetrier(budget, true, true)
		for r.Handle(now, retry.Failure{Cause: retry.Failed, MaybeRan: true}).Retry {
			retries++
		}
	}
	qt.Check(t, retries <= requests/4, qt.IsTrue, qt.Commentf("%d retries", retries))
}
