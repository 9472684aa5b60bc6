package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	settleTime   = 2 * lateAfter // after the fifth crash, until sound requests are to be served
	modelTime    = 30 * time.Second
	engineDown   = 5 * time.Second
	outagePause  = 5 * time.Second
	untilEvent   = 300 * time.Millisecond // from the start of a run to its first event, or its crash
	untilPast    = 800 * time.Millisecond // from the start of a run to the end of its beginning
	runTime      = 2 * time.Second
	untilNoticed = 60 * time.Millisecond // from a crash to its detection

	sharedFirstPart = 1000
)

// crashLoad is a load of requests with two shared parts. Rates are per second.
type crashLoad struct {
	zones, each, engines int
	sound                float64       // requests with sharedFirstPart
	crashing             float64       // requests with crashingPart, most of them with sharedFirstPart, see elsewhere
	servedFor            time.Duration // how long these are served before they crash engines
	elsewhere            float64       // share of the crashing requests that have another first part
	outages              int           // how often a third of the engines crashes for another reason
}

// crashModel replays a crashLoad from the start of a fleet. Engines crash when they begin to answer a
// request with crashingPart, and all runs there break.
type crashModel struct {
	*sim
	random  *rand.Rand
	crashAt time.Time // when crashingPart begins to crash engines
	events  []timedEvent
	engines []*modelEngine
	crashes int
	fifth   time.Time // when the fifth crash came
	late    int       // requests with crashingPart that were sent later than lateAfter after it
	settled int       // sound requests later than settleTime after it
	refused int       // of these
}

type timedEvent struct {
	at time.Time
	do func()
}

type modelEngine struct {
	boot      int64
	downUntil time.Time
	runs      map[*modelRun]bool
}

type modelRun struct {
	traits []quarantine.Trait
	view   *View
	boot   int64
	isPast bool // past its beginning
}

func replayCrashes(t *testing.T, load crashLoad, seed uint64) *crashModel {
	m := &crashModel{sim: newSim(t, load.zones, load.each), random: rand.New(rand.NewPCG(seed, 11))}
	for range load.engines {
		m.engines = append(m.engines, &modelEngine{runs: make(map[*modelRun]bool)})
	}
	m.rounds(5)
	m.crashAt = m.now.Add(load.servedFor)
	m.arrive(load.sound, func() { m.send(sharedFirstPart, 2000+m.random.Uint64N(133)) })
	m.arrive(3*load.sound, func() { m.send(sharedFirstPart+1+m.random.Uint64N(2), 5000+m.random.Uint64N(133)) })
	if load.crashing > 0 {
		m.arrive(load.crashing, func() {
			first := uint64(sharedFirstPart)
			if m.random.Float64() < load.elsewhere {
				first++
			}
			m.send(first, crashingPart.ID)
		})
	}
	for i := range load.outages {
		m.after(time.Duration(1+i)*outagePause, func() {
			for j := i % 3; j < len(m.engines); j += 3 {
				m.crash(m.engines[j])
			}
		})
	}
	for end := m.now.Add(modelTime); m.now.Before(end); {
		roundEnd := m.now.Add(gossipInterval)
		for len(m.events) > 0 && m.events[0].at.Before(roundEnd) {
			e := m.events[0]
			m.events = m.events[1:]
			m.now = e.at
			e.do()
		}
		m.now = roundEnd.Add(-gossipInterval)
		m.rounds(1)
	}
	return m
}

func (m *crashModel) after(d time.Duration, do func()) {
	e := timedEvent{m.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(m.events, e, func(a, b timedEvent) int { return a.at.Compare(b.at) })
	m.events = slices.Insert(m.events, i, e)
}

// arrive calls do at random times.
func (m *crashModel) arrive(perSecond float64, do func()) {
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		do()
		m.arrive(perSecond, do)
	})
}

// send sends a request with two shared parts from a random daemon to a random engine that runs.
func (m *crashModel) send(first, second uint64) {
	view := m.nodes[m.order[m.random.IntN(len(m.order))]].opts.View
	traits := []quarantine.Trait{
		{ID: m.random.Uint64()}, {Kind: quarantine.PromptPart, ID: first}, {Kind: quarantine.PromptPart, ID: second},
	}
	isCrashing := second == crashingPart.ID
	crashes := isCrashing && !m.now.Before(m.crashAt)
	isSettled := !isCrashing && first == sharedFirstPart && !m.fifth.IsZero() && m.now.Sub(m.fifth) > settleTime
	if isSettled {
		m.settled++
	}
	if wait, _ := view.AdmitTraits(traits); wait > 0 {
		if isSettled {
			m.refused++
		}
		return
	}
	running := slices.DeleteFunc(slices.Clone(m.engines), func(e *modelEngine) bool { return m.now.Before(e.downUntil) })
	if len(running) == 0 {
		return
	}
	if crashes && !m.fifth.IsZero() && m.now.Sub(m.fifth) > lateAfter {
		m.late++
	}
	e := running[m.random.IntN(len(running))]
	r := &modelRun{traits: traits, view: view, boot: e.boot}
	e.runs[r] = true
	if crashes {
		m.after(untilEvent, func() {
			if e.runs[r] {
				m.crash(e)
			}
		})
		return
	}
	m.after(untilPast, func() {
		if e.runs[r] {
			r.isPast = true
			view.RecordSurvival(r.traits)
		}
	})
	m.after(runTime, func() { delete(e.runs, r) })
}

