package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

var start = time.Unix(1000, 0)

func part(id uint64) Trait { return Trait{PromptPart, id} }

func crash(trait Trait, upstream string) Crash {
	return Crash{ID: trait.ID, Kind: trait.Kind, Upstream: state.UpstreamID(upstream)}
}

func (t *Table) isRefused(now time.Time, trait Trait) bool {
	return t.RefusalTime(now, []Trait{trait}) > 0
}

func TestARequestThatCrashedTwoUpstreamsIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	table := New()
	seven, eight := Trait{Content, 7}, Trait{Content, 8}
	table.RecordCrash(now, crash(seven, "a"))
	table.RecordCrash(now, crash(seven, "a")) // another report of the same crash
	c.Assert(table.isRefused(now, seven), qt.IsFalse)
	table.RecordCrash(now, crash(seven, "b"))
	c.Assert(table.isRefused(now, seven), qt.IsTrue)
	c.Assert(table.isRefused(now, eight), qt.IsFalse)
	c.Assert(table.isRefused(now.Add(RefusalTTL), seven), qt.IsFalse)
	table.RecordSurvival(now, seven)
	c.Assert(table.isRefused(now, seven), qt.IsFalse)
}

func TestTableSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range uint64(3 * maxRecords) {
		table.RecordCrash(start, Crash{ID: i, Upstream: state.UpstreamID("a")})
		table.RecordSurvival(start, part(i))
	}
	c.Assert(len(table.records) <= maxRecords, qt.IsTrue)
	for i := range uint64(3 * maxSurvivals) {
		table.RecordSurvival(start, part(i))
	}
	c.Assert(len(table.survivals) <= maxSurvivals, qt.IsTrue)
}

func TestAFullTableKeepsItsRefusals(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range partCrashLimit {
		table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
	}
	now := start.Add(ConfirmDelay)
	for i := range uint64(3 * maxRecords) {
		table.RecordCrash(now, crash(Trait{Content, i}, "a"))
	}
	c.Assert(table.isRefused(now, part(1)), qt.IsTrue)
}

// TestAPartThatCrashesIsRefusedAndThoseBesideItAreNot replays a part in every crash while the
// requests that ran beside it, with parts and contents of their own, break in two or three
// crashes each.
func TestAPartThatCrashesIsRefusedAndThoseBesideItAreNot(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		table := New()
		now := start
		for i := range 5 {
			upstream := fmt.Sprint(i)
			table.RecordCrash(now, crash(part(1), upstream))
			for range 20 { // 10 sessions and contents are under way, in some of the first four crashes
				if id := 10 + random.Uint64N(10); i < 4 && random.IntN(2) == 0 {
					if r := table.records[part(id)]; r == nil || len(r.crashes) < 3 {
						table.RecordCrash(now, crash(part(id), upstream))
						table.RecordCrash(now, crash(Trait{Content, id}, upstream))
					}
				}
			}
			now = now.Add(250 * time.Millisecond)
		}
		now = start.Add(2 * time.Second)
		c.Assert(table.Refused(now), qt.DeepEquals, []Trait{part(1)}, qt.Commentf("seed %d", seed))
	}
}

func TestAPopularPartIsNotRefusedWhileUpstreamsCrashForAnotherReason(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range 10 {
		table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
	}
	c.Assert(table.isRefused(start.Add(ConfirmDelay-1), part(1)), qt.IsFalse)
	c.Assert(table.RecordPeerSurvival(start.Add(ConfirmDelay/2), Survival{Kind: PromptPart, ID: 1}), qt.IsTrue)
	c.Assert(table.isRefused(start.Add(ConfirmDelay), part(1)), qt.IsFalse)
	now := start.Add(survivalTTL / 2)
	for i := range 10 {
		table.RecordCrash(now, crash(part(1), fmt.Sprint("later", i)))
	}
	now = now.Add(servedConfirmDelay - 1)
	c.Assert(table.isRefused(now, part(1)), qt.IsFalse)
	c.Assert(table.RecordPeerSurvival(now, Survival{Kind: PromptPart, ID: 1, Age: servedConfirmDelay / 2}), qt.IsTrue)
	for i := range servedCrashLimit - 1 {
		table.RecordCrash(now, crash(part(1), fmt.Sprint("again", i)))
	}
	c.Assert(table.isRefused(now.Add(survivalTTL), part(1)), qt.IsFalse)
}

