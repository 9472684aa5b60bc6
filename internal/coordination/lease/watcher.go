package lease

import "time"

// WatcherConfig sets up a Watcher.
type WatcherConfig struct {
	Self Session // run of the observing daemon
	// ClockMargin covers the difference between the rates of two monotonic clocks.
	ClockMargin time.Duration
	// DefaultDuration stands for the duration of a lease whose object is absent.
	DefaultDuration time.Duration
	// MaxUnleased is the time after the last renewal from which the holder neither
	// dispatches nor orders, even if it has been cut off all the time.
	MaxUnleased time.Duration
	// MaxOrderDelay is the longest time for which an order of an ended run may still be
	// in the network or in the queue of the engine.
	MaxOrderDelay time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
}

// Watcher finds out whether a session of another run has lapsed, breaks its lease
// if need be, and finds out when the run has ended.
type Watcher struct {
	cfg      WatcherConfig
	target   Session
	gone     bool // the daemon is listed as gone and silent
	goneAt   time.Time
	phase    phase
	breaking bool // a Write was sent and may still take effect
	lapsed   bool
	settled  bool
	admitted bool // the target's last record named this run as a peer
	ended    bool
	endedAt  time.Time // when the end of the run was seen
	seen     bool
	found    bool
	version  Version
	record   Record
	seenAt   time.Time // when the present record was read first
	nextAt   time.Time
}

// NewWatcher returns a watcher of a session.
func NewWatcher(cfg WatcherConfig, target Session) Watcher {
	return Watcher{cfg: cfg, target: target}
}

// Target returns the watched session.
func (w *Watcher) Target() Session { return w.target }

// SetTargetGone tells whether the daemon is listed as gone and silent.
func (w *Watcher) SetTargetGone(now time.Time, gone bool) {
	if gone && !w.gone {
		w.goneAt = now
	}
	w.gone = gone
}

// Breaking reports that the lease is broken or may be by a write of this watcher.
// From then on the daemon gives the holder no promise.
func (w *Watcher) Breaking() bool { return w.breaking || w.lapsed }

// Lapsed reports that the session has lapsed for good.
func (w *Watcher) Lapsed() bool { return w.lapsed }

// OrdersKnown reports that this daemon knows of every order of the session.
func (w *Watcher) OrdersKnown() bool { return w.settled }

// Ended reports that the run has ended and nothing of it is under way.
func (w *Watcher) Ended() bool { return w.ended }

// BreakForbidden reports that the observer has waited out the lease but may not break it.
func (w *Watcher) BreakForbidden(now time.Time) bool {
	return w.seen && !w.lapsed && !now.Before(w.lapsesAt()) && !w.mayBreak(now)
}

// Handle takes an event and returns what to do.
func (w *Watcher) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return w.tick(now)
	case ReadDone:
		return w.readDone(now, e)
	case WriteDone:
		return w.writeDone(now, e)
	}
	return nil
}

func (w *Watcher) lapsesAt() time.Time {
	duration := w.record.Duration
	if !w.found {
		duration = w.cfg.DefaultDuration
	}
	return w.seenAt.Add(duration + w.cfg.ClockMargin)
}

func (w *Watcher) mayBreak(now time.Time) bool {
	return w.gone || w.record.MayBeBrokenBy(w.cfg.Self) || !now.Before(w.seenAt.Add(w.cfg.MaxUnleased))
}

func (w *Watcher) tick(now time.Time) []Action {
	if w.phase != idle {
		return nil
	}
	out := w.conclude(now)
	switch {
	case w.ended || now.Before(w.nextAt):
		return out
	case !w.seen || w.lapsed:
		w.phase = reading
		w.nextAt = now.Add(w.cfg.RetryDelay)
		return append(out, Read{})
	case now.Before(w.lapsesAt()) || !w.mayBreak(now):
		return out
	}
	broken := w.record
	broken.Session = w.target
	broken.Broken = true
	w.phase = writing
	w.breaking = true
	return append(out, Write{Base: w.version, Record: broken})
}

func (w *Watcher) writeDone(now time.Time, e WriteDone) []Action {
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
		return w.conclude(now)
	case WriteFailed:
		w.nextAt = now.Add(w.cfg.RetryDelay)
		return nil
	}
	w.phase = reading
	return []Action{Read{}}
}

func (w *Watcher) readDone(now time.Time, e ReadDone) []Action {
	if w.phase != reading {
		return nil
	}
	w.phase = idle
	w.nextAt = now.Add(w.cfg.RetryDelay)
	if !e.OK {
		return nil
	}
	if !w.seen || e.Version != w.version {
		w.seenAt = now
		w.breaking = false
	}
	w.seen, w.found, w.version, w.record = true, e.Found, e.Version, e.Record
	if !w.lapsed {
		w.nextAt = now
	}
	return w.tick(now)
}

// conclude draws what follows from the record that was read last.
func (w *Watcher) conclude(now time.Time) []Action {
	if !w.seen || !w.found {
		return nil
	}
	own := w.record.Session == w.target
	if own {
		w.admitted = w.record.MayBeBrokenBy(w.cfg.Self)
	}
	if own && !w.record.Broken && !w.record.Exited {
		return nil
	}
	var out []Action
	w.noteEnd(now)
	settled := w.isSettled(now)
	if !w.lapsed || settled && !w.settled {
		w.lapsed, w.settled = true, settled
		out = append(out, SessionLapsed{Session: w.target, OrdersKnown: settled})
	}
	if !w.ended && !w.endedAt.IsZero() && !now.Before(w.endedAt.Add(w.cfg.MaxOrderDelay)) {
		w.ended = true
		out = append(out, IncarnationEnded{Session: w.target})
	}
	return out
}

// noteEnd notes when the run was first known to have ended.
func (w *Watcher) noteEnd(now time.Time) {
	another := !w.record.SameIncarnation(w.target)
	switch {
	case w.record.Exited || another || !now.Before(w.seenAt.Add(w.cfg.MaxUnleased)):
		if w.endedAt.IsZero() {
			w.endedAt = now
		}
	case w.gone && w.endedAt.IsZero():
		w.endedAt = w.goneAt
	case !w.gone:
		w.endedAt = time.Time{}
	}
}

func (w *Watcher) isSettled(now time.Time) bool {
	newTerm := w.record.SameIncarnation(w.target) && w.record.Term != w.target.Term
	ended := !w.endedAt.IsZero() && !now.Before(w.endedAt.Add(w.cfg.MaxOrderDelay))
	bounded := !now.Before(w.seenAt.Add(w.cfg.MaxUnleased))
	return w.admitted || newTerm || w.record.Exited || ended || bounded
}