// crash crashes an engine.
func (m *crashModel) crash(e *modelEngine) {
	if m.crashes++; m.crashes == 5 {
		m.fifth = m.now
	}
	id := state.UpstreamID(fmt.Sprint("e", slices.Index(m.engines, e)))
	for run := range e.runs {
		if run.isPast {
			continue
		}
		m.after(untilNoticed, func() {
			for _, trait := range run.traits {
				run.view.RecordCrashes([]quarantine.Crash{{ID: trait.ID, Kind: trait.Kind, Upstream: id, Boot: run.boot}})
			}
		})
	}
	e.runs = make(map[*modelRun]bool)
	e.boot++
	e.downUntil = m.now.Add(engineDown)
}

// TestSoundRequestsAreServedBesideACrashingPart guards against an innocent first part that stays
// refused together with the crashing part: all their crashes are the same ones, and no request with
// the first part alone shows that it is innocent.
func TestSoundRequestsAreServedBesideACrashingPart(t *testing.T) {
	for _, load := range []crashLoad{
		{zones: 3, each: 3, engines: 18, sound: 0.3, crashing: 2},
		{zones: 3, each: 3, engines: 18, sound: 0.3, crashing: 30},
		{zones: 3, each: 3, engines: 18, sound: 1, crashing: 10},
		{zones: 3, each: 3, engines: 18, sound: 27, crashing: 30},
		{zones: 3, each: 12, engines: 78, sound: 0.3, crashing: 30},
		{zones: 3, each: 12, engines: 78, sound: 3, crashing: 10},
	} {
		checkCrashes(t, load)
	}
}

// TestATrialOfTheCrashingPartIsNotRepeated guards against trials that crash engine after engine, as some
// of the crashing requests have another first part.
func TestATrialOfTheCrashingPartIsNotRepeated(t *testing.T) {
	for _, elsewhere := range []float64{0.02, 0.1, 0.5} {
		checkCrashes(t, crashLoad{zones: 3, each: 3, engines: 18, sound: 0.3, crashing: 10, elsewhere: elsewhere})
		checkCrashes(t, crashLoad{zones: 3, each: 3, engines: 18, sound: 1, crashing: 30, elsewhere: elsewhere})
	}
}

// TestAPartThatWasServedBeforeItCrashesUpstreamsIsRefused guards against crashes that do not count
// because runs with the part got past their beginning shortly before.
func TestAPartThatWasServedBeforeItCrashesUpstreamsIsRefused(t *testing.T) {
	for _, load := range []crashLoad{
		{zones: 3, each: 3, engines: 18, sound: 3, crashing: 2, servedFor: 10 * time.Second},
		{zones: 3, each: 3, engines: 18, sound: 27, crashing: 10, servedFor: 10 * time.Second},
		{zones: 3, each: 12, engines: 78, sound: 27, crashing: 10, servedFor: 10 * time.Second},
	} {
		checkCrashes(t, load)
	}
}

// TestSoundRequestsAreServedWhileUpstreamsCrashForAnotherReason guards against popular parts that are
// refused because many of their runs break at the same time.
func TestSoundRequestsAreServedWhileUpstreamsCrashForAnotherReason(t *testing.T) {
	checkCrashes(t, crashLoad{zones: 3, each: 3, engines: 18, sound: 27, outages: 5})
	checkCrashes(t, crashLoad{zones: 3, each: 12, engines: 78, sound: 27, outages: 5})
}

func checkCrashes(t *testing.T, load crashLoad) {
	for seed := range uint64(4) {
		m := replayCrashes(t, load, seed)
		name := qt.Commentf("%+v, seed %d: %d crashes, %d late, %d of %d sound requests refused", load, seed, m.crashes, m.late, m.refused, m.settled)
		qt.Check(t, m.late <= maxLate, qt.IsTrue, name)
		qt.Check(t, 2*m.refused <= m.settled, qt.IsTrue, name)
	}
}
