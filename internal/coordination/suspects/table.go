// Package suspects decides what to do with requests that may crash upstreams.
//
// When an upstream crashes, everything that ran on it is suspect, by a
// fingerprint of its content. A suspect runs only alone, so that a further crash
// proves its guilt and a whole answer its innocence. One crash alone proves
// nothing: upstreams also restart for other reasons. A guilty fingerprint is
// refused everywhere.
package suspects

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// ConfirmedCrashLimit is the number of crashes, one of them alone, after which a
	// fingerprint is refused.
	ConfirmedCrashLimit = 2
	// CrashLimit is the number of crashes after which a fingerprint is refused
	// even if none of them happened alone.
	CrashLimit = 3
	// SuspicionTTL is how long a suspicion lasts without a new crash.
	SuspicionTTL = time.Hour
	// RefusalTTL is how long a fingerprint is refused after its last crash.
	RefusalTTL = 7 * 24 * time.Hour
	// MaxEntries bounds the table. The oldest suspicions are dropped first.
	MaxEntries = 16384
	// clearedKept is the number of fingerprints that are known to be innocent.
	clearedKept = 8192
)

// Fingerprint identifies the content of a request.
type Fingerprint uint64

// CrashID identifies one crash of an upstream: the run that ended.
type CrashID struct {
	Upstream state.UpstreamID `cbor:"1,keyasint" json:"upstream"`
	Boot     state.BootID     `cbor:"2,keyasint" json:"boot"`
}

// Crash is a crash of an upstream while a request ran on it.
type Crash struct {
	ID CrashID `cbor:"1,keyasint" json:"id"`
	// Alone reports that nothing else ran on the upstream.
	Alone bool `cbor:"2,keyasint" json:"alone"`
	// Cleared reports that the request later ran alone to its end.
	Cleared bool `cbor:"3,keyasint" json:"cleared"`
}

// Entry is what is known of a fingerprint. Entries of two daemons merge into one
// without regard to order or repetition.
type Entry struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Crashes     []Crash     `cbor:"2,keyasint" json:"crashes"`
	LastCrash   time.Time   `cbor:"3,keyasint" json:"last"` // last crash
}

// Verdict says how a request may run.
type Verdict uint8

// Verdicts.
const (
	Clean   Verdict = iota // runs like any other
	Suspect                // runs only alone
	Refused                // does not run
)

// Verdict returns the verdict over an entry.
func (e *Entry) Verdict(now time.Time) Verdict {
	count, _ := e.open()
	age := now.Sub(e.LastCrash)
	switch {
	case count == 0:
		return Clean
	case e.guilty() && age < RefusalTTL:
		return Refused
	case age < SuspicionTTL:
		return Suspect
	}
	return Clean
}

// guilty reports whether the crashes prove that the request causes them.
func (e *Entry) guilty() bool {
	count, alone := e.open()
	return alone && count >= ConfirmedCrashLimit || count >= CrashLimit
}

// open counts the crashes that the request was not cleared of, and reports whether
// one of them happened while it ran alone.
func (e *Entry) open() (count int, alone bool) {
	for _, c := range e.Crashes {
		if c.Cleared {
			continue
		}
		count++
		alone = alone || c.Alone
	}
	return count, alone
}

// Table holds the entries of a daemon. It is not safe for concurrent use.
type Table struct {
	entries  map[Fingerprint]*Entry
	innocent map[Fingerprint]struct{}
	order    []Fingerprint // of innocent, oldest first
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Fingerprint]*Entry), innocent: make(map[Fingerprint]struct{})}
}

// Verdict returns the verdict over a fingerprint.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	e := t.entries[f]
	if e == nil {
		return Clean
	}
	return e.Verdict(now)
}

// RecordCrash notes a crash with what ran on the upstream. It returns the entries to
// tell other daemons. A fingerprint that has lately run to its end elsewhere is
// not suspected of a crash that it shared with others.
func (t *Table) RecordCrash(now time.Time, id CrashID, running []Fingerprint) []Entry {
	alone := len(running) == 1
	var changed []Entry
	for _, f := range running {
		if _, ok := t.innocent[f]; ok && !alone {
			continue
		}
		delete(t.innocent, f)
		e := t.entry(f)
		e.add(Crash{ID: id, Alone: alone})
		e.LastCrash = now
		changed = append(changed, e.clone())
	}
	t.trim()
	return changed
}

// RecordCompletion notes that a request ran to its end. It returns the entry to tell
// other daemons when this clears a suspect that ran alone.
func (t *Table) RecordCompletion(now time.Time, f Fingerprint, alone bool) (Entry, bool) {
	e := t.entries[f]
	if e == nil {
		t.noteInnocent(f)
		return Entry{}, false
	}
	if !alone || e.Verdict(now) != Suspect {
		return Entry{}, false
	}
	for i := range e.Crashes {
		e.Crashes[i].Cleared = true
	}
	t.noteInnocent(f)
	return e.clone(), true
}

// Merge takes the entries of another daemon and returns those that told something
// new.
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

// Remove removes a fingerprint, as an operator may order.
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

// Expire drops the entries that no longer have an effect.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if e.Verdict(now) == Clean && now.Sub(e.LastCrash) >= SuspicionTTL {
			delete(t.entries, f)
		}
	}
}

func (t *Table) entry(f Fingerprint) *Entry {
	e := t.entries[f]
	if e == nil {
		e = &Entry{Fingerprint: f}
		t.entries[f] = e
	}
	return e
}

func (t *Table) noteInnocent(f Fingerprint) {
	if _, ok := t.innocent[f]; ok {
		return
	}
	t.innocent[f] = struct{}{}
	t.order = append(t.order, f)
	if len(t.order) > clearedKept {
		delete(t.innocent, t.order[0])
		t.order = t.order[1:]
	}
}

// trim keeps the table within its bound. Refused entries are dropped last.
func (t *Table) trim() {
	if len(t.entries) <= MaxEntries {
		return
	}
	all := t.Entries()
	slices.SortStableFunc(all, func(a, b Entry) int {
		if a.guilty() != b.guilty() {
			return boolOrder(a.guilty()) - boolOrder(b.guilty())
		}
		return a.LastCrash.Compare(b.LastCrash)
	})
	for _, e := range all[:len(all)-MaxEntries] {
		delete(t.entries, e.Fingerprint)
	}
}

// merge takes over what other knows and reports whether anything was new.
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

// add takes over a crash and reports whether it told something new.
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
