// Package quarantine detects requests that crash upstreams, so that they are refused before
// they crash further ones.
//
// A request is known by its traits: its content, which stays the same when the caller resends
// it, and the parts of its prompt that other requests share. When an upstream crashes, the crash
// counts against the traits of the runs that had only just begun there, and of those that had not
// begun. A run that gets past its beginning shows that its traits were innocent until then, so that
// only later crashes count. A trait with enough crashes is refused.
//
// Most requests that break in a crash only ran beside the one that caused it. So prompt parts are
// refused in the order of the crashes that they explain, and a crash that a refused part explains
// counts against nothing else.
//
// Parts that were in the same crashes are refused together, although some are innocent. A request
// with only some of them is admitted as a trial now and then: if it gets past its beginning, its
// parts are no longer refused, and if its upstream crashes, the others are not.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// contentCrashLimit is the number of crashes after which a content is refused.
	contentCrashLimit = 2
	// partCrashLimit is the number of crashes after which a prompt part is refused. It is
	// higher than contentCrashLimit, as a refused part stops more requests.
	partCrashLimit = 3
	// ConfirmDelay is the time from the first crash that counts against a prompt part until the
	// part may be refused. Meanwhile the peers of a small fleet report runs that got past their beginning;
	// a later report ends the refusal.
	ConfirmDelay = 500 * time.Millisecond
	// survivalTTL is how long after a run got past its beginning a crash of its prompt parts is taken
	// for one with another reason: a part is refused after more crashes and time then.
	survivalTTL = 10 * time.Second
	// servedCrashLimit and servedConfirmDelay are in place of partCrashLimit and ConfirmDelay for prompt
	// parts that survived within survivalTTL before the first crash. Such a part is usually served
	// again before.
	servedCrashLimit   = 5
	servedConfirmDelay = 1500 * time.Millisecond
	// survivalReportInterval is the minimum time between two survivals with a trait that are both
	// reported to further peers.
	survivalReportInterval = time.Second
	// suspicionTTL is the time after its last crash in which further crashes add to a record
	// that does not suffice for a refusal.
	suspicionTTL = 2 * time.Minute
	// trialInterval is the minimum time between two trials of a prompt part at a daemon. Within it a
	// trial gets past its beginning, or its crash reaches the peers.
	trialInterval = time.Second
	// RefusalTTL is how long a trait is refused after its last crash. Later requests are sent
	// again, and one further crash renews the refusal.
	RefusalTTL = 10 * time.Minute
	recordTTL  = time.Hour // time from the last crash until a record may be evicted

	maxRecords          = 4096
	maxSurvivals        = 16384
	maxCrashesPerRecord = 256
	maxRepeatedCrashes  = 256
)

// Kind says what a trait identifies.
type Kind uint8

// Kinds of traits.
const (
	Content    Kind = iota // method, path and body of a request
	PromptPart             // a part of the prompt that other requests may share
)

// String returns the name of a kind for logs.
func (k Kind) String() string {
	if k == PromptPart {
		return "prompt part"
	}
	return "content"
}

// Trait is what requests that crash upstreams may have in common.
type Trait struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// Crash records that an upstream crashed at the beginning of a run with a trait, or before it.
type Crash struct {
	ID       uint64           `cbor:"1,keyasint"` // of the trait
	Upstream state.UpstreamID `cbor:"2,keyasint"`
	Boot     int64            `cbor:"3,keyasint,omitempty"` // start of the upstream, Unix milliseconds
	Kind     Kind             `cbor:"4,keyasint,omitempty"` // of the trait
	// Age is the time since the crash, for reports to peers.
	Age time.Duration `cbor:"5,keyasint,omitempty" json:"-"`
}

// Trait returns the trait that the crash counts against.
func (c Crash) Trait() Trait { return Trait{Kind: c.Kind, ID: c.ID} }

// Survival reports that a run with a trait got past its beginning.
type Survival struct {
	Kind Kind          `cbor:"1,keyasint"` // of the trait
	ID   uint64        `cbor:"2,keyasint"` // of the trait
	Age  time.Duration `cbor:"3,keyasint,omitempty"`
}

// Trait returns the trait of the run.
func (s Survival) Trait() Trait { return Trait{Kind: s.Kind, ID: s.ID} }

// boot is one run of an upstream. It ends with at most one crash.
type boot struct {
	upstream state.UpstreamID
	start    int64
}

// record holds the crashes that count against one trait.
type record struct {
	crashes   map[boot]time.Time // when each crash came
	lastCrash time.Time
}

