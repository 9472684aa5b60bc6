package ownership_test

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// The model runs the real Holder, Watcher and Core of two daemons against a simulated
// object store and two simulated engines with one adapter. A state machine may take a
// step late or never: this covers a paused daemon, a partitioned daemon and a slow timer.
// Orders stay in the network until they are delivered.

const (
	nodes              = 2
	engines            = 2 // engine 0 checks fencing tokens, engine 1 ignores them
	tickLength         = time.Second
	leaseTicks         = 1
	maxOrderDelayTicks = 1
)

var (
	startTime = time.Unix(1_000_000, 0).UTC()
	adapter   = state.AdapterRef{Service: "s", Adapter: "a", Version: "v"}
)

// bounds limits the states that an exploration can reach.
type bounds struct {
	firstEngine, lastEngine int // engines that take part
	lastTick                int
	faults                  int
	reassignments           int // changes of whether a daemon should own an engine
	unloads                 int
	startTicks              int // ticks that pass before the exploration
}

// variant is a version of the code around the state machines; all but correct have a
// fault on purpose.
type variant int

const (
	correct variant = iota
	unloadsNotRecorded
	leaseFromReply
	fenceNotRaised
	promiseNotRequested
	predecessorNotResolved
)

// fault is what happens to the next write of a step.
type fault int

const (
	noFault      fault = iota
	lostReply          // the write takes effect, its reply is lost
	delayedWrite       // the reply is lost and the write may take effect later
	slowWrite          // the write takes effect later, and its reply arrives later still
)

// State machines of a node.
const (
	holderMachine = iota
	watcherMachine
	firstCoreMachine // plus the index of the engine
	machineCount     = firstCoreMachine + engines
)

type leaseObject struct {
	version lease.Version
	record  lease.Record
}

type ownerObject struct {
	version lease.Version
	record  ownership.Record
}

// write is a write to the object store that has not taken effect or whose reply has
// not arrived.
type write struct {
	executed bool // it has taken effect or failed
	node     int
	machine  int
	object   int // daemon or engine
	lease    lease.Write
	owner    ownership.Write
	outcome  lease.Outcome
	version  lease.Version
}

// order is an unload order in the network.
type order struct {
	node, incarnation, engine int
	epoch                     state.Epoch
	incarnationEndedAt        time.Time // zero while the incarnation that sent it lives
}

// node is a daemon with its state machines.
type node struct {
	incarnation     int
	holder          lease.Holder
	leaseValidUntil time.Time
	watcher         lease.Watcher
	watching        bool
	cores           [engines]ownership.Core
	assigned        [engines]bool
	slowWrites      []write       // at most one of each state machine
	unloading       [engines]bool // the adapter is requested or ordered to be unloaded
	promisePending  [engines]bool
	promiseRequest  [engines]ownership.PendingUnload
}

// engine is a simulated engine. serving holds the nodes with a request in flight there.
type engine struct {
	boot    int
	loaded  bool
	serving [nodes]bool
	fence   state.Epoch
}

// world is a state of the model.
type world struct {
	variant       variant
	bounds        bounds // what remains of the bounds
	tick          int
	leases        [nodes]leaseObject
	owners        [engines]ownerObject
	nodes         [nodes]node
	engines       [engines]engine
	orders        []order
	delayedWrites []write
	unloads       int    // unloads that took effect; counted in random runs only
	violation     string // first invariant that was violated, or empty
}

func (w *world) now() time.Time { return startTime.Add(time.Duration(w.tick) * tickLength) }

func (w *world) session(i int) lease.Session { return w.nodes[i].holder.Session() }

func bootName(n int) state.BootID { return state.BootID('0' + rune(n)) }

func daemonName(i int) state.DaemonID { return state.DaemonID('a' + rune(i)) }

func daemonIndex(id state.DaemonID) int { return int(id[0] - 'a') }

