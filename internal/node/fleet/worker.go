package fleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
	"github.com/celerydeck/celerydeck/internal/coordination/residency"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// workerTick is how often a worker looks for work that nothing announced.
const workerTick = 50 * time.Millisecond

// worker gives the orders to one engine, one after the other.
type worker struct {
	node   *Node
	id     state.UpstreamID
	fence  uint64
	cancel context.CancelFunc
	wake   chan struct{}

	mu     sync.Mutex // not held across I/O
	ledger *residency.Planner
	lease  holders.Lease
	usable bool
	// moved is closed and replaced when an order has ended.
	moved chan struct{}
}

// startWorker starts the worker of an engine. The caller holds the node's lock.
func (n *Node) startWorker(h Holder, lease holders.Lease) {
	if old := n.workers[h.Engine]; old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(n.ctx)
	w := &worker{node: n, id: h.Engine, fence: h.Revision, cancel: cancel, wake: make(chan struct{}, 1), lease: lease, moved: make(chan struct{})}
	n.workers[h.Engine] = w
	n.window.engines(len(n.workers))
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		w.run(ctx)
	}()
}

func (w *worker) stop() { w.cancel() }

func (w *worker) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// confirm extends the lease: the store named this daemon as holder after asked. A
// record that is newer was written by this daemon itself.
func (w *worker) confirm(asked time.Duration, h Holder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.Revision < w.fence || h.Revision > w.fence && h.From != "" {
		return
	}
	w.fence = h.Revision
	w.lease.RenewedAt = max(w.lease.RenewedAt, asked)
}

func (w *worker) canOrder() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usable && w.lease.Valid(w.node.opts.BootClock())
}

func (w *worker) announce(v upstreams.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger != nil {
		w.ledger.SetNewestVersion(v.Adapter, v.Version)
	}
}

func (w *worker) use(list, missing []upstreams.Adapter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger == nil {
		return
	}
	now := w.node.opts.Clock()
	for _, a := range list {
		w.ledger.RecordUse(now, a)
	}
	for _, a := range missing {
		if end, ratio := w.ledger.RecordMiss(now, a); !end.IsZero() {
			w.node.lateLoad(now, end, ratio)
		}
	}
}

// wishes returns how many loads wait for an order.
func (w *worker) wishes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger == nil {
		return 0
	}
	return w.ledger.PendingLoads()
}

// state tells what the engine holds; backlog is the number of wishes at all engines of
// this daemon.
func (w *worker) state(backlog int) protocol.EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := protocol.EngineState{Upstream: w.id, CanOrder: w.usable && w.lease.Valid(w.node.opts.BootClock())}
	if w.ledger != nil {
		s.Models = w.ledger.ResidentModels()
		now := w.node.opts.Clock()
		s.Held = w.ledger.ResidentAdapters(now)
		s.Room, s.Queue = w.ledger.LoadCapacity(now, w.node.window.size(), backlog)
	}
	return s
}

// want takes a wish and answers when the load has been ordered.
func (w *worker) want(ctx context.Context, msg protocol.WantAdapter) protocol.WantReply {
	if reply, done := w.enter(msg); done {
		return reply
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ledger.WithdrawLoad(msg.Adapter)
	}()
	w.poke()
	for {
		w.mu.Lock()
		now := w.node.opts.Clock()
		in, ordered := w.ledger.TimeUntilReady(now, msg.Adapter, msg.Version)
		waits := w.ledger.IsPending(now, msg.Adapter)
		moved := w.moved
		w.mu.Unlock()
		if ordered {
			return protocol.WantReply{OK: true, ReadyIn: in}
		}
		if !waits {
			return protocol.WantReply{Reason: "load was not ordered in time"}
		}
		timer := time.NewTimer(workerTick)
		select {
		case <-moved:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return protocol.WantReply{Reason: ctx.Err().Error()}
		}
		timer.Stop()
	}
}

// enter puts a wish into the ledger. It reports true if the answer is known at once.
func (w *worker) enter(msg protocol.WantAdapter) (protocol.WantReply, bool) {
	backlog := w.node.backlog()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lease.Valid(w.node.opts.BootClock()) {
		return protocol.WantReply{Reason: "lease not valid"}, true
	}
	if w.ledger == nil {
		return protocol.WantReply{Reason: "engine not known yet"}, true
	}
	now := w.node.opts.Clock()
	if msg.Use {
		w.ledger.RecordUse(now, msg.Adapter)
		return protocol.WantReply{OK: true}, true
	}
	if _, queue := w.ledger.LoadCapacity(now, w.node.window.size(), backlog); msg.Wait > 0 && queue > msg.Wait && !w.ledger.IsResidentOrLoading(now, msg.Adapter, msg.Version) {
		return protocol.WantReply{Reason: "loads wait too long"}, true
	}
	if !w.ledger.RequestLoad(now, msg.Adapter, msg.Version, msg.Rank, msg.Slack) {
		return protocol.WantReply{Reason: "no room at the engine"}, true
	}
	return protocol.WantReply{}, false
}

