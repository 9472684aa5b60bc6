package owner

import (
	"context"
	"sync"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
)

const (
	pollInterval   = 250 * time.Millisecond
	reportTimeout  = 2 * time.Second
	orderTimeout   = time.Minute
	cancelTimeout  = 2 * time.Second
	minCallTimeout = time.Millisecond

	plainServiceBatch = 64 // plain services report no batch
)

// worker runs the Core of one upstream: it feeds events to the Core and carries out
// the actions that the Core returns.
type worker struct {
	m    *Manager
	u    *state.Upstream
	ctx  context.Context
	stop context.CancelFunc

	mu             sync.Mutex // guards the fields below except catalog; never held across I/O
	core           core.Core
	perms          core.Permissions
	calls          map[string]*submission // queued and dispatched calls, by attempt
	catalog        *state.Catalog         // configuration from which the Core has its ranks; used by poll only
	lastLoads      map[state.AdapterRef]loadSpan
	loadStarts     map[state.AdapterRef]time.Time // start time of each load in flight
	failingLoads   map[state.AdapterRef]failingLoad
	latestCheck    *crashCheck // check of the latest boot on which a completion was interrupted
	ordersInFlight int         // loads and unloads
}

// submission is a queued or dispatched call.
type submission struct {
	id     string
	call   *protocol.Call
	sink   protocol.Sink
	ctx    context.Context
	cancel context.CancelFunc
	// Exactly one of the two buffered channels, dispatch and refused, receives a value.
	dispatch   chan struct{}
	refused    chan *protocol.Error
	dispatched bool // guarded by worker.mu
	queuedAt   time.Time
}

// handle passes an event to the Core and carries out the resulting actions.
func (w *worker) handle(event core.Event) {
	w.mu.Lock()
	if perms, ok := event.(core.Permissions); ok {
		w.perms = perms
	}
	actions := w.core.Handle(w.m.opts.Clock(), event)
	w.mu.Unlock()
	for _, a := range actions {
		w.carryOut(a)
	}
}

func (w *worker) status() protocol.UpstreamStatus {
	w.mu.Lock()
	s := w.core.Status()
	w.mu.Unlock()
	return protocol.UpstreamStatus{
		ID:       w.u.ID,
		Boot:     s.Boot,
		Healthy:  s.Healthy,
		Running:  s.Running,
		Queued:   s.Queued,
		Slots:    s.Slots,
		Batch:    s.Batch,
		Resident: s.Resident,
		Loading:  s.Loading,

		QueuedByRank: s.QueuedByRank,
	}
}

func (w *worker) submit(ctx context.Context, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	runCtx, cancel := context.WithTimeout(ctx, max(call.TimeLeft, minCallTimeout))
	defer cancel()
	p := &submission{
		id:       attemptID(call),
		call:     call,
		sink:     sink,
		ctx:      runCtx,
		cancel:   cancel,
		dispatch: make(chan struct{}, 1),

		refused:  make(chan *protocol.Error, 1),
		queuedAt: w.m.opts.Clock(),
	}
	w.mu.Lock()
	if w.calls[p.id] != nil {
		w.mu.Unlock()
		return protocol.Errorf(protocol.KindConflict, "queue request", protocol.OutcomeNotRun,
			"attempt %s is already queued or running", p.id).WithPeer(string(w.u.ID))
	}
	w.calls[p.id] = p
	w.mu.Unlock()
	w.handle(core.Enqueue{Request: coreRequest(p.id, call, w.m.opts.Clock())})
	stop := context.AfterFunc(runCtx, func() { w.handle(core.Cancel{ID: p.id}) })
	defer stop()
	select {
	case <-p.dispatch:
		return w.dispatch(p)
	case err := <-p.refused:
		return err
	}
}

func coreRequest(id string, call *protocol.Call, now time.Time) core.Request {
	r := core.Request{
		ID:          id,
		Class:       call.Class(),
		Deadline:    now.Add(call.TimeLeft),
		Fingerprint: call.Fingerprint,
		Repeatable:  call.Repeatable,
		Alone:       call.Exclusive,
		Excess:      call.AboveUsualRate,
	}
	if call.Model != nil {
		r.Adapter = call.Model.Adapter
		r.Source = call.Model.WeightsLocation
		r.PromptTokens = call.Model.PromptTokens
		r.MaxTokens = call.Model.MaxTokens
		r.Prefix = call.Model.FirstMessageHash
	}
	return r
}

func (w *worker) carryOut(action core.Action) {
	switch a := action.(type) {
	case core.Dispatch:
		if p := w.markDispatched(a.ID); p != nil {
			p.dispatch <- struct{}{}
		}
	case core.Refuse:
		if p := w.removeCall(a.ID); p != nil {
			p.refused <- refusalError(a, string(w.u.ID))
		}
	case core.Abort:
		if p := w.findCall(a.ID); p != nil {
			p.cancel()
			go w.cancelUpstream(p)
		}
	case core.Load:
		go w.load(a)
	case core.Unload:
		go w.unload(a)
	}
}

