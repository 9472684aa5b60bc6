package suspects

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// PermitTTL is how long a permit to run a suspect alone is valid. If the daemon has
// not released the permit by then, the run counts as a crash.
const PermitTTL = 2 * time.Minute

// Decision is the tracker's answer to a daemon that asks to run a suspect.
type Decision uint8

// Decisions of a Tracker.
const (
	RunFreely     Decision = iota + 1 // the request is no longer suspect
	RunAlone                          // the daemon holds the permit and must release it
	WaitForPermit                     // another run holds the permit
	Refuse                            // the request must not run
)

// permit allows one daemon to run a suspect alone.
type permit struct {
	holder  state.DaemonID
	expires time.Time
	serial  uint64
}

// Tracker issues permits to run suspects alone, at most one per fingerprint at a
// time in the whole fleet. Every fingerprint is assigned to the tracker of one
// daemon; daemons with the same view of the membership choose the same one. It is
// not safe for concurrent use.
type Tracker struct {
	table   *Table
	permits map[Fingerprint]permit
	issued  uint64
}

// NewTracker returns a tracker that reads verdicts from table and records runs that
// were not reported there.
func NewTracker(table *Table) *Tracker {
	return &Tracker{table: table, permits: make(map[Fingerprint]permit)}
}

// Acquire decides on the request of daemon by to run a fingerprint.
func (t *Tracker) Acquire(now time.Time, f Fingerprint, by state.DaemonID) Decision {
	t.expire(now, f)
	switch t.table.Verdict(now, f) {
	case Clean:
		return RunFreely
	case Refused:
		return Refuse
	}
	if _, taken := t.permits[f]; taken {
		return WaitForPermit
	}
	t.issued++
	t.permits[f] = permit{holder: by, expires: now.Add(PermitTTL), serial: t.issued}
	return RunAlone
}

// Release ends a permit. The result of the run must be in the table by then.
func (t *Tracker) Release(f Fingerprint, by state.DaemonID) {
	if p, ok := t.permits[f]; ok && p.holder == by {
		delete(t.permits, f)
	}
}

// Expire ends the permits that were not released in time, records a crash for each,
// and returns the changed entries.
func (t *Tracker) Expire(now time.Time) []Entry {
	var changed []Entry
	for f := range t.permits {
		changed = append(changed, t.expire(now, f)...)
	}
	return changed
}

// expire ends the permit of a fingerprint if it has expired. Its run then counts as
// a crash with a synthetic CrashID, because the permit does not name the upstream.
func (t *Tracker) expire(now time.Time, f Fingerprint) []Entry {
	p, ok := t.permits[f]
	if !ok || now.Before(p.expires) {
		return nil
	}
	delete(t.permits, f)
	id := CrashID{Upstream: state.UpstreamID("unreported by " + string(p.holder)), Boot: state.BootID(p.expires.UTC().Format(time.RFC3339Nano))}
	e := t.table.entry(f)
	e.merge(&Entry{Fingerprint: f, Crashes: []Crash{{ID: id, Alone: true}}, LastCrash: now})
	return []Entry{e.clone()}
}
