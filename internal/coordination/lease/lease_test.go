package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

const duration = 4 * time.Second

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func session(run state.Incarnation) lease.Session {
	return lease.Session{Daemon: "d", Incarnation: run, Term: 1}
}

func newHolder(run state.Incarnation) lease.Holder {
	return lease.NewHolder(lease.HolderConfig{Session: session(run), RenewInterval: time.Second, Duration: duration})
}

// acquire brings a holder to its first write and returns it.
func acquire(t *testing.T, h *lease.Holder, now time.Time, found lease.ReadDone) lease.Write {
	t.Helper()
	qt.Assert(t, h.Handle(now, lease.Tick{}), qt.DeepEquals, []lease.Action{lease.Read{}})
	out := h.Handle(now, found)
	qt.Assert(t, out, qt.HasLen, 1)
	return out[0].(lease.Write)
}

func TestLeaseCountsFromTheSendingOfASlowRenewal(t *testing.T) {
	h := newHolder("1")
	acquire(t, &h, at(0), lease.ReadDone{OK: true})
	h.Handle(at(3*time.Second), lease.WriteDone{Outcome: lease.WriteOK, Version: 1})
	qt.Assert(t, h.ValidUntil(), qt.Equals, at(duration))
}

func TestLostAnswerToARenewalIsSettledByReading(t *testing.T) {
	h := newHolder("1")
	w := acquire(t, &h, at(0), lease.ReadDone{OK: true})
	out := h.Handle(at(time.Second), lease.WriteDone{Outcome: lease.WriteUnknown})
	qt.Assert(t, out, qt.DeepEquals, []lease.Action{lease.Read{}})
	qt.Assert(t, h.ValidUntil().IsZero(), qt.IsTrue)
	h.Handle(at(2*time.Second), lease.ReadDone{OK: true, Found: true, Version: 1, Record: w.Record})
	qt.Assert(t, h.ValidUntil(), qt.Equals, at(duration))
}

func TestNewRunWaitsOutTheLeaseOfTheRunBefore(t *testing.T) {
	h := newHolder("2")
	found := lease.ReadDone{OK: true, Found: true, Version: 7, Record: lease.Record{Session: session("1"), Duration: duration}}
	h.Handle(at(0), lease.Tick{})
	qt.Assert(t, h.Handle(at(0), found), qt.HasLen, 0)
	qt.Assert(t, h.Handle(at(duration-time.Millisecond), lease.Tick{}), qt.HasLen, 0)
	qt.Assert(t, h.Handle(at(duration), lease.Tick{}), qt.HasLen, 1)
}

func TestRunThatWasReplacedStops(t *testing.T) {
	h := newHolder("1")
	acquire(t, &h, at(0), lease.ReadDone{OK: true})
	h.Handle(at(0), lease.WriteDone{Outcome: lease.WriteOK, Version: 1})
	h.Handle(at(time.Second), lease.Tick{})
	h.Handle(at(time.Second), lease.WriteDone{Outcome: lease.WriteConflict})
	h.Handle(at(time.Second), lease.ReadDone{OK: true, Found: true, Version: 2, Record: lease.Record{Session: session("2")}})
	qt.Assert(t, h.Displaced(), qt.IsTrue)
	qt.Assert(t, h.Handle(at(time.Hour), lease.Tick{}), qt.HasLen, 0)
}

func TestBrokenLeaseStartsANewTermButNotWhileHeldBack(t *testing.T) {
	h := newHolder("1")
	w := acquire(t, &h, at(0), lease.ReadDone{OK: true})
	h.Handle(at(0), lease.WriteDone{Outcome: lease.WriteOK, Version: 1})
	h.Handle(at(time.Second), lease.PinPeers{On: true})
	h.Handle(at(time.Second), lease.Tick{})
	h.Handle(at(time.Second), lease.WriteDone{Outcome: lease.WriteConflict})
	w.Record.Broken = true
	out := h.Handle(at(time.Second), lease.ReadDone{OK: true, Found: true, Version: 2, Record: w.Record})
	qt.Assert(t, out, qt.HasLen, 0)
	qt.Assert(t, h.Session().Term, qt.Equals, uint64(2))
	h.Handle(at(2*time.Second), lease.PinPeers{})
	qt.Assert(t, h.Handle(at(2*time.Second), lease.Tick{}), qt.HasLen, 1)
}

func watcher(self state.Incarnation) lease.Watcher {
	return lease.NewWatcher(lease.WatcherConfig{
		Self: lease.Session{Daemon: "peer", Incarnation: self}, DefaultDuration: duration, MaxUnleased: time.Hour,
		MaxOrderDelay: 10 * time.Second, RetryDelay: time.Second,
	}, session("1"))
}

func TestPeerThatRestartedMayNotBreakALease(t *testing.T) {
	record := lease.Record{
		Session: session("1"), Duration: duration,
		Peers: []lease.Session{{Daemon: "peer", Incarnation: "1"}},
	}
	for run, breaks := range map[state.Incarnation]bool{"1": true, "2": false} {
		w := watcher(run)
		w.Handle(at(0), lease.Tick{})
		w.Handle(at(0), lease.ReadDone{OK: true, Found: true, Version: 1, Record: record})
		qt.Assert(t, w.Handle(at(duration-time.Millisecond), lease.Tick{}), qt.HasLen, 0)
		_, broke := firstWrite(w.Handle(at(duration), lease.Tick{}))
		qt.Assert(t, broke, qt.Equals, breaks)
		qt.Assert(t, w.BreakForbidden(at(duration)), qt.Equals, !breaks)
	}
}

func firstWrite(actions []lease.Action) (lease.Write, bool) {
	for _, a := range actions {
		if w, ok := a.(lease.Write); ok {
			return w, true
		}
	}
	return lease.Write{}, false
}

func TestRenewalUnderWayDefeatsTheBreakOfALease(t *testing.T) {
	record := lease.Record{Session: session("1"), Duration: duration, Peers: []lease.Session{{Daemon: "peer", Incarnation: "1"}}}
	w := watcher("1")
	w.Handle(at(0), lease.Tick{})
	w.Handle(at(0), lease.ReadDone{OK: true, Found: true, Version: 1, Record: record})
	_, broke := firstWrite(w.Handle(at(duration), lease.Tick{}))
	qt.Assert(t, broke, qt.IsTrue)
	w.Handle(at(duration), lease.WriteDone{Outcome: lease.WriteConflict})
	w.Handle(at(duration), lease.ReadDone{OK: true, Found: true, Version: 2, Record: record})
	qt.Assert(t, w.Breaking(), qt.IsFalse)
	qt.Assert(t, w.Lapsed(), qt.IsFalse)
}
