package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// stalledAfter is the time in flight after which a load counts as stalled.
	stalledAfter = 5 * time.Second
	// minFailures is the number of failures in a row from which a load is reported as
	// failing.
	minFailures = 2
	// failingTTL is how long a failing load is reported after its last failure.
	failingTTL = time.Hour
	// maxFailingLoads bounds the failing loads that are tracked for one upstream.
	maxFailingLoads = 256
)

// failingLoad describes the failures in a row of loads of one adapter.
type failingLoad struct {
	count int
	since time.Time // first failure
	last  time.Time // last failure
	err   string    // message of the last failure
}

// recordLoadResult updates the loads in flight and the failing loads when a load ends. The
// caller must hold mu.
func (w *worker) recordLoadResult(adapter state.AdapterRef, now time.Time, err *protocol.Error) {
	delete(w.loadStarts, adapter)
	if err == nil {
		delete(w.failingLoads, adapter)
		return
	}
	f, known := w.failingLoads[adapter]
	if !known {
		if len(w.failingLoads) >= maxFailingLoads {
			return
		}
		f.since = now
	}
	f.count++
	f.last = now
	f.err = err.Message
	w.failingLoads[adapter] = f
}

// Conditions returns the loads that fail repeatedly or are stalled, as conditions for
// operators.
func (m *Manager) Conditions(now time.Time) []protocol.Condition {
	m.mu.Lock()
	workers := make([]*worker, 0, len(m.workers))
	for _, w := range m.workers {
		workers = append(workers, w)
	}
	m.mu.Unlock()
	var list []protocol.Condition
	for _, w := range workers {
		list = append(list, w.conditions(now)...)
	}
	slices.SortFunc(list, func(a, b protocol.Condition) int { return strings.Compare(a.Subject+a.Detail, b.Subject+b.Detail) })
	return list
}

// conditions returns the failing and stalled loads of one upstream as conditions. It drops
// failing loads whose last failure is older than failingTTL.
func (w *worker) conditions(now time.Time) []protocol.Condition {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []protocol.Condition
	for adapter, f := range w.failingLoads {
		if now.Sub(f.last) > failingTTL {
			delete(w.failingLoads, adapter)
		}
		if f.count < minFailures || now.Sub(f.last) > failingTTL {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionLoadFailing, Severity: protocol.SeverityWatch, Subject: adapter.String(),
			Detail: fmt.Sprintf("%d failures on %s, last: %s", f.count, w.u.ID, f.err), Since: f.since.UTC(),
		})
	}
	for adapter, start := range w.loadStarts {
		if now.Sub(start) < stalledAfter {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionLoadStalled, Severity: protocol.SeverityWatch, Subject: adapter.String(),
			Detail: fmt.Sprintf("loading on %s for %s", w.u.ID, now.Sub(start).Round(time.Second)), Since: start.UTC(),
		})
	}
	return list
}
