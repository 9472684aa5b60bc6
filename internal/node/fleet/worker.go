package fleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/pacing"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// workerInterval is the interval at which a worker checks whether a report or an order is due.
const workerInterval = 50 * time.Millisecond

// worker reads the reports of one engine and sends it orders, one at a time. It runs while
// this daemon is the engine's lease holder.
type worker struct {
	node         *Node
	id           state.UpstreamID
	fencingToken uint64
	cancel       context.CancelFunc
	wake         chan struct{}

	mu        sync.Mutex         // not held across I/O
	planner   *residency.Planner // nil until the engine is listed
	lease     holders.Lease
	hasReport bool // a report was read under the present lease
	// orderDone is closed and replaced after the outcome of each order was recorded.
	orderDone chan struct{}
	prompts   pacing.Ledger
	use       pacing.Use
	pace      pacing.Pace
}

// startWorker starts the worker of an engine and stops the engine's previous worker. The caller holds the node's lock.
func (n *Node) startWorker(h Holder, lease holders.Lease) {
	if old := n.workers[h.Engine]; old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(n.ctx)
	w := &worker{node: n, id: h.Engine, fencingToken: h.Revision, cancel: cancel, wake: make(chan struct{}, 1), lease: lease, orderDone: make(chan struct{})}
	n.workers[h.Engine] = w
	n.window.setEngines(len(n.workers))
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		w.run(ctx)
	}()
}

// stop ends the worker.
func (w *worker) stop() { w.cancel() }

// wakeUp makes the worker check at once whether a report or an order is due.
func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// renewLease renews the lease from holder record h, which the store returned to a call that
// was sent at askedAt and which names this daemon. A newer record that does not denote a
// takeover was written by this daemon itself and sets the fencing token. An older record, or
// a newer record that denotes a takeover, is ignored. A record without a previous lease holder ends a takeover.
func (w *worker) renewLease(askedAt time.Duration, h Holder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.Revision < w.fencingToken || h.Revision > w.fencingToken && h.PreviousVM != "" {
		return
	}
	w.fencingToken = h.Revision
	w.lease.RenewedAt = max(w.lease.RenewedAt, askedAt)
	if h.PreviousVM == "" {
		w.lease.IsPending = false
	}
}

// isOlderThan reports whether the worker was started for an earlier record than h.
func (w *worker) isOlderThan(h Holder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fencingToken < h.Revision
}

// isCompletable reports whether the record that the takeover of the engine is complete may be written.
func (w *worker) isCompletable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease.IsCompletable(w.node.opts.BootClock())
}

// canOrder reports whether the worker can order loads at its engine.
func (w *worker) canOrder() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasReport && w.lease.Valid(w.node.opts.BootClock())
}

func (w *worker) setNewestVersion(v upstreams.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planner == nil {
		return
	}
	w.planner.SetNewestVersion(v.Adapter, v.Version)
	now := w.node.opts.Clock()
	if resident, isIdle := w.planner.ResidentVersion(now, v.Adapter); resident > 0 && resident < v.Version {
		w.node.opts.Log.Event("resident version outdated", slog.String("upstream", string(w.id)), slog.String("adapter", v.Adapter.String()),
			slog.Int("resident", resident), slog.Int("newest", v.Version), slog.Bool("idle", isIdle), slog.Bool("can_load", w.hasReport && w.lease.Valid(w.node.opts.BootClock())))
	}
}

// recordDemand passes to the planner the adapters in use and the adapters that requests found
// missing at the engine. It narrows the window of loads if a missing adapter's load is
// overdue.
func (w *worker) recordDemand(inUse, missing []upstreams.Adapter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planner == nil {
		return
	}
	now := w.node.opts.Clock()
	for _, a := range inUse {
		w.planner.RecordUse(now, a)
	}
	for _, a := range missing {
		if end, ratio := w.planner.RecordMiss(now, a); !end.IsZero() {
			w.node.recordOverdueLoad(now, end, ratio)
		}
	}
}

// pendingLoads returns the number of loads that wait for an order.
func (w *worker) pendingLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planner == nil {
		return 0
	}
	return w.planner.PendingLoads()
}