// TestCrashesAfterASurvivalCount guards against a part that crashes upstreams unnoticed because it was
// served before, and against an old survival that clears later crashes.
func TestCrashesAfterASurvivalCount(t *testing.T) {
	c := qt.New(t)
	table := New()
	table.RecordSurvival(start, part(1))
	now := start.Add(time.Second)
	for i := range servedCrashLimit {
		table.RecordCrash(now, crash(part(1), fmt.Sprint(i)))
	}
	now = now.Add(servedConfirmDelay)
	c.Assert(table.isRefused(now, part(1)), qt.IsTrue)
	table.RecordPeerSurvival(now, Survival{Kind: PromptPart, ID: 1, Age: 2 * time.Second})
	c.Assert(table.isRefused(now, part(1)), qt.IsTrue)
	late := crash(part(2), "a")
	late.Age = time.Second
	table.RecordSurvival(now, part(2))
	c.Assert(table.RecordCrash(now, late), qt.IsFalse)
}

func TestASurvivalEndsARefusal(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range partCrashLimit {
		table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
	}
	now := start.Add(ConfirmDelay)
	c.Assert(table.isRefused(now, part(1)), qt.IsTrue)
	c.Assert(table.Changes(), qt.DeepEquals, []Change{{Trait: part(1), Refused: true, Crashes: partCrashLimit}})
	c.Assert(table.RecordSurvival(now, part(1)), qt.IsTrue)
	c.Assert(table.isRefused(now, part(1)), qt.IsFalse)
	c.Assert(table.Changes(), qt.DeepEquals, []Change{{Trait: part(1)}})
}

func TestOneCrashRenewsAnExpiredRefusal(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range partCrashLimit {
		table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
	}
	now := start.Add(RefusalTTL)
	c.Assert(table.isRefused(now, part(1)), qt.IsFalse)
	table.RecordCrash(now, crash(part(1), "again"))
	c.Assert(table.isRefused(now, part(1)), qt.IsTrue)
}

// TestADaemonThatWasCutOffRefusesAtOnce guards against daemons that learn what their peers refuse
// only through crashes of their own.
func TestADaemonThatWasCutOffRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	table, other := New(), New()
	for i := range partCrashLimit {
		table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
		table.RecordCrash(start, crash(Trait{Content, 5}, fmt.Sprint(i))) // explained by the part
	}
	now := start.Add(time.Minute)
	repeated := table.RepeatedCrashes(now)
	c.Assert(repeated, qt.HasLen, partCrashLimit)
	for _, r := range repeated {
		other.RecordCrash(now, r)
	}
	c.Assert(other.Refused(now), qt.DeepEquals, []Trait{part(1)})
}

// newTie returns a table of parts 1 and 2 that were in the same three crashes, and when both are
// refused.
func newTie() (*Table, time.Time) {
	table := New()
	for i := range partCrashLimit {
		table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
		table.RecordCrash(start, crash(part(2), fmt.Sprint(i)))
	}
	return table, start.Add(ConfirmDelay)
}

// TestAnInnocentPartIsAdmittedAgainAfterATrial guards against a part that stays refused because it was
// in the same crashes as the one that causes them.
func TestAnInnocentPartIsAdmittedAgainAfterATrial(t *testing.T) {
	c := qt.New(t)
	table, now := newTie()
	both, one, other := []Trait{part(1), part(2)}, []Trait{part(1), {Content, 9}}, []Trait{part(2)}
	c.Assert(table.IsRefused(now, both), qt.IsTrue)
	c.Assert(table.IsRefused(now, one), qt.IsFalse)
	wait, isTrial := table.Admit(now, one)
	c.Assert(wait == 0 && isTrial, qt.IsTrue)
	wait, isTrial = table.Admit(now.Add(trialInterval/4), one)
	c.Assert(wait == trialInterval*3/4 && !isTrial, qt.IsTrue)
	table.RecordSurvival(now.Add(trialInterval/2), part(1))
	now = now.Add(trialInterval)
	wait, isTrial = table.Admit(now, one)
	c.Assert(wait == 0 && !isTrial, qt.IsTrue)
	c.Assert(table.IsRefused(now, other), qt.IsTrue)
	wait, isTrial = table.Admit(now, both)
	c.Assert(wait > time.Minute && !isTrial, qt.IsTrue)
}

// TestACrashedTrialShowsWhichPartCrashes guards against further trials of a part that has crashed an
// upstream without the others.
func TestACrashedTrialShowsWhichPartCrashes(t *testing.T) {
	c := qt.New(t)
	table, now := newTie()
	_, isTrial := table.Admit(now, []Trait{part(2)})
	c.Assert(isTrial, qt.IsTrue)
	table.RecordCrash(now, crash(part(2), "trial"))
	now = now.Add(trialInterval)
	c.Assert(table.Refused(now), qt.DeepEquals, []Trait{part(2)})
	c.Assert(table.IsRefused(now, []Trait{part(2)}), qt.IsTrue)
	wait, isTrial := table.Admit(now, []Trait{part(1)})
	c.Assert(wait == 0 && !isTrial, qt.IsTrue)
}

