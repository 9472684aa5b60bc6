// Package suspects detects requests that crash upstreams, and refuses them.
//
// A request is identified by a fingerprint of its content. When an upstream
// crashes, the requests in flight on the upstream become suspect. A suspect runs
// only alone, with no other request on its upstream. If the suspect completes, it is
// cleared. If the upstream crashes again, the crash counts against the suspect. A
// single crash is not sufficient evidence, because upstreams also restart for other
// reasons. All daemons refuse a fingerprint once enough crashes confirm that it
// causes them.
package suspects

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// ConfirmedCrashLimit is the number of crashes after which a fingerprint is
	// refused if the request ran alone during at least one of these crashes.
	ConfirmedCrashLimit = 2
	// CrashLimit is the number of crashes after which a fingerprint is refused even
	// if the request ran alone during none of them.
	CrashLimit = 3
	// SuspicionTTL is how long a fingerprint stays suspect after its last crash.
	SuspicionTTL = time.Hour
	// RefusalTTL is how long a fingerprint is refused after its last crash.
	RefusalTTL = 7 * 24 * time.Hour
	// MaxEntries bounds the entries of a table. Entries that are not confirmed are
	// dropped first, in the order of their last crash.
	MaxEntries = 16384
	// maxCompleted bounds the number of fingerprints of completed requests that a
	// table keeps.
	maxCompleted = 8192
)

// Fingerprint identifies the content of a request.
type Fingerprint uint64

// CrashID identifies a crash of an upstream by the boot that ended with the crash.
type CrashID struct {
	Upstream state.UpstreamID `cbor:"1,keyasint" json:"upstream"`
	Boot     state.BootID     `cbor:"2,keyasint" json:"boot"`
}

// Crash records that an upstream crashed while a request ran on it.
type Crash struct {
	ID CrashID `cbor:"1,keyasint" json:"id"`
	// Alone is set if no other request ran on the upstream.
	Alone bool `cbor:"2,keyasint" json:"alone"`
	// Cleared is set if the request later ran alone and completed.
	Cleared bool `cbor:"3,keyasint" json:"cleared"`
}

// Entry holds the crashes during which requests with a fingerprint were in flight.
// Merging the entries of several daemons is commutative and idempotent, so entries may
// arrive in any order and repeatedly.
type Entry struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Crashes     []Crash     `cbor:"2,keyasint" json:"crashes"`
	LastCrash   time.Time   `cbor:"3,keyasint" json:"last"`
}

// Verdict is the decision about how a request may run.
type Verdict uint8

// Verdicts.
const (
	Clean   Verdict = iota // the request may run without restriction
	Suspect                // the request may run only alone on an upstream
	Refused                // the request must not run
)

// Verdict returns the verdict that the crashes of an entry lead to.
func (e *Entry) Verdict(now time.Time) Verdict {
	count, _ := e.uncleared()
	age := now.Sub(e.LastCrash)
	switch {
	case count == 0:
		return Clean
	case e.confirmed() && age < RefusalTTL:
		return Refused
	case age < SuspicionTTL:
		return Suspect
	}
	return Clean
}

// confirmed reports whether the crashes are sufficient evidence that the request
// causes them.
func (e *Entry) confirmed() bool {
	count, alone := e.uncleared()
	return alone && count >= ConfirmedCrashLimit || count >= CrashLimit
}

// uncleared returns the number of crashes that still count against the request, and
// whether the request ran alone during at least one of these crashes.
func (e *Entry) uncleared() (count int, alone bool) {
	for _, c := range e.Crashes {
		if c.Cleared {
			continue
		}
		count++
		alone = alone || c.Alone
	}
	return count, alone
}

// Table holds the entries that a daemon has created or received from other daemons. It
// is not safe for concurrent use.
type Table struct {
	entries map[Fingerprint]*Entry
	// completed holds the fingerprints of requests that recently completed. A
	// fingerprint is removed if its request runs alone during a later crash.
	completed      map[Fingerprint]struct{}
	completedOrder []Fingerprint // keys of completed, oldest first
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Fingerprint]*Entry), completed: make(map[Fingerprint]struct{})}
}

// Verdict returns the verdict on a fingerprint.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	e := t.entries[f]
	if e == nil {
		return Clean
	}
	return e.Verdict(now)
}

