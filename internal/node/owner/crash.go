package owner

import (
	"context"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxCrashProbes     = 5
	crashProbeInterval = 200 * time.Millisecond
	crashProbeTimeout  = 500 * time.Millisecond
)

// CrashReporter receives the fingerprints and the shared messages of the requests that ran on
// an upstream when it crashed, and decides which requests are refused because of that.
type CrashReporter interface {
	// ReportCrash announces a crash to the other daemons. It returns when the other daemons
	// have confirmed the announcement, or after a bounded time.
	ReportCrash(ctx context.Context, id suspects.CrashID, running []suspects.Fingerprint, sharedMessages []uint64)
	// Refusal returns the error of a request that is refused because upstreams crashed under its
	// fingerprint or its shared messages, or nil.
	Refusal(f suspects.Fingerprint, sharedMessages []uint64) *protocol.Error
}

// crashCheck determines whether an upstream has crashed since a boot. It runs once for each
// boot: all completions that were interrupted on the boot wait for the same check.
type crashCheck struct {
	boot    state.BootID
	running []suspects.Fingerprint // of the requests that ran when the check began
	// sharedMessages are the messages of these requests, without duplicates.
	sharedMessages []uint64
	done           chan struct{}
	crashed        bool // valid after done is closed
}

// classifyCrash returns the error of a completion, with the kind KindUpstreamCrashed if the
// completion was interrupted because the upstream crashed. It waits for the crash check.
func (w *worker) classifyCrash(p *submission, err *protocol.Error) *protocol.Error {
	interrupted := err != nil && err.Kind == protocol.KindInterrupted
	if !interrupted || p.call.Model == nil || w.m.opts.Crashes == nil || p.ctx.Err() != nil {
		return err
	}
	check, first := w.currentCrashCheck()
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

// currentCrashCheck returns the check that is in progress, or else the check that found a crash of
// the current boot of the upstream, or else a new one. It also returns whether the caller must run the check. The caller's
// own call must still be registered in w.calls, so that the check lists every request that
// ran.
func (w *worker) currentCrashCheck() (*crashCheck, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := w.core.Status().Boot
	if c := w.latestCheck; c != nil && (c.inProgress() || c.boot == boot && c.crashed) {
		return c, false
	}
	check := &crashCheck{boot: boot, done: make(chan struct{})}
	for _, p := range w.calls {
		if p.dispatched && p.call.Fingerprint != 0 {
			check.running = append(check.running, suspects.Fingerprint(p.call.Fingerprint))
		}
		if p.dispatched && p.call.Model != nil {
			check.sharedMessages = append(check.sharedMessages, p.call.Model.SharedMessages...)
		}
	}
	slices.Sort(check.sharedMessages)
	check.sharedMessages = slices.Compact(check.sharedMessages)
	w.latestCheck = check
	return check, true
}

// inProgress reports whether the check has not ended.
func (c *crashCheck) inProgress() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// runCrashCheck requests the boot ID of the upstream. The upstream has not crashed if the
// boot ID is unchanged. An upstream that answers no probe counts as crashed. A crash is
// announced to the other daemons.
func (w *worker) runCrashCheck(check *crashCheck) {
	defer close(check.done)
	check.crashed = true
	for range maxCrashProbes {
		boot, ok := w.probeBoot()
		if ok {
			check.crashed = boot != check.boot
			break
		}
		select {
		case <-time.After(crashProbeInterval):
		case <-w.m.ctx.Done():
			return
		}
	}
	if check.crashed {
		id := suspects.CrashID{Upstream: w.u.ID, Boot: check.boot}
		w.m.opts.Crashes.ReportCrash(w.m.ctx, id, check.running, check.sharedMessages)
		w.report() // the core must see the new boot before it dispatches again
	}
}

// probeBoot returns the boot ID of the upstream, and whether the upstream answered.
func (w *worker) probeBoot() (state.BootID, bool) {
	ctx, cancel := context.WithTimeout(w.m.ctx, crashProbeTimeout)
	defer cancel()
	report, err := w.m.opts.Client.Report(ctx, w.u)
	return report.BootID, err == nil
}
