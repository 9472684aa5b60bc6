// Package ownership maintains the lease of a daemon and the ownership of the upstreams of
// its availability zone. The state machines of the packages coordination/lease and
// coordination/ownership decide; this package carries out their calls to the object store,
// to engines and to other daemons.
package ownership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

const (
	stepInterval   = 50 * time.Millisecond
	queryInterval  = time.Second // interval between queries about one upstream, and between reads of a watched lease
	queryTimeout   = time.Second
	fenceTimeout   = 2 * time.Second
	retryDelay     = 500 * time.Millisecond
	endedRetention = 5 * time.Second
	maxReportAge   = 5 * time.Second
	exitTimeout    = 2 * time.Second

	minRenewInterval       = time.Second
	fleetRenewalsPerSecond = 97 // renewals of all leases together
	renewalsPerLease       = 4  // renew intervals in the duration of a lease, so that several renewals in a row may fail
	clockDriftDivisor      = 50 // the rates of two clocks are assumed to differ by at most 1/50
)

// Limits that operators rely on; see docs/design/ownership.md.
const (
	// MaxUnleased is the longest time that an owner dispatches without a valid lease.
	MaxUnleased = 12 * time.Hour
	// MaxOrderDelay is the longest time for which an order of an ended incarnation may still
	// be in flight.
	MaxOrderDelay = 10 * time.Second
)

// Owner dispatches requests and sends orders to the owned upstreams.
type Owner interface {
	// Own starts or continues the ownership of an upstream with the given permissions.
	Own(u *state.Upstream, perms owner.Permissions)
	// Disown ends the ownership of an upstream; dispatched requests run to completion.
	Disown(id state.UpstreamID)
	// Idle reports whether no request or order to a disowned upstream is in flight.
	Idle(id state.UpstreamID) bool
}

// Members provides the daemons that this daemon has heard or that the platform lists.
type Members interface {
	// LiveIncarnations returns the incarnations of the other live daemons of the
	// availability zone, as sessions without a term.
	LiveIncarnations() []lease.Session
	// Gone reports whether a daemon is neither listed nor heard.
	Gone(id state.DaemonID) bool
	// DaemonCount returns the number of known daemons of the fleet, including this daemon.
	DaemonCount() int
}

// Asker sends queries about the ownership of upstreams to other daemons.
type Asker interface {
	Ask(ctx context.Context, to state.DaemonID, ask protocol.OwnershipRequest) (protocol.OwnershipReply, error)
}

// Options are the settings and dependencies of a Node.
type Options struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Objects     platform.ObjectStore
	Upstream    *upstream.Client
	Owner       Owner
	Members     Members
	Asker       Asker
	Clock       func() time.Time
}

// entry is the state of one upstream of the zone.
type entry struct {
	upstream      *state.Upstream
	core          ownership.Core
	applied       owner.Permissions              // permissions last passed to the Owner
	owned         bool                           // the Owner was given the upstream
	dirty         bool                           // the core has handled events since the last updateOwner
	queriedAt     time.Time                      // last queries to other daemons
	unloadWaiters map[state.AdapterRef]chan bool // callers of AskUnload
}

// Node runs the ownership of the upstreams of one availability zone at one daemon.
type Node struct {
	opts          Options
	renewInterval time.Duration
	ctx           context.Context
	stop          context.CancelFunc
	wg            sync.WaitGroup

	ownerMu sync.Mutex // serializes calls to Owner; locked before mu

	mu       sync.Mutex // never held across I/O
	holder   lease.Holder
	watchers map[lease.Session]*lease.Watcher
	entries  map[state.UpstreamID]*entry
}

// New returns a node that is not running.
func New(opts Options) *Node {
	renewInterval := max(minRenewInterval, time.Duration(opts.Members.DaemonCount())*time.Second/fleetRenewalsPerSecond)
	duration := renewalsPerLease * renewInterval
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		opts:          opts,
		renewInterval: renewInterval,
		ctx:           ctx,
		stop:          stop,
		holder: lease.NewHolder(lease.HolderConfig{
			Session:       lease.Session{Daemon: opts.Self, Incarnation: opts.Incarnation, Term: 1},
			RenewInterval: renewInterval,
			Duration:      duration,
			ClockMargin:   duration / clockDriftDivisor,
		}),
		watchers: make(map[lease.Session]*lease.Watcher),
		entries:  make(map[state.UpstreamID]*entry),
	}
}

// Start runs the node until Close.
func (n *Node) Start() {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		ticker := time.NewTicker(stepInterval)
		defer ticker.Stop()
		for {
			n.step()
			select {
			case <-ticker.C:
			case <-n.ctx.Done():
				return
			}
		}
	}()
}

// Close stops the node. If nothing is in flight, it first records the exit of the
// daemon, so that the next owners need not wait for the lease to expire.
func (n *Node) Close() {
	n.recordExit()
	n.stop()
	n.wg.Wait()
}

