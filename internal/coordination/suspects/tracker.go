package suspects

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// PermitTTL is how long a permit to run a suspect alone is valid. If the daemon that
// holds the permit has not released it within this time, the run counts as a crash.
const PermitTTL = 2 * time.Minute

// Decision is the tracker's answer to a daemon that asks to run a suspect.
type Decision uint8

// Decisions of a Tracker.
const (
	RunFreely     Decision = iota + 1 // the request is no longer suspect
	RunAlone                          // the daemon got the permit and must release it after the run
	WaitForPermit                     // another run of the suspect holds the permit
	Refuse                            // the request must not run
)

// permit allows one daemon to run a suspect alone.
type permit struct {
	holder  state.DaemonID
	expires time.Time
	serial  uint64
}

// Tracker issues permits to run suspects alone, at most one permit for a fingerprint
// at a time. Each fingerprint is assigned to the tracker of one daemon, so the limit
// holds for the whole fleet as long as all daemons have the same view of the
// membership. A Tracker is not safe for concurrent use.
type Tracker struct {
	table   *Table
	permits map[Fingerprint]permit
	issued  uint64
	expired []Entry // changed by permits that expired in Acquire, for the next Expire
}

// NewTracker returns a tracker that reads verdicts from table. It records a crash in
// the table for each permit that is not released in time.
func NewTracker(table *Table) *Tracker {
	return &Tracker{table: table, permits: make(map[Fingerprint]permit)}
}

// Acquire decides whether the daemon by may run a request with a fingerprint. If the
// decision is RunAlone, the daemon holds the permit. A permit that has expired ends
// first, as in Expire.
func (t *Tracker) Acquire(now time.Time, f Fingerprint, by state.DaemonID) Decision {
	t.expired = append(t.expired, t.expire(now, f)...)
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

// Release ends the permit of a fingerprint if the daemon by holds it. The caller must
// record the result of the run in the table first.
func (t *Tracker) Release(f Fingerprint, by state.DaemonID) {
	if p, ok := t.permits[f]; ok && p.holder == by {
		delete(t.permits, f)
	}
}

// Expire ends the permits that were not released in time. It records a crash for each
// of them and returns the entries that changed since the last call.
func (t *Tracker) Expire(now time.Time) []Entry {
	changed := t.expired
	t.expired = nil
	for f := range t.permits {
		changed = append(changed, t.expire(now, f)...)
	}
	return changed
}

// expire ends the permit of a fingerprint if the permit has expired. It then records a
// crash of a request that ran alone and returns the changed entry. The CrashID is
// synthetic, because the permit does not name the upstream.
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
