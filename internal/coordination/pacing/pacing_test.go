package pacing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

const window = 300 * time.Millisecond

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit = Limit{Tokens: 4800, SmoothTokens: 2400, Window: window}
)

// prompt is a prompt that was sent, with the time at which it wanted to be sent.
type prompt struct {
	wanted, at time.Time
	tokens     int
}

// arrivals returns the prompts of many daemons at one engine, in the order in which they want to be
// sent.
func arrivals(rng *rand.Rand, perSecond float64, seconds int) []prompt {
	var list []prompt
	end := start.Add(time.Duration(seconds) * time.Second)
	for at := start; at.Before(end); at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		list = append(list, prompt{wanted: at, at: at, tokens: min(3800, 200+int(rng.ExpFloat64()*1100))})
	}
	return list
}

// schedule moves each prompt to the time that a ledger gives it, and drops those that it refuses.
func schedule(list []prompt, r Request) []prompt {
	var l Ledger
	var out []prompt
	for _, p := range list {
		r.Tokens = p.tokens
		if delay, ok := l.Reserve(p.wanted, limit, r); ok {
			out = append(out, prompt{p.wanted, p.wanted.Add(delay), p.tokens})
		}
	}
	slices.SortFunc(out, func(a, b prompt) int { return a.at.Compare(b.at) })
	return out
}

// mostInWindow returns the most tokens sent within a window in which several prompts were sent.
func mostInWindow(list []prompt) int {
	most := 0
	for i := range list {
		sum := 0
		for j := i; j >= 0 && list[i].at.Sub(list[j].at) < window; j-- {
			sum += list[j].tokens
			if j < i {
				most = max(most, sum)
			}
		}
	}
	return most
}

// Guards against windows that exceed the limit because a prompt was scheduled between others.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		list := schedule(arrivals(rng, 2+12*rng.Float64(), 20), Request{Rank: int(seed % 3), SmoothDelay: 150 * time.Millisecond, MaxDelay: time.Second})
		qt.Assert(t, mostInWindow(list) <= int(limit.Tokens), qt.IsTrue, qt.Commentf("seed %d: %d", seed, mostInWindow(list)))
	}
}

// Guards against smoothing that costs requests their place: where there is room at once, a prompt
// that is moved for the sake of running streams must not push out others.
func TestSmoothingCostsNoPlaces(t *testing.T) {
	var smooth, plain int
	for seed := range uint64(10) {
		list := arrivals(rand.New(rand.NewPCG(seed, 3)), 6, 60)
		plain += len(schedule(list, Request{MaxDelay: 400 * time.Millisecond}))
		smooth += len(schedule(list, Request{SmoothDelay: 200 * time.Millisecond, MaxDelay: 400 * time.Millisecond}))
	}
	qt.Assert(t, float64(smooth) >= 0.99*float64(plain), qt.IsTrue, qt.Commentf("%d with smoothing, %d without", smooth, plain))
}

// Guards against less urgent prompts that take all places, so that urgent ones wait for a window.
func TestUrgentPromptsFindRoomBesideLessUrgentOnes(t *testing.T) {
	var l Ledger
	for {
		if delay, ok := l.Reserve(start, limit, Request{Tokens: 500, Rank: 2, MaxDelay: time.Second}); !ok || delay > 0 {
			break
		}
	}
	delay, ok := l.Reserve(start, limit, Request{Tokens: 1200, Rank: 0, MaxDelay: time.Second})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, delay, qt.Equals, time.Duration(0))
}

// Guards against a prompt that could never be sent because it is longer than the limit.
func TestAPromptLongerThanTheLimitIsScheduledAlone(t *testing.T) {
	var l Ledger
	for i := range 3 {
		delay, ok := l.Reserve(start, limit, Request{Tokens: 9000, MaxDelay: time.Second})
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, delay, qt.Equals, time.Duration(i)*window)
	}
}

// Guards against prompts of a route with long pauses that are forgotten when a route with short ones
// asks.
func TestRoutesWithDifferentPausesShareALedger(t *testing.T) {
	var l Ledger
	short := Limit{Tokens: 1600, Window: window / 3}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	_, _ = l.Reserve(start, limit, Request{Tokens: 4000})
	delay, ok := l.Reserve(at(150), short, Request{Tokens: 100})
	qt.Assert(t, ok && delay == 0, qt.IsTrue, qt.Commentf("%s", delay))
	delay, ok = l.Reserve(at(160), limit, Request{Tokens: 2000, MaxDelay: time.Second})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, delay, qt.Equals, 140*time.Millisecond)
}

