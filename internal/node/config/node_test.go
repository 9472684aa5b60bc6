package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
)

// newFleetOf starts daemons over zones of at most perZone.
func newFleetOf(count, perZone int) (*fleet, []*testNode) {
	f := newFleet()
	var nodes []*testNode
	for i := range count {
		nodes = append(nodes, f.add(i, i/perZone))
	}
	return f, nodes
}

// inForceEverywhere waits in virtual time until a revision is in force at all nodes.
func inForceEverywhere(t testing.TB, nodes []*testNode, revision uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for {
		behind := 0
		for _, n := range nodes {
			if n.Revision() < revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Fatalf("revision %d is not in force at %d of %d daemons after %s", revision, behind, len(nodes), limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// targetInForce is the stated bound from accepted to in force everywhere.
const targetInForce = 18 * time.Second

func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	for _, size := range []int{2, 9, 20, 50} {
		synctest.Test(t, func(t *testing.T) {
			f, nodes := newFleetOf(size, 10)
			defer f.close()
			time.Sleep(5 * time.Second)
			calls := f.store.callCount()
			accepted, err := nodes[size-1].Submit(t.Context(), change(nodes[size-1], "s1", "ana", 0.1))
			qt.Assert(t, err, qt.IsNil)
			took := inForceEverywhere(t, nodes, accepted.Revision, targetInForce)
			t.Logf("%d daemons: in force everywhere %s after acceptance, %d platform calls", size, took, f.store.callCount()-calls)
			p := nodes[0].Progress(accepted.Revision)
			qt.Assert(t, p.InForce, qt.Equals, size)
		})
	}
}

func TestRaceOfTwoOperatorsGivesOneAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(2, 1)
		defer f.close()
		time.Sleep(time.Second)
		subs := []configsync.Submission{change(nodes[0], "s1", "ana", 0.1), change(nodes[1], "s2", "ana", 0.2)}
		errs := make(chan error, 2)
		for i, n := range nodes {
			go func() {
				_, err := n.Submit(context.Background(), subs[i])
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first != nil {
			first, second = second, first
		}
		qt.Assert(t, first, qt.IsNil)
		var conflict *configsync.ConflictError
		qt.Assert(t, errors.As(second, &conflict), qt.IsTrue)
		qt.Assert(t, conflict.Key.Name, qt.Equals, "ana")
	})
}

func TestDisjointChangesMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(2, 1)
		defer f.close()
		time.Sleep(time.Second)
		subs := []configsync.Submission{change(nodes[0], "s1", "ana", 0.1), change(nodes[1], "s2", "bea", 0.2)}
		errs := make(chan error, 2)
		for i, n := range nodes {
			go func() {
				_, err := n.Submit(context.Background(), subs[i])
				errs <- err
			}()
		}
		qt.Assert(t, <-errs, qt.IsNil)
		qt.Assert(t, <-errs, qt.IsNil)
		inForceEverywhere(t, nodes, 2, targetInForce)
		qt.Assert(t, nodes[0].Catalog().Config().Customers, qt.HasLen, 2)
	})
}

func TestLostAnswerIsSettledByTheSubmissionID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(2, 1)
		defer f.close()
		time.Sleep(time.Second)
		nodes[0].port.lose = 1
		sub := change(nodes[0], "s1", "ana", 0.1)
		accepted, err := nodes[0].Submit(t.Context(), sub)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted.Revision, qt.Equals, uint64(1))
		again, err := nodes[1].Submit(t.Context(), sub)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, configsync.Accepted{Revision: 1, Repeated: true})
	})
}

func TestPlatformOutageRefusesSubmissionAndKeepsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(1, 1)
		defer f.close()
		_, err := nodes[0].Submit(t.Context(), change(nodes[0], "s1", "ana", 0.1))
		qt.Assert(t, err, qt.IsNil)
		nodes[0].port.setDown(true)
		_, err = nodes[0].Submit(t.Context(), change(nodes[0], "s2", "ana", 0.2))
		qt.Assert(t, err, qt.ErrorMatches, ".*nothing was changed")
		qt.Assert(t, nodes[0].Revision(), qt.Equals, uint64(1))
	})
}

