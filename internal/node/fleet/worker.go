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

const (
	workerTick = 150 * time.Millisecond
	// wantLatency is the time until a wish has become an order.
	wantLatency = 10 * time.Millisecond
)

// worker gives the orders to one engine, one after the other.
type worker struct {
	node   *Node
	id     state.UpstreamID
	fence  uint64
	cancel context.CancelFunc
	wake   chan struct{}

	mu     sync.Mutex // not held across I/O
	ledger *residency.Ledger
	lease  holders.Lease
	usable bool
}

// startWorker starts the worker of an engine. The caller holds the node's lock.
func (n *Node) startWorker(h Holder, lease holders.Lease) {
	if old := n.workers[h.Engine]; old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(n.ctx)
	w := &worker{node: n, id: h.Engine, fence: h.Revision, cancel: cancel, wake: make(chan struct{}, 1), lease: lease}
	n.workers[h.Engine] = w
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

// confirm extends the lease: the store named this daemon as holder after asked.
func (w *worker) confirm(asked time.Duration, fence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence == w.fence {
		w.lease.Confirmed = max(w.lease.Confirmed, asked)
	}
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
		w.ledger.Announce(v.Adapter, v.Version)
	}
}

func (w *worker) use(list []upstreams.Adapter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger == nil {
		return
	}
	now := w.node.opts.Clock()
	for _, a := range list {
		w.ledger.Use(now, a)
	}
}

func (w *worker) state() protocol.EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := protocol.EngineState{Upstream: w.id}
	if w.ledger != nil {
		s.HasModel = w.ledger.HasModel()
		s.Held = w.ledger.Held(w.node.opts.Clock())
	}
	return s
}

func (w *worker) want(msg protocol.WantAdapter) protocol.WantReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lease.Valid(w.node.opts.BootClock()) {
		return protocol.WantReply{Reason: "lease not valid"}
	}
	if w.ledger == nil {
		return protocol.WantReply{Reason: "engine not known yet"}
	}
	in, ok := w.ledger.Want(w.node.opts.Clock(), msg.Adapter, msg.Version)
	if !ok {
		return protocol.WantReply{Reason: "no room at the engine"}
	}
	w.poke()
	return protocol.WantReply{OK: true, ReadyIn: in + wantLatency}
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
		w.ledger = residency.NewLedger(spec.Models[0].Name, spec.MaxAdapters())
		w.node.opts.View.Newest(w.ledger.Announce)
	}
	w.ledger.SetCapacity(spec.MaxAdapters())
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
	if u.Born != 0 && r.Born != 0 && r.Born < u.Born {
		w.ledger.ReportFailed(now)
		return false
	}
	w.ledger.Sync(now, r.Born, r.Accepted, r.Holding, r.Pending)
	w.usable = true
	return true
}

func (w *worker) order(ctx context.Context, u *upstreams.Upstream, spec *routes.EngineSpec) bool {
	now := w.node.opts.Clock()
	mayLoad := w.node.mayLoadModel(now, spec)
	w.mu.Lock()
	o, ok := w.ledger.Next(now, mayLoad)
	w.mu.Unlock()
	if !ok {
		return false
	}
	o.Holder, o.Fence = w.node.opts.Self.VM, w.fence
	if !w.leaseValid() {
		return false
	}
	if o.Adapter.Name == "" {
		w.node.countModelLoad(now)
	}
	reply, err := w.node.opts.Engines.Order(ctx, *u, o)
	w.mu.Lock()
	w.ledger.Done(w.node.opts.Clock(), o, reply)
	w.mu.Unlock()
	attrs := []slog.Attr{
		slog.String("upstream", string(w.id)), slog.String("adapter", o.Adapter.String()), slog.Bool("unload", o.Unload),
		slog.Int("expected", o.Expected), slog.Int("reply", int(reply)),
	}
	if err != nil {
		attrs = append(attrs, slog.String("err", err.Error()))
	}
	w.node.opts.Log.Event("order", attrs...)
	return reply != residency.ReplyConflict && reply != residency.ReplyGone
}

func (w *worker) leaseValid() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease.Valid(w.node.opts.BootClock())
}
