package fairshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestTheLevelGivesNobodyMoreThanItsDemand(t *testing.T) {
	c := qt.New(t)
	// 100 tokens/s are served. The small account gets its 10, the others share the other 90.
	uses := []Use{{Demand: 10, Served: 5, Weight: 1}, {Demand: 80, Served: 20, Weight: 1}, {Demand: 400, Served: 75, Weight: 1}}
	c.Assert(new(Meter).Level(at(0), uses), qt.Equals, 45.0)
	uses[1].Weight = 2
	c.Assert(new(Meter).Level(at(0), uses), qt.Equals, 30.0)
	c.Assert(math.IsInf(new(Meter).Level(at(0), []Use{{Demand: 10, Served: 10, Weight: 1}}), 1), qt.IsTrue, qt.Commentf("all demand is met"))
	c.Assert(math.IsInf(new(Meter).Level(at(0), nil), 1), qt.IsTrue)
}

func TestALimitIsNeverBelowTheObjective(t *testing.T) {
	c := qt.New(t)
	for _, excess := range []float64{0, 1, 1.2, 2, 100, math.Inf(1)} {
		c.Check(Limit(time.Second, 300*time.Millisecond, excess) >= 300*time.Millisecond, qt.IsTrue)
		c.Check(Limit(100*time.Millisecond, 300*time.Millisecond, excess), qt.Equals, 100*time.Millisecond)
	}
	c.Check(Limit(time.Second, 300*time.Millisecond, 1), qt.Equals, time.Second)
	c.Check(Limit(time.Second, 300*time.Millisecond, 2), qt.Equals, 300*time.Millisecond)
}

// replay serves ten accounts, one of which sends hot times its usual traffic, at upstreams that
// have capacity for the usual traffic and a tenth more. It returns the parts of their demand that
// the hot account and the worst other one are served, and the tokens served.
func replay(hot float64, hotSteps int, isFair bool) (ofHot, worstOther, served float64) {
	const (
		accounts, size, usual = 10, 1500.0, 15_000.0 // tokens, tokens/s
		capacity              = 1.1 * accounts * usual
		objective, full       = 0.5, 1.2   // s
		step, hotFrom         = 0.01, 4000 // s, steps
	)
	var uses [accounts]Use
	var asked, got [accounts]float64
	var meter Meter
	rng := rand.New(rand.NewPCG(1, 1))
	backlog, level := 0.0, math.Inf(1)
	for i := range hotFrom + hotSteps {
		if i%20 == 0 { // the daemons exchange their sums
			level = meter.Level(at(float64(i)*step), uses[:])
		}
		backlog = max(0, backlog-capacity*step)
		for _, a := range rng.Perm(accounts) {
			rate := usual
			if a == 0 && i >= hotFrom {
				rate *= hot
			}
			uses[a] = Use{Demand: uses[a].Demand * (1 - step/6), Served: uses[a].Served * (1 - step/2), Weight: 1}
			if rng.Float64() < rate*step/size {
				limit := time.Duration(full * float64(time.Second))
				if isFair {
					limit = Limit(limit, time.Duration(objective*float64(time.Second)), Excess(uses[a].Served, 1, level, size, 2*time.Second))
				}
				uses[a].Demand += size / 6
				if i >= hotFrom {
					asked[a] += size
				}
				if time.Duration(backlog/capacity*float64(time.Second)) <= limit {
					backlog += size
					uses[a].Served += size / 2
					if i >= hotFrom {
						got[a] += size
					}
				}
			}
		}
	}
	worstOther = 1
	for a := range got {
		served += got[a]
		if a > 0 {
			worstOther = min(worstOther, got[a]/asked[a])
		}
	}
	return got[0] / asked[0], worstOther, served
}

// Guards against an account that takes the place of others of its rank by sending many times its
// usual traffic.
func TestAHotAccountDoesNotPushOutOthers(t *testing.T) {
	c := qt.New(t)
	_, other, served := replay(8, 3000, false)
	c.Assert(other < 0.75, qt.IsTrue, qt.Commentf("without fair shares, others are served %v", other))
	ofHot, fairOther, fairServed := replay(8, 3000, true)
	_, early, _ := replay(8, 600, true)
	t.Logf("in the first 6 s others are served %.2f", early)
	c.Assert(early > 0.95, qt.IsTrue)
	t.Logf("others are served %.2f without and %.2f with fair shares, the hot account %.2f", other, fairOther, ofHot)
	c.Assert(fairOther > 0.95, qt.IsTrue, qt.Commentf("%v", fairOther))
	c.Assert(ofHot > 0.12, qt.IsTrue, qt.Commentf("the hot account gets at least its usual traffic: %v", ofHot))
	c.Assert(fairServed > 0.98*served, qt.IsTrue, qt.Commentf("no capacity is left unused: %v of %v", fairServed, served))
}

func TestNothingIsRefusedWhileThereIsCapacity(t *testing.T) {
	c := qt.New(t)
	ofHot, other, _ := replay(1.2, 6000, true)
	c.Assert([]float64{ofHot, other}, qt.DeepEquals, []float64{1, 1})
}