// Guards against a ledger that grows without limit, and against sums that shrink or overflow, because
// of prompts without tokens or with an impossible number of them.
func TestPromptsOfOddLengthsAreBounded(t *testing.T) {
	for _, tokens := range []int{0, 1, -5000, math.MaxInt} {
		var l Ledger
		for range 2000 {
			_, _ = l.Reserve(start, limit, Request{Tokens: tokens, MaxDelay: window})
		}
		qt.Check(t, len(l.entries) <= 2*maxPerWindow, qt.IsTrue, qt.Commentf("%d prompts of %d tokens", len(l.entries), tokens))
	}
}

// Guards against a ledger that keeps prompts for hours because of one route with an impossible limit for
// pauses.
func TestPromptsAreForgottenAfterTheLongestWindow(t *testing.T) {
	var l Ledger
	_, _ = l.Reserve(start, Limit{Tokens: 1e9, Window: 1000 * time.Hour}, Request{Tokens: 100})
	for i := range 1000 {
		_, _ = l.Reserve(start.Add(time.Duration(i)*window), limit, Request{Tokens: 100})
	}
	qt.Assert(t, len(l.entries) <= int(MaxWindow/window)+1, qt.IsTrue, qt.Commentf("%d", len(l.entries)))
}

// Guards against a ledger with so many prompts that a reservation takes long under its lock.
func TestALedgerIsBoundedWhateverTheLimit(t *testing.T) {
	var l Ledger
	short := Limit{Tokens: 16, Window: time.Millisecond}
	for range 2 * maxEntries {
		_, _ = l.Reserve(start, short, Request{Tokens: 16, MaxDelay: time.Hour})
	}
	qt.Assert(t, l.entries, qt.HasLen, maxEntries)
	delay, ok := l.Reserve(start, short, Request{Tokens: 16, MaxDelay: time.Hour})
	qt.Assert(t, !ok && delay == maxEntries*short.Window, qt.IsTrue, qt.Commentf("%s", delay))
}

// engine reads prompts between the steps of its streams, up to chunk tokens in a step. An event is
// sent every four steps.
const (
	chunk       = 4096
	stepTime    = 11 * time.Millisecond
	readPerMS   = 20.0
	eventSteps  = 4
	gapGoal     = window
	maxReplayed = 60
)

// stalledShare returns the share of windows of a second in which a stream that runs throughout has
// a pause longer than gapGoal.
func stalledShare(list []prompt) float64 {
	now, lastEvent := start, start
	waiting, next, steps := 0, 0, 0
	stalled := make(map[int]bool)
	for now.Sub(start) < maxReplayed*time.Second {
		for next < len(list) && !list[next].at.After(now) {
			waiting += list[next].tokens
			next++
		}
		read := min(waiting, chunk)
		waiting -= read
		now = now.Add(stepTime + time.Duration(float64(read)/readPerMS*float64(time.Millisecond)))
		if steps++; steps%eventSteps > 0 {
			continue
		}
		if now.Sub(lastEvent) > gapGoal {
			stalled[int(now.Sub(start)/time.Second)] = true
		}
		lastEvent = now
	}
	return float64(len(stalled)) / maxReplayed
}

// Replays the load of an engine that many daemons send prompts to, 4.5 a second. Guards against
// streams that stall because prompts come in clumps.
func TestScheduledPromptsDoNotStallStreams(t *testing.T) {
	c := qt.New(t)
	var before, after, delay, sent float64
	const seeds = 5
	for seed := range uint64(seeds) {
		list := arrivals(rand.New(rand.NewPCG(seed, 2)), 4.5, maxReplayed)
		scheduled := schedule(list, Request{SmoothDelay: 350 * time.Millisecond, MaxDelay: 600 * time.Millisecond})
		before += stalledShare(list) / seeds
		after += stalledShare(scheduled) / seeds
		for _, p := range scheduled {
			delay += p.at.Sub(p.wanted).Seconds()
			sent++
		}
	}
	c.Logf("seconds with a stall: %.3f without a schedule, %.3f with it; mean delay %.0f ms", before, after, delay/sent*1000)
	c.Check(before > 0.1, qt.IsTrue)
	c.Check(after < before/4, qt.IsTrue)
	c.Check(delay/sent < 0.1, qt.IsTrue)
}

