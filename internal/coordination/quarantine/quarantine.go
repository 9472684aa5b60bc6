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
	// part may be refused. Meanwhile the peers of a small fleet report runs that got past their
	// beginning. A later report ends the refusal.
	ConfirmDelay = 500 * time.Millisecond
	// survivalTTL is how long a survival matters for later crashes, see servedCrashLimit.
	survivalTTL = 10 * time.Second
	// servedCrashLimit and servedConfirmDelay replace partCrashLimit and ConfirmDelay for prompt parts
	// that survived within survivalTTL before the first crash. A popular part survives again within
	// this time if upstreams crash for another reason.
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

	// maxRecords and maxSurvivals bound the memory of a table. A request has at most some thousand prompt parts, as its
	// head is limited.
	maxRecords   = 1 << 16
	maxSurvivals = 1 << 16
	// maxCrashesPerRecord is the number of crashes that count against a trait at a time. A further one replaces the oldest.
	maxCrashesPerRecord = 256
	minCompaction       = 1024 // of Table.single
	// maxRepeatedTraits is the number of traits whose crashes RepeatedCrashes returns.
	maxRepeatedTraits = 1 << 14
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

// datedCrash is a crash that counts against a trait.
type datedCrash struct {
	boot boot
	at   time.Time
}

// record holds the crashes that count against one trait.
type record struct {
	crashes   []datedCrash
	lastCrash time.Time
}

// add adds a crash, and reports whether it is new and counts.
func (r *record) add(c datedCrash) bool {
	if slices.ContainsFunc(r.crashes, func(known datedCrash) bool { return known.boot == c.boot }) {
		return false
	}
	if len(r.crashes) >= maxCrashesPerRecord {
		oldest := 0
		for i := range r.crashes {
			if r.crashes[i].at.Before(r.crashes[oldest].at) {
				oldest = i
			}
		}
		if !c.at.After(r.crashes[oldest].at) {
			return false
		}
		r.crashes = slices.Delete(r.crashes, oldest, oldest+1)
	}
	r.crashes = append(r.crashes, c)
	if c.at.After(r.lastCrash) {
		r.lastCrash = c.at
	}
	return true
}

// survival is when a run with a prompt part last got past its beginning.
type survival struct {
	at         time.Time
	isRepeated bool // it was not the first one that the table knows
}