// markDispatched marks a call as dispatched and returns it, or nil if the call has ended.
func (w *worker) markDispatched(id string) *submission {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.calls[id]
	if p != nil {
		p.dispatched = true
	}
	return p
}

func (w *worker) findCall(id string) *submission {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[id]
}

func (w *worker) removeCall(id string) *submission {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.calls[id]
	delete(w.calls, id)
	return p
}

// dispatch runs a call at the upstream, in the goroutine that submitted the call.
func (w *worker) dispatch(p *submission) *protocol.Error {
	w.observeDispatch(p)
	err := w.checkDispatch(p.call)
	switch {
	case err != nil:
	case p.call.Model != nil:
		err = w.m.opts.Client.Complete(p.ctx, w.u, p.call, p.sink)
	default:
		err = w.m.opts.Client.Plain(p.ctx, w.u, p.call, p.sink)
	}
	err = w.classifyCrash(p, err)
	w.removeCall(p.id)
	w.handle(core.Ended{ID: p.id, Failed: err != nil})
	return err
}

// cancelUpstream cancels a completion at the upstream, which could otherwise continue the
// completion after its caller is gone.
func (w *worker) cancelUpstream(p *submission) {
	if p.call.Model == nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.m.ctx, cancelTimeout)
	defer cancel()
	_ = w.m.opts.Client.Cancel(ctx, w.u, p.call.RequestID)
}

func (w *worker) load(a core.Load) {
	ctx, cancel := context.WithTimeout(w.m.ctx, orderTimeout)
	defer cancel()
	defer w.beginOrder()()
	if !w.mayLoad(a) {
		w.handle(core.LoadDone{Adapter: a.Adapter, Order: a.Order, Failed: true})
		return
	}
	start := w.observeLoadStart(a.Adapter)
	boot, err := w.m.opts.Client.Load(ctx, w.u, a.Adapter, a.Source, a.Epoch)
	if err != nil {
		statelog.Info("Load failed", "adapter", a.Adapter, "upstream", w.u.ID, "err", err)
	}
	w.observeLoadEnd(a.Adapter, start, err)
	w.handle(core.LoadDone{Adapter: a.Adapter, Order: a.Order, Boot: boot, Failed: err != nil})
}

func (w *worker) unload(a core.Unload) {
	ctx, cancel := context.WithTimeout(w.m.ctx, orderTimeout)
	defer cancel()
	defer w.beginOrder()()
	err := w.orderUnload(ctx, a)
	if err != nil && err.Kind != protocol.KindNotOwner {
		statelog.Info("Unload failed", "adapter", a.Adapter, "upstream", w.u.ID, "err", err)
	}
	w.forgetLoad(a)
	w.handle(core.UnloadDone{Adapter: a.Adapter, Failed: err != nil})
}

// poll feeds load reports and ticks to the Core until the worker stops.
func (w *worker) poll() {
	defer w.m.wg.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		w.updateRanks()
		w.report()
		select {
		case <-ticker.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// updateRanks passes the ranks of a new configuration to the Core.
func (w *worker) updateRanks() {
	catalog := w.m.opts.Catalog()
	if catalog == nil || catalog == w.catalog {
		return
	}
	w.catalog = catalog
	w.handle(core.Ranks{Ranks: catalog.Ranks()})
}

// report requests a load report and passes it to the Core, followed by a Tick. A plain
// service has no load reports and always counts as reachable.
func (w *worker) report() {
	if w.u.Kind == state.KindPlain {
		w.handle(core.Report{Boot: "plain", Batch: plainServiceBatch})
		w.handle(core.Tick{})
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	askedAt := w.m.opts.Clock()
	report, err := w.m.opts.Client.Report(ctx, w.u)
	if err != nil {
		w.handle(core.Unreachable{})
		w.handle(core.Tick{})
		return
	}
	event := core.Report{
		Boot:    report.BootID,
		Slots:   report.Slots,
		Batch:   report.Batch,
		Running: report.Running,
		Waiting: report.Waiting,
	}
	for _, name := range report.Adapters {
		ref, err := state.ParseAdapterRef(name)
		if err == nil {
			event.Resident = append(event.Resident, ref)
		}
	}
	if g := w.m.gate; g != nil {
		usable := g.Report(w.u.ID, event.Boot, event.Resident, askedAt)
		event.Slots -= len(event.Resident) - len(usable)
		event.Resident = usable
	}
	w.handle(event)
	w.handle(core.Tick{})
}

func refusalError(a core.Refuse, peer string) *protocol.Error {
	kind := protocol.KindUnavailable
	switch a.Reason {
	case core.RefuseOverload:
		kind = protocol.KindOverloaded
	case core.RefuseDeadline:
		kind = protocol.KindDeadline
	case core.RefuseNoOwner:
		kind = protocol.KindNotOwner
	case core.RefuseCanceled:
		kind = protocol.KindCanceled
	}
	err := protocol.Errorf(kind, "queue request", protocol.OutcomeNotRun, "refused: %s", a.Reason).WithPeer(peer)
	err.RetryAfter = a.RetryAfter
	return err
}
