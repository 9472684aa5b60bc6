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

func claimers(holder string, daemons []Daemon) []string {
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

func TestALivingHolderKeepsItsEngine(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	c.Assert(claimers("a1", daemons), qt.HasLen, 0)
	daemons[0].Silence = TakeoverAfter - 1
	c.Assert(claimers("a1", daemons), qt.HasLen, 0)
	daemons[0].Silence = TakeoverAfter
	c.Assert(claimers("a1", daemons), qt.DeepEquals, []string{"a2"})
}

// A zone that is cut off from the others keeps its engines.
func TestOtherZonesWaitLonger(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	daemons[0].Silence, daemons[1].Silence = TakeoverAfter+time.Second, TakeoverAfter+time.Second
	c.Assert(claimers("a1", daemons), qt.HasLen, 0)
	daemons[0].Silence, daemons[1].Silence = ZoneTakeoverAfter, ZoneTakeoverAfter
	c.Assert(claimers("a1", daemons), qt.DeepEquals, []string{"b1"})
}

// A daemon that was cut off from the store kept new engines of its zone unclaimed.
func TestADaemonAwayFromTheStoreClaimsNothing(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	before := claimers("", daemons)
	for i := range daemons {
		if daemons[i].VM == before[0] {
			daemons[i].CannotClaim = true
		}
	}
	after := claimers("", daemons)
	c.Assert(after, qt.HasLen, 1)
	c.Assert(after[0], qt.Not(qt.Equals), before[0])
	c.Assert(claimers(before[0], daemons), qt.HasLen, 0, qt.Commentf("it keeps what it holds"))
}

// During an outage of the store all daemons were away; a zone that was cut off at the
// same time lost its engines to others after four seconds.
func TestACutOffZoneKeepsItsEnginesWhileTheStoreIsAway(t *testing.T) {
	c := qt.New(t)
	daemons := fleet()
	for i := range daemons[:2] {
		daemons[i].Silence, daemons[i].CannotClaim = TakeoverAfter+time.Second, true
	}
	c.Assert(claimers("a1", daemons), qt.HasLen, 0)
}

func TestLeasesOfTwoHoldersNeverOverlap(t *testing.T) {
	c := qt.New(t)
	const turns = 3 * time.Second
	old := Lease{RenewedAt: 10 * time.Second}
	// The record changed at once after the old holder's last confirmation.
	fresh := AfterTakeover(old.RenewedAt, turns)
	var lastOld, firstFresh time.Duration
	for now := old.RenewedAt; now < 40*time.Second; now += 10 * time.Millisecond {
		if old.Valid(now) {
			lastOld = now
		}
		fresh.RenewedAt = now
		if firstFresh == 0 && fresh.Valid(now) {
			firstFresh = now
		}
	}
	c.Assert(firstFresh-lastOld >= turns, qt.IsTrue)
}

func TestALeaseLapsesWithoutConfirmation(t *testing.T) {
	c := qt.New(t)
	l := Lease{RenewedAt: time.Second}
	c.Assert(l.Valid(time.Second+LeaseDuration-1), qt.IsTrue)
	c.Assert(l.Valid(time.Second+LeaseDuration), qt.IsFalse)
}
