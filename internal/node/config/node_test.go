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

// startCluster starts daemons in zones of at most perZone daemons.
func startCluster(count, perZone int) (*cluster, []*testNode) {
	c := newCluster()
	var nodes []*testNode
	for i := range count {
		nodes = append(nodes, c.add(i, i/perZone))
	}
	return c, nodes
}

// waitInForce waits in virtual time until a revision is in force at all nodes, and
// returns how long this took.
func waitInForce(t testing.TB, nodes []*testNode, revision uint64, limit time.Duration) time.Duration {
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

// maxTimeToInForce is the documented limit of the time between the acceptance of a
// submission and the time at which its revision is in force at all daemons.
const maxTimeToInForce = 18 * time.Second

func TestAcceptedConfigurationIsInForceAtAllDaemonsInTime(t *testing.T) {
	for _, size := range []int{2, 9, 20, 50} {
		synctest.Test(t, func(t *testing.T) {
			c, nodes := startCluster(size, 10)
			defer c.close()
			time.Sleep(5 * time.Second)
			calls := c.store.callCount()
			accepted, err := nodes[size-1].Submit(t.Context(), setShare(nodes[size-1], "s1", "ana", 0.1))
			qt.Assert(t, err, qt.IsNil)
			took := waitInForce(t, nodes, accepted.Revision, maxTimeToInForce)
			t.Logf("%d daemons: in force everywhere %s after acceptance, %d calls of the object store", size, took, c.store.callCount()-calls)
			p := nodes[0].Progress(accepted.Revision)
			qt.Assert(t, p.InForce, qt.Equals, size)
		})
	}
}

func TestSecondOfTwoRacingChangesOfAnObjectGetsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(2, 1)
		defer c.close()
		time.Sleep(time.Second)
		subs := []configsync.Submission{setShare(nodes[0], "s1", "ana", 0.1), setShare(nodes[1], "s2", "ana", 0.2)}
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

func TestRacingChangesOfDifferentObjectsAreBothAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(2, 1)
		defer c.close()
		time.Sleep(time.Second)
		subs := []configsync.Submission{setShare(nodes[0], "s1", "ana", 0.1), setShare(nodes[1], "s2", "bea", 0.2)}
		errs := make(chan error, 2)
		for i, n := range nodes {
			go func() {
				_, err := n.Submit(context.Background(), subs[i])
				errs <- err
			}()
		}
		qt.Assert(t, <-errs, qt.IsNil)
		qt.Assert(t, <-errs, qt.IsNil)
		waitInForce(t, nodes, 2, maxTimeToInForce)
		qt.Assert(t, nodes[0].Catalog().Config().Customers, qt.HasLen, 2)
	})
}

func TestRepeatedSubmissionAfterALostAnswerIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(2, 1)
		defer c.close()
		time.Sleep(time.Second)
		nodes[0].store.lostAnswers = 1
		sub := setShare(nodes[0], "s1", "ana", 0.1)
		accepted, err := nodes[0].Submit(t.Context(), sub)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted.Revision, qt.Equals, uint64(1))
		repeated, err := nodes[1].Submit(t.Context(), sub)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, repeated, qt.Equals, configsync.Accepted{Revision: 1, Repeated: true})
	})
}

func TestObjectStoreOutageFailsSubmissionsAndKeepsTheRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(1, 1)
		defer c.close()
		_, err := nodes[0].Submit(t.Context(), setShare(nodes[0], "s1", "ana", 0.1))
		qt.Assert(t, err, qt.IsNil)
		nodes[0].store.setDown(true)
		_, err = nodes[0].Submit(t.Context(), setShare(nodes[0], "s2", "ana", 0.2))
		qt.Assert(t, err, qt.ErrorMatches, ".*nothing was changed")
		qt.Assert(t, nodes[0].Revision(), qt.Equals, uint64(1))
	})
}

func TestDaemonWithoutObjectStoreReadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(4, 2)
		defer c.close()
		time.Sleep(time.Second)
		for _, n := range nodes[2:] {
			n.store.setDown(true)
		}
		accepted, err := nodes[0].Submit(t.Context(), setShare(nodes[0], "s1", "ana", 0.1))
		qt.Assert(t, err, qt.IsNil)
		waitInForce(t, nodes, accepted.Revision, 3*maxTimeToInForce)
	})
}

func TestDaemonStartedDuringAnObjectStoreOutageReadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(2, 2)
		defer c.close()
		accepted, err := nodes[0].Submit(t.Context(), setShare(nodes[0], "s1", "ana", 0.1))
		qt.Assert(t, err, qt.IsNil)
		waitInForce(t, nodes, accepted.Revision, maxTimeToInForce)
		for _, n := range nodes {
			n.store.setDown(true)
		}
		joined := c.add(7, 0)
		joined.store.setDown(true)
		qt.Assert(t, joined.Ready(), qt.IsFalse)
		waitInForce(t, []*testNode{joined}, accepted.Revision, maxTimeToInForce)
		time.Sleep(configsync.BootstrapTimeout)
		qt.Assert(t, joined.Ready(), qt.IsTrue)
	})
}

func TestStartingDaemonReadsTheSnapshotInsteadOfAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(2, 2)
		defer c.close()
		time.Sleep(time.Second)
		for i := range configsync.RecordsPerSnapshot + 5 {
			_, err := nodes[0].Submit(t.Context(), setShare(nodes[0], fmt.Sprint("s", i), fmt.Sprint("c", i%7), float64(i)))
			qt.Assert(t, err, qt.IsNil)
			waitInForce(t, nodes[:1], uint64(i+1), maxTimeToInForce)
		}
		qt.Assert(t, nodes[0].Compact(t.Context()), qt.IsNil)
		joined := c.add(7, 9)
		before := c.store.callCount()
		waitInForce(t, []*testNode{joined}, configsync.RecordsPerSnapshot+5, maxTimeToInForce)
		qt.Assert(t, c.store.callCount()-before < 100, qt.IsTrue, qt.Commentf("calls %d", c.store.callCount()-before))
		qt.Assert(t, joined.Catalog().Digest, qt.Equals, nodes[0].Catalog().Digest)
		past, err := joined.At(t.Context(), configsync.RecordsPerSnapshot+1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, past.Customers[0].Share != joined.Catalog().Config().Customers[0].Share || len(past.Customers) == 7, qt.IsTrue)
	})
}

func TestRollbackIsANewRevisionWithEarlierContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(1, 1)
		defer c.close()
		n := nodes[0]
		for i, share := range []float64{0.1, 0.2, 0.3} {
			_, err := n.Submit(t.Context(), setShare(n, fmt.Sprint("s", i), "ana", share))
			qt.Assert(t, err, qt.IsNil)
			waitInForce(t, nodes, uint64(i+1), maxTimeToInForce)
		}
		first, err := n.At(t.Context(), 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, first.Customers[0].Share, qt.Equals, 0.1)
		changes, err := configsync.Diff(n.Catalog().Config(), first)
		qt.Assert(t, err, qt.IsNil)
		accepted, err := n.Submit(t.Context(), configsync.Submission{ID: "rollback", Author: "ana", Changes: changes})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted.Revision, qt.Equals, uint64(4))
		infos, err := n.History(t.Context(), 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, infos[len(infos)-1].Submission, qt.Equals, "s0")
	})
}

func TestSubmissionOfAllAdaptersIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(2, 2)
		defer c.close()
		const adapters = 82_000
		next := configWithAdapters(adapters)
		changes, err := configsync.Diff(nil, next)
		qt.Assert(t, err, qt.IsNil)
		accepted, err := nodes[0].Submit(t.Context(), configsync.Submission{ID: "big", Author: "ana", Changes: changes})
		qt.Assert(t, err, qt.IsNil)
		waitInForce(t, nodes, accepted.Revision, maxTimeToInForce)
		qt.Assert(t, nodes[1].Catalog().Config().Services[0].Adapters, qt.HasLen, adapters)
	})
}