// unexplained returns the number of crashes that no refused prompt part explains, and when the
// first of them came.
func (r *record) unexplained(causes map[boot][]Trait) (count int, first time.Time) {
	for b, at := range r.crashes {
		if len(causes[b]) > 0 {
			continue
		}
		if count++; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return count, first
}

// Change is the begin or the end of a refusal.
type Change struct {
	Trait   Trait
	Refused bool
	Crashes int // that count against the trait
}

// Table holds the crashes that count against traits, and the traits that are refused because of
// them. It is not safe for concurrent use.
type Table struct {
	records   map[Trait]*record
	survivals map[Trait]time.Time // when a run with a prompt part last got past its beginning, at any daemon

	refused     map[Trait]bool
	causes      map[boot][]Trait    // the refused prompt parts that a crash counts against
	trials      map[Trait]time.Time // when a request with a refused prompt part was last admitted
	changes     []Change            // of refused, see Changes
	isStale     bool                // a crash or a survival was recorded after refused was computed
	nextRefusal time.Time           // when a trait may be added to refused without a further crash; zero for never
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: make(map[Trait]*record), survivals: make(map[Trait]time.Time), refused: make(map[Trait]bool), trials: make(map[Trait]time.Time),
	}
}

// RecordCrash records a crash that this daemon or a peer observed. It reports whether the crash
// is new and counts. If the table is full, RecordCrash evicts records first.
func (t *Table) RecordCrash(now time.Time, c Crash) bool {
	trait := c.Trait()
	at := now.Add(-c.Age)
	if !at.After(t.survivals[trait]) {
		return false
	}
	r := t.records[trait]
	if r != nil && at.Sub(r.lastCrash) >= suspicionTTL && len(r.crashes) < crashLimit(trait.Kind) {
		r = nil
	}
	if r == nil {
		if len(t.records) >= maxRecords {
			t.evict(now)
		}
		r = &record{crashes: make(map[boot]time.Time)}
		t.records[trait] = r
	}
	b := boot{c.Upstream, c.Boot}
	if _, ok := r.crashes[b]; ok || len(r.crashes) >= maxCrashesPerRecord {
		return false
	}
	r.crashes[b] = at
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	t.isStale = true
	return true
}

// RecordSurvival records that a run of this daemon with a trait got past its beginning, which
// removes the crashes that count against the trait. It reports whether there were any.
func (t *Table) RecordSurvival(now time.Time, trait Trait) bool {
	if trait.Kind == PromptPart {
		t.setSurvival(now, trait, now)
	}
	return t.clear(trait, now)
}

// RecordPeerSurvival records a survival that a peer reports. It reports whether the survival is
// new, so that it is to be reported to further peers.
func (t *Table) RecordPeerSurvival(now time.Time, report Survival) bool {
	trait, at := report.Trait(), now.Add(-report.Age)
	isNew := at.Sub(t.survivals[trait]) >= survivalReportInterval
	t.setSurvival(now, trait, at)
	return t.clear(trait, at) || isNew
}

// LastSurvival returns the last survival with the trait of a crash that a peer reports. It returns
// false if that was so long before the crash that it does not matter.
func (t *Table) LastSurvival(now time.Time, c Crash) (Survival, bool) {
	at, ok := t.survivals[c.Trait()]
	if !ok || now.Add(-c.Age).Sub(at) >= survivalTTL {
		return Survival{}, false
	}
	return Survival{Kind: c.Kind, ID: c.ID, Age: now.Sub(at)}, true
}

// setSurvival records a survival unless a later one is known. If there are too many, it evicts others
// first.
func (t *Table) setSurvival(now time.Time, trait Trait, at time.Time) {
	last, ok := t.survivals[trait]
	if !ok && len(t.survivals) >= maxSurvivals {
		t.expireSurvivals(now)
	}
	if at.After(last) {
		t.survivals[trait] = at
	}
}

// clear removes the crashes until a time that count against a trait, and reports whether there were
// any.
func (t *Table) clear(trait Trait, until time.Time) bool {
	r := t.records[trait]
	if r == nil {
		return false
	}
	count := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ boot, at time.Time) bool { return !at.After(until) })
	if len(r.crashes) == count {
		return false
	}
	t.isStale = true
	if len(r.crashes) > 0 {
		return true
	}
	delete(t.records, trait)
	if t.refused[trait] {
		delete(t.refused, trait)
		t.changes = append(t.changes, Change{Trait: trait})
	}
	return true
}