// TestARefusedContentIsNotTried guards against trials of requests that crash upstreams whatever parts
// they have.
func TestARefusedContentIsNotTried(t *testing.T) {
	c := qt.New(t)
	table, now := newTie()
	for i := range contentCrashLimit {
		table.RecordCrash(now, crash(Trait{Content, 9}, fmt.Sprint("content", i)))
	}
	wait, isTrial := table.Admit(now, []Trait{part(1), {Content, 9}})
	c.Assert(wait > 0 && !isTrial, qt.IsTrue)
}

// longPrompt is the number of shared parts of the longest prompt that a request head of 16,384 bytes has room for.
const longPrompt = 5400

// recordCrash records that an upstream crashed under a request with the given prompt parts.
func (t *Table) recordCrash(now time.Time, parts []uint64, upstream string) {
	for _, id := range parts {
		t.RecordCrash(now, crash(part(id), upstream))
	}
}

func (t *Table) recordSurvival(now time.Time, parts []uint64) {
	for _, id := range parts {
		t.RecordSurvival(now, part(id))
	}
}

// idsFrom returns consecutive IDs.
func idsFrom(first uint64, count int) []uint64 {
	list := make([]uint64, count)
	for i := range list {
		list[i] = first + uint64(i)
	}
	return list
}

// TestTheCrashingPartOfALongPromptIsRefused guards against parts that are forgotten between two crashes because a prompt has
// many: the crashing one has the lowest ID of all, which a full table dropped first. Requests that share the other parts
// stay served.
func TestTheCrashingPartOfALongPromptIsRefused(t *testing.T) {
	c := qt.New(t)
	table, now := New(), start
	shared := idsFrom(1000, longPrompt)
	for i := range 5 {
		table.recordCrash(now, append([]uint64{1}, shared...), fmt.Sprint(i))
		now = now.Add(time.Second)
		table.recordSurvival(now, shared)
		now = now.Add(time.Millisecond)
	}
	c.Check(table.Refused(now), qt.DeepEquals, []Trait{part(1)})
	sound := make([]Trait, 0, longPrompt)
	for _, id := range shared {
		sound = append(sound, part(id))
	}
	wait, isTrial := table.Admit(now, sound)
	c.Check(wait == 0 && !isTrial, qt.IsTrue)
	c.Check(table.IsRefused(now, append(sound, part(1))), qt.IsTrue)
}

// TestACrowdOfLongPromptsLeavesRefusalsAndSurvivals guards against tables that grow with a crowd of long prompts that share
// nothing, and against a crowd that makes a daemon forget the crashes of the crashing part or the survivals of popular ones.
func TestACrowdOfLongPromptsLeavesRefusalsAndSurvivals(t *testing.T) {
	c := qt.New(t)
	table, now := New(), start
	next := uint64(1 << 20)
	crowd := func() []uint64 {
		next += longPrompt
		return idsFrom(next, longPrompt)
	}
	popular := []uint64{100, 101}
	for i := range 6 {
		upstream := fmt.Sprint(i)
		for range 4 { // they crash beside the request with the part
			table.recordCrash(now, crowd(), upstream)
		}
		table.recordCrash(now, append([]uint64{1}, popular...), upstream)
		for range 4 {
			table.recordCrash(now, crowd(), upstream)
		}
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			table.recordSurvival(now, crowd())
			table.recordSurvival(now, popular)
		}
		now = now.Add(time.Millisecond)
	}
	c.Check(len(table.records) <= maxRecords, qt.IsTrue)
	c.Check(len(table.survivals) <= maxSurvivals, qt.IsTrue)
	c.Check(len(table.single) <= 2*maxRecords+minCompaction, qt.IsTrue)
	c.Check(table.Refused(now), qt.DeepEquals, []Trait{part(1)})
	for i := range 4 { // upstreams crash at once for another reason
		table.recordCrash(now, popular, fmt.Sprint("outage", i))
	}
	now = now.Add(servedConfirmDelay)
	c.Check(table.Refused(now), qt.DeepEquals, []Trait{part(1)})
}

