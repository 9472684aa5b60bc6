// Package relays decides which daemons pass on what the others tell, so that the
// messages of a daemon do not grow with the fleet: a daemon talks to the lead of its
// availability zone, the relays of a zone talk to each other, and so do the leads of
// all zones, or in a small fleet all relays.
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
	// SmallFleet is the number of daemons up to which the relays of all zones talk to
	// each other directly: what a daemon knows is fresher, and lost with fewer others.
	SmallFleet = 20
	// SilentAfter is how long a relay is silent before another daemon takes its place.
	SilentAfter = 1200 * time.Millisecond
)

// Daemon is a daemon as another one sees it.
type Daemon struct {
	VM      string
	Zone    state.Zone
	CPU     float64       // share of a core
	Silence time.Duration // since it was last heard
}

// Of returns the relays of a zone, its lead first: the strongest daemons that are
// alive, in an order on which all agree that see the same daemons.
func Of(zone state.Zone, daemons []Daemon) []string {
	alive := slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return d.Zone != zone || d.Silence >= SilentAfter })
	slices.SortFunc(alive, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.VM, b.VM))
	})
	names := make([]string, 0, PerZone)
	for _, d := range alive[:min(PerZone, len(alive))] {
		names = append(names, d.VM)
	}
	return names
}

// Targets are the daemons that one calls.
type Targets struct {
	Zone  []string // in its own zone
	Other []string // in other zones
}

// TargetsOf returns the daemons that one calls: a daemon calls the lead of its zone, or
// of another zone if there is none; a relay calls the other relays of its zone, and a
// lead those of other zones, or each relay all others in a small fleet. Of two relays or two leads the one whose name comes first
// calls, as each call carries both states; the other one calls, too, while the first
// is silent, or it would not hear when it is back.
func TargetsOf(self string, zone state.Zone, daemons []Daemon) Targets {
	own := Of(zone, daemons)
	if !slices.Contains(own, self) {
		if len(own) > 0 {
			return Targets{Zone: own[:1]}
		}
		if leads := leads("", daemons); len(leads) > 0 {
			return Targets{Other: []string{state.RendezvousOwner(self, leads)}}
		}
		return Targets{}
	}
	silent := make(map[string]bool)
	revived := slices.Clone(daemons)
	for i := range revived {
		silent[revived[i].VM] = revived[i].Silence >= SilentAfter
		revived[i].Silence = 0
	}
	calls := func(names ...string) []string {
		slices.Sort(names)
		return slices.DeleteFunc(slices.Compact(names), func(vm string) bool {
			return vm == self || vm < self && !silent[vm]
		})
	}
	t := Targets{Zone: calls(append(Of(zone, revived), own...)...)}
	switch {
	case len(daemons) <= SmallFleet:
		t.Other = calls(append(others(zone, revived), others(zone, daemons)...)...)
	case own[0] == self:
		t.Other = calls(append(leads(zone, revived), leads(zone, daemons)...)...)
	}
	return t
}

// others returns the relays of all zones but one.
func others(except state.Zone, daemons []Daemon) []string {
	var names []string
	for _, d := range daemons {
		if d.Zone != except && slices.Contains(Of(d.Zone, daemons), d.VM) {
			names = append(names, d.VM)
		}
	}
	return names
}

// leads returns the leads of all zones but one.
func leads(except state.Zone, daemons []Daemon) []string {
	var zones []state.Zone
	var names []string
	for _, d := range daemons {
		if d.Zone == except || slices.Contains(zones, d.Zone) {
			continue
		}
		zones = append(zones, d.Zone)
		if relays := Of(d.Zone, daemons); len(relays) > 0 {
			names = append(names, relays[0])
		}
	}
	return names
}
