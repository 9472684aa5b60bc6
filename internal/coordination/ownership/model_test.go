package ownership_test

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// The model runs the real Holder, Watcher and Core of two daemons against a small
// platform and two engines with one adapter. A step of a machine may be taken late
// or never, so that a paused daemon, a cut-off daemon and a slow timer are all
// covered. Orders stay in the network until they are delivered.

const (
	nodes       = 2
	engines     = 2 // engine 0 checks fencing numbers, engine 1 does not
	unit        = time.Second
	leaseUnits  = 1
	settleUnits = 1
)

var (
	base    = time.Unix(1_000_000, 0).UTC()
	adapter = state.AdapterRef{Service: "s", Adapter: "a", Version: "v"}
)

// bounds limit the states of an exploration.
type bounds struct {
	first, last int // engines that take part
	lastTick    int
	faults      int
	flips       int // changes of which daemon should own an engine
	unloads     int
	skipTicks   int // ticks that pass before the exploration
}

// variant is a deliberately broken version of the shell around the machines.
type variant int

const (
	correct variant = iota
	noPendingRecord
	leaseFromAnswer
	noFenceRaised
	noPromise
	noResolution
)

type fault int

const (
	noFault   fault = iota
	lostReply       // the write takes effect, its answer is lost
	lateWrite       // the answer is lost and the write may take effect later
	slowWrite       // the write takes effect later, and its answer comes later still
)

// machines of a node.
const (
	mHolder = iota
	mWatcher
	mCore    // plus the engine
	machines = mCore + engines
)

type leaseObject struct {
	version lease.Version
	record  lease.Record
}

type ownerObject struct {
	version lease.Version
	record  ownership.Record
}

// write is a write to the platform that has not taken effect or not been answered.
type write struct {
	executed bool
	node     int
	machine  int
	object   int // daemon or engine
	lease    lease.Write
	owner    ownership.Write
	outcome  lease.Outcome
	version  lease.Version
}

type order struct {
	node, run, engine int
	epoch             state.Epoch
	deadAt            time.Time // when the run that sent it ended
}

type node struct {
	run       int
	holder    lease.Holder
	until     time.Time
	watcher   lease.Watcher
	watching  bool
	cores     [engines]ownership.Core
	want      [engines]bool
	slow      []write // at most one of each machine
	unloading [engines]bool
	asking    [engines]bool
	ask       [engines]ownership.PendingUnload
}

type engine struct {
	boot    int
	loaded  bool
	serving [nodes]bool
	fence   state.Epoch
}

type world struct {
	variant variant
	bounds  bounds // what is left of the bounds
	tick    int
	leases  [nodes]leaseObject
	owners  [engines]ownerObject
	nodes   [nodes]node
	engines [engines]engine
	orders  []order
	late    []write
	unloads int    // that took effect; counted in random runs only
	broken  string // the invariant that was violated
}

func (w *world) now() time.Time { return base.Add(time.Duration(w.tick) * unit) }

func (w *world) session(i int) lease.Session { return w.nodes[i].holder.Session() }

func bootName(n int) state.BootID { return state.BootID('0' + rune(n)) }

func daemonName(i int) state.DaemonID { return state.DaemonID('a' + rune(i)) }

func daemonIndex(id state.DaemonID) int { return int(id[0] - 'a') }

func (w *world) startNode(i int) {
	n := &w.nodes[i]
	n.holder = lease.NewHolder(lease.HolderConfig{
		Session:       lease.Session{Daemon: daemonName(i), Incarnation: state.Incarnation('0' + rune(n.run)), Term: 1},
		RenewInterval: unit,
		Duration:      leaseUnits * unit,
	})
	n.watching = false
	n.until = time.Time{}
	for e := range n.cores {
		n.cores[e] = ownership.New(ownership.Config{
			Upstream:    state.UpstreamID('0' + rune(e)),
			Engine:      true,
			Fenced:      e == 0,
			MaxUnleased: 100 * unit,
			RetryDelay:  unit,
		})
		n.unloading[e], n.asking[e] = false, false
	}
}