// Changes returns and removes the changes of the refused traits.
func (t *Table) Changes() []Change {
	list := t.changes
	t.changes = nil
	return list
}

// Admit decides whether a request with the given traits may be sent to an upstream. If not, it
// returns the time after which the request may be admitted. If the request is admitted as a trial
// of refused prompt parts, isTrial is true; the result holds for all attempts while IsRefused is
// false.
func (t *Table) Admit(now time.Time, traits []Trait) (wait time.Duration, isTrial bool) {
	parts, wait := t.refusedAmong(now, traits)
	if wait == 0 || !t.isInDoubt(parts) {
		return wait, false
	}
	wait = 0
	for _, trait := range parts {
		if last, ok := t.trials[trait]; ok {
			wait = max(wait, trialInterval-now.Sub(last))
		}
	}
	if wait > 0 {
		return wait, false
	}
	for _, trait := range parts {
		t.trials[trait] = now
	}
	return 0, true
}

// IsRefused reports whether a request with the given traits must not be sent to any upstream, not
// even as a trial.
func (t *Table) IsRefused(now time.Time, traits []Trait) bool {
	parts, wait := t.refusedAmong(now, traits)
	return wait > 0 && !t.isInDoubt(parts)
}

// RefusalTime returns how long requests with the given traits are refused, apart from trials. It is
// zero if they are not.
func (t *Table) RefusalTime(now time.Time, traits []Trait) time.Duration {
	_, wait := t.refusedAmong(now, traits)
	return wait
}

// refusedAmong returns the refused prompt parts among traits, and how long the request is refused
// because of them. If a content is refused as well, it returns no parts.
func (t *Table) refusedAmong(now time.Time, traits []Trait) (parts []Trait, wait time.Duration) {
	hasRefusedContent := false
	for _, trait := range traits {
		r := t.records[trait]
		if r == nil {
			continue
		}
		t.update(now)
		left := RefusalTTL - now.Sub(r.lastCrash)
		if !t.refused[trait] || left <= 0 {
			continue
		}
		wait = max(wait, left)
		if trait.Kind == Content {
			hasRefusedContent = true
			continue
		}
		parts = append(parts, trait)
	}
	if hasRefusedContent {
		return nil, wait
	}
	return parts, wait
}

// isInDoubt reports whether the crashes may all be due to other refused parts than the given ones:
// too few of the crashes count against these parts alone.
func (t *Table) isInDoubt(parts []Trait) bool {
	if len(parts) == 0 {
		return false
	}
	due := make(map[boot]bool)
	for _, trait := range parts {
		for b := range t.records[trait].crashes {
			if isSubset(t.causes[b], parts) {
				due[b] = true
			}
		}
	}
	return len(due) < partCrashLimit
}

func isSubset(list, of []Trait) bool {
	for _, trait := range list {
		if !slices.Contains(of, trait) {
			return false
		}
	}
	return true
}

// Refused returns the refused traits, ordered by kind and ID.
func (t *Table) Refused(now time.Time) []Trait {
	t.update(now)
	var list []Trait
	for trait := range t.refused {
		if now.Sub(t.records[trait].lastCrash) < RefusalTTL {
			list = append(list, trait)
		}
	}
	slices.SortFunc(list, compareTraits)
	return list
}

// Crashes returns the crashes that count against a trait, ordered by upstream and boot.
func (t *Table) Crashes(trait Trait) []Crash {
	r := t.records[trait]
	if r == nil {
		return nil
	}
	list := make([]Crash, 0, len(r.crashes))
	for b := range r.crashes {
		list = append(list, Crash{ID: trait.ID, Kind: trait.Kind, Upstream: b.upstream, Boot: b.start})
	}
	slices.SortFunc(list, compareCrashes)
	return list
}

// RepeatedCrashes returns crashes that are reported to the peers again and again, so that daemons
// that were cut off or have started learn of them: those of refused traits, and of prompt parts
// with at least two crashes that no refused part explains. It omits crashes that were recorded
// less than ConfirmDelay ago.
func (t *Table) RepeatedCrashes(now time.Time) []Crash {
	t.update(now)
	var list []Crash
	for trait, r := range t.records {
		if age := now.Sub(r.lastCrash); age >= RefusalTTL {
			continue
		}
		if count, _ := r.unexplained(t.causes); !t.refused[trait] && (trait.Kind == Content || count < 2) {
			continue
		}
		for b, at := range r.crashes {
			if now.Sub(at) >= ConfirmDelay {
				list = append(list, Crash{ID: trait.ID, Kind: trait.Kind, Upstream: b.upstream, Boot: b.start, Age: now.Sub(at)})
			}
		}
	}
	slices.SortFunc(list, compareCrashes)
	return list[:min(len(list), maxRepeatedCrashes)]
}

