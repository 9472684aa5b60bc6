// Package holders decides which daemon holds the lease of an engine: only the lease holder
// orders adapter loads there.
package holders

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// ClaimDelay is how long after its start, or after it regained the store, a daemon
	// claims no engine, so that it has received reports of its peers first.
	ClaimDelay = 2 * time.Second
	// TakeoverAfter is the silence of a lease holder in the engine's zone after which
	// another daemon of the zone takes the engine over.
	TakeoverAfter = 4 * time.Second
	// ZoneTakeoverAfter is the silence of all daemons of a zone after which daemons of
	// other zones take its engines over.
	ZoneTakeoverAfter = 10 * time.Second
	// LeaseDuration is how long a lease is valid after it was last renewed. It outlasts
	// most outages of the store, which are more frequent than the permanent loss of a VM:
	// a restarted daemon continues with its VM's engines at once.
	LeaseDuration = 10 * time.Second
	// RenewInterval is the interval at which a lease holder renews its leases by reading
	// the records in the store.
	RenewInterval = 3 * time.Second
)

// Daemon is a daemon as seen by one of its peers.
type Daemon struct {
	VM          string
	Zone        state.Zone
	Silence     time.Duration // time since its last message; zero for the daemon itself
	CannotClaim bool          // it does not reach the store, or is not a relay
}

// ShouldClaim reports whether a daemon should claim the lease of an engine. holder is the
// VM of the present lease holder, or "". Daemons with the same view of their peers agree
// on one claimant.
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
	if isZoneAlive(zone, daemons) {
		return state.RendezvousOwner(string(engine), eligibleVMs(zone, daemons)) == self.VM
	}
	return state.RendezvousOwner(string(engine), eligibleVMs("", daemons)) == self.VM
}

// isZoneAlive reports whether daemons of a zone may still act for it. A zone that is
// partitioned from the others keeps its engines for ZoneTakeoverAfter.
func isZoneAlive(zone state.Zone, daemons []Daemon) bool {
	return slices.ContainsFunc(daemons, func(d Daemon) bool { return d.Zone == zone && d.Silence < ZoneTakeoverAfter })
}

// eligibleVMs returns the VMs of a zone, or of all zones, whose daemons can claim an engine.
func eligibleVMs(zone state.Zone, daemons []Daemon) []string {
	var names []string
	for _, d := range daemons {
		if (zone == "" || d.Zone == zone) && d.Silence < TakeoverAfter && !d.CannotClaim {
			names = append(names, d.VM)
		}
	}
	slices.Sort(names)
	return names
}

// Lease is the right of a daemon to give orders to an engine. Its times are readings of a
// clock that also counts while the machine is suspended.
type Lease struct {
	RenewedAt time.Duration // when the last successful read of the records was sent
	ValidFrom time.Duration // after a takeover: the previous holder gives no orders from then on
}

// Valid reports whether the lease holder may send an order.
func (l Lease) Valid(now time.Duration) bool {
	return now >= l.ValidFrom && now-l.RenewedAt < LeaseDuration
}

// AfterTakeover returns the lease of a daemon that took an engine over at the given time.
// The previous holder may give orders until its lease expires; the orders of two lease
// holders must be minInterval apart.
func AfterTakeover(now, minInterval time.Duration) Lease {
	return Lease{RenewedAt: now, ValidFrom: now + LeaseDuration + minInterval + orderInFlightMargin}
}

// orderInFlightMargin covers orders of the previous holder that are still in flight.
const orderInFlightMargin = 500 * time.Millisecond
