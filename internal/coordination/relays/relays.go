// Package relays decides which daemons pass on what the others tell, so that the
// messages of a daemon do not grow with the fleet: a daemon talks to one relay of its
// availability zone, and the relays of all zones talk to each other.
package relays

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// PerZone relays let a zone lose two daemons at a time.
	PerZone = 3
	// SilentAfter is how long a relay is silent before another daemon takes its place.
	SilentAfter = 1200 * time.Millisecond
)

// Daemon is a daemon as another one sees it.
type Daemon struct {
	VM     string
	Zone   state.Zone
	CPU    float64       // share of a core
	Silent time.Duration // since it was last heard
}

// Of returns the relays of a zone, the first one first: the strongest daemons that
// are alive, in an order on which all agree that see the same daemons.
func Of(zone state.Zone, daemons []Daemon) []string {
	alive := slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return d.Zone != zone || d.Silent >= SilentAfter })
	slices.SortFunc(alive, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.VM, b.VM))
	})
	names := make([]string, 0, PerZone)
	for _, d := range alive[:min(PerZone, len(alive))] {
		names = append(names, d.VM)
	}
	return names
}

// Targets returns the daemons that one calls: a relay calls the relays whose names
// come after its own, as each call carries both states; another daemon calls one
// relay of its zone, or of another zone if its own has none. A relay also calls those
// that have been silent, or would not hear when they are back.
func Targets(self string, zone state.Zone, daemons []Daemon) []string {
	own := Of(zone, daemons)
	if !slices.Contains(own, self) {
		if len(own) > 0 {
			return []string{state.RendezvousOwner(self, own)}
		}
		if living := all(daemons); len(living) > 0 {
			return []string{state.RendezvousOwner(self, living)}
		}
		return nil
	}
	silent := make(map[string]bool)
	revived := slices.Clone(daemons)
	for i := range revived {
		silent[revived[i].VM] = revived[i].Silent >= SilentAfter
		revived[i].Silent = 0
	}
	targets := append(all(daemons), all(revived)...)
	slices.Sort(targets)
	return slices.DeleteFunc(slices.Compact(targets), func(vm string) bool {
		return vm == self || vm < self && !silent[vm]
	})
}

// all returns the relays of all zones.
func all(daemons []Daemon) []string {
	var zones []state.Zone
	for _, d := range daemons {
		if !slices.Contains(zones, d.Zone) {
			zones = append(zones, d.Zone)
		}
	}
	var names []string
	for _, z := range zones {
		names = append(names, Of(z, daemons)...)
	}
	return names
}
