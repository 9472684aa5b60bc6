// Package relays decides which daemons relay gossip for other daemons, so that the number of
// messages of a daemon does not grow with the fleet. A daemon sends its state to the lead
// relay of its availability zone. The relays of a zone exchange states with each other. The
// lead relays of all zones also exchange states; in a small fleet, all relays do.
package relays

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// PerZone is the number of relays in a zone. With three relays, a zone may lose two daemons
	// at a time.
	PerZone = 3
	// SmallFleet is the number of daemons up to which the relays of all zones exchange
	// states directly. The views of the daemons are then fresher, and the loss of a relay
	// affects fewer of these views.
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

// Of returns the VMs of a zone's relays, the lead relay first. The relays are the PerZone
// daemons of the zone with the most CPU that are not silent. Daemons with the same view
// agree on the result.
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

// Targets are the VMs of the daemons that a daemon sends its state to.
type Targets struct {
	Zone  []string // in its own zone
	Other []string // in other zones
}

// TargetsOf returns the daemons that a daemon sends its state to:
//   - A daemon that is not a relay sends to the lead relay of its zone. If its zone has no
//     relay, it sends to the lead relay of another zone.
//   - A relay sends to the other relays of its zone.
//   - A lead relay also sends to the lead relays of other zones.
//   - In a small fleet, every relay sends to all other relays instead.
//
// The reply to a relay carries the state of the relay that replies. Of two relays, therefore,
// only the relay whose VM sorts first sends. While that relay is silent, the other relay
// sends, too; otherwise it would not notice when the silent relay returns.
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