func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(workerTick)
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

// minSparing is the number of places from which on one is kept free.
const minSparing = 8

// sparing returns how many places at an engine are used. One is kept free: an order that
// was given up and is carried out late must not overfill the engine, which would crash.
func sparing(places int) int {
	if places >= minSparing {
		return places - 1
	}
	return places
}

// step reads a report or gives one order. It reports whether there may be more to do.
func (w *worker) step(ctx context.Context) bool {
	u := w.node.opts.View.Upstream(w.id)
	table := w.node.opts.View.Table()
	if u == nil || table == nil || u.Draining || ctx.Err() != nil {
		return false
	}
	spec := table.Config.Services[u.Service].Engine
	if spec == nil || len(spec.Models) == 0 {
		return false
	}
	now := w.node.opts.Clock()
	w.mu.Lock()
	if w.ledger == nil {
		w.ledger = residency.NewPlanner(w.node.opts.View.LeastCoveredModel(u.Service, spec.Models), 0)
		w.node.opts.View.EachNewestVersion(w.ledger.SetNewestVersion)
	}
	w.ledger.SetCapacity(sparing(spec.MaxAdapters(w.ledger.TargetModels())))
	if !w.lease.Valid(w.node.opts.BootClock()) {
		w.usable = false
		w.mu.Unlock()
		return false
	}
	due := w.ledger.NeedsReport(now)
	w.mu.Unlock()
	if due {
		return w.report(ctx, u)
	}
	return w.order(ctx, u, spec)
}

func (w *worker) report(ctx context.Context, u *upstreams.Upstream) bool {
	r, err := w.node.opts.Engines.Report(ctx, u.Addr)
	now := w.node.opts.Clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.ledger.ReportFailed(now)
		w.node.opts.Log.Event("engine report failed", slog.String("upstream", string(w.id)), slog.String("err", err.Error()))
		return false
	}
	if u.Born != 0 && r.StartTime != 0 && r.StartTime < u.Born {
		w.ledger.ReportFailed(now)
		return false
	}
	w.ledger.ApplyReport(now, r.StartTime, r.AcceptedOrders, r.Holding, r.LoadsInFlight)
	w.usable = true
	return true
}

func (w *worker) order(ctx context.Context, u *upstreams.Upstream, spec *routes.EngineSpec) bool {
	now := w.node.opts.Clock()
	may := residency.AllowedLoads{Model: w.node.mayLoadModel(now, spec), ColdAdapter: w.node.window.free(now)}
	w.mu.Lock()
	w.ledger.SetLoadSlowdown(w.node.window.pace())
	o, ok := w.ledger.NextOrder(now, may)
	cold := ok && w.ledger.IsColdLoad(o)
	w.mu.Unlock()
	if !ok {
		return false
	}
	fence, valid := w.leaseValid()
	if !valid {
		return false
	}
	o.Holder, o.FencingToken = w.node.opts.Self.VM, fence
	if o.Adapter.Name == "" {
		w.node.countModelLoad(now)
	}
	reply, err := w.node.opts.Engines.Order(ctx, *u, o)
	w.mu.Lock()
	now = w.node.opts.Clock()
	w.ledger.RecordOutcome(now, o, reply)
	if in, ordered := w.ledger.TimeUntilReady(now, o.Adapter, 0); cold && ordered {
		w.node.window.begin(now.Add(in))
	}
	close(w.moved)
	w.moved = make(chan struct{})
	w.mu.Unlock()
	attrs := []slog.Attr{
		slog.String("upstream", string(w.id)), slog.String("adapter", o.Adapter.String()), slog.Bool("unload", o.Unload),
		slog.Int("expected", o.ExpectedOrderCount), slog.Int("reply", int(reply)), slog.Float64("window", w.node.window.size()),
	}
	if err != nil {
		attrs = append(attrs, slog.String("err", err.Error()))
	}
	w.node.opts.Log.Event("order", attrs...)
	return reply != residency.OutcomeConflict && reply != residency.OutcomeWrongEngine
}

// leaseValid returns the fencing token, and whether an order may be sent.
func (w *worker) leaseValid() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence, w.lease.Valid(w.node.opts.BootClock())
}
