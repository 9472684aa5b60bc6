// Package owner runs the calls of the upstreams that this daemon owns. For each
// upstream it feeds a scheduling core with calls, load reports and the results of
// orders, and carries out the actions that the core returns.
package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/inflight"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// Options holds the settings and dependencies of a Manager.
type Options struct {
	Self    state.DaemonID
	Fleet   *state.Fleet
	Client  *upstream.Client
	NewCore func(u *state.Upstream) core.Core
	Catalog func() *state.Catalog // returns nil before the first configuration
	Crashes CrashReporter         // optional
	Clock   func() time.Time

	Observer Observer // optional
}

// Manager runs the upstreams that this daemon owns. It is safe for concurrent use.
type Manager struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	inFlight *inflight.Counter

	gate Gate // nil allows every dispatch and order

	mu       sync.Mutex
	workers  map[state.UpstreamID]*worker
	disowned map[state.UpstreamID][]*worker // had calls or orders in flight when they were disowned
}

// New returns a manager that owns nothing.
func New(opts Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	if opts.Observer == nil {
		opts.Observer = noObserver{}
	}
	return &Manager{
		opts:     opts,
		ctx:      ctx,
		stop:     stop,
		inFlight: inflight.New(),
		workers:  make(map[state.UpstreamID]*worker),
		disowned: make(map[state.UpstreamID][]*worker),
	}
}

// Close cancels orders in flight, stops the polling of upstreams and waits until the
// polling has ended.
func (m *Manager) Close() {
	m.stop()
	m.wg.Wait()
}

// Own sets what this daemon may do at an upstream. It starts a worker for the upstream if
// none is running.
func (m *Manager) Own(u *state.Upstream, perms core.Permissions) {
	w := m.ensureWorker(u)
	w.handle(perms)
}

// Disown stops the worker of an upstream. It refuses the queued calls; dispatched calls run
// to completion.
func (m *Manager) Disown(id state.UpstreamID) {
	m.mu.Lock()
	w := m.workers[id]
	delete(m.workers, id)
	if w != nil && !w.idle() {
		m.disowned[id] = append(m.disowned[id], w)
	}
	m.mu.Unlock()
	if w != nil {
		w.handle(core.Permissions{})
		w.stop()
	}
}

// SetLeaving starts to drain an upstream: its core refuses queued and new calls.
func (m *Manager) SetLeaving(id state.UpstreamID) {
	if w := m.find(id); w != nil {
		w.handle(core.Leaving{})
	}
}

// ClearLeaving ends the draining of an upstream.
func (m *Manager) ClearLeaving(id state.UpstreamID) {
	if w := m.find(id); w != nil {
		w.handle(core.LeavingCleared{})
	}
}

// Owned returns the status of every upstream that this daemon owns.
func (m *Manager) Owned() []protocol.UpstreamStatus {
	m.mu.Lock()
	workers := make([]*worker, 0, len(m.workers))
	for _, w := range m.workers {
		workers = append(workers, w)
	}
	m.mu.Unlock()
	statuses := make([]protocol.UpstreamStatus, 0, len(workers))
	for _, w := range workers {
		statuses = append(statuses, w.status())
	}
	return statuses
}

// Submit runs a call on an upstream that this daemon owns and returns when the call has
// ended. It returns nil if sink received the End of a complete answer.
func (m *Manager) Submit(ctx context.Context, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	w := m.find(call.Upstream)
	if w == nil {
		return protocol.Errorf(protocol.KindNotOwner, "queue request", protocol.OutcomeNotRun,
			"daemon %s does not own %s", m.opts.Self, call.Upstream).WithPeer(string(m.opts.Self))
	}
	m.inFlight.Add()
	defer m.inFlight.Done()
	return w.submit(ctx, call, sink)
}

func (m *Manager) find(id state.UpstreamID) *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.workers[id]
}

func (m *Manager) ensureWorker(u *state.Upstream) *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.workers[u.ID]; w != nil {
		return w
	}
	ctx, stop := context.WithCancel(m.ctx)
	w := &worker{
		m:            m,
		u:            u,
		core:         m.opts.NewCore(u),
		ctx:          ctx,
		stop:         stop,
		calls:        make(map[string]*submission),
		lastLoads:    make(map[state.AdapterRef]loadSpan),
		loadStarts:   make(map[state.AdapterRef]time.Time),
		failingLoads: make(map[state.AdapterRef]failingLoad),
	}
	m.workers[u.ID] = w
	m.wg.Add(1)
	go w.poll()
	statelog.Info("Owning upstream", "upstream", u.ID, "daemon", m.opts.Self)
	return w
}

// attemptID identifies an attempt of a request.
func attemptID(call *protocol.Call) string {
	return fmt.Sprintf("%s/%d", call.RequestID, call.Attempt)
}

// Wait waits until no call is in flight. It returns the error of ctx if ctx ends first.
func (m *Manager) Wait(ctx context.Context) error { return m.inFlight.Wait(ctx) }
