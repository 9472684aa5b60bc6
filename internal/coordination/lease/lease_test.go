package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/state"
)

const duration = 4 * time.Second

func after(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func session(incarnation state.Incarnation) lease.Session {
	return lease.Session{Daemon: "d", Incarnation: incarnation, Term: 1}
}

func newHolder(incarnation state.Incarnation) lease.Holder {
	return lease.NewHolder(lease.HolderConfig{Session: session(incarnation), RenewInterval: time.Second, Duration: duration})
}

// startHolder makes a holder read the lease object and returns the write of its first
// renewal.
func startHolder(t *testing.T, h *lease.Holder, now time.Time, found lease.ReadDone) lease.Write {
	t.Helper()
	qt.Assert(t, h.Handle(now, lease.Tick{}), qt.DeepEquals, []lease.Action{lease.Read{}})
	out := h.Handle(now, found)
	qt.Assert(t, out, qt.HasLen, 1)
	return out[0].(lease.Write)
}

func TestLeaseDurationCountsFromTheSendingOfASlowRenewal(t *testing.T) {
	h := newHolder("1")
	startHolder(t, &h, after(0), lease.ReadDone{OK: true})
	h.Handle(after(3*time.Second), lease.WriteDone{Outcome: lease.WriteOK, Version: 1})
	qt.Assert(t, h.ValidUntil(), qt.Equals, after(duration))
}

func TestRenewalWithALostReplyIsConfirmedByReading(t *testing.T) {
	h := newHolder("1")
	w := startHolder(t, &h, after(0), lease.ReadDone{OK: true})
	out := h.Handle(after(time.Second), lease.WriteDone{Outcome: lease.WriteUnknown})
	qt.Assert(t, out, qt.DeepEquals, []lease.Action{lease.Read{}})
	qt.Assert(t, h.ValidUntil().IsZero(), qt.IsTrue)
	h.Handle(after(2*time.Second), lease.ReadDone{OK: true, Found: true, Version: 1, Record: w.Record})
	qt.Assert(t, h.ValidUntil(), qt.Equals, after(duration))
}

func TestNewIncarnationWaitsUntilTheLeaseOfThePreviousOneExpires(t *testing.T) {
	h := newHolder("2")
	found := lease.ReadDone{OK: true, Found: true, Version: 7, Record: lease.Record{Session: session("1"), Duration: duration}}
	h.Handle(after(0), lease.Tick{})
	qt.Assert(t, h.Handle(after(0), found), qt.HasLen, 0)
	qt.Assert(t, h.Handle(after(duration-time.Millisecond), lease.Tick{}), qt.HasLen, 0)
	qt.Assert(t, h.Handle(after(duration), lease.Tick{}), qt.HasLen, 1)
}

func TestDisplacedIncarnationStopsRenewing(t *testing.T) {
	h := newHolder("1")
	startHolder(t, &h, after(0), lease.ReadDone{OK: true})
	h.Handle(after(0), lease.WriteDone{Outcome: lease.WriteOK, Version: 1})
	h.Handle(after(time.Second), lease.Tick{})
	h.Handle(after(time.Second), lease.WriteDone{Outcome: lease.WriteConflict})
	h.Handle(after(time.Second), lease.ReadDone{OK: true, Found: true, Version: 2, Record: lease.Record{Session: session("2")}})
	qt.Assert(t, h.Displaced(), qt.IsTrue)
	qt.Assert(t, h.Handle(after(time.Hour), lease.Tick{}), qt.HasLen, 0)
}

func TestBrokenLeaseStartsNoNewTermWhileItsPeersArePinned(t *testing.T) {
	h := newHolder("1")
	w := startHolder(t, &h, after(0), lease.ReadDone{OK: true})
	h.Handle(after(0), lease.WriteDone{Outcome: lease.WriteOK, Version: 1})
	h.Handle(after(time.Second), lease.PinPeers{On: true})
	h.Handle(after(time.Second), lease.Tick{})
	h.Handle(after(time.Second), lease.WriteDone{Outcome: lease.WriteConflict})
	w.Record.Broken = true
	out := h.Handle(after(time.Second), lease.ReadDone{OK: true, Found: true, Version: 2, Record: w.Record})
	qt.Assert(t, out, qt.HasLen, 0)
	qt.Assert(t, h.Session().Term, qt.Equals, uint64(2))
	h.Handle(after(2*time.Second), lease.PinPeers{})
	qt.Assert(t, h.Handle(after(2*time.Second), lease.Tick{}), qt.HasLen, 1)
}

func newWatcher(self state.Incarnation) lease.Watcher {
	return lease.NewWatcher(lease.WatcherConfig{
		Self: lease.Session{Daemon: "peer", Incarnation: self}, DefaultDuration: duration, MaxUnleased: time.Hour,
		MaxOrderDelay: 10 * time.Second, RetryDelay: time.Second,
	}, session("1"))
}

func TestRestartedPeerMayNotBreakALeaseThatNamesItsPreviousIncarnation(t *testing.T) {
	record := lease.Record{
		Session: session("1"), Duration: duration,
		Peers: []lease.Session{{Daemon: "peer", Incarnation: "1"}},
	}
	for incarnation, mayBreak := range map[state.Incarnation]bool{"1": true, "2": false} {
		w := newWatcher(incarnation)
		w.Handle(after(0), lease.Tick{})
		w.Handle(after(0), lease.ReadDone{OK: true, Found: true, Version: 1, Record: record})
		qt.Assert(t, w.Handle(after(duration-time.Millisecond), lease.Tick{}), qt.HasLen, 0)
		_, breaks := firstWrite(w.Handle(after(duration), lease.Tick{}))
		qt.Assert(t, breaks, qt.Equals, mayBreak)
		qt.Assert(t, w.BreakForbidden(after(duration)), qt.Equals, !mayBreak)
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

func TestRenewalThatTakesEffectFirstPreventsTheBreakOfALease(t *testing.T) {
	record := lease.Record{Session: session("1"), Duration: duration, Peers: []lease.Session{{Daemon: "peer", Incarnation: "1"}}}
	w := newWatcher("1")
	w.Handle(after(0), lease.Tick{})
	w.Handle(after(0), lease.ReadDone{OK: true, Found: true, Version: 1, Record: record})
	_, breaks := firstWrite(w.Handle(after(duration), lease.Tick{}))
	qt.Assert(t, breaks, qt.IsTrue)
	w.Handle(after(duration), lease.WriteDone{Outcome: lease.WriteConflict})
	w.Handle(after(duration), lease.ReadDone{OK: true, Found: true, Version: 2, Record: record})
	qt.Assert(t, w.Breaking(), qt.IsFalse)
	qt.Assert(t, w.Lapsed(), qt.IsFalse)
}
