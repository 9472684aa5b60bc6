// Package holders decides which daemon gives the orders to an engine.
package holders

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// ClaimDelay is how long after its start, or its return to the store, a daemon
	// claims no engine, so that it has heard its peers.
	ClaimDelay = 2 * time.Second
	// TakeoverAfter is how long a daemon of the engine's zone is silent before its
	// engines are taken over in the zone.
	TakeoverAfter = 4 * time.Second
	// ZoneTakeoverAfter is how long all daemons of a zone are silent before the
	// daemons of other zones take over.
	ZoneTakeoverAfter = 10 * time.Second
	// LeaseDuration is how long after it was last confirmed a holder gives orders. It
	// outlasts most outages of the store, which are more frequent than VMs that are
	// lost for good: a restarted daemon goes on with its VM's engines at once.
	LeaseDuration = 10 * time.Second
	// RenewInterval is how often a holder asks the store whether it still is the holder.
	RenewInterval = 3 * time.Second
)

// Daemon is a daemon as another one sees it.
type Daemon struct {
	VM          string
	Zone        state.Zone
	Silence     time.Duration // since its last message; zero for the daemon itself
	CannotClaim bool          // it can't claim anything: it does not reach the store, or is no relay
}

// ShouldClaim reports whether a daemon should make itself the holder of an engine, whose
// present holder is named or empty. All daemons that see the same peers agree.
func ShouldClaim(self Daemon, engine state.UpstreamID, zone state.Zone, holder string, daemons []Daemon) bool {
	if holder == self.VM {
		return false
	}
	for _, d := range daemons {
		if d.VM != holder {
			continue
		}
		limit := TakeoverAfter
		if d.Zone != zone {
			limit = ZoneTakeoverAfter
		}
		if d.Silence < limit {
			return false
		}
	}
	if zoneAlive(zone, daemons) {
		return state.RendezvousOwner(string(engine), claimants(zone, daemons)) == self.VM
	}
	return state.RendezvousOwner(string(engine), claimants("", daemons)) == self.VM
}

// zoneAlive reports whether the daemons of a zone may still act for it: a zone that
// is cut off from the others keeps its engines for a while.
func zoneAlive(zone state.Zone, daemons []Daemon) bool {
	return slices.ContainsFunc(daemons, func(d Daemon) bool { return d.Zone == zone && d.Silence < ZoneTakeoverAfter })
}

// claimants returns the daemons of a zone, or of all, that can claim an engine now.
func claimants(zone state.Zone, daemons []Daemon) []string {
	var names []string
	for _, d := range daemons {
		if (zone == "" || d.Zone == zone) && d.Silence < TakeoverAfter && !d.CannotClaim {
			names = append(names, d.VM)
		}
	}
	slices.Sort(names)
	return names
}

// Lease says whether a holder may order. Its times are of a clock that counts while
// the machine is suspended.
type Lease struct {
	RenewedAt time.Duration // when the last confirmation was asked for
	ValidFrom time.Duration // end of the wait for orders of the holder before
}

// Valid reports whether an order may be sent.
func (l Lease) Valid(now time.Duration) bool {
	return now >= l.ValidFrom && now-l.RenewedAt < LeaseDuration
}

// AfterTakeover returns the lease of a holder that replaced another one at a time.
// The one before may order until its lease lapses; turns must lie apart.
func AfterTakeover(now, turns time.Duration) Lease {
	return Lease{RenewedAt: now, ValidFrom: now + LeaseDuration + turns + takeoverMargin}
}

// takeoverMargin covers orders of the former holder that are still on their way.
const takeoverMargin = 500 * time.Millisecond
