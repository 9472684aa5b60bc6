// Package relays decides which daemons relay gossip for the others, so that the number of
// messages of a daemon does not grow with the fleet. A daemon sends its state to the lead
// relay of its availability zone. The relays of a zone exchange states with each other,
// and so do the lead relays of all zones, or in a small fleet all relays.
package relays

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// PerZone is the number of relays in a zone: a zone may lose two daemons at a time.
	PerZone = 3
	// SmallFleet is the number of daemons up to which the relays of all zones exchange
	// states directly: views are fresher, and the loss of one relay affects fewer of them.
	SmallFleet = 20
	// SilentAfter is the silence of a relay after which another daemon replaces it.
	SilentAfter = 1200 * time.Millisecond
)

// Daemon is a daemon as seen by one of its peers.
type Daemon struct {
	VM      string
	Zone    state.Zone
	CPU     float64       // share of a core that it may use
	Silence time.Duration // time since its last message
}

// Of returns the relays of a zone, its lead relay first: the daemons with the most CPU
// that are not silent. Daemons with the same view agree on the result.
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

// Targets are the daemons that a daemon sends its state to.
type Targets struct {
	Zone  []string // in its own zone
	Other []string // in other zones
}

// TargetsOf returns the daemons that a daemon sends its state to. A daemon that is not a
// relay sends to the lead relay of its zone, or to that of another zone if its own has no
// relay. A relay sends to the other relays of its zone; a lead relay also sends to the
// lead relays of other zones, or in a small fleet each relay to all others. As the reply
// carries the other side's state, only the relay whose name sorts first sends. The second
// one sends as well while the first is silent: it would not notice its return otherwise.
func TargetsOf(self string, zone state.Zone, daemons []Daemon) Targets {
	own := Of(zone, daemons)
	if !slices.Contains(own, self) {
		if len(own) > 0 {
			return Targets{Zone: own[:1]}
		}
		if leads := leadRelaysOfOtherZones("", daemons); len(leads) > 0 {
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
	callees := func(names ...string) []string {
		slices.Sort(names)
		return slices.DeleteFunc(slices.Compact(names), func(vm string) bool {
			return vm == self || vm < self && !silent[vm]
		})
	}
	t := Targets{Zone: callees(append(Of(zone, revived), own...)...)}
	switch {
	case len(daemons) <= SmallFleet:
		t.Other = callees(append(relaysOfOtherZones(zone, revived), relaysOfOtherZones(zone, daemons)...)...)
	case own[0] == self:
		t.Other = callees(append(leadRelaysOfOtherZones(zone, revived), leadRelaysOfOtherZones(zone, daemons)...)...)
	}
	return t
}

// relaysOfOtherZones returns the relays of all zones but the given one.
func relaysOfOtherZones(except state.Zone, daemons []Daemon) []string {
	var names []string
	for _, d := range daemons {
		if d.Zone != except && slices.Contains(Of(d.Zone, daemons), d.VM) {
			names = append(names, d.VM)
		}
	}
	return names
}

// leadRelaysOfOtherZones returns the lead relays of all zones but the given one.
func leadRelaysOfOtherZones(except state.Zone, daemons []Daemon) []string {
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