// state returns the state of the engine for the peers; backlog is the number of pending
// loads at all engines of this daemon.
func (w *worker) state(backlog int) protocol.EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := protocol.EngineState{Upstream: w.id, CanOrder: w.hasReport && w.lease.Valid(w.node.opts.BootClock())}
	if w.planner != nil {
		s.Models = w.planner.ResidentModels()
		now := w.node.opts.Clock()
		s.Resident = w.planner.ResidentAdapters(now)
		s.LoadCapacity, s.LoadDelay = w.planner.LoadCapacity(now, w.node.window.size(), backlog)
	}
	return s
}

// requestLoad requests a load and returns when the load has been ordered, refused or given up.
func (w *worker) requestLoad(ctx context.Context, msg protocol.LoadRequest) protocol.LoadReply {
	if reason := w.barredReason(); reason != "" && !msg.UsageOnly {
		return protocol.LoadReply{Reason: reason}
	}
	if reply, done := w.enqueueLoad(msg); done {
		return reply
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.planner.WithdrawLoad(msg.Adapter)
	}()
	w.wakeUp()
	for {
		if reason := w.barredReason(); reason != "" {
			return protocol.LoadReply{Reason: reason}
		}
		w.mu.Lock()
		now := w.node.opts.Clock()
		readyIn, isOrdered := w.planner.TimeUntilReady(now, msg.Adapter, msg.Version)
		version, _ := w.planner.ResidentVersion(now, msg.Adapter)
		isPending := w.planner.IsPending(now, msg.Adapter)
		orderDone := w.orderDone
		w.mu.Unlock()
		if isOrdered {
			return protocol.LoadReply{Accepted: true, ReadyIn: readyIn, Version: version}
		}
		if !isPending {
			return protocol.LoadReply{Reason: "load was not ordered in time"}
		}
		timer := time.NewTimer(workerInterval)
		select {
		case <-orderDone:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return protocol.LoadReply{Reason: ctx.Err().Error()}
		}
		timer.Stop()
	}
}

// enqueueLoad requests a load from the planner, or records a use if the message only reports
// a use. It returns true if the request is complete; the returned reply is then final.
func (w *worker) enqueueLoad(msg protocol.LoadRequest) (protocol.LoadReply, bool) {
	backlog := w.node.pendingLoads()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lease.Valid(w.node.opts.BootClock()) {
		return protocol.LoadReply{Reason: "lease not valid"}, true
	}
	if w.planner == nil {
		return protocol.LoadReply{Reason: "engine not known yet"}, true
	}
	now := w.node.opts.Clock()
	if msg.UsageOnly {
		w.planner.RecordUse(now, msg.Adapter)
		return protocol.LoadReply{Accepted: true}, true
	}
	if _, delay := w.planner.LoadCapacity(now, w.node.window.size(), backlog); msg.OrderTimeout > 0 && delay > msg.OrderTimeout && !w.planner.IsResidentOrLoading(now, msg.Adapter, msg.Version) {
		return protocol.LoadReply{Reason: "loads wait too long"}, true
	}
	if !w.planner.RequestLoad(now, msg.Adapter, msg.Version, msg.Rank, msg.Slack) {
		return protocol.LoadReply{Reason: "no room at the engine"}, true
	}
	return protocol.LoadReply{}, false
}

