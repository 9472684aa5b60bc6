package owner

import (
	"context"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// statusCore is a core of which only the status is used.
type statusCore struct {
	core.Core
	boot state.BootID
}

func (c statusCore) Status() core.Status { return core.Status{Boot: c.boot} }

// TestACrashIsDetectedAfterAnInterruptionWithoutACrash guards against the result of an earlier check
// that stands for all later interruptions on the same boot.
func TestACrashIsDetectedAfterAnInterruptionWithoutACrash(t *testing.T) {
	c := qt.New(t)
	w := &worker{core: statusCore{boot: "b1"}, calls: make(map[string]*submission)}
	first, isNew := w.currentCrashCheck()
	c.Assert(isNew, qt.IsTrue)
	joined, isNew := w.currentCrashCheck()
	c.Assert(isNew, qt.IsFalse)
	c.Assert(joined, qt.Equals, first)
	close(first.done) // the connection broke, the upstream runs on

	w.calls["a"] = &submission{dispatched: true, call: &protocol.Call{Fingerprint: 7}}
	second, isNew := w.currentCrashCheck()
	c.Assert(isNew, qt.IsTrue)
	c.Assert(second.running, qt.HasLen, 1)
	second.crashed = true
	close(second.done)
	_, isNew = w.currentCrashCheck()
	c.Assert(isNew, qt.IsFalse)
}

// refusedMessages refuses requests with one of the messages.
type refusedMessages []uint64

func (refusedMessages) ReportCrash(context.Context, suspects.CrashID, []suspects.Fingerprint, []uint64) {
}

func (r refusedMessages) Refusal(_ suspects.Fingerprint, sharedMessages []uint64) *protocol.Error {
	if slices.ContainsFunc(sharedMessages, func(id uint64) bool { return slices.Contains(r, id) }) {
		return protocol.Errorf(protocol.KindRefusedFingerprint, "admit request", protocol.OutcomeNotRun, "refused")
	}
	return nil
}

// TestAQueuedRequestIsNotDispatchedOnceItIsRefused guards against crashes under requests that waited for
// an upstream while one of their messages became known to crash upstreams.
func TestAQueuedRequestIsNotDispatchedOnceItIsRefused(t *testing.T) {
	c := qt.New(t)
	w := &worker{m: &Manager{opts: Options{Crashes: refusedMessages{40}}}}
	err := w.checkDispatch(&protocol.Call{Model: &protocol.ModelCall{SharedMessages: []uint64{39, 40}}})
	c.Assert(err != nil && err.Kind == protocol.KindRefusedFingerprint, qt.IsTrue)
	c.Assert(w.checkDispatch(&protocol.Call{Model: &protocol.ModelCall{SharedMessages: []uint64{39}}}) == nil, qt.IsTrue)
}
