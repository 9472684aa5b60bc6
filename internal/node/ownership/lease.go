package ownership

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

func leaseKey(id state.DaemonID) string { return "lease/" + string(id) }

func ownerKey(id state.UpstreamID) string { return "owner/" + string(id) }

// stepLease updates the peers that may break the lease, and renews the lease if a renewal is
// due. The caller must hold mu.
func (n *Node) stepLease() {
	now := n.opts.Clock()
	unrecorded := false
	for _, e := range n.entries {
		unrecorded = unrecorded || e.core.HasUnrecordedUnload()
	}
	n.holder.Handle(now, lease.PinPeers{On: unrecorded})
	n.holder.Handle(now, lease.SetPeers{Peers: n.opts.Members.LiveIncarnations()})
	n.runHolder(n.holder.Handle(now, lease.Tick{}))
}

// runHolder carries out the actions of the holder in the background, and passes the state of
// the lease to the cores. The caller must hold mu.
func (n *Node) runHolder(actions []lease.Action) {
	self := n.opts.Self
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Read:
			n.background(func(ctx context.Context) func() {
				event := readLease(ctx, n.opts.Objects, self)
				return func() { n.runHolder(n.holder.Handle(n.opts.Clock(), event)) }
			})
		case lease.Write:
			n.background(func(ctx context.Context) func() {
				event := writeLease(ctx, n.opts.Objects, self, a)
				return func() { n.runHolder(n.holder.Handle(n.opts.Clock(), event)) }
			})
		}
	}
	event := ownership.LeaseUpdate{Session: n.holder.Session(), ValidUntil: n.holder.ValidUntil()}
	for _, e := range n.entries {
		n.handleEvent(e, event)
	}
}

// recordExit writes the exit of the daemon into its lease object. It writes nothing if the
// daemon still owns an upstream, has an unload in flight, or has a call or order in flight
// at a disowned upstream.
func (n *Node) recordExit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, e := range n.entries {
		if e.owned || e.core.HasUnloadInFlight() || !n.opts.Owner.Idle(id) {
			return
		}
	}
	for _, a := range n.holder.Handle(n.opts.Clock(), lease.Exit{}) {
		write, ok := a.(lease.Write)
		if !ok {
			continue
		}
		n.mu.Unlock()
		ctx, cancel := context.WithTimeout(n.ctx, exitTimeout)
		writeLease(ctx, n.opts.Objects, n.opts.Self, write)
		cancel()
		n.mu.Lock()
	}
}

// watchAwaited starts to watch the sessions for which a core waits: the session that blocks
// the acquisition and the sessions of unresolved claims. The caller must hold mu.
func (n *Node) watchAwaited(e *entry) {
	if s, blocked := e.core.BlockingSession(); blocked {
		n.watchSession(s)
	}
	for _, claim := range e.core.UnresolvedClaims() {
		n.watchSession(claim.Session)
	}
}

// watchSession starts to watch a session, unless the session is already watched or belongs
// to this incarnation. The caller must hold mu.
func (n *Node) watchSession(s lease.Session) {
	if n.watchers[s] != nil || s.SameIncarnation(n.holder.Session()) {
		return
	}
	duration := renewalsPerLease * n.renewInterval
	w := lease.NewWatcher(lease.WatcherConfig{
		Self:            n.holder.Session(),
		ClockMargin:     duration / clockDriftDivisor,
		DefaultDuration: duration,
		MaxUnleased:     MaxUnleased + 2*duration,
		MaxOrderDelay:   MaxOrderDelay,
		RetryDelay:      queryInterval,
	}, s)
	n.watchers[s] = &w
	statelog.Info("Watching the lease of another daemon", "daemon", s.Daemon, "term", s.Term)
}

// dropWatchers removes the watchers of sessions for which no core waits. It keeps a watcher
// with a write in flight that may still break the lease. A lapsed session needs no watcher,
// since the cores store which sessions have lapsed. The caller must hold mu.
func (n *Node) dropWatchers() {
	awaited := make(map[lease.Session]bool)
	for _, e := range n.entries {
		if s, blocked := e.core.BlockingSession(); blocked {
			awaited[s] = true
		}
		for _, claim := range e.core.UnresolvedClaims() {
			awaited[claim.Session] = true
		}
	}
	for s, w := range n.watchers {
		if !awaited[s] && (w.Lapsed() || !w.Breaking()) {
			delete(n.watchers, s)
		}
	}
}

// runWatcher carries out the actions of a watcher. The caller must hold mu.
func (n *Node) runWatcher(w *lease.Watcher, actions []lease.Action) {
	target := w.Target().Daemon
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Read:
			n.background(func(ctx context.Context) func() {
				event := readLease(ctx, n.opts.Objects, target)
				return func() { n.runWatcher(w, w.Handle(n.opts.Clock(), event)) }
			})
		case lease.Write:
			n.background(func(ctx context.Context) func() {
				event := writeLease(ctx, n.opts.Objects, target, a)
				return func() { n.runWatcher(w, w.Handle(n.opts.Clock(), event)) }
			})
		case lease.SessionLapsed:
			statelog.Info("Lease has lapsed", "daemon", a.Session.Daemon, "term", a.Session.Term, "settled", a.OrdersKnown)
			for _, e := range n.entries {
				n.handleEvent(e, ownership.SessionLapsed{Session: a.Session, OrdersKnown: a.OrdersKnown})
			}
		case lease.IncarnationEnded:
			claim := ownership.Claim{Session: a.Session, Epoch: ownership.AllEpochs}
			for _, e := range n.entries {
				n.handleEvent(e, ownership.ClaimResolved{Claim: claim})
			}
		}
	}
}

func readLease(ctx context.Context, objects platform.ObjectStore, id state.DaemonID) lease.ReadDone {
	var record lease.Record
	version, found, err := readObject(platform.WithPriority(ctx, platform.PriorityLease), objects, leaseKey(id), &record)
	return lease.ReadDone{OK: err == nil, Found: found, Version: version, Record: record}
}

func writeLease(ctx context.Context, objects platform.ObjectStore, id state.DaemonID, w lease.Write) lease.WriteDone {
	ctx = platform.WithPriority(ctx, platform.PriorityLease)
	outcome, version := writeObject(ctx, objects, leaseKey(id), w.Record, w.Base)
	return lease.WriteDone{Outcome: outcome, Version: version}
}

// readObject reads an object from the object store into v. It returns the version and
// whether the object exists.
func readObject(ctx context.Context, objects platform.ObjectStore, key string, v any) (lease.Version, bool, error) {
	o, err := objects.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	return lease.Version(o.Version), true, json.Unmarshal(o.Value, v)
}

// writeObject replaces an object, provided that its version is still base. It returns the
// outcome and the new version.
func writeObject(ctx context.Context, objects platform.ObjectStore, key string, v any, base lease.Version) (lease.Outcome, lease.Version) {
	value, err := json.Marshal(v)
	if err != nil {
		return lease.WriteFailed, 0
	}
	version, err := objects.Put(ctx, key, value, platform.Version(base))
	switch {
	case err == nil:
		return lease.WriteOK, lease.Version(version)
	case errors.Is(err, platform.ErrConflict):
		return lease.WriteConflict, 0
	case errors.Is(err, platform.ErrUnknown):
		return lease.WriteUnknown, 0
	}
	return lease.WriteFailed, 0
}
