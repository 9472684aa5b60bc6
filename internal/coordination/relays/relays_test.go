package relays

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

func fleet(zones, each int) []Daemon {
	var list []Daemon
	for z := range zones {
		for i := range each {
			cpu := 0.2
			if i >= each-2 {
				cpu = 0.8
			}
			list = append(list, Daemon{VM: fmt.Sprintf("z%d-%02d", z, i), Zone: state.Zone(fmt.Sprint("z", z)), CPU: cpu})
		}
	}
	return list
}

func TestTheDaemonsWithTheMostCPUAreRelays(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(2, 10)
	c.Assert(Of("z1", daemons), qt.DeepEquals, []string{"z1-08", "z1-09", "z1-00"})
	daemons[18].Silence = SilentAfter
	c.Assert(Of("z1", daemons), qt.DeepEquals, []string{"z1-09", "z1-00", "z1-01"})
}

func TestEachPairOfLeadRelaysExchangesStatesOnce(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(4, 20)
	pairs := 0
	for _, d := range daemons {
		targets := TargetsOf(d.VM, d.Zone, daemons)
		pairs += len(targets.Other)
		for _, to := range targets.Zone {
			c.Assert(to[:2], qt.Equals, d.VM[:2])
		}
		if !slices.Contains(Of(d.Zone, daemons), d.VM) {
			c.Assert(targets, qt.DeepEquals, Targets{Zone: Of(d.Zone, daemons)[:1]})
		}
	}
	c.Assert(pairs, qt.Equals, 4*3/2)
}

// The number of messages that a daemon sends does not grow with the fleet if it is not a
// relay. For a lead relay, the number grows only with the number of zones.
func TestMessagesGrowWithZonesNotWithDaemons(t *testing.T) {
	c := qt.New(t)
	most := func(daemons []Daemon) int {
		n := 0
		for _, d := range daemons {
			targets := TargetsOf(d.VM, d.Zone, daemons)
			n = max(n, len(targets.Zone)+len(targets.Other))
		}
		return n
	}
	c.Assert(most(fleet(4, 100)), qt.Equals, most(fleet(4, 10)))
	c.Assert(most(fleet(20, 20)) < 20+PerZone, qt.IsTrue)
}

// Two relays had each missed the restart of the other relay. They never exchanged states
// again, and alternately took over each other's engines.
func TestSilentRelaysStillReceiveStates(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(1, 2)
	daemons[1].Silence = time.Minute
	c.Assert(TargetsOf("z0-00", "z0", daemons).Zone, qt.DeepEquals, []string{"z0-01"})
	daemons[0].Silence, daemons[1].Silence = time.Minute, 0
	c.Assert(TargetsOf("z0-01", "z0", daemons).Zone, qt.DeepEquals, []string{"z0-00"})
}

func TestInASmallFleetAllRelaysExchangeStates(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(3, 3)
	pairs := 0
	for _, d := range daemons {
		targets := TargetsOf(d.VM, d.Zone, daemons)
		pairs += len(targets.Zone) + len(targets.Other)
	}
	c.Assert(pairs, qt.Equals, 9*8/2)
}

func TestADaemonWithoutARelayInItsZoneUsesAnotherZone(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(2, 4)
	for i := range daemons[:4] {
		daemons[i].Silence = SilentAfter
	}
	targets := TargetsOf("z0-00", "z0", daemons)
	c.Assert(targets.Zone, qt.HasLen, 0)
	c.Assert(targets.Other, qt.DeepEquals, []string{Of("z1", daemons)[0]})
}
