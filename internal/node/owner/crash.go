package owner

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	crashProbes     = 5
	crashProbeGap   = 200 * time.Millisecond
	crashProbeLimit = 500 * time.Millisecond
)

// CrashReporter learns what ran on an upstream when it crashed.
type CrashReporter interface {
	// ReportCrash returns when the other daemons know, or after a bounded time.
	ReportCrash(ctx context.Context, id suspects.CrashID, running []suspects.Fingerprint)
}

// crashCheck finds out once whether one run of an upstream has crashed. All
// requests that broke in that run wait for the same check.
type crashCheck struct {
	boot    state.BootID
	running []suspects.Fingerprint
	done    chan struct{}
	crashed bool // valid after done is closed
}

// noteCrash turns the error of an interrupted completion into one that names a
// crash, if the upstream went down.
func (w *worker) noteCrash(p *pending, err *protocol.Error) *protocol.Error {
	broke := err != nil && err.Kind == protocol.KindInterrupted
	if !broke || p.call.Model == nil || w.m.opts.Crashes == nil || p.ctx.Err() != nil {
		return err
	}
	check, first := w.crashCheck()
	if first {
		w.runCrashCheck(check)
	}
	<-check.done
	if !check.crashed {
		return err
	}
	crashed := *err
	crashed.Kind = protocol.KindUpstreamCrashed
	return &crashed
}

// crashCheck returns the check of the present run of the upstream and whether the
// caller is to carry it out. The first caller is still among the running, so that
// the check covers everything that ran.
func (w *worker) crashCheck() (*crashCheck, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := w.core.Status().Boot
	if w.check != nil && (w.check.boot == boot || w.check.open()) {
		return w.check, false
	}
	check := &crashCheck{boot: boot, done: make(chan struct{})}
	for _, p := range w.pending {
		if p.dispatched && p.call.Fingerprint != 0 {
			check.running = append(check.running, suspects.Fingerprint(p.call.Fingerprint))
		}
	}
	w.check = check
	return check, true
}

// open reports whether the check is still under way.
func (c *crashCheck) open() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// runCrashCheck asks the upstream for its boot id. An upstream that answers with
// the same one did not crash; one that stays silent is taken as crashed.
func (w *worker) runCrashCheck(check *crashCheck) {
	defer close(check.done)
	check.crashed = true
	for range crashProbes {
		boot, ok := w.probeBoot()
		if ok {
			check.crashed = boot != check.boot
			break
		}
		select {
		case <-time.After(crashProbeGap):
		case <-w.m.ctx.Done():
			return
		}
	}
	if check.crashed {
		id := suspects.CrashID{Upstream: w.u.ID, Boot: check.boot}
		w.m.opts.Crashes.ReportCrash(w.m.ctx, id, check.running)
		w.report() // the core learns of the new run before anything else is dispatched
	}
}

func (w *worker) probeBoot() (state.BootID, bool) {
	ctx, cancel := context.WithTimeout(w.m.ctx, crashProbeLimit)
	defer cancel()
	report, err := w.m.opts.Client.Report(ctx, w.u)
	return report.BootID, err == nil
}
