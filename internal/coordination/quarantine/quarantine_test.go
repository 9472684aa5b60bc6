package quarantine

import (
	"fmt"
	"math/rand/v2"
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
