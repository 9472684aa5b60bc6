package entry

import (
	"context"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/ejection"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
)

const (
	ejectorTick   = 500 * time.Millisecond
	minPaceTokens = 8 // tokens of an answer from which its time per token is compared; shorter answers vary too much
)

// groupKey identifies a group of upstreams whose results are compared with each other: the
// engines of a base model or the instances of a plain service.
type groupKey struct {
	base    string
	service state.ServiceID
}

// Ejector ejects outliers among the upstreams of a region. It feeds the results of
// attempts to a detector for each group and applies the gates that the detectors set.
// It implements routing.Tracker and is safe for concurrent use.
type Ejector struct {
	fleet  *state.Fleet
	region state.Region

	mu     sync.Mutex
	groups map[groupKey]*detectorGroup
}

// detectorGroup is the detector of one group.
type detectorGroup struct {
	mu       sync.Mutex
	detector *ejection.Detector
	boots    map[state.UpstreamID]state.BootID // last known boots of the upstreams with results
}

// NewEjector returns an ejector for the upstreams of a region.
func NewEjector(fleet *state.Fleet, region state.Region) *Ejector {
	return &Ejector{fleet: fleet, region: region, groups: make(map[groupKey]*detectorGroup)}
}

// Sent implements routing.Tracker.
func (e *Ejector) Sent(now time.Time, req *routing.Request, c routing.Choice) {
	w := e.group(req)
	e.handle(w, now, ejection.GroupSize{Count: e.members(req)})
	if c.Probe {
		e.handle(w, now, ejection.ProbeSent{Upstream: c.Upstream.ID})
	}
}

// Ended implements routing.Tracker.
func (e *Ejector) Ended(now time.Time, req *routing.Request, c routing.Choice, result routing.Result) {
	w := e.group(req)
	event := ejection.Result{Upstream: c.Upstream.ID, Probe: c.Probe}
	switch result.Outcome {
	case routing.OutcomeOK:
		event.UnitLatency = timePerUnit(req, result)
	case routing.OutcomeFailed:
		event.Failed = true
	default:
		if c.Probe {
			e.handle(w, now, ejection.ProbeInconclusive{Upstream: c.Upstream.ID})
		}
		return
	}
	e.handle(w, now, event)
}

// timePerUnit returns the time per token of a complete answer of an engine, or the total
// time of a call of a plain service. It returns 0 if an answer is too short to be compared.
// The time per token excludes the time to the first token, which depends on the load of the
// engine rather than on its health.
func timePerUnit(req *routing.Request, result routing.Result) time.Duration {
	if req.Adapter.IsZero() {
		return result.Total
	}
	if result.Tokens < minPaceTokens {
		return 0
	}
	return (result.Total - result.FirstToken) / time.Duration(result.Tokens-1)
}

// Run sends ticks and restarts of upstreams to the detectors until ctx is done.
func (e *Ejector) Run(ctx context.Context) {
	ticker := time.NewTicker(ejectorTick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Ejector) tick(now time.Time) {
	e.mu.Lock()
	groups := make([]*detectorGroup, 0, len(e.groups))
	for _, w := range e.groups {
		groups = append(groups, w)
	}
	e.mu.Unlock()
	for _, w := range groups {
		e.detectRestarts(w, now)
		e.handle(w, now, ejection.Tick{})
	}
}

// detectRestarts reports to a detector which of its upstreams have restarted or have
// left the fleet.
func (e *Ejector) detectRestarts(w *detectorGroup, now time.Time) {
	var events []ejection.Event
	w.mu.Lock()
	for id, boot := range w.boots {
		u := e.fleet.Get(id)
		switch {
		case u == nil:
			delete(w.boots, id)
			events = append(events, ejection.Removed{Upstream: id})
		case u.Boot != boot:
			w.boots[id] = u.Boot
			events = append(events, ejection.Restarted{Upstream: id})
		}
	}
	w.mu.Unlock()
	for _, event := range events {
		e.handle(w, now, event)
	}
}

func (e *Ejector) handle(w *detectorGroup, now time.Time, event ejection.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := event.(ejection.Result); ok {
		w.recordBoot(e.fleet.Get(r.Upstream))
	}
	for _, gate := range w.detector.Handle(now, event) {
		entry := e.fleet.Entry(gate.Upstream)
		if entry == nil {
			continue
		}
		entry.SetGate(gate.Gate)
		statelog.Info("Gate of upstream changed", "upstream", gate.Upstream, "gate", gate.Gate, "reason", gate.Reason, "term", gate.EjectionTime)
	}
}

// recordBoot records the boot of an upstream at its first result.
func (w *detectorGroup) recordBoot(u *state.Upstream) {
	if u == nil {
		return
	}
	if _, ok := w.boots[u.ID]; !ok {
		w.boots[u.ID] = u.Boot
	}
}

func (e *Ejector) group(req *routing.Request) *detectorGroup {
	key := groupKey{service: req.Service}
	if !req.Adapter.IsZero() {
		key = groupKey{base: req.Base}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.groups[key]
	if w == nil {
		w = &detectorGroup{
			detector: ejection.NewDetector(ejection.DefaultOptions()),
			boots:    make(map[state.UpstreamID]state.BootID),
		}
		e.groups[key] = w
	}
	return w
}

func (e *Ejector) members(req *routing.Request) int {
	group := e.fleet.Services(req.Service, e.region, "")
	if !req.Adapter.IsZero() {
		group = e.fleet.Engines(req.Base, e.region)
	}
	if group == nil {
		return 0
	}
	return len(group.Members())
}