// configWithAdapters returns a configuration of one service.
func configWithAdapters(adapters int) *deckconfig.Config {
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

// Daemons restart, lose their connection to the object store and to peers, and lose
// answers, while submissions go through random daemons. An accepted submission must stay
// in force despite these faults.
func TestRandomFaultsNeverRevertAcceptedConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 999), 20, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { runFaults(t, steps) })
	})
}

// runFaults executes one submission or fault for each step, then ends all faults and
// checks that the daemons converge.
func runFaults(t *testing.T, steps []int) {
	c, nodes := startCluster(4, 2)
	defer c.close()
	next := len(nodes)
	accepted := make(map[string]float64) // share by customer
	unknown := make(map[string]bool)     // customers with a submission of unknown outcome
	lastRevision := make(map[*testNode]uint64)
	for i, step := range steps {
		n := nodes[step%len(nodes)]
		switch step / 100 {
		case 0, 1, 2, 3:
			customer := fmt.Sprint("c", step%3)
			sub := setShare(n, fmt.Sprint("s", i), customer, float64(i))
			_, err := n.Submit(t.Context(), sub)
			if err == nil {
				accepted[customer] = float64(i)
			}
			if errors.Is(err, configsync.ErrUnknownOutcome) {
				unknown[customer] = true
			}
		case 4:
			n.store.setDown(true)
		case 5:
			n.store.setDown(false)
		case 6:
			n.store.mu.Lock()
			n.store.lostAnswers = 1
			n.store.mu.Unlock()
		case 7:
			c.setCut(n, nodes[step/10%len(nodes)], step%2 == 0)
		case 8:
			c.remove(n)
			started := c.add(next, n.zone)
			next++
			nodes[step%len(nodes)] = started
		case 9:
			time.Sleep(time.Duration(step%100) * 300 * time.Millisecond)
		}
		for _, n := range nodes {
			if n.Revision() < lastRevision[n] {
				t.Fatalf("daemon %s went back from revision %d to %d", n.id, lastRevision[n], n.Revision())
			}
			lastRevision[n] = n.Revision()
			if n.Diverged() {
				t.Fatalf("daemon %s diverged", n.id)
			}
		}
	}
	for _, n := range nodes {
		n.store.setDown(false)
		for _, o := range nodes {
			c.setCut(n, o, false)
		}
	}
	time.Sleep(2 * configsync.MemberPollInterval)
	checkConverged(t, nodes, accepted, unknown)
}

// checkConverged checks that all daemons have the same configuration, with every
// accepted share whose customer has no submission of unknown outcome.
func checkConverged(t *testing.T, nodes []*testNode, accepted map[string]float64, unknown map[string]bool) {
	for _, n := range nodes {
		if n.Revision() != nodes[0].Revision() {
			t.Fatalf("daemon %s is at revision %d, daemon %s at %d", n.id, n.Revision(), nodes[0].id, nodes[0].Revision())
		}
		if n.Catalog() == nil {
			continue
		}
		if n.Catalog().Digest != nodes[0].Catalog().Digest {
			t.Fatalf("daemons %s and %s differ at the same revision", n.id, nodes[0].id)
		}
		for _, c := range n.Catalog().Config().Customers {
			if !unknown[c.Name] && c.Share != accepted[c.Name] {
				t.Fatalf("customer %s has share %v, accepted was %v", c.Name, c.Share, accepted[c.Name])
			}
		}
	}
}

func TestAcceptedChangeReachesAllDaemonsWhenTheObjectStoreFailsRightAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(4, 2)
		defer c.close()
		time.Sleep(time.Second)
		accepted, err := nodes[3].Submit(t.Context(), setShare(nodes[3], "s1", "ana", 0.1))
		for _, n := range nodes {
			n.store.setDown(true)
		}
		qt.Assert(t, err, qt.IsNil)
		waitInForce(t, nodes, accepted.Revision, 3*maxTimeToInForce)
	})
}
