// Package ownership runs the lease and the ownership of the upstreams of an
// availability zone: it carries out the calls of the cores to the platform, to the
// engines and to other daemons.
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
	stepInterval  = 50 * time.Millisecond
	askInterval   = time.Second
	askTimeout    = time.Second
	fenceTimeout  = 2 * time.Second
	retryPause    = 500 * time.Millisecond
	clearAfter    = 5 * time.Second
	reportLag     = 5 * time.Second
	exitTimeout   = 2 * time.Second
	minLeaseTime  = time.Second
	leaseRate     = 97 // renewals a second of the whole fleet
	leasePeriods  = 4  // renewals that may fail in a row
	driftFraction = 50 // clocks differ by at most 2%
)

// Times that operators rely on; see docs/design/ownership.md.
const (
	// MaxUnleased is the longest time that an owner dispatches without a lease.
	MaxUnleased = 12 * time.Hour
	// MaxOrderDelay is the longest time that an order of an ended run may be under way.
	MaxOrderDelay = 10 * time.Second
)

// Owner carries out the work on owned upstreams.
type Owner interface {
	Own(u *state.Upstream, auth owner.Permissions)
	Disown(id state.UpstreamID)
	// Idle reports that no request or order of a disowned upstream is in progress.
	Idle(id state.UpstreamID) bool
}

// Members tells about the other daemons of the availability zone.
type Members interface {
	// LiveIncarnations returns the present runs of the live daemons.
	LiveIncarnations() []lease.Session
	// Gone reports that a daemon is neither listed nor heard.
	Gone(id state.DaemonID) bool
	// DaemonCount returns the number of known daemons of the fleet.
	DaemonCount() int
}

// Asker sends questions to other daemons.
type Asker interface {
	Ask(ctx context.Context, to state.DaemonID, ask protocol.OwnershipAsk) (protocol.OwnershipAnswer, error)
}

// Options sets up a Node.
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

// entry is one upstream of the zone.
type entry struct {
	u        *state.Upstream
	core     ownership.Core
	told     owner.Permissions
	owned    bool // the Owner has it
	dirty    bool
	askedAt  time.Time
	awaiting map[state.AdapterRef]chan bool // callers of AskUnload
}

// Node runs the ownership of one availability zone at one daemon.
type Node struct {
	opts   Options
	period time.Duration
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	tellMu sync.Mutex // serializes calls of Owner; taken before mu

	mu       sync.Mutex // never held across I/O
	holder   lease.Holder
	watchers map[lease.Session]*lease.Watcher
	entries  map[state.UpstreamID]*entry
}

// New returns a node that is not running.
func New(opts Options) *Node {
	period := max(minLeaseTime, time.Duration(opts.Members.DaemonCount())*time.Second/leaseRate)
	duration := leasePeriods * period
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		opts:   opts,
		period: period,
		ctx:    ctx,
		stop:   stop,
		holder: lease.NewHolder(lease.HolderConfig{
			Session:       lease.Session{Daemon: opts.Self, Incarnation: opts.Incarnation, Term: 1},
			RenewInterval: period,
			Duration:      duration,
			ClockMargin:   duration / driftFraction,
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

// Close stops the node. If nothing is in progress it records the end of the
// daemon, so that its successors need not wait.
func (n *Node) Close() {
	n.recordExit()
	n.stop()
	n.wg.Wait()
}

// SetAssigned sets whether this daemon should own an upstream of its zone.
func (n *Node) SetAssigned(u *state.Upstream, mine bool) {
	n.mu.Lock()
	e := n.entries[u.ID]
	if e == nil {
		e = newEntry(u)
		n.entries[u.ID] = e
		n.feed(e, ownership.LeaseUpdate{Session: n.holder.Session(), ValidUntil: n.holder.ValidUntil()})
	}
	n.feed(e, ownership.Assignment{Assigned: mine})
	n.mu.Unlock()
	n.tell()
}

// Forget drops an upstream that is no longer listed.
func (n *Node) Forget(id state.UpstreamID) {
	n.mu.Lock()
	e := n.entries[id]
	delete(n.entries, id)
	n.mu.Unlock()
	if e != nil {
		n.tellMu.Lock()
		defer n.tellMu.Unlock()
		n.opts.Owner.Disown(id)
	}
}

func newEntry(u *state.Upstream) *entry {
	return &entry{
		u: u,
		core: ownership.New(ownership.Config{
			Upstream:       u.ID,
			Engine:         u.Kind == state.KindEngine,
			Fenced:         u.Fenced,
			MaxUnleased:    MaxUnleased,
			MaxReportAge:   reportLag,
			RetryDelay:     retryPause,
			EndedRetention: clearAfter,
		}),
		awaiting: make(map[state.AdapterRef]chan bool),
	}
}

// step lets time pass for every core.
func (n *Node) step() {
	n.mu.Lock()
	n.stepLease()
	for _, w := range n.watchers {
		w.SetTargetGone(n.opts.Clock(), n.opts.Members.Gone(w.Target().Daemon))
		n.runWatcher(w, w.Handle(n.opts.Clock(), lease.Tick{}))
	}
	for _, e := range n.entries {
		n.feed(e, ownership.Tick{})
		n.resolve(e)
	}
	n.dropWatchers()
	n.mu.Unlock()
	n.tell()
}

// feed hands an event to a core and runs its actions. The caller must hold mu.
func (n *Node) feed(e *entry, event ownership.Event) {
	n.runCore(e, e.core.Handle(n.opts.Clock(), event))
	n.watch(e)
	e.dirty = true
}

// tell hands changes of authority to the Owner.
func (n *Node) tell() {
	n.tellMu.Lock()
	defer n.tellMu.Unlock()
	n.mu.Lock()
	var own, disown []*entry
	for _, e := range n.entries {
		if !e.dirty {
			continue
		}
		e.dirty = false
		auth := e.core.Authority(n.opts.Clock())
		switch mine := e.core.Owns(); {
		case mine && (!e.owned || auth != e.told):
			e.owned, e.told = true, auth
			own = append(own, &entry{u: e.u, told: auth})
		case !mine && e.owned:
			e.owned, e.told = false, owner.Permissions{}
			disown = append(disown, e)
		}
	}
	n.mu.Unlock()
	for _, e := range own {
		n.opts.Owner.Own(e.u, e.told)
	}
	for _, e := range disown {
		n.opts.Owner.Disown(e.u.ID)
	}
}

// Epoch returns the epoch under which this daemon owns an upstream.
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

// Status returns the state of every upstream of the zone for operators.
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

// LeaseValidUntil returns the end of the lease of this daemon.
func (n *Node) LeaseValidUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.ValidUntil()
}

// background runs a call and feeds its result under mu.
func (n *Node) background(call func(ctx context.Context) func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		done := call(n.ctx)
		n.mu.Lock()
		done()
		n.mu.Unlock()
		n.tell()
	}()
}
