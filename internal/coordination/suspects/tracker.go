package suspects

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// PermitTTL is how long a permit to run a suspect alone lasts. A run that is not
// reported by then counts as a crash.
const PermitTTL = 2 * time.Minute

// Decision is the tracker's answer to a daemon that wants to run a suspect.
type Decision uint8

// Answers.
const (
	RunFreely     Decision = iota + 1 // the request is not suspect any more
	RunAlone                          // run it alone and report the result
	WaitForPermit                     // another daemon runs it alone now
	Refuse                            // it must not run
)

// grant is a permit that has not been reported back.
type grant struct {
	holder state.DaemonID
	until  time.Time
	number uint64
}

// Tracker admits one run of each suspect at a time over the whole fleet. The
// tracker of a fingerprint is one daemon, the same for all that see the same
// members. It is not safe for concurrent use.
type Tracker struct {
	table  *Table
	grants map[Fingerprint]grant
	issued uint64
}

// NewTracker returns a tracker over a table.
func NewTracker(table *Table) *Tracker {
	return &Tracker{table: table, grants: make(map[Fingerprint]grant)}
}

// Acquire answers a daemon that wants to run a fingerprint.
func (t *Tracker) Acquire(now time.Time, f Fingerprint, by state.DaemonID) Decision {
	t.expire(now, f)
	switch t.table.Verdict(now, f) {
	case Clean:
		return RunFreely
	case Refused:
		return Refuse
	}
	if _, busy := t.grants[f]; busy {
		return WaitForPermit
	}
	t.issued++
	t.grants[f] = grant{holder: by, until: now.Add(PermitTTL), number: t.issued}
	return RunAlone
}

// Release ends a permit. The result has reached the table before.
func (t *Tracker) Release(f Fingerprint, by state.DaemonID) {
	if g, ok := t.grants[f]; ok && g.holder == by {
		delete(t.grants, f)
	}
}

// Expire ends the permits whose holders did not report.
func (t *Tracker) Expire(now time.Time) []Entry {
	var changed []Entry
	for f := range t.grants {
		changed = append(changed, t.expire(now, f)...)
	}
	return changed
}

// expire counts a permit that ran out as a crash of its holder's run.
func (t *Tracker) expire(now time.Time, f Fingerprint) []Entry {
	g, ok := t.grants[f]
	if !ok || now.Before(g.until) {
		return nil
	}
	delete(t.grants, f)
	id := CrashID{Upstream: state.UpstreamID("unreported by " + string(g.holder)), Boot: state.BootID(g.until.UTC().Format(time.RFC3339Nano))}
	e := t.table.entry(f)
	e.merge(&Entry{Fingerprint: f, Crashes: []Crash{{ID: id, Alone: true}}, LastCrash: now})
	return []Entry{e.clone()}
}
