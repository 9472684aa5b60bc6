package lease

import "time"

// WatcherConfig describes the observing daemon and the time limits of a Watcher.
type WatcherConfig struct {
	Self Session // session of the observing daemon
	// ClockMargin allows for monotonic clocks that run at different rates.
	ClockMargin time.Duration
	// DefaultDuration is the assumed duration of a lease whose object is absent.
	DefaultDuration time.Duration
	// MaxUnleased is the time after its last renewal from which a holder neither dispatches
	// nor sends orders, even a holder that was partitioned all the time.
	MaxUnleased time.Duration
	// MaxOrderDelay is the longest time for which an order of an ended incarnation may
	// still be in the network or in the queue of the engine.
	MaxOrderDelay time.Duration
	// RetryDelay is the delay between two calls to the object store.
	RetryDelay time.Duration
}

// Watcher is the state machine that observes the lease of a session, the target, of another
// incarnation. It detects when the session has lapsed and when the incarnation has ended,
// and breaks the lease if it has expired.
type Watcher struct {
	cfg           WatcherConfig
	target        Session
	targetGone    bool      // the daemon of the target is neither listed nor heard; set by SetTargetGone
	goneAt        time.Time // when targetGone was set last
	phase         phase
	breaking      bool // a write that breaks the lease was sent and may have taken effect
	lapsed        bool
	ordersKnown   bool
	namedAsPeer   bool // the last record of the target named the observer as a peer
	ended         bool
	endedAt       time.Time // when the incarnation was first known to have ended
	seen          bool      // the lease object was read
	found         bool      // the last read found the lease object
	version       Version
	record        Record
	versionSeenAt time.Time // when version was read first
	nextCallAt    time.Time
}

// NewWatcher returns a watcher of a session.
func NewWatcher(cfg WatcherConfig, target Session) Watcher {
	return Watcher{cfg: cfg, target: target}
}

// Target returns the watched session.
func (w *Watcher) Target() Session { return w.target }

// SetTargetGone sets whether the daemon of the target is gone: it is missing from the list
// of VMs and silent.
func (w *Watcher) SetTargetGone(now time.Time, gone bool) {
	if gone && !w.targetGone {
		w.goneAt = now
	}
	w.targetGone = gone
}

// Breaking reports whether the session has lapsed, or a write of this watcher may have
// broken its lease. The observing daemon then gives the holder no promise.
func (w *Watcher) Breaking() bool { return w.breaking || w.lapsed }

// Lapsed reports whether the session can never hold a valid lease again.
func (w *Watcher) Lapsed() bool { return w.lapsed }

// OrdersKnown reports whether every unload order of the session that may still take effect
// is known to the observer.
func (w *Watcher) OrdersKnown() bool { return w.ordersKnown }

// Ended reports whether the incarnation has ended and has nothing in flight.
func (w *Watcher) Ended() bool { return w.ended }

// BreakForbidden reports whether the lease has expired but the observer may not break it.
func (w *Watcher) BreakForbidden(now time.Time) bool {
	return w.seen && !w.lapsed && !now.Before(w.expiresAt()) && !w.mayBreak(now)
}

// Handle updates the state for an event and returns the actions to carry out.
func (w *Watcher) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return w.nextActions(now)
	case ReadDone:
		return w.handleRead(now, e)
	case WriteDone:
		return w.handleWrite(now, e)
	}
	return nil
}

// expiresAt returns when the lease expires, as seen by this observer: its duration after
// the present version of the object was first read.
func (w *Watcher) expiresAt() time.Time {
	duration := w.record.Duration
	if !w.found {
		duration = w.cfg.DefaultDuration
	}
	return w.versionSeenAt.Add(duration + w.cfg.ClockMargin)
}

// mayBreak reports whether the observer may break the lease after it has expired. One of
// these must hold:
//   - the target's daemon is gone;
//   - the lease names the observer as a peer;
//   - the holder has stopped acting, since MaxUnleased has passed without a renewal.
func (w *Watcher) mayBreak(now time.Time) bool {
	return w.targetGone || w.record.MayBeBrokenBy(w.cfg.Self) || !now.Before(w.versionSeenAt.Add(w.cfg.MaxUnleased))
}

