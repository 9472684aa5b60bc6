package once_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

var noError = (*protocol.Error)(nil)

func checkRefused(t *testing.T, err *protocol.Error, kind protocol.ErrorKind, outcome protocol.Outcome) {
	t.Helper()
	qt.Assert(t, err, qt.Not(qt.Equals), noError)
	qt.Check(t, err.Kind, qt.Equals, kind)
	qt.Check(t, err.Outcome, qt.Equals, outcome)
	qt.Check(t, err.Step, qt.Not(qt.Equals), "")
	qt.Check(t, err.Peer, qt.Not(qt.Equals), "")
}

// faultyStore is an object store that executes the function put, if set, instead of the
// next Put.
type faultyStore struct {
	*fakeStore
	put func(next func() (platform.Version, error)) (platform.Version, error)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	next := func() (platform.Version, error) { return s.fakeStore.Put(ctx, key, value, base) }
	if s.put == nil {
		return next()
	}
	put := s.put
	s.put = nil
	return put(next)
}

func TestCreateOfUnknownOutcomeIsResolvedByTheNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		f.store.setFaults(faults{lostReply: 100})
		r, err := send(t.Context(), f.at(0), keyed("r1", "k", "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsFalse)
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
		time.Sleep(settleTime)
		f.store.setFaults(faults{})
		r, err = send(t.Context(), f.at(0), keyed("r2", "k", "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsTrue)
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

func TestCreateThatTakesEffectLateRunsTheCallAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		f.store.setFaults(faults{lateEffect: 100, maxDelay: 20 * time.Millisecond})
		_, err := send(t.Context(), f.at(0), keyed("r1", "k", "clock"))
		qt.Check(t, f.service.count("clock") == 1, qt.Equals, err == nil)
		time.Sleep(settleTime)
		f.store.setFaults(faults{})
		_, _ = send(t.Context(), f.at(0), keyed("r2", "k", "clock"))
		qt.Check(t, f.service.count("clock") <= 1, qt.IsTrue)
	})
}

func TestCrashBetweenCreateAndDispatchLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		store := &faultyStore{fakeStore: f.store}
		crashing := f.startWith(0, store)
		store.put = func(next func() (platform.Version, error)) (platform.Version, error) {
			defer crashing.crashed.Store(true)
			return next()
		}
		_, err := send(t.Context(), crashing, keyed("r1", "k", "clock"))
		qt.Assert(t, err.Outcome, qt.Equals, protocol.OutcomeUnknown)
		checkInterrupted(t, f.start(0))
		checkInProgress(t, f)
		time.Sleep(settleTime)
		checkInterrupted(t, f.at(1))
		qt.Check(t, f.service.count("clock"), qt.Equals, 0)
	})
}

func TestCallInterruptedByACrashIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.service.duration = time.Second
		first := f.at(0)
		go func() { _, _ = send(t.Context(), first, keyed("r1", "k", "clock")) }()
		time.Sleep(500 * time.Millisecond)
		first.crashed.Store(true)
		checkInterrupted(t, f.start(0))
		checkInProgress(t, f)
		time.Sleep(settleTime)
		checkInterrupted(t, f.at(1))
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

// checkInterrupted checks that a resend at d is refused as interrupted.
func checkInterrupted(t *testing.T, d *daemon) {
	t.Helper()
	_, err := send(t.Context(), d, keyed("r2", "k", "clock"))
	checkRefused(t, err, protocol.KindInterrupted, protocol.OutcomeUnknown)
}

// checkInProgress checks that a resend is refused as in progress by a daemon that can't
// detect the crash of the first daemon.
func checkInProgress(t *testing.T, f *fleet) {
	t.Helper()
	call := keyed("r3", "k", "clock")
	call.TimeLeft = time.Second
	_, err := send(t.Context(), f.at(1), call)
	checkRefused(t, err, protocol.KindInProgress, protocol.OutcomeUnknown)
}

func TestResendToAnotherDaemonWaitsForTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.service.duration = 3 * time.Second
		caller, disconnect := context.WithCancel(t.Context())
		go func() { _, _ = send(caller, f.at(0), keyed("r1", "k", "clock")) }()
		time.Sleep(time.Second)
		disconnect() // the caller then resends the call
		r, err := send(t.Context(), f.at(1), keyed("r2", "k", "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsTrue)
		qt.Check(t, string(r.data), qt.Equals, "clock ran as 1 for r1")
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

func TestResendWithAShortTimeoutIsRefusedAsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.service.duration = 30 * time.Second
		go func() { _, _ = send(t.Context(), f.at(0), keyed("r1", "k", "clock")) }()
		time.Sleep(time.Second)
		call := keyed("r2", "k", "clock")
		call.TimeLeft = time.Second
		_, err := send(t.Context(), f.at(1), call)
		checkRefused(t, err, protocol.KindInProgress, protocol.OutcomeUnknown)
		time.Sleep(settleTime)
	})
}

func TestCallIsRefusedWhileTheObjectStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		f.store.setFaults(faults{down: 100})
		_, err := send(t.Context(), f.at(0), keyed("r1", "k", "clock"))
		checkRefused(t, err, protocol.KindUnavailable, protocol.OutcomeNotRun)
		qt.Check(t, err.RetryAfter > 0, qt.IsTrue)
		qt.Check(t, f.service.count("clock"), qt.Equals, 0)
		f.store.setFaults(faults{})
		_, err = send(t.Context(), f.at(0), keyed("r2", "k", "clock"))
		qt.Check(t, err, qt.Equals, noError)
	})
}

func TestDaemonPausedBeyondTheDeadlineDoesNotRunTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		store := &faultyStore{fakeStore: f.store}
		store.put = func(next func() (platform.Version, error)) (platform.Version, error) {
			version, err := next()
			time.Sleep(25 * time.Hour)
			return version, err
		}
		d := f.startWith(0, store)
		_, err := send(t.Context(), d, keyed("r1", "k", "clock"))
		checkRefused(t, err, protocol.KindDeadline, protocol.OutcomeNotRun)
		qt.Check(t, f.service.count("clock"), qt.Equals, 0)
		qt.Check(t, f.store.objects, qt.HasLen, 0)
	})
}

func TestReuseOfAKeyForAnotherCallConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		_, err := send(t.Context(), f.at(0), keyed("r1", "k", "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		_, err = send(t.Context(), f.at(1), keyed("r2", "k", "board"))
		checkRefused(t, err, protocol.KindConflict, protocol.OutcomeNotRun)
		qt.Check(t, f.service.count("board"), qt.Equals, 0)
	})
}

func TestKeyOfACallThatDidNotRunCanBeUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.service.fail = func() *protocol.Error {
			return protocol.Errorf(protocol.KindOverloaded, "queue request", protocol.OutcomeNotRun, "full")
		}
		_, err := send(t.Context(), f.at(0), keyed("r1", "k", "clock"))
		qt.Assert(t, err.Outcome, qt.Equals, protocol.OutcomeNotRun)
		f.service.fail = nil
		r, err := send(t.Context(), f.at(1), keyed("r2", "k", "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, r.replayed, qt.IsFalse)
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

func TestCallWhoseAnswerIsTooLargeToKeepIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		f.service.body = make([]byte, core.MaxReplayBytes+1)
		r, err := send(t.Context(), f.at(0), keyed("r1", "k", "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		qt.Check(t, len(r.data) > core.MaxReplayBytes, qt.IsTrue)
		time.Sleep(settleTime)
		_, err = send(t.Context(), f.at(0), keyed("r2", "k", "clock"))
		checkRefused(t, err, protocol.KindAnswerNotKept, protocol.OutcomeRan)
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

func TestKeyIsRefusedOnceItsRecordMayBeDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		created := time.Now().UnixMilli()
		key := fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", created>>16, created&0xffff)
		_, err := send(t.Context(), f.at(0), keyed("r1", key, "clock"))
		qt.Assert(t, err, qt.Equals, noError)
		time.Sleep(core.RecordTTL + 2*time.Hour)
		qt.Assert(t, f.at(0).SweepBucket(t.Context(), 0), qt.Equals, 1)
		_, err = send(t.Context(), f.at(0), keyed("r2", key, "clock"))
		checkRefused(t, err, protocol.KindExpired, protocol.OutcomeUnknown)
		qt.Check(t, f.service.count("clock"), qt.Equals, 1)
	})
}

func TestSweepDeletesOnlyExpiredRecordsUpToItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 1)
		for i := range 200 {
			r := core.Record{State: core.StateRunning, Expires: time.Now().Add(-2 * time.Hour)}
			if i%2 == 0 {
				r.Expires = time.Now()
			}
			data, err := json.Marshal(r)
			qt.Assert(t, err, qt.IsNil)
			_, err = f.store.Put(t.Context(), fmt.Sprintf("once/000/%d", i), data, 0)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, f.at(0).SweepBucket(t.Context(), 0), qt.Equals, core.SweepLimit(3))
		for f.at(0).SweepBucket(t.Context(), 0) > 0 {
		}
		qt.Check(t, f.store.objects, qt.HasLen, 100)
	})
}

func TestResendsAreRefusedAsInterruptedOnceTheDaemonIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.detectsCrashes = true
		f.service.duration = 50 * time.Second
		go func() { _, _ = send(t.Context(), f.at(0), keyed("r1", "k", "clock")) }()
		time.Sleep(time.Second)
		crashed := time.Now()
		f.at(0).crashed.Store(true)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				call := keyed(fmt.Sprintf("r2-%d", i), "k", "clock")
				_, err := send(t.Context(), f.at(1), call)
				checkRefused(t, err, protocol.KindInterrupted, protocol.OutcomeUnknown)
			})
		}
		wg.Wait()
		qt.Check(t, time.Since(crashed) < 9*time.Second, qt.IsTrue, qt.Commentf("refused after %s", time.Since(crashed)))
		qt.Check(t, f.service.count("clock") <= 1, qt.IsTrue)
		time.Sleep(time.Minute)
	})
}