// Guards against replicas of an adapter that is hardly used, and against a hot one that gets none.
func TestReplicasFollowTheUseOfAnAdapter(t *testing.T) {
	var u Use
	hot, rare := upstreams.Adapter{Model: "m", Name: "hot"}, upstreams.Adapter{Model: "m", Name: "rare"}
	var hotRatio, rareRatio float64
	for i := range 40 { // 10 requests per second that run for 1.5 s, at an engine of 12 slots
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		hotRatio = u.Record(now, hot, 1500*time.Millisecond, 12)
		if i%20 == 0 {
			rareRatio = u.Record(now, rare, 1500*time.Millisecond, 12)
		}
	}
	qt.Assert(t, hotRatio > 2 && hotRatio < 4, qt.IsTrue, qt.Commentf("%.2f", hotRatio))
	qt.Assert(t, rareRatio, qt.Equals, 1.0)
}

// Guards against a table of adapters that grows with the adapters of the fleet.
func TestUnusedAdaptersAreForgotten(t *testing.T) {
	var u Use
	for i := range 10_000 {
		a := upstreams.Adapter{Model: "m", Name: string(rune('a'+i%26)) + time.Duration(i).String()}
		u.Record(start.Add(time.Duration(i)*50*time.Millisecond), a, time.Second, 8)
	}
	qt.Assert(t, len(u.byAdapter) <= 80, qt.IsTrue, qt.Commentf("%d", len(u.byAdapter)))
}

// Guards against an estimate that stays infinite or undefined after a clock that was set back or without a
// known time of streams.
func TestUseStaysFinite(t *testing.T) {
	a := upstreams.Adapter{Model: "m", Name: "a"}
	for _, streamTime := range []time.Duration{0, time.Second} {
		var u Use
		u.Record(start, a, streamTime, 8)
		ratio := u.Record(start.Add(-time.Hour), a, streamTime, 8)
		qt.Check(t, ratio, qt.Equals, 1.0, qt.Commentf("streams of %s", streamTime))
	}
}

// Guards against demand that is counted again at each engine that had no room for the prompt.
func TestARequestThatWasNotScheduledDoesNotCountAsUse(t *testing.T) {
	var u Use
	a := upstreams.Adapter{Model: "m", Name: "a"}
	for range 8 {
		u.Record(start, a, time.Second, 10)
	}
	for range 100 {
		qt.Assert(t, u.ReplicaRatio(start, a, time.Second, 10), qt.Equals, 2.0)
	}
}

// Guards against a limit that binds where streams do not stall, and against one that stays high where
// they do.
func TestThePaceFollowsTheStreamsThatStall(t *testing.T) {
	for _, c := range []struct {
		stalled  float64
		from, to float64
	}{{0, MaxPace, MaxPace}, {0.03, 50, MaxPace}, {0.4, MinPace, MinPace + 4}} {
		rng := rand.New(rand.NewPCG(1, 4))
		var p Pace
		for range 300 {
			p.ObserveStream(rng.Float64() < c.stalled)
		}
		qt.Check(t, p.Limit() >= c.from && p.Limit() <= c.to, qt.IsTrue, qt.Commentf("stalled %.2f: %.1f", c.stalled, p.Limit()))
	}
}

// Guards against a daemon that sends prompts too densely for a while after each start, and against limits
// of peers that are no numbers.
func TestANewDaemonTakesOverTheLimitOfTheLeaseHolder(t *testing.T) {
	c := qt.New(t)
	var p, holder Pace
	for range 50 {
		holder.Merge(16)
	}
	for _, odd := range []float64{math.NaN(), -1, 0} {
		holder.Merge(odd)
	}
	c.Assert(holder.Limit(), qt.Equals, 16.0)
	p.Adopt(holder.Limit())
	c.Assert(p.Limit(), qt.Equals, 16.0)
	for range minSamples {
		p.ObserveStream(false)
	}
	p.Adopt(holder.Limit())
	c.Assert(p.Limit() > 16, qt.IsTrue)
}
