package lease

import (
	"slices"
	"time"
)

// HolderConfig describes a daemon and the duration of its lease.
type HolderConfig struct {
	Session       Session // first term of this incarnation
	RenewInterval time.Duration
	Duration      time.Duration
	// ClockMargin allows for monotonic clocks that run at different rates.
	ClockMargin time.Duration
}

// phase is the call to the object store that is in flight.
type phase uint8

const (
	idle phase = iota
	writing
	reading
)

// Holder is the state machine with which a daemon renews its own lease.
type Holder struct {
	cfg           HolderConfig
	session       Session
	phase         phase
	known         bool // version is the version of the object that was last read or written
	everHeld      bool // this incarnation has held the lease
	displaced     bool // another incarnation of the same daemon has taken the lease
	lost          bool // the lease was lost and no renewal of the new term is confirmed yet
	pinned        bool // the peers must not change, and no new term may start; set by PinPeers
	exiting       bool
	exited        bool
	version       Version
	otherVersion  Version   // version of the object of another incarnation
	otherSeenAt   time.Time // when otherVersion was read first
	sequence      uint64
	renewalSentAt time.Time // when the last renewal was sent
	nextCallAt    time.Time
	validUntil    time.Time
	peers         []Session
	unackedPeers  []Session // peers named by renewals sent since the last acknowledged one
	ackedPeers    []Session // peers named by the last acknowledged renewal
}

// NewHolder returns a holder without a lease.
func NewHolder(cfg HolderConfig) Holder { return Holder{cfg: cfg, session: cfg.Session} }

// Session returns the current session. The session changes when the lease is lost.
func (h *Holder) Session() Session { return h.session }

// ValidUntil returns the end of the lease, or the zero time if the daemon has no lease.
func (h *Holder) ValidUntil() time.Time { return h.validUntil }

// Displaced reports whether another incarnation of the same daemon has taken the lease. A
// displaced incarnation must not act any more.
func (h *Holder) Displaced() bool { return h.displaced }

// Exited reports whether the exit of the daemon is recorded in the lease object.
func (h *Holder) Exited() bool { return h.exited }

// PotentialBreakers returns the peers that may break the lease as soon as it has expired:
// the peers that the last acknowledged renewal names, and the peers that a later renewal
// names, because an unacknowledged renewal may have taken effect.
func (h *Holder) PotentialBreakers() []Session {
	all := slices.Clone(h.ackedPeers)
	for _, p := range h.unackedPeers {
		if !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	return all
}

// Handle updates the state for an event and returns the actions to carry out.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return h.nextActions(now)
	case SetPeers:
		if !h.pinned {
			h.peers = slices.Clone(e.Peers)
		}
	case PinPeers:
		h.pinned = e.On
	case Exit:
		h.exiting = true
		h.nextCallAt = now
		return h.nextActions(now)
	case WriteDone:
		return h.handleWrite(e)
	case ReadDone:
		h.handleRead(now, e)
		return h.nextActions(now)
	}
	return nil
}

// nextActions returns the read or the renewal that is due.
func (h *Holder) nextActions(now time.Time) []Action {
	if h.phase != idle || h.displaced || h.exited || now.Before(h.nextCallAt) {
		return nil
	}
	if h.lost && h.pinned {
		return nil
	}
	if !h.known {
		h.phase = reading
		h.nextCallAt = now.Add(h.cfg.RenewInterval)
		return []Action{Read{}}
	}
	return []Action{h.renew(now)}
}

// renew starts the next renewal and returns its write. If the daemon exits, the lease ends
// at once for the holder.
func (h *Holder) renew(now time.Time) Write {
	h.phase = writing
	h.sequence++
	h.renewalSentAt = now
	h.nextCallAt = now.Add(h.cfg.RenewInterval)
	h.unackedPeers = slices.Clone(h.unackedPeers)
	for _, p := range h.peers {
		if !slices.Contains(h.unackedPeers, p) {
			h.unackedPeers = append(h.unackedPeers, p)
		}
	}
	if h.exiting {
		h.validUntil = time.Time{}
	}
	return Write{Base: h.version, Record: Record{
		Session:  h.session,
		Sequence: h.sequence,
		Duration: h.cfg.Duration,
		Peers:    h.peers,
		Exited:   h.exiting,
	}}
}

func (h *Holder) handleWrite(e WriteDone) []Action {
	if h.phase != writing {
		return nil
	}
	h.phase = idle
	switch e.Outcome {
	case WriteOK:
		h.confirm(e.Version, h.peers)
	case WriteConflict, WriteUnknown:
		h.phase = reading
		h.known = false
		return []Action{Read{}}
	}
	return nil
}

// confirm records that the last renewal has taken effect. It extends the lease to Duration
// after the renewal was sent, or ends the lease if the renewal recorded the exit.
func (h *Holder) confirm(v Version, peers []Session) {
	h.version, h.known, h.everHeld, h.lost = v, true, true, false
	h.ackedPeers = slices.Clone(peers)
	h.unackedPeers = nil
	h.validUntil = h.renewalSentAt.Add(h.cfg.Duration)
	if h.exiting {
		h.exited = true
		h.validUntil = time.Time{}
	}
}

func (h *Holder) handleRead(now time.Time, e ReadDone) {
	if h.phase != reading {
		return
	}
	h.phase = idle
	if !e.OK {
		return
	}
	h.version, h.known = e.Version, true
	switch {
	case !e.Found:
		h.version = 0
		if h.everHeld {
			h.loseLease()
		}
	case !e.Record.SameIncarnation(h.session):
		h.handleOtherIncarnation(now, e)
		return
	case e.Record.Term != h.session.Term:
	case e.Record.Broken:
		h.loseLease()
	case e.Record.Sequence == h.sequence:
		h.confirm(e.Version, e.Record.Peers)
		return
	}
	h.nextCallAt = now
}

// handleOtherIncarnation handles a lease object that another incarnation of the same daemon
// wrote. If this incarnation has held the lease, it is displaced. Otherwise it waits until
// the lease of the other incarnation has expired, because that incarnation may be alive.
func (h *Holder) handleOtherIncarnation(now time.Time, e ReadDone) {
	if h.everHeld {
		h.displaced = true
		h.loseLease()
		return
	}
	if e.Version != h.otherVersion {
		h.otherVersion, h.otherSeenAt = e.Version, now
	}
	h.nextCallAt = now
	if !e.Record.Broken && !e.Record.Exited {
		h.nextCallAt = h.otherSeenAt.Add(e.Record.Duration + h.cfg.ClockMargin)
	}
}

// loseLease starts a new term without a lease.
func (h *Holder) loseLease() {
	h.session.Term++
	h.validUntil = time.Time{}
	h.lost = true
	h.ackedPeers, h.unackedPeers = nil, nil
}