// unexplained returns the number of crashes that no refused prompt part explains, and when the
// first of them came.
func (r *record) unexplained(causes map[boot][]Trait) (count int, first time.Time) {
	for _, c := range r.crashes {
		if len(causes[c.boot]) > 0 {
			continue
		}
		if count++; first.IsZero() || c.at.Before(first) {
			first = c.at
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
	records map[Trait]*record
	// recurring are the records with two crashes or more. Only these can lead to a refusal, and there are few of them also
	// if crashes break many requests that share nothing.
	recurring map[Trait]*record
	single    []Trait            // of the other records, in the order of their first crash; also of some that are gone
	survivals map[Trait]survival // at any daemon

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
		records: make(map[Trait]*record), recurring: make(map[Trait]*record), survivals: make(map[Trait]survival),
		refused: make(map[Trait]bool), trials: make(map[Trait]time.Time),
	}
}

// RecordCrash records a crash that this daemon or a peer observed. It reports whether the crash
// is new and counts. If the table is full, RecordCrash evicts records first.
func (t *Table) RecordCrash(now time.Time, c Crash) bool {
	trait := c.Trait()
	at := now.Add(-c.Age)
	if !at.After(t.survivals[trait].at) {
		return false
	}
	r := t.records[trait]
	if r != nil && at.Sub(r.lastCrash) >= suspicionTTL && len(r.crashes) < crashLimit(trait.Kind) {
		t.remove(trait)
		r = nil
	}
	if r == nil {
		if len(t.records) >= maxRecords {
			t.evict(now)
		}
		r = &record{}
		t.records[trait] = r
		t.single = append(t.single, trait)
		if len(t.single) > 2*len(t.records)+minCompaction {
			t.compactSingle(t.single)
		}
	}
	if !r.add(datedCrash{boot: boot{c.Upstream, c.Boot}, at: at}) {
		return false
	}
	if len(r.crashes) > 1 {
		t.recurring[trait] = r
		t.isStale = true
	}
	return true
}

// remove removes the record of a trait.
func (t *Table) remove(trait Trait) {
	delete(t.records, trait)
	delete(t.recurring, trait)
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
	isNew := at.Sub(t.survivals[trait].at) >= survivalReportInterval
	t.setSurvival(now, trait, at)
	return t.clear(trait, at) || isNew
}

// LastSurvival returns the last survival with the trait of a crash that a peer reports. It returns
// false if that was so long before the crash that it does not matter.
func (t *Table) LastSurvival(now time.Time, c Crash) (Survival, bool) {
	last, ok := t.survivals[c.Trait()]
	if !ok || now.Add(-c.Age).Sub(last.at) >= survivalTTL {
		return Survival{}, false
	}
	return Survival{Kind: c.Kind, ID: c.ID, Age: now.Sub(last.at)}, true
}

// setSurvival records a survival unless a later one is known. If there are too many, it evicts others
// first.
func (t *Table) setSurvival(now time.Time, trait Trait, at time.Time) {
	last, ok := t.survivals[trait]
	if !ok && len(t.survivals) >= maxSurvivals {
		t.expireSurvivals(now)
	}
	if at.After(last.at) {
		t.survivals[trait] = survival{at: at, isRepeated: ok}
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
	r.crashes = slices.DeleteFunc(r.crashes, func(c datedCrash) bool { return !c.at.After(until) })
	if len(r.crashes) == count {
		return false
	}
	t.isStale = t.isStale || count > 1
	if len(r.crashes) > 0 { // stays in recurring with one crash, as single no longer contains it
		return true
	}
	t.remove(trait)
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

// Crashes returns the crashes that count against a trait, ordered by upstream and boot.
func (t *Table) Crashes(trait Trait) []Crash {
	r := t.records[trait]
	if r == nil {
		return nil
	}
	list := make([]Crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		list = append(list, Crash{ID: trait.ID, Kind: trait.Kind, Upstream: c.boot.upstream, Boot: c.boot.start})
	}
	slices.SortFunc(list, compareCrashes)
	return list
}

// RepeatedCrashes returns crashes that are reported to the peers again and again, so that daemons
// that were cut off or have started learn of them: those of refused traits, and of prompt parts
// with at least two crashes that no refused part explains. It omits crashes that were recorded
// less than ConfirmDelay ago. Of more than maxRepeatedTraits, it returns those of the refused traits first, and then those
// of the traits with most crashes.
func (t *Table) RepeatedCrashes(now time.Time) []Crash {
	t.update(now)
	var traits []Trait
	for trait, r := range t.recurring {
		if age := now.Sub(r.lastCrash); age >= RefusalTTL {
			continue
		}
		if count, _ := r.unexplained(t.causes); !t.refused[trait] && (trait.Kind == Content || count < 2) {
			continue
		}
		traits = append(traits, trait)
	}
	if len(traits) > maxRepeatedTraits {
		slices.SortFunc(traits, func(a, b Trait) int {
			if t.refused[a] != t.refused[b] {
				if t.refused[a] {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(len(t.records[b].crashes), len(t.records[a].crashes)), compareTraits(a, b))
		})
		traits = traits[:maxRepeatedTraits]
	}
	var list []Crash
	for _, trait := range traits {
		for _, c := range t.records[trait].crashes {
			if now.Sub(c.at) >= ConfirmDelay {
				list = append(list, Crash{ID: trait.ID, Kind: trait.Kind, Upstream: c.boot.upstream, Boot: c.boot.start, Age: now.Sub(c.at)})
			}
		}
	}
	slices.SortFunc(list, compareCrashes)
	return list
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