// compareCrashes orders those of prompt parts first.
func compareCrashes(a, b Crash) int {
	return cmp.Or(-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Boot, b.Boot))
}

func compareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// crashLimit returns the number of crashes after which a trait is refused.
func crashLimit(k Kind) int {
	if k == PromptPart {
		return partCrashLimit
	}
	return contentCrashLimit
}

// update computes the refused traits anew if a crash or a survival was recorded or a ConfirmDelay
// has passed since the last time.
func (t *Table) update(now time.Time) {
	if !t.isStale && (t.nextRefusal.IsZero() || now.Before(t.nextRefusal)) {
		return
	}
	t.isStale, t.nextRefusal = false, time.Time{}
	previous := t.refused
	t.refused, t.causes = make(map[Trait]bool), make(map[boot][]Trait)
	defer func() { t.recordChanges(previous) }()
	for {
		parts := t.mostCrashing(now)
		if len(parts) == 0 {
			break
		}
		for _, trait := range parts {
			t.refused[trait] = true
			for b := range t.records[trait].crashes {
				t.causes[b] = append(t.causes[b], trait)
			}
		}
	}
	for trait, r := range t.records {
		if trait.Kind != Content {
			continue
		}
		if count, _ := r.unexplained(t.causes); count >= contentCrashLimit {
			t.refused[trait] = true
		}
	}
}

// recordChanges adds the differences between the previous and the present refused traits to
// changes.
func (t *Table) recordChanges(previous map[Trait]bool) {
	for trait := range t.refused {
		if !previous[trait] {
			t.changes = append(t.changes, Change{Trait: trait, Refused: true, Crashes: len(t.records[trait].crashes)})
		}
	}
	for trait := range previous {
		if !t.refused[trait] {
			t.changes = append(t.changes, Change{Trait: trait})
		}
	}
	maps.DeleteFunc(t.trials, func(trait Trait, _ time.Time) bool { return !t.refused[trait] })
}

// mostCrashing returns the prompt parts with the most unexplained crashes of those that may be refused
// now, and sets nextRefusal to when further ones may be. Parts with equally many crashes occur
// together, so that the crashes do not distinguish the cause.
func (t *Table) mostCrashing(now time.Time) []Trait {
	var parts []Trait
	most := 0
	t.nextRefusal = time.Time{}
	for trait, r := range t.records {
		if trait.Kind != PromptPart || t.refused[trait] {
			continue
		}
		count, first := r.unexplained(t.causes)
		limit, delay := partCrashLimit, ConfirmDelay
		if served, ok := t.survivals[trait]; ok && first.Sub(served) < survivalTTL {
			limit, delay = servedCrashLimit, servedConfirmDelay
		}
		if count < limit || count < most {
			continue
		}
		if due := first.Add(delay); now.Before(due) {
			if t.nextRefusal.IsZero() || due.Before(t.nextRefusal) {
				t.nextRefusal = due
			}
			continue
		}
		if count > most {
			parts, most = nil, count
		}
		parts = append(parts, trait)
	}
	return parts
}

// evict removes the expired records, and if none has expired the quarter of the records with the
// oldest last crash, those of refused traits last.
func (t *Table) evict(now time.Time) {
	t.update(now)
	list := make([]Trait, 0, len(t.records))
	for trait, r := range t.records {
		if now.Sub(r.lastCrash) >= recordTTL {
			delete(t.records, trait)
			delete(t.refused, trait)
			continue
		}
		list = append(list, trait)
	}
	if len(t.records) < maxRecords {
		return
	}
	slices.SortFunc(list, func(a, b Trait) int {
		if t.refused[a] != t.refused[b] {
			if t.refused[a] {
				return 1
			}
			return -1
		}
		return cmp.Or(t.records[a].lastCrash.Compare(t.records[b].lastCrash), compareTraits(a, b))
	})
	for _, trait := range list[:maxRecords/4] {
		delete(t.records, trait)
		delete(t.refused, trait)
	}
	t.isStale = true
}

// expireSurvivals removes the expired survivals, or all if none has expired.
func (t *Table) expireSurvivals(now time.Time) {
	for trait, at := range t.survivals {
		if now.Sub(at) >= survivalTTL {
			delete(t.survivals, trait)
		}
	}
	if len(t.survivals) >= maxSurvivals {
		clear(t.survivals)
	}
}