func TestDaemonCutOffFromThePlatformFollowsAnyPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(4, 2)
		defer f.close()
		time.Sleep(time.Second)
		for _, n := range nodes[2:] {
			n.port.setDown(true)
		}
		accepted, err := nodes[0].Submit(t.Context(), change(nodes[0], "s1", "ana", 0.1))
		qt.Assert(t, err, qt.IsNil)
		inForceEverywhere(t, nodes, accepted.Revision, 3*targetInForce)
	})
}

func TestDaemonStartedDuringAnOutageTakesThePeersRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(2, 2)
		defer f.close()
		accepted, err := nodes[0].Submit(t.Context(), change(nodes[0], "s1", "ana", 0.1))
		qt.Assert(t, err, qt.IsNil)
		inForceEverywhere(t, nodes, accepted.Revision, targetInForce)
		for _, n := range nodes {
			n.port.setDown(true)
		}
		late := f.add(7, 0)
		late.port.setDown(true)
		qt.Assert(t, late.Ready(), qt.IsFalse)
		inForceEverywhere(t, []*testNode{late}, accepted.Revision, targetInForce)
		time.Sleep(configsync.BootstrapTimeout)
		qt.Assert(t, late.Ready(), qt.IsTrue)
	})
}

func TestSnapshotStartsADaemonAfterRecordsWereDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(2, 2)
		defer f.close()
		time.Sleep(time.Second)
		for i := range configsync.RecordsPerSnapshot + 5 {
			_, err := nodes[0].Submit(t.Context(), change(nodes[0], fmt.Sprint("s", i), fmt.Sprint("c", i%7), float64(i)))
			qt.Assert(t, err, qt.IsNil)
			inForceEverywhere(t, nodes[:1], uint64(i+1), targetInForce)
		}
		qt.Assert(t, nodes[0].Compact(t.Context()), qt.IsNil)
		late := f.add(7, 9)
		before := f.store.callCount()
		inForceEverywhere(t, []*testNode{late}, configsync.RecordsPerSnapshot+5, targetInForce)
		qt.Assert(t, f.store.callCount()-before < 100, qt.IsTrue, qt.Commentf("calls %d", f.store.callCount()-before))
		qt.Assert(t, late.Catalog().Digest, qt.Equals, nodes[0].Catalog().Digest)
		past, err := late.At(t.Context(), configsync.RecordsPerSnapshot+1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, past.Customers[0].Share != late.Catalog().Config().Customers[0].Share || len(past.Customers) == 7, qt.IsTrue)
	})
}

func TestRollbackIsANewRevisionWithTheOldContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(1, 1)
		defer f.close()
		n := nodes[0]
		for i, share := range []float64{0.1, 0.2, 0.3} {
			_, err := n.Submit(t.Context(), change(n, fmt.Sprint("s", i), "ana", share))
			qt.Assert(t, err, qt.IsNil)
			inForceEverywhere(t, nodes, uint64(i+1), targetInForce)
		}
		old, err := n.At(t.Context(), 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, old.Customers[0].Share, qt.Equals, 0.1)
		changes, err := configsync.Diff(n.Catalog().Config(), old)
		qt.Assert(t, err, qt.IsNil)
		accepted, err := n.Submit(t.Context(), configsync.Submission{ID: "back", Author: "ana", Changes: changes})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted.Revision, qt.Equals, uint64(4))
		infos, err := n.History(t.Context(), 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, infos[len(infos)-1].Submission, qt.Equals, "s0")
	})
}

func TestAllAdaptersOfTheTargetFitOneSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(2, 2)
		defer f.close()
		const adapters = 82_000
		next := bigConfig(adapters)
		changes, err := configsync.Diff(nil, next)
		qt.Assert(t, err, qt.IsNil)
		accepted, err := nodes[0].Submit(t.Context(), configsync.Submission{ID: "big", Author: "ana", Changes: changes})
		qt.Assert(t, err, qt.IsNil)
		inForceEverywhere(t, nodes, accepted.Revision, targetInForce)
		qt.Assert(t, nodes[1].Catalog().Config().Services[0].Adapters, qt.HasLen, adapters)
	})
}