// SetAssigned sets whether this daemon should own an upstream of its zone.
func (n *Node) SetAssigned(u *state.Upstream, assigned bool) {
	n.mu.Lock()
	e := n.entries[u.ID]
	if e == nil {
		e = newEntry(u)
		n.entries[u.ID] = e
		n.handleEvent(e, ownership.LeaseUpdate{Session: n.holder.Session(), ValidUntil: n.holder.ValidUntil()})
	}
	n.handleEvent(e, ownership.Assignment{Assigned: assigned})
	n.mu.Unlock()
	n.updateOwner()
}

// Forget removes an upstream that is no longer listed, and disowns it. It denies the unloads that
// wait for a decision. Results of calls in flight are dropped.
func (n *Node) Forget(id state.UpstreamID) {
	n.mu.Lock()
	e := n.entries[id]
	delete(n.entries, id)
	if e != nil {
		for a, waiter := range e.unloadWaiters {
			delete(e.unloadWaiters, a)
			waiter <- false
		}
	}
	n.mu.Unlock()
	if e != nil {
		n.ownerMu.Lock()
		defer n.ownerMu.Unlock()
		n.opts.Owner.Disown(id)
	}
}

// newEntry returns the state of an upstream whose record has not been read.
func newEntry(u *state.Upstream) *entry {
	return &entry{
		upstream: u,
		core: ownership.New(ownership.Config{
			Upstream:       u.ID,
			Engine:         u.Kind == state.KindEngine,
			Fenced:         u.SupportsFencing,
			MaxUnleased:    MaxUnleased,
			MaxReportAge:   maxReportAge,
			RetryDelay:     retryDelay,
			EndedRetention: endedRetention,
		}),
		unloadWaiters: make(map[state.AdapterRef]chan bool),
	}
}

// step passes the current time to all state machines, queries the owners of upstreams, drops
// watchers that are no longer needed and updates the Owner.
func (n *Node) step() {
	n.mu.Lock()
	n.stepLease()
	for _, w := range n.watchers {
		w.SetTargetGone(n.opts.Clock(), n.opts.Members.Gone(w.Target().Daemon))
		n.runWatcher(w, w.Handle(n.opts.Clock(), lease.Tick{}))
	}
	for _, e := range n.entries {
		n.handleEvent(e, ownership.Tick{})
		n.queryOwners(e)
	}
	n.dropWatchers()
	n.mu.Unlock()
	n.updateOwner()
}

// handleEvent passes an event to a core and carries out the resulting actions. The
// caller must hold mu.
func (n *Node) handleEvent(e *entry, event ownership.Event) {
	if n.entries[e.upstream.ID] != e { // forgotten while a call was in flight
		return
	}
	n.runActions(e, e.core.Handle(n.opts.Clock(), event))
	n.watchAwaited(e)
	e.dirty = true
}

// updateOwner passes changes of ownership and permissions to the Owner.
func (n *Node) updateOwner() {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	n.mu.Lock()
	var own, disown []*entry
	for _, e := range n.entries {
		if !e.dirty {
			continue
		}
		e.dirty = false
		perms := e.core.Permissions(n.opts.Clock())
		switch owns := e.core.Owns(); {
		case owns && (!e.owned || perms != e.applied):
			e.owned, e.applied = true, perms
			own = append(own, &entry{upstream: e.upstream, applied: perms})
		case !owns && e.owned:
			e.owned, e.applied = false, owner.Permissions{}
			disown = append(disown, e)
		}
	}
	n.mu.Unlock()
	for _, e := range own {
		n.opts.Owner.Own(e.upstream, e.applied)
	}
	for _, e := range disown {
		n.opts.Owner.Disown(e.upstream.ID)
	}
}

// Epoch returns the epoch in which this daemon owns an upstream, and whether it owns
// the upstream.
func (n *Node) Epoch(id state.UpstreamID) (state.Epoch, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	if e == nil || !e.core.Owns() {
		return 0, false
	}
	record, _ := e.core.Record()
	return record.Epoch, true
}

// WaitReleased waits until this daemon owns nothing or ctx is done.
func (n *Node) WaitReleased(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for n.ownsAny() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) ownsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.entries {
		if e.core.Owns() {
			return true
		}
	}
	return false
}

// Status returns the state of the ownership of every upstream of the zone.
func (n *Node) Status() []ownership.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]ownership.Status, 0, len(n.entries))
	for _, e := range n.entries {
		all = append(all, e.core.Status(n.opts.Clock()))
	}
	slices.SortFunc(all, func(a, b ownership.Status) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return all
}

// LeaseValidUntil returns the end of the lease of this daemon, or the zero time if the
// daemon has no lease.
func (n *Node) LeaseValidUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.ValidUntil()
}

// background runs call in a goroutine. Afterwards it runs the function that call returned,
// with mu locked, and updates the Owner.
func (n *Node) background(call func(ctx context.Context) func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		handleResult := call(n.ctx)
		n.mu.Lock()
		handleResult()
		n.mu.Unlock()
		n.updateOwner()
	}()
}
