// Package owner runs the owner cores: it feeds them events from upstreams and
// calls, and carries out their actions.
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

// Options sets up a Manager.
type Options struct {
	Self    state.DaemonID
	Fleet   *state.Fleet
	Client  *upstream.Client
	NewCore func(u *state.Upstream) core.Core
	Catalog func() *state.Catalog // nil before the first configuration
	// Crashes learns of crashed upstreams. It may be nil.
	Crashes CrashReporter
	Clock   func() time.Time
	// Observer is told about dispatches and loads; nil for none.
	Observer Observer
}

// Manager owns upstreams. It is safe for concurrent use.
type Manager struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	inFlight *inflight.Counter

	gate Gate // nil allows everything

	mu      sync.Mutex
	workers map[state.UpstreamID]*worker
	retired map[state.UpstreamID][]*worker // given up with work in progress
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
		retired:  make(map[state.UpstreamID][]*worker),
	}
}

// Close stops all work and waits for it.
func (m *Manager) Close() {
	m.stop()
	m.wg.Wait()
}

// Own starts to own an upstream, or changes the authority over it.
func (m *Manager) Own(u *state.Upstream, auth core.Permissions) {
	w := m.worker(u)
	w.handle(auth)
}

// Disown gives up an upstream. Requests in progress finish.
func (m *Manager) Disown(id state.UpstreamID) {
	m.mu.Lock()
	w := m.workers[id]
	delete(m.workers, id)
	if w != nil && !w.idle() {
		m.retired[id] = append(m.retired[id], w)
	}
	m.mu.Unlock()
	if w != nil {
		w.handle(core.Permissions{})
		w.stop()
	}
}

// SetLeaving tells the core of an upstream that the platform lists it as leaving.
func (m *Manager) SetLeaving(id state.UpstreamID) {
	if w := m.find(id); w != nil {
		w.handle(core.Leaving{})
	}
}

// ClearLeaving tells the core of an upstream that it takes work again.
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

// Submit runs a call on an upstream that this daemon owns. It returns when the
// call has ended. A nil result means that sink received the End of a whole answer.
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

func (m *Manager) worker(u *state.Upstream) *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.workers[u.ID]; w != nil {
		return w
	}
	ctx, stop := context.WithCancel(m.ctx)
	w := &worker{
		m:       m,
		u:       u,
		core:    m.opts.NewCore(u),
		ctx:     ctx,
		stop:    stop,
		pending: make(map[string]*pending),
		loads:   make(map[state.AdapterRef]loadSpan),
		loading: make(map[state.AdapterRef]time.Time),
		failing: make(map[state.AdapterRef]failingLoad),
	}
	m.workers[u.ID] = w
	m.wg.Add(1)
	go w.poll()
	statelog.Info("Owning upstream", "upstream", u.ID, "daemon", m.opts.Self)
	return w
}

func requestID(call *protocol.Call) string {
	return fmt.Sprintf("%s/%d", call.RequestID, call.Attempt)
}

// Wait returns when no request is in progress, or with the error of ctx.
func (m *Manager) Wait(ctx context.Context) error { return m.inFlight.Wait(ctx) }
