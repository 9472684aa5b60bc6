package ownership_test

import (
	"fmt"
	"slices"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// moveKind is the kind of a transition of the model.
type moveKind uint8

const (
	moveTick moveKind = iota
	moveStep
	moveContinueWrite
	moveDelayedWrite
	moveDeliver
	moveRestart
	moveReboot
	moveLoad
	moveDispatch
	moveFinish
	moveUnload
	moveReport
	moveResolve
	movePromise
	moveReassign
)

var moveNames = [...]string{
	"tick", "step", "continue write", "delayed write", "deliver", "restart", "reboot", "load",
	"dispatch", "finish", "unload", "report", "resolve", "promise", "reassign",
}

// randomTicks is the least number of ticks of a random run. Explorations are shorter.
const randomTicks = 100

// move is one transition. Depending on its kind, a is a node or an index into the
// orders or delayed writes, and b is a state machine or an engine.
type move struct {
	kind  moveKind
	a, b  int
	fault fault
}

// String returns the transition as it is shown in traces.
func (m move) String() string {
	return fmt.Sprintf("%s %d %d fault %d", moveNames[m.kind], m.a, m.b, m.fault)
}

// apply makes the transition. It reports whether the transition was possible.
func (m move) apply(w *world) bool {
	switch m.kind {
	case moveTick:
		return w.advance()
	case moveStep:
		if m.fault != noFault {
			w.bounds.faults--
		}
		return w.step(m.a, m.b, m.fault) || m.fault == noFault
	case moveContinueWrite:
		return w.continueWrite(m.a, m.b)
	case moveDelayedWrite:
		return w.executeDelayed(m.a)
	case moveDeliver:
		return w.deliver(m.a)
	case moveRestart:
		return w.restart(m.a)
	case moveReboot:
		return w.reboot(m.b)
	case moveLoad:
		return w.load(m.a, m.b)
	case moveDispatch:
		return w.dispatch(m.a, m.b)
	case moveFinish:
		return w.finish(m.a, m.b)
	case moveUnload:
		return w.unload(m.a, m.b)
	case moveReport:
		w.report(m.a, m.b)
	case moveResolve:
		return w.resolve(m.a, m.b)
	case movePromise:
		return w.promise(m.a, m.b)
	case moveReassign:
		w.bounds.reassignments--
		w.reassign(m.a, m.b)
	}
	return true
}

// moves appends the transitions that may be possible in the world.
func (w *world) moves(all []move) []move {
	if w.tick < w.bounds.lastTick {
		all = append(all, move{kind: moveTick})
	}
	for i := range nodes {
		all = w.machineMoves(all, i)
		for e := w.bounds.firstEngine; e <= w.bounds.lastEngine; e++ {
			for kind := moveLoad; kind <= movePromise; kind++ {
				all = append(all, move{kind: kind, a: i, b: e})
			}
			if w.bounds.reassignments > 0 {
				all = append(all, move{kind: moveReassign, a: i, b: e})
			}
		}
		if w.bounds.faults > 0 && w.nodes[i].incarnation == 0 {
			all = append(all, move{kind: moveRestart, a: i})
		}
	}
	for k := range w.orders {
		all = append(all, move{kind: moveDeliver, a: k})
	}
	for k := range w.delayedWrites {
		all = append(all, move{kind: moveDelayedWrite, a: k})
	}
	for e := w.bounds.firstEngine; e <= w.bounds.lastEngine && w.bounds.faults > 0; e++ {
		all = append(all, move{kind: moveReboot, b: e})
	}
	return all
}

func (w *world) machineMoves(all []move, i int) []move {
	for m := range machineCount {
		if m >= firstCoreMachine && (m-firstCoreMachine < w.bounds.firstEngine || m-firstCoreMachine > w.bounds.lastEngine) {
			continue
		}
		if slices.ContainsFunc(w.nodes[i].slowWrites, func(wr write) bool { return wr.machine == m }) {
			all = append(all, move{kind: moveContinueWrite, a: i, b: m})
			continue
		}
		all = append(all, move{kind: moveStep, a: i, b: m})
		for f := lostReply; f <= slowWrite && w.bounds.faults > 0; f++ {
			all = append(all, move{kind: moveStep, a: i, b: m, fault: f})
		}
	}
	return all
}

func (w *world) advance() bool {
	w.tick++
	kept := w.orders[:0:0]
	for _, o := range w.orders {
		if o.incarnationEndedAt.IsZero() || w.now().Before(o.incarnationEndedAt.Add(maxOrderDelayTicks*tickLength)) {
			kept = append(kept, o)
		}
	}
	w.orders = kept
	return true
}

func (w *world) reassign(i, e int) {
	f := noFault
	w.nodes[i].assigned[e] = !w.nodes[i].assigned[e]
	w.core(i, e, ownership.Assignment{Assigned: w.nodes[i].assigned[e]}, &f)
}

func (w *world) usable(i, e int) bool {
	n := &w.nodes[i]
	return !n.unloading[e] && !n.cores[e].Quarantined(adapter)
}

func (w *world) load(i, e int) bool {
	auth := w.nodes[i].cores[e].Permissions(w.now())
	en := &w.engines[e]
	if !auth.MayLoad || !w.usable(i, e) || en.loaded {
		return false
	}
	if e == 0 {
		if auth.Epoch < en.fence {
			return false
		}
		en.fence = auth.Epoch
	}
	en.loaded = true
	return true
}

func (w *world) dispatch(i, e int) bool {
	if !w.nodes[i].cores[e].Permissions(w.now()).MayDispatch || !w.usable(i, e) {
		return false
	}
	if !w.engines[e].loaded || w.engines[e].serving[i] {
		return false
	}
	w.engines[e].serving[i] = true
	return true
}

func (w *world) finish(i, e int) bool {
	was := w.engines[e].serving[i]
	w.engines[e].serving[i] = false
	return was
}

func (w *world) unload(i, e int) bool {
	n := &w.nodes[i]
	may := n.cores[e].Permissions(w.now()).MayUnload
	if w.bounds.unloads == 0 || !may || !w.usable(i, e) || !w.engines[e].loaded || w.engines[e].serving[i] {
		return false
	}
	w.bounds.unloads--
	n.unloading[e] = true
	f := noFault
	w.core(i, e, ownership.RequestUnload{Adapter: adapter}, &f)
	return true
}

// answer handles the decision on an unload. It checks the permissions immediately before
// it sends the order. The order stays in the network until it is delivered.
func (w *world) answer(i, e int, a ownership.UnloadDecision) {
	n := &w.nodes[i]
	if !a.Granted {
		n.unloading[e] = false
		return
	}
	auth := n.cores[e].Permissions(w.now())
	w.orders = append(slices.Clone(w.orders), order{node: i, incarnation: n.incarnation, engine: e, epoch: auth.Epoch})
}

func (w *world) deliver(k int) bool {
	o := w.orders[k]
	w.orders = slices.Delete(slices.Clone(w.orders), k, k+1)
	en := &w.engines[o.engine]
	if o.engine != 0 || o.epoch >= en.fence {
		w.takeEffect(o)
	}
	n := &w.nodes[o.node]
	if o.incarnation != n.incarnation {
		return true
	}
	f := noFault
	n.unloading[o.engine] = false
	w.core(o.node, o.engine, ownership.UnloadEnded{Adapter: adapter}, &f)
	return true
}

func (w *world) takeEffect(o order) {
	en := &w.engines[o.engine]
	if en.loaded && slices.Contains(en.serving[:], true) {
		w.violate("an adapter with requests in flight was unloaded")
	}
	if en.loaded && w.bounds.lastTick >= randomTicks {
		w.unloads++
	}
	en.loaded = false
	if o.engine == 0 {
		en.fence = o.epoch
		return
	}
	record := w.owners[o.engine].record
	ordered := func(p ownership.PendingUnload) bool { return p.Claim.Session.Daemon == daemonName(o.node) }
	if record.Owner.Daemon != daemonName(o.node) && !slices.ContainsFunc(record.Pending, ordered) {
		w.violate("an order of a daemon that is not the owner took effect")
	}
}

func (w *world) report(i, e int) {
	en := w.engines[e]
	event := ownership.LoadReport{Boot: bootName(en.boot), RequestedAt: w.now()}
	if en.loaded {
		event.Resident = []state.AdapterRef{adapter}
	}
	f := noFault
	w.core(i, e, event, &f)
}

// resolve asks the earlier owners whether anything is in flight under their claims. It
// resolves the first claim under which nothing is.
func (w *world) resolve(i, e int) bool {
	n := &w.nodes[i]
	for _, claim := range n.cores[e].UnresolvedClaims() {
		j := daemonIndex(claim.Session.Daemon)
		other := &w.nodes[j].cores[e]
		idle := !other.Owns() && !w.engines[e].serving[j] && !other.HasUnloadInFlight()
		if i == j {
			idle = !w.engines[e].serving[j] && !other.HasUnloadInFlight()
		}
		if w.variant != predecessorNotResolved && (!claim.Session.SameIncarnation(w.session(j)) || !idle) {
			continue
		}
		f := noFault
		w.core(i, e, ownership.ClaimResolved{Claim: claim}, &f)
		return true
	}
	return false
}

// promise asks the peers that may break the lease of a node to honor its unload.
func (w *world) promise(i, e int) bool {
	n, peer := &w.nodes[i], &w.nodes[1-i]
	if !n.promisePending[e] {
		return false
	}
	n.promisePending[e] = false
	ok, f := true, noFault
	for _, s := range n.holder.PotentialBreakers() {
		if w.variant == promiseNotRequested {
			continue
		}
		if !s.SameIncarnation(w.session(1 - i)) {
			ok = false
			continue
		}
		w.core(1-i, e, ownership.UnloadNotice{Pending: n.promiseRequest[e]}, &f)
		breaking := peer.watching && peer.watcher.Target() == n.promiseRequest[e].Claim.Session && peer.watcher.Breaking()
		ok = ok && peer.cores[e].HonorsUnload(n.promiseRequest[e]) && !breaking
	}
	w.core(i, e, ownership.PromiseResult{Adapter: adapter, OK: ok}, &f)
	return true
}

func (w *world) restart(i int) bool {
	w.bounds.faults--
	n := &w.nodes[i]
	for _, wr := range n.slowWrites {
		if !wr.executed {
			w.delayedWrites = append(slices.Clone(w.delayedWrites), wr)
		}
	}
	n.slowWrites = nil
	w.orders = slices.Clone(w.orders)
	for k := range w.orders {
		if w.orders[k].node == i && w.orders[k].incarnationEndedAt.IsZero() {
			w.orders[k].incarnationEndedAt = w.now()
		}
	}
	n.incarnation++
	w.startNode(i)
	f := noFault
	for e := range engines {
		w.engines[e].serving[i] = false
		w.core(i, e, ownership.Assignment{Assigned: n.assigned[e]}, &f)
	}
	return true
}

func (w *world) reboot(e int) bool {
	w.bounds.faults--
	en := &w.engines[e]
	*en = engine{boot: en.boot + 1, fence: en.fence}
	return true
}

func (w *world) executeDelayed(k int) bool {
	wr := w.delayedWrites[k]
	w.delayedWrites = slices.Delete(slices.Clone(w.delayedWrites), k, k+1)
	return w.execute(wr).outcome == lease.WriteOK
}

func (w *world) continueWrite(i, m int) bool {
	n := &w.nodes[i]
	k := slices.IndexFunc(n.slowWrites, func(wr write) bool { return wr.machine == m })
	wr := n.slowWrites[k]
	n.slowWrites = slices.Delete(slices.Clone(n.slowWrites), k, k+1)
	if !wr.executed {
		n.slowWrites = append(n.slowWrites, w.execute(wr))
		return true
	}
	w.reply(wr)
	return true
}

// check tests the invariants on the permissions that the two daemons have at the same
// time.
func (w *world) check() {
	const unfenced = 1
	for e := range w.engines {
		owners := 0
		for i := range w.nodes {
			if w.nodes[i].cores[e].Owns() && w.now().Before(w.nodes[i].leaseValidUntil) {
				owners++
			}
		}
		if owners > 1 {
			w.violate("two daemons own an engine with a valid lease")
		}
	}
	may := 0
	for i := range w.nodes {
		if w.nodes[i].cores[unfenced].Permissions(w.now()).MayUnload {
			may++
		}
	}
	if may > 1 {
		w.violate("two daemons may unload on an engine that ignores fencing tokens")
	}
}