// newWorld returns two daemons with leases, of which the first owns both engines
// and has loaded the adapter on both.
func newWorld(v variant, b bounds) world {
	w := world{variant: v, bounds: bounds{first: b.first, last: b.last}}
	for i := range w.nodes {
		w.startNode(i)
	}
	for i := range w.nodes {
		w.step(i, mHolder, noFault)
	}
	for e := b.first; e <= b.last; e++ {
		w.engines[e].boot = 1
		w.flip(0, e)
		w.step(0, mCore+e, noFault)
		w.report(0, e)
		w.load(0, e)
	}
	for range b.skipTicks {
		w.advance()
	}
	w.bounds = b
	return w
}

func (w *world) violate(what string) {
	if w.broken == "" {
		w.broken = what
	}
}

// step delivers a tick to one machine. It reports whether the fault was used.
func (w *world) step(i, machine int, f fault) bool {
	n := &w.nodes[i]
	switch machine {
	case mHolder:
		noticeOnly := false
		for e := range n.cores {
			noticeOnly = noticeOnly || n.cores[e].HasUnrecordedUnload()
		}
		n.holder.Handle(w.now(), lease.PinPeers{On: noticeOnly})
		n.holder.Handle(w.now(), lease.SetPeers{Peers: []lease.Session{w.session(1 - i)}})
		w.runHolder(i, n.holder.Handle(w.now(), lease.Tick{}), &f)
	case mWatcher:
		if n.watching {
			w.runWatcher(i, n.watcher.Handle(w.now(), lease.Tick{}), &f)
		}
	default:
		w.core(i, machine-mCore, ownership.Tick{}, &f)
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
			w.write(write{node: i, machine: mHolder, object: i, lease: a}, f)
		}
	}
	w.tellLease(i)
}

// tellLease tells the cores of a node about its lease.
func (w *world) tellLease(i int) {
	n := &w.nodes[i]
	if w.variant != leaseFromAnswer || n.holder.ValidUntil().IsZero() {
		n.until = n.holder.ValidUntil()
	}
	f := noFault
	for e := range n.cores {
		w.core(i, e, ownership.LeaseUpdate{Session: n.holder.Session(), ValidUntil: n.until}, &f)
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
			w.write(write{node: i, machine: mWatcher, object: target, lease: a}, f)
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
			w.write(write{node: i, machine: mCore + e, object: e, owner: a}, f)
		case ownership.RaiseFence:
			w.raiseFence(i, e, a.Epoch)
		case ownership.RequestPromises:
			n.asking[e], n.ask[e] = true, a.Pending
		case ownership.UnloadDecision:
			w.answer(i, e, a)
		}
	}
	w.watch(i, e)
}

// watch starts to watch the session that the core waits for or must resolve.
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
		DefaultDuration: leaseUnits * unit,
		MaxUnleased:     100 * unit,
		MaxOrderDelay:   settleUnits * unit,
		RetryDelay:      unit,
	}, target)
}

func (w *world) raiseFence(i, e int, epoch state.Epoch) {
	en := &w.engines[e]
	ok := epoch >= en.fence
	if ok && w.variant != noFenceRaised {
		en.fence = epoch
	}
	f := noFault
	w.core(i, e, ownership.RaiseFenceDone{OK: ok, Rejected: !ok, Boot: bootName(en.boot), Epoch: epoch}, &f)
}

// write sends a write with a fault, which is used up.
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
	case lateWrite:
		w.late = append(slices.Clone(w.late), wr)
		wr.outcome = lease.WriteUnknown
		w.reply(wr)
	case slowWrite:
		n := &w.nodes[wr.node]
		n.slow = append(slices.Clone(n.slow), wr)
	}
}

func (w *world) execute(wr write) write {
	wr.executed = true
	wr.outcome = lease.WriteConflict
	if wr.machine < mCore {
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
		if w.variant == noPendingRecord {
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
	case mHolder:
		if w.variant == leaseFromAnswer && wr.outcome == lease.WriteOK {
			n.until = w.now().Add(leaseUnits * unit)
		}
		w.runHolder(wr.node, n.holder.Handle(w.now(), done), &f)
	case mWatcher:
		w.runWatcher(wr.node, n.watcher.Handle(w.now(), done), &f)
	default:
		w.core(wr.node, wr.machine-mCore, ownership.WriteDone{Outcome: wr.outcome, Version: wr.version}, &f)
	}
}