func bigConfig(adapters int) *deckconfig.Config {
	c := &deckconfig.Config{Format: deckconfig.Format, Services: []deckconfig.Service{{Name: "advice", Kind: deckconfig.ModelService}}}
	for i := range adapters {
		c.Services[0].Adapters = append(c.Services[0].Adapters, deckconfig.Adapter{
			Name:     fmt.Sprintf("club-%05d", i),
			Default:  "v1",
			Versions: []deckconfig.Version{{Name: "v1", Source: fmt.Sprintf("weights/club-%05d/v1", i)}},
		})
	}
	return c
}

// TestRandomFaultsNeverRevertAcceptedConfiguration lets daemons come and go, lose
// the platform, each other and answers, while operators submit through any of them.
func TestRandomFaultsNeverRevertAcceptedConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 999), 20, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { runFaults(t, steps) })
	})
}

func runFaults(t *testing.T, steps []int) {
	f, nodes := newFleetOf(4, 2)
	defer f.close()
	next := len(nodes)
	accepted := make(map[string]float64)
	unknown := make(map[string]bool)
	floor := make(map[*testNode]uint64)
	for i, step := range steps {
		n := nodes[step%len(nodes)]
		switch step / 100 {
		case 0, 1, 2, 3:
			customer := fmt.Sprint("c", step%3)
			sub := change(n, fmt.Sprint("s", i), customer, float64(i))
			_, err := n.Submit(t.Context(), sub)
			if err == nil {
				accepted[customer] = float64(i)
			}
			if errors.Is(err, configsync.ErrUnknownOutcome) {
				unknown[customer] = true
			}
		case 4:
			n.port.setDown(true)
		case 5:
			n.port.setDown(false)
		case 6:
			n.port.mu.Lock()
			n.port.lose = 1
			n.port.mu.Unlock()
		case 7:
			f.setCut(n, nodes[step/10%len(nodes)], step%2 == 0)
		case 8:
			f.remove(n)
			fresh := f.add(next, n.zone)
			next++
			nodes[step%len(nodes)] = fresh
		case 9:
			time.Sleep(time.Duration(step%100) * 300 * time.Millisecond)
		}
		for _, n := range nodes {
			if n.Revision() < floor[n] {
				t.Fatalf("daemon %s went back from %d to %d", n.id, floor[n], n.Revision())
			}
			floor[n] = n.Revision()
			if n.Diverged() {
				t.Fatalf("daemon %s diverged", n.id)
			}
		}
	}
	for _, n := range nodes {
		n.port.setDown(false)
		for _, o := range nodes {
			f.setCut(n, o, false)
		}
	}
	time.Sleep(2 * configsync.MemberPollInterval)
	checkConverged(t, nodes, accepted, unknown)
}

func checkConverged(t *testing.T, nodes []*testNode, accepted map[string]float64, unknown map[string]bool) {
	for _, n := range nodes {
		if n.Revision() != nodes[0].Revision() {
			t.Fatalf("daemon %s is at %d, daemon %s at %d", n.id, n.Revision(), nodes[0].id, nodes[0].Revision())
		}
		if n.Catalog() == nil {
			continue
		}
		if n.Catalog().Digest != nodes[0].Catalog().Digest {
			t.Fatalf("daemons %s and %s differ", n.id, nodes[0].id)
		}
		for _, c := range n.Catalog().Config().Customers {
			if !unknown[c.Name] && c.Share != accepted[c.Name] {
				t.Fatalf("customer %s has share %v, accepted was %v", c.Name, c.Share, accepted[c.Name])
			}
		}
	}
}

func TestAcceptedChangeSpreadsWhenThePlatformFailsRightAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newFleetOf(4, 2)
		defer f.close()
		time.Sleep(time.Second)
		accepted, err := nodes[3].Submit(t.Context(), change(nodes[3], "s1", "ana", 0.1))
		for _, n := range nodes {
			n.port.setDown(true)
		}
		qt.Assert(t, err, qt.IsNil)
		inForceEverywhere(t, nodes, accepted.Revision, 3*targetInForce)
	})
}