// run executes steps until the worker is stopped.
func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(workerInterval)
	defer tick.Stop()
	for {
		for w.step(ctx) {
		}
		select {
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// minSlotsToReserve is the least number of slots of an engine of which one is reserved.
const minSlotsToReserve = 8

// usableSlots returns how many of an engine's slots the planner may use. One slot of an engine
// with at least minSlotsToReserve slots is reserved, as the engine would crash if it were
// overfilled by a delayed order that the planner had given up.
func usableSlots(slots int) int {
	if slots >= minSlotsToReserve {
		return slots - 1
	}
	return slots
}

// step reads a report or sends one order, if either is due. Before the first step it creates
// the planner. It reports whether another step may be due at once.
func (w *worker) step(ctx context.Context) bool {
	u := w.node.opts.View.Upstream(w.id)
	table := w.node.opts.View.Table()
	if u == nil || table == nil || w.isBarred(u) || ctx.Err() != nil {
		return false
	}
	spec := table.Config.Services[u.Service].Engine
	if spec == nil || len(spec.Models) == 0 {
		return false
	}
	now := w.node.opts.Clock()
	w.mu.Lock()
	if w.planner == nil {
		w.planner = residency.NewPlanner(w.node.opts.View.LeastCoveredModel(u.Service, spec.Models), 0)
		w.node.opts.View.EachNewestVersion(w.planner.SetNewestVersion)
	}
	w.planner.SetCapacity(usableSlots(spec.MaxAdapters(w.planner.TargetModels())))
	if !w.lease.Valid(w.node.opts.BootClock()) {
		w.hasReport = false
		w.planner.RequireReport()
		w.mu.Unlock()
		return false
	}
	due := w.planner.NeedsReport(now)
	w.mu.Unlock()
	if due {
		return w.readReport(ctx, u)
	}
	return w.sendOrder(ctx, u, spec)
}

// readReport reads the engine's report and applies it, unless the report comes from an earlier
// boot of the engine than the list of upstreams names. It reports whether it applied the
// report.
func (w *worker) readReport(ctx context.Context, u *upstreams.Upstream) bool {
	r, err := w.node.opts.Engines.Report(ctx, u.Addr)
	w.node.opts.View.RecordSignals(reportingRun(u, r.StartTime), r.Signals, false, ResponseCause{Request: "report"})
	now := w.node.opts.Clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.planner.ReportFailed(now)
		w.node.opts.Log.Event("engine report failed", slog.String("upstream", string(w.id)), slog.String("err", err.Error()))
		return false
	}
	if u.StartTime != 0 && r.StartTime != 0 && r.StartTime < u.StartTime {
		w.planner.ReportFailed(now)
		return false
	}
	w.planner.ApplyReport(now, r.StartTime, r.AcceptedOrders, r.Holding, r.LoadsInFlight)
	w.hasReport = true
	return true
}

// sendOrder sends the next order, if there is one and the lease is valid, and records the
// outcome. It reports whether another step may be due at once.
func (w *worker) sendOrder(ctx context.Context, u *upstreams.Upstream, spec *routes.EngineSpec) bool {
	now := w.node.opts.Clock()
	allowed := residency.AllowedLoads{Model: w.node.mayLoadModel(now, spec), ColdAdapter: w.node.window.hasCapacity(now)}
	w.mu.Lock()
	w.planner.SetLoadSlowdown(w.node.window.slowdown())
	o, ok := w.planner.NextOrder(now, allowed)
	isCold := ok && w.planner.IsColdLoad(o)
	w.mu.Unlock()
	if !ok {
		return false
	}
	token, valid := w.leaseValid()
	if !valid {
		return false
	}
	o.Holder, o.FencingToken = w.node.opts.Self.VM, token
	if o.Adapter.Name == "" {
		w.node.countModelLoad(now)
	}
	outcome, err := w.node.opts.Engines.Order(ctx, *u, o)
	w.mu.Lock()
	now = w.node.opts.Clock()
	w.planner.RecordOutcome(now, o, outcome)
	if readyIn, isOrdered := w.planner.TimeUntilReady(now, o.Adapter, 0); isCold && isOrdered {
		w.node.window.begin(now.Add(readyIn))
	}
	close(w.orderDone)
	w.orderDone = make(chan struct{})
	w.mu.Unlock()
	attrs := []slog.Attr{
		slog.String("upstream", string(w.id)), slog.String("adapter", o.Adapter.String()), slog.Int("version", o.Version), slog.Bool("unload", o.Unload),
		slog.Int("expected", o.ExpectedOrderCount), slog.Int("reply", int(outcome)), slog.Float64("window", w.node.window.size()),
	}
	if err != nil {
		attrs = append(attrs, slog.String("err", err.Error()))
	}
	w.node.opts.Log.Event("order", attrs...)
	return outcome != residency.OutcomeConflict && outcome != residency.OutcomeWrongEngine
}

// leaseValid returns the fencing token and whether the lease is valid.
func (w *worker) leaseValid() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fencingToken, w.lease.Valid(w.node.opts.BootClock())
}