// RecordCrash records a crash of an upstream for the requests that were in flight on
// the upstream. It returns the changed entries, which the caller sends to the other
// daemons. If several requests were in flight, those whose fingerprint recently
// completed do not become suspect.
func (t *Table) RecordCrash(now time.Time, id CrashID, running []Fingerprint) []Entry {
	alone := len(running) == 1
	var changed []Entry
	for _, f := range running {
		if _, ok := t.completed[f]; ok && !alone {
			continue
		}
		delete(t.completed, f)
		e := t.entry(f)
		e.add(Crash{ID: id, Alone: alone})
		e.LastCrash = now
		changed = append(changed, e.clone())
	}
	t.trim()
	return changed
}

// RecordCompletion records that a request completed. If the request was a suspect that
// ran alone, RecordCompletion clears the suspect and returns its changed entry, which
// the caller sends to the other daemons, and true.
func (t *Table) RecordCompletion(now time.Time, f Fingerprint, alone bool) (Entry, bool) {
	e := t.entries[f]
	if e == nil {
		t.recordCompleted(f)
		return Entry{}, false
	}
	if !alone || e.Verdict(now) != Suspect {
		return Entry{}, false
	}
	for i := range e.Crashes {
		e.Crashes[i].Cleared = true
	}
	t.recordCompleted(f)
	return e.clone(), true
}

// Merge merges the entries of another daemon into the table and returns the entries
// that changed.
func (t *Table) Merge(entries []Entry) []Entry {
	var changed []Entry
	for _, in := range entries {
		e := t.entry(in.Fingerprint)
		if e.merge(&in) {
			changed = append(changed, e.clone())
		}
	}
	t.trim()
	return changed
}

// Remove removes the entry of a fingerprint.
func (t *Table) Remove(f Fingerprint) { delete(t.entries, f) }

// Entries returns all entries, ordered by fingerprint.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.clone())
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Expire removes entries whose verdict is Clean and whose last crash is older than
// SuspicionTTL.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if e.Verdict(now) == Clean && now.Sub(e.LastCrash) >= SuspicionTTL {
			delete(t.entries, f)
		}
	}
}

// entry returns the entry of a fingerprint, and creates it if there is none.
func (t *Table) entry(f Fingerprint) *Entry {
	e := t.entries[f]
	if e == nil {
		e = &Entry{Fingerprint: f}
		t.entries[f] = e
	}
	return e
}

func (t *Table) recordCompleted(f Fingerprint) {
	if _, ok := t.completed[f]; ok {
		return
	}
	t.completed[f] = struct{}{}
	t.completedOrder = append(t.completedOrder, f)
	if len(t.completedOrder) > maxCompleted {
		delete(t.completed, t.completedOrder[0])
		t.completedOrder = t.completedOrder[1:]
	}
}

// trim removes entries until at most MaxEntries remain. It removes entries with the
// oldest last crash first, and confirmed entries only after all others.
func (t *Table) trim() {
	if len(t.entries) <= MaxEntries {
		return
	}
	all := t.Entries()
	slices.SortStableFunc(all, func(a, b Entry) int {
		if a.confirmed() != b.confirmed() {
			return boolOrder(a.confirmed()) - boolOrder(b.confirmed())
		}
		return a.LastCrash.Compare(b.LastCrash)
	})
	for _, e := range all[:len(all)-MaxEntries] {
		delete(t.entries, e.Fingerprint)
	}
}

// merge adds the crashes of other and reports whether the entry changed.
func (e *Entry) merge(other *Entry) bool {
	changed := false
	for _, c := range other.Crashes {
		changed = e.add(c) || changed
	}
	if other.LastCrash.After(e.LastCrash) {
		e.LastCrash, changed = other.LastCrash, true
	}
	return changed
}

// add adds a crash to the entry and reports whether the entry changed. If the entry
// holds a crash with the same ID, add merges the two.
func (e *Entry) add(c Crash) bool {
	i, found := slices.BinarySearchFunc(e.Crashes, c, compareCrashes)
	if !found {
		e.Crashes = slices.Insert(e.Crashes, i, c)
		return true
	}
	old := e.Crashes[i]
	e.Crashes[i].Alone = old.Alone || c.Alone
	e.Crashes[i].Cleared = old.Cleared || c.Cleared
	return e.Crashes[i] != old
}

func (e *Entry) clone() Entry {
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.ID.Upstream, b.ID.Upstream), cmp.Compare(a.ID.Boot, b.ID.Boot))
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}
