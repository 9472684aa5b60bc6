package lease

import (
	"slices"
	"time"
)

// HolderConfig sets up a Holder.
type HolderConfig struct {
	Session       Session // term 1 of this run
	RenewInterval time.Duration
	Duration      time.Duration
	// ClockMargin covers the difference between the rates of two monotonic clocks.
	ClockMargin time.Duration
}

type phase uint8

const (
	idle phase = iota
	writing
	reading
)

// Holder renews the lease of its own daemon.
type Holder struct {
	cfg       HolderConfig
	session   Session
	phase     phase
	known     bool // version is that of the last read or written object
	held      bool // this run has held the lease
	displaced bool // another run of the same daemon holds the lease
	lost      bool // the lease was broken and no new term has begun
	hold      bool
	exiting   bool
	exited    bool
	version   Version
	foreign   Version   // version of the object of another run
	foreignAt time.Time // when that version was read first
	sequence  uint64
	sentAt    time.Time // when the last renewal was sent
	nextAt    time.Time
	until     time.Time
	peers     []Session
	sent      []Session // peers named by renewals sent since the last acknowledged one
	acked     []Session // peers named by the last acknowledged renewal
}

// NewHolder returns a holder without a lease.
func NewHolder(cfg HolderConfig) Holder { return Holder{cfg: cfg, session: cfg.Session} }

// Session returns the current session. It changes when the lease was broken.
func (h *Holder) Session() Session { return h.session }

// ValidUntil returns the moment up to which the lease is valid.
func (h *Holder) ValidUntil() time.Time { return h.until }

// Displaced reports that another run of the same daemon has taken the lease. The
// daemon must not act any more.
func (h *Holder) Displaced() bool { return h.displaced }

// Exited reports that the end of the daemon is recorded.
func (h *Holder) Exited() bool { return h.exited }

// PotentialBreakers returns the peers that may break the lease at once: those of the last
// acknowledged renewal and of every later one, which may have taken effect.
func (h *Holder) PotentialBreakers() []Session {
	all := slices.Clone(h.acked)
	for _, p := range h.sent {
		if !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	return all
}

// Handle takes an event and returns what to do.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return h.tick(now)
	case SetPeers:
		if !h.hold {
			h.peers = slices.Clone(e.Peers)
		}
	case PinPeers:
		h.hold = e.On
	case Exit:
		h.exiting = true
		h.nextAt = now
		return h.tick(now)
	case WriteDone:
		return h.writeDone(e)
	case ReadDone:
		h.readDone(now, e)
		return h.tick(now)
	}
	return nil
}

func (h *Holder) tick(now time.Time) []Action {
	if h.phase != idle || h.displaced || h.exited || now.Before(h.nextAt) {
		return nil
	}
	if h.lost && h.hold {
		return nil
	}
	if !h.known {
		h.phase = reading
		h.nextAt = now.Add(h.cfg.RenewInterval)
		return []Action{Read{}}
	}
	return []Action{h.renew(now)}
}

func (h *Holder) renew(now time.Time) Write {
	h.phase = writing
	h.sequence++
	h.sentAt = now
	h.nextAt = now.Add(h.cfg.RenewInterval)
	h.sent = slices.Clone(h.sent)
	for _, p := range h.peers {
		if !slices.Contains(h.sent, p) {
			h.sent = append(h.sent, p)
		}
	}
	if h.exiting {
		h.until = time.Time{}
	}
	return Write{Base: h.version, Record: Record{
		Session:  h.session,
		Sequence: h.sequence,
		Duration: h.cfg.Duration,
		Peers:    h.peers,
		Exited:   h.exiting,
	}}
}

func (h *Holder) writeDone(e WriteDone) []Action {
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

// confirm notes that the last renewal took effect. The lease counts from the
// moment it was sent.
func (h *Holder) confirm(v Version, peers []Session) {
	h.version, h.known, h.held, h.lost = v, true, true, false
	h.acked = slices.Clone(peers)
	h.sent = nil
	h.until = h.sentAt.Add(h.cfg.Duration)
	if h.exiting {
		h.exited = true
		h.until = time.Time{}
	}
}

func (h *Holder) readDone(now time.Time, e ReadDone) {
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
		if h.held {
			h.lose()
		}
	case !e.Record.SameIncarnation(h.session):
		h.otherRun(now, e)
		return
	case e.Record.Term != h.session.Term:
	case e.Record.Broken:
		h.lose()
	case e.Record.Sequence == h.sequence:
		h.confirm(e.Version, e.Record.Peers)
		return
	}
	h.nextAt = now
}

// otherRun handles a lease object of another run of the same daemon. An earlier
// run may still be alive, so its lease is waited out.
func (h *Holder) otherRun(now time.Time, e ReadDone) {
	if h.held {
		h.displaced = true
		h.lose()
		return
	}
	if e.Version != h.foreign {
		h.foreign, h.foreignAt = e.Version, now
	}
	h.nextAt = now
	if !e.Record.Broken && !e.Record.Exited {
		h.nextAt = h.foreignAt.Add(e.Record.Duration + h.cfg.ClockMargin)
	}
}

// lose starts a new term without a lease.
func (h *Holder) lose() {
	h.session.Term++
	h.until = time.Time{}
	h.lost = true
	h.acked, h.sent = nil, nil
}