func (w *world) startNode(i int) {
	n := &w.nodes[i]
	n.holder = lease.NewHolder(lease.HolderConfig{
		Session:       lease.Session{Daemon: daemonName(i), Incarnation: state.Incarnation('0' + rune(n.incarnation)), Term: 1},
		RenewInterval: tickLength,
		Duration:      leaseTicks * tickLength,
	})
	n.watching = false
	n.leaseValidUntil = time.Time{}
	for e := range n.cores {
		n.cores[e] = ownership.New(ownership.Config{
			Upstream:    state.UpstreamID('0' + rune(e)),
			Engine:      true,
			Fenced:      e == 0,
			MaxUnleased: 100 * tickLength,
			RetryDelay:  tickLength,
		})
		n.unloading[e], n.promisePending[e] = false, false
	}
}

// newWorld returns a world of two daemons with leases. The first daemon owns the engines
// that take part, and the adapter is resident on them.
func newWorld(v variant, b bounds) world {
	w := world{variant: v, bounds: bounds{firstEngine: b.firstEngine, lastEngine: b.lastEngine}}
	for i := range w.nodes {
		w.startNode(i)
	}
	for i := range w.nodes {
		w.step(i, holderMachine, noFault)
	}
	for e := b.firstEngine; e <= b.lastEngine; e++ {
		w.engines[e].boot = 1
		w.reassign(0, e)
		w.step(0, firstCoreMachine+e, noFault)
		w.report(0, e)
		w.load(0, e)
	}
	for range b.startTicks {
		w.advance()
	}
	w.bounds = b
	return w
}

// violate stores the first invariant that is violated.
func (w *world) violate(invariant string) {
	if w.violation == "" {
		w.violation = invariant
	}
}

// step delivers a tick to one state machine. It reports whether the fault, if any, was
// injected.
func (w *world) step(i, machine int, f fault) bool {
	n := &w.nodes[i]
	switch machine {
	case holderMachine:
		unrecorded := false
		for e := range n.cores {
			unrecorded = unrecorded || n.cores[e].HasUnrecordedUnload()
		}
		n.holder.Handle(w.now(), lease.PinPeers{On: unrecorded})
		n.holder.Handle(w.now(), lease.SetPeers{Peers: []lease.Session{w.session(1 - i)}})
		w.runHolder(i, n.holder.Handle(w.now(), lease.Tick{}), &f)
	case watcherMachine:
		if n.watching {
			w.runWatcher(i, n.watcher.Handle(w.now(), lease.Tick{}), &f)
		}
	default:
		w.core(i, machine-firstCoreMachine, ownership.Tick{}, &f)
	}
	return f == noFault
}

func (w *world) runHolder(i int, actions []lease.Action, f *fault) {
	n := &w.nodes[i]
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Read:
			w.runHolder(i, n.holder.Handle(w.now(), w.readLease(i)), f)
		case lease.Write:
			w.write(write{node: i, machine: holderMachine, object: i, lease: a}, f)
		}
	}
	w.updateLease(i)
}

// updateLease passes the state of the lease of a node to its cores.
func (w *world) updateLease(i int) {
	n := &w.nodes[i]
	if w.variant != leaseFromReply || n.holder.ValidUntil().IsZero() {
		n.leaseValidUntil = n.holder.ValidUntil()
	}
	f := noFault
	for e := range n.cores {
		w.core(i, e, ownership.LeaseUpdate{Session: n.holder.Session(), ValidUntil: n.leaseValidUntil}, &f)
	}
}

func (w *world) readLease(object int) lease.ReadDone {
	o := w.leases[object]
	return lease.ReadDone{OK: true, Found: o.version != 0, Version: o.version, Record: o.record}
}

func (w *world) runWatcher(i int, actions []lease.Action, f *fault) {
	n := &w.nodes[i]
	target := daemonIndex(n.watcher.Target().Daemon)
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Read:
			w.runWatcher(i, n.watcher.Handle(w.now(), w.readLease(target)), f)
		case lease.Write:
			w.write(write{node: i, machine: watcherMachine, object: target, lease: a}, f)
		case lease.SessionLapsed:
			for e := range n.cores {
				w.core(i, e, ownership.SessionLapsed{Session: a.Session, OrdersKnown: a.OrdersKnown}, f)
			}
		case lease.IncarnationEnded:
			for e := range n.cores {
				claim := ownership.Claim{Session: a.Session, Epoch: ownership.AllEpochs}
				w.core(i, e, ownership.ClaimResolved{Claim: claim}, f)
			}
		}
	}
}