// TestAPartThatCrashesUpstreamsForDaysStaysRefused guards against a record that takes no further crashes once it is full: the
// refusal ended for good, and each request with the part crashed an upstream.
func TestAPartThatCrashesUpstreamsForDaysStaysRefused(t *testing.T) {
	c := qt.New(t)
	table, now := New(), start
	for i := range partCrashLimit {
		table.RecordCrash(now, crash(part(1), fmt.Sprint(i)))
	}
	for i := range 2 * maxCrashesPerRecord {
		now = now.Add(RefusalTTL)
		table.RecordCrash(now, crash(part(1), fmt.Sprint(partCrashLimit+i)))
	}
	now = now.Add(ConfirmDelay)
	c.Check(table.isRefused(now, part(1)), qt.IsTrue)
	c.Check(len(table.records[part(1)].crashes) <= maxCrashesPerRecord, qt.IsTrue)
	old := crash(part(1), "0")
	old.Age = now.Sub(start)
	c.Check(table.RecordCrash(now, old), qt.IsFalse)
}

// TestTheListOfSingleCrashesIsBounded guards against memory that grows with parts that crash upstreams and survive by turns.
func TestTheListOfSingleCrashesIsBounded(t *testing.T) {
	table, now := New(), start
	for i := range 10 * minCompaction {
		now = now.Add(time.Millisecond)
		table.RecordCrash(now, crash(part(1), fmt.Sprint(i)))
		table.RecordSurvival(now, part(1))
	}
	qt.Check(t, len(table.single) <= 2*minCompaction, qt.IsTrue)
}

// TestRepeatedCrashesAreBounded guards against messages that grow with the parts that were in the same crashes, and against
// refused ones that are left out of them.
func TestRepeatedCrashesAreBounded(t *testing.T) {
	c := qt.New(t)
	table := New()
	for i := range 3 {
		table.RecordCrash(start, crash(part(1<<40), fmt.Sprint(i)))
		if i < 2 {
			table.recordCrash(start, idsFrom(1, 2*maxRepeatedTraits), fmt.Sprint("other", i))
		}
	}
	now := start.Add(ConfirmDelay)
	groups := GroupCrashes(table.RepeatedCrashes(now))
	total, hasRefused := 0, false
	for _, g := range groups {
		total += len(g.IDs)
		hasRefused = hasRefused || slices.Contains(g.IDs, 1<<40) && len(g.Crashes) == 3
	}
	c.Check(groups, qt.HasLen, 2)
	c.Check(total <= maxRepeatedTraits, qt.IsTrue)
	c.Check(hasRefused, qt.IsTrue)
}

func TestGroupsContainTheSameCrashesAndSurvivals(t *testing.T) {
	c := qt.New(t)
	var crashes []Crash
	var survivals []Survival
	for i := range uint64(20) {
		kind := Kind(i % 2)
		for j := range i % 4 {
			crashes = append(crashes, Crash{ID: i, Kind: kind, Upstream: state.UpstreamID(fmt.Sprint("u", j)), Boot: int64(j), Age: time.Duration(j)})
		}
		survivals = append(survivals, Survival{ID: i, Kind: kind, Age: time.Duration(i % 3)})
	}
	groups := GroupCrashes(crashes)
	c.Check(groups, qt.HasLen, 3)
	byTrait := func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Upstream, b.Upstream))
	}
	c.Check(slices.SortedFunc(slices.Values(UngroupCrashes(groups)), byTrait), qt.DeepEquals, crashes)
	c.Check(slices.SortedFunc(slices.Values(UngroupSurvivals(GroupSurvivals(survivals))), func(a, b Survival) int { return cmp.Compare(a.ID, b.ID) }), qt.DeepEquals, survivals)
	c.Check(Digest(crashes), qt.Equals, Digest(UngroupCrashes(groups)))
	c.Check(Digest(crashes), qt.Not(qt.Equals), Digest(crashes[1:]))
	c.Check(Digest(nil), qt.Not(qt.Equals), uint64(0))
}

// BenchmarkLongPrompts measures what a table does for a request with 3 shared parts, and with as many as a head has room
// for: whether it is refused, while another part is, and its survival and its crash.
func BenchmarkLongPrompts(b *testing.B) {
	for _, count := range []int{3, longPrompt} {
		table := New()
		for i := range 3 {
			table.RecordCrash(start, crash(part(1), fmt.Sprint(i)))
		}
		now := start.Add(time.Second)
		ids := idsFrom(1000, count)
		var traits []Trait
		for _, id := range ids {
			traits = append(traits, part(id))
		}
		b.Run(fmt.Sprint("admit/", count), func(b *testing.B) {
			for b.Loop() {
				table.Admit(now, traits)
			}
		})
		b.Run(fmt.Sprint("survival/", count), func(b *testing.B) {
			for b.Loop() {
				table.recordSurvival(now, ids)
			}
		})
		b.Run(fmt.Sprint("crash/", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second)
				table.recordCrash(now, ids, "u")
				table.recordSurvival(now, ids)
			}
		})
	}
}
