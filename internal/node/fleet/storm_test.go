package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	lateAfter = 3 * time.Second // after the fifth crash
	maxLate   = 3               // requests sent later
	stormTime = 15 * time.Second
)

// TestNoDaemonSendsACrashingPartLongAfterItsFifthCrash replays a stream of different requests with one
// crashing part at random daemons, each beside innocent parts, slowly and fast.
func TestNoDaemonSendsACrashingPartLongAfterItsFifthCrash(t *testing.T) {
	for _, test := range []struct {
		zones, each int
		rates       []float64 // per second
		seeds       uint64
	}{
		{3, 2, []float64{0.7, 4, 20}, 4},
		{3, 12, []float64{0.7, 20}, 1},
		{6, 24, []float64{4}, 1},
	} {
		for _, rate := range test.rates {
			for seed := range test.seeds {
				name := fmt.Sprintf("%d zones of %d, %g/s, seed %d", test.zones, test.each, rate, seed)
				late, refused := replayStorm(t, test.zones, test.each, rate, seed)
				qt.Check(t, late <= maxLate, qt.IsTrue, qt.Commentf("%s: %d sent late", name, late))
				qt.Check(t, refused, qt.Equals, 0, qt.Commentf("%s: innocent requests refused", name))
			}
		}
	}
}

// replayStorm returns how many requests with the crashing part were sent late, and how many
// requests without it were refused later than that.
func replayStorm(t *testing.T, zones, each int, perSecond float64, seed uint64) (late, refused int) {
	s := newSim(t, zones, each)
	random := rand.New(rand.NewPCG(seed, 7))
	s.rounds(5)
	firstPart := quarantine.Trait{Kind: quarantine.PromptPart, ID: 1000}
	var fifth time.Time
	crashes := 0
	due := s.now
	for end := s.now.Add(stormTime); s.now.Before(end); s.rounds(1) {
		for range 1 + 3*zones*each/10 { // innocent requests are served at random daemons
			view := s.nodes[s.order[random.IntN(len(s.order))]].opts.View
			traits := []quarantine.Trait{{ID: random.Uint64()}, firstPart, {Kind: quarantine.PromptPart, ID: 2000 + uint64(random.IntN(300))}}
			if view.QuarantineTime(traits) == 0 {
				view.RecordSurvival(traits)
			} else if !fifth.IsZero() && s.now.Sub(fifth) > lateAfter {
				refused++
			}
		}
		for ; !due.After(s.now); due = due.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
			view := s.nodes[s.order[random.IntN(len(s.order))]].opts.View
			traits := []quarantine.Trait{{ID: random.Uint64()}, firstPart, crashingPart}
			if view.QuarantineTime(traits) > 0 {
				continue
			}
			if !fifth.IsZero() && s.now.Sub(fifth) > lateAfter {
				late++
			}
			if crashes++; crashes == 5 {
				fifth = s.now
			}
			// Requests with rare parts ran beside it, not yet past their beginning.
			upstream := state.UpstreamID(fmt.Sprint("e", crashes))
			for range 3 {
				traits = append(traits, quarantine.Trait{Kind: quarantine.PromptPart, ID: 2000 + uint64(random.IntN(300))})
			}
			for _, trait := range traits {
				view.RecordCrashes([]quarantine.Crash{{ID: trait.ID, Kind: trait.Kind, Upstream: upstream}})
			}
		}
	}
	return late, refused
}
