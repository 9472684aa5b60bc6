package holders

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

func fleet() []Daemon {
	return []Daemon{{VM: "a1", Zone: "a"}, {VM: "a2", Zone: "a"}, {VM: "b1", Zone: "b"}}
}

func claimants(holder string, daemons []Daemon) []string {
	var names []string
	for _, d := range daemons {
		if d.Silence == 0 && ShouldClaim(d, "engine", "a", holder, daemons) {
			names = append(names, d.VM)
		}
	}
	return names
}

func TestOneDaemonOfTheZoneClaimsAnEngine(t *testing.T) {
	c := qt.New(t)
	for i := range 20 {
		daemons := fleet()
		n := 0
		for _, d := range daemons {
			if ShouldClaim(d, state.UpstreamID(fmt.Sprint("engine", i)), "a", "", daemons) {
				n++
				c.Assert(d.Zone, qt.Equals, state.Zone("a"))
			}
		}
		c.Assert(n, qt.Equals, 1)
	}
}

func TestALeaseHolderThatIsNotSilentKeepsItsEngine(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	c.Assert(claimants("a1", daemons), qt.HasLen, 0)
	daemons[0].Silence = TakeoverAfter - 1
	c.Assert(claimants("a1", daemons), qt.HasLen, 0)
	daemons[0].Silence = TakeoverAfter
	c.Assert(claimants("a1", daemons), qt.DeepEquals, []string{"a2"})
}

// A zone that is partitioned from the other zones keeps its engines until ZoneTakeoverAfter.
func TestOtherZonesTakeOverLater(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	daemons[0].Silence, daemons[1].Silence = TakeoverAfter+time.Second, TakeoverAfter+time.Second
	c.Assert(claimants("a1", daemons), qt.HasLen, 0)
	daemons[0].Silence, daemons[1].Silence = ZoneTakeoverAfter, ZoneTakeoverAfter
	c.Assert(claimants("a1", daemons), qt.DeepEquals, []string{"b1"})
}

// A daemon without a connection to the store was chosen as claimant, and new engines of its
// zone stayed unclaimed.
func TestADaemonWithoutTheStoreClaimsNothing(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	before := claimants("", daemons)
	for i := range daemons {
		if daemons[i].VM == before[0] {
			daemons[i].CannotClaim = true
		}
	}
	after := claimants("", daemons)
	c.Assert(after, qt.HasLen, 1)
	c.Assert(after[0], qt.Not(qt.Equals), before[0])
	c.Assert(claimants(before[0], daemons), qt.HasLen, 0, qt.Commentf("it keeps the leases that it holds"))
}

// During an outage of the store no daemon can claim engines. A zone that was partitioned
// from the other zones at the same time lost its engines to them after four seconds.
func TestAPartitionedZoneKeepsItsEnginesDuringAStoreOutage(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	for i := range daemons[:2] {
		daemons[i].Silence, daemons[i].CannotClaim = TakeoverAfter+time.Second, true
	}
	c.Assert(claimants("a1", daemons), qt.HasLen, 0)
}

func TestLeasesOfTwoHoldersNeverOverlap(t *testing.T) {
	c := qt.New(t)
	const minInterval = 3 * time.Second
	old := Lease{RenewedAt: 10 * time.Second}
	// Worst case: the record changed immediately after the previous holder renewed its lease.
	successor := AfterTakeover(old.RenewedAt, minInterval)
	var lastOld, firstNew time.Duration
	for now := old.RenewedAt; now < 40*time.Second; now += 10 * time.Millisecond {
		if old.Valid(now) {
			lastOld = now
		}
		successor.RenewedAt = now
		if successor.IsCompletable(now) { // and the record is written
			successor.IsPending = false
		}
		if firstNew == 0 && successor.Valid(now) {
			firstNew = now
		}
	}
	c.Assert(firstNew-lastOld >= minInterval, qt.IsTrue)
	successor.IsPending = true
	c.Assert(successor.Valid(40*time.Second), qt.IsFalse, qt.Commentf("the previous holder can still take the engine back"))
}

func TestALeaseExpiresUnlessRenewed(t *testing.T) {
	c := qt.New(t)
	l := Lease{RenewedAt: time.Second}
	c.Assert(l.Valid(time.Second+LeaseDuration-1), qt.IsTrue)
	c.Assert(l.Valid(time.Second+LeaseDuration), qt.IsFalse)
}