// nextActions returns the detected changes of the target and the read or write that is due.
func (w *Watcher) nextActions(now time.Time) []Action {
	if w.phase != idle {
		return nil
	}
	out := w.evaluate(now)
	switch {
	case w.ended || now.Before(w.nextCallAt):
		return out
	case !w.seen || w.lapsed:
		w.phase = reading
		w.nextCallAt = now.Add(w.cfg.RetryDelay)
		return append(out, Read{})
	case now.Before(w.expiresAt()) || !w.mayBreak(now):
		return out
	}
	broken := w.record
	broken.Session = w.target
	broken.Broken = true
	w.phase = writing
	w.breaking = true
	return append(out, Write{Base: w.version, Record: broken})
}

func (w *Watcher) handleWrite(now time.Time, e WriteDone) []Action {
	if w.phase != writing {
		return nil
	}
	w.phase = idle
	switch e.Outcome {
	case WriteOK:
		w.version = e.Version
		w.record.Session = w.target
		w.record.Broken = true
		w.found = true
		return w.evaluate(now)
	case WriteFailed:
		w.nextCallAt = now.Add(w.cfg.RetryDelay)
		return nil
	}
	w.phase = reading
	return []Action{Read{}}
}

func (w *Watcher) handleRead(now time.Time, e ReadDone) []Action {
	if w.phase != reading {
		return nil
	}
	w.phase = idle
	w.nextCallAt = now.Add(w.cfg.RetryDelay)
	if !e.OK {
		return nil
	}
	if !w.seen || e.Version != w.version {
		w.versionSeenAt = now
		w.breaking = false
	}
	w.seen, w.found, w.version, w.record = true, e.Found, e.Version, e.Record
	if !w.lapsed {
		w.nextCallAt = now
	}
	return w.nextActions(now)
}

// evaluate updates whether the session has lapsed and whether the incarnation has ended,
// from the last known record. It returns an action for each change.
func (w *Watcher) evaluate(now time.Time) []Action {
	if !w.seen || !w.found {
		return nil
	}
	targetsOwn := w.record.Session == w.target
	if targetsOwn {
		w.namedAsPeer = w.record.MayBeBrokenBy(w.cfg.Self)
	}
	if targetsOwn && !w.record.Broken && !w.record.Exited {
		return nil
	}
	var out []Action
	w.updateEnd(now)
	ordersKnown := w.allOrdersKnown(now)
	if !w.lapsed || ordersKnown && !w.ordersKnown {
		w.lapsed, w.ordersKnown = true, ordersKnown
		out = append(out, SessionLapsed{Session: w.target, OrdersKnown: ordersKnown})
	}
	if !w.ended && !w.endedAt.IsZero() && !now.Before(w.endedAt.Add(w.cfg.MaxOrderDelay)) {
		w.ended = true
		out = append(out, IncarnationEnded{Session: w.target})
	}
	return out
}

// updateEnd stores when the incarnation was first known to have ended. It clears that time
// if the end was inferred from the absence of the daemon alone and the daemon is back.
func (w *Watcher) updateEnd(now time.Time) {
	otherIncarnation := !w.record.SameIncarnation(w.target)
	switch {
	case w.record.Exited || otherIncarnation || !now.Before(w.versionSeenAt.Add(w.cfg.MaxUnleased)):
		if w.endedAt.IsZero() {
			w.endedAt = now
		}
	case w.targetGone && w.endedAt.IsZero():
		w.endedAt = w.goneAt
	case !w.targetGone:
		w.endedAt = time.Time{}
	}
}

// allOrdersKnown reports whether every unload order of the session that may still take
// effect is known to the observer, or no unload order can be in flight.
func (w *Watcher) allOrdersKnown(now time.Time) bool {
	newTerm := w.record.SameIncarnation(w.target) && w.record.Term != w.target.Term
	ended := !w.endedAt.IsZero() && !now.Before(w.endedAt.Add(w.cfg.MaxOrderDelay))
	inactive := !now.Before(w.versionSeenAt.Add(w.cfg.MaxUnleased))
	return w.namedAsPeer || newTerm || w.record.Exited || ended || inactive
}
