package relays

import (
	"fmt"
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

func TestTheStrongestDaemonsAreRelays(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(2, 10)
	c.Assert(Of("z1", daemons), qt.DeepEquals, []string{"z1-08", "z1-09", "z1-00"})
	daemons[18].Silent = SilentAfter
	c.Assert(Of("z1", daemons), qt.DeepEquals, []string{"z1-09", "z1-00", "z1-01"})
}

func TestEveryPairOfRelaysTalksOnce(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(4, 20)
	pairs := map[string]int{}
	for _, d := range daemons {
		targets := Targets(d.VM, d.Zone, daemons)
		isRelay := len(targets) != 1 || d.CPU > 0.5
		for _, to := range targets {
			if isRelay {
				pairs[d.VM+" "+to]++
			} else {
				c.Assert(to[:2], qt.Equals, d.VM[:2], qt.Commentf("a relay of the own zone"))
			}
		}
	}
	relays := 4 * PerZone
	c.Assert(len(pairs) >= relays*(relays-1)/2-1, qt.IsTrue, qt.Commentf("%d pairs", len(pairs)))
}

// Messages of a daemon that is no relay do not grow with the fleet, and those of a
// relay grow with the zones only.
func TestMessagesGrowWithZonesNotWithDaemons(t *testing.T) {
	c := qt.New(t)
	most := func(daemons []Daemon) int {
		n := 0
		for _, d := range daemons {
			n = max(n, len(Targets(d.VM, d.Zone, daemons)))
		}
		return n
	}
	c.Assert(most(fleet(4, 100)), qt.Equals, most(fleet(4, 10)))
	c.Assert(most(fleet(20, 20)) < 20*PerZone, qt.IsTrue)
}

// Two relays that had each missed the other's restart never called each other again,
// and took each other's engines by turns.
func TestSilentRelaysAreStillCalled(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(1, 2)
	daemons[1].Silent = time.Minute
	c.Assert(Targets("z0-00", "z0", daemons), qt.DeepEquals, []string{"z0-01"})
	daemons[0].Silent, daemons[1].Silent = time.Minute, 0
	c.Assert(Targets("z0-01", "z0", daemons), qt.DeepEquals, []string{"z0-00"})
}

func TestAZoneWithoutRelaysUsesAnother(t *testing.T) {
	c := qt.New(t)
	daemons := fleet(2, 3)
	for i := range daemons[:3] {
		daemons[i].Silent = SilentAfter
	}
	targets := Targets("z0-00", "z0", daemons)
	c.Assert(targets, qt.HasLen, 1)
	c.Assert(targets[0][:2], qt.Equals, "z1")
}
