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
	// stalledAfter is the time after which a load counts as stalled.
	stalledAfter = 5 * time.Second
	// failingAfter is the number of failures in a row that make a load failing.
	failingAfter = 2
	// failingFor is how long the last failure of a load counts.
	failingFor = time.Hour
	// maxFailing bounds the failing loads that are kept for an upstream.
	maxFailing = 256
)

// failingLoad is a load that fails again and again.
type failingLoad struct {
	count int
	since time.Time
	last  time.Time
	err   string
}

// noteLoad records the end of a load. The caller must hold mu.
func (w *worker) noteLoad(adapter state.AdapterRef, now time.Time, err *protocol.Error) {
	delete(w.loading, adapter)
	if err == nil {
		delete(w.failing, adapter)
		return
	}
	f, known := w.failing[adapter]
	if !known {
		if len(w.failing) >= maxFailing {
			return
		}
		f.since = now
	}
	f.count++
	f.last = now
	f.err = err.Message
	w.failing[adapter] = f
}

// Conditions reports loads that fail or take too long.
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

func (w *worker) conditions(now time.Time) []protocol.Condition {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []protocol.Condition
	for adapter, f := range w.failing {
		if now.Sub(f.last) > failingFor {
			delete(w.failing, adapter)
		}
		if f.count < failingAfter || now.Sub(f.last) > failingFor {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionLoadFailing, Severity: protocol.SeverityWatch, Subject: adapter.String(),
			Detail: fmt.Sprintf("%d failures on %s, last: %s", f.count, w.u.ID, f.err), Since: f.since.UTC(),
		})
	}
	for adapter, start := range w.loading {
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