func (w *world) core(i, e int, event ownership.Event, f *fault) {
	n := &w.nodes[i]
	for _, a := range n.cores[e].Handle(w.now(), event) {
		switch a := a.(type) {
		case ownership.Read:
			o := w.owners[e]
			w.core(i, e, ownership.ReadDone{OK: true, Found: o.version != 0, Version: o.version, Record: o.record}, f)
		case ownership.Write:
			w.write(write{node: i, machine: firstCoreMachine + e, object: e, owner: a}, f)
		case ownership.RaiseFence:
			w.raiseFence(i, e, a.Epoch)
		case ownership.RequestPromises:
			n.promisePending[e], n.promiseRequest[e] = true, a.Pending
		case ownership.UnloadDecision:
			w.answer(i, e, a)
		}
	}
	w.watch(i, e)
}

// watch starts to watch a session that blocks the core of an engine or whose claim on the
// engine is unresolved.
func (w *world) watch(i, e int) {
	n := &w.nodes[i]
	target, waits := n.cores[e].BlockingSession()
	for _, claim := range n.cores[e].UnresolvedClaims() {
		if !waits {
			target, waits = claim.Session, true
		}
	}
	if !waits || n.watching && n.watcher.Target() == target || target.SameIncarnation(w.session(i)) {
		return
	}
	n.watching = true
	n.watcher = lease.NewWatcher(lease.WatcherConfig{
		Self:            w.session(i),
		DefaultDuration: leaseTicks * tickLength,
		MaxUnleased:     100 * tickLength,
		MaxOrderDelay:   maxOrderDelayTicks * tickLength,
		RetryDelay:      tickLength,
	}, target)
}

func (w *world) raiseFence(i, e int, epoch state.Epoch) {
	en := &w.engines[e]
	ok := epoch >= en.fence
	if ok && w.variant != fenceNotRaised {
		en.fence = epoch
	}
	f := noFault
	w.core(i, e, ownership.RaiseFenceDone{OK: ok, Rejected: !ok, Boot: bootName(en.boot), Epoch: epoch}, &f)
}

// write sends a write with the given fault and sets the fault to noFault, so that it
// affects one write only.
func (w *world) write(wr write, f *fault) {
	mode := *f
	*f = noFault
	switch mode {
	case noFault:
		w.reply(w.execute(wr))
	case lostReply:
		wr = w.execute(wr)
		wr.outcome = lease.WriteUnknown
		w.reply(wr)
	case delayedWrite:
		w.delayedWrites = append(slices.Clone(w.delayedWrites), wr)
		wr.outcome = lease.WriteUnknown
		w.reply(wr)
	case slowWrite:
		n := &w.nodes[wr.node]
		n.slowWrites = append(slices.Clone(n.slowWrites), wr)
	}
}

func (w *world) execute(wr write) write {
	wr.executed = true
	wr.outcome = lease.WriteConflict
	if wr.machine < firstCoreMachine {
		o := &w.leases[wr.object]
		if o.version == wr.lease.Base {
			*o = leaseObject{version: o.version + 1, record: wr.lease.Record}
			wr.outcome, wr.version = lease.WriteOK, o.version
		}
		return wr
	}
	o := &w.owners[wr.object]
	if o.version == wr.owner.Base {
		*o = ownerObject{version: o.version + 1, record: wr.owner.Record}
		if w.variant == unloadsNotRecorded {
			o.record.Pending = nil
		}
		wr.outcome, wr.version = lease.WriteOK, o.version
	}
	return wr
}

func (w *world) reply(wr write) {
	n := &w.nodes[wr.node]
	f := noFault
	done := lease.WriteDone{Outcome: wr.outcome, Version: wr.version}
	switch wr.machine {
	case holderMachine:
		if w.variant == leaseFromReply && wr.outcome == lease.WriteOK {
			n.leaseValidUntil = w.now().Add(leaseTicks * tickLength)
		}
		w.runHolder(wr.node, n.holder.Handle(w.now(), done), &f)
	case watcherMachine:
		w.runWatcher(wr.node, n.watcher.Handle(w.now(), done), &f)
	default:
		w.core(wr.node, wr.machine-firstCoreMachine, ownership.WriteDone{Outcome: wr.outcome, Version: wr.version}, &f)
	}
}
