// Package holders decides which daemon holds the lease of an engine: only the lease holder
// orders adapter loads there.
package holders

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// ClaimDelay is the time after its start, or after it regained the store, in which a
	// daemon claims no engine. It receives reports of its peers in this time.
	ClaimDelay = 2 * time.Second
	// TakeoverAfter is the silence after which a lease holder in the engine's zone loses the
	// engine to another daemon of the zone.
	TakeoverAfter = 4 * time.Second
	// ZoneTakeoverAfter is the silence of all daemons of a zone after which daemons of
	// other zones take over the engines of the zone. A lease holder in another zone than its
	// engine also loses the engine only after this silence.
	ZoneTakeoverAfter = 10 * time.Second
	// LeaseDuration is how long a lease is valid after its last renewal. It outlasts most
	// outages of the store, as these are more frequent than the takeovers that it delays:
	// only the permanent loss of a VM needs a takeover, since a restarted daemon continues
	// with its VM's engines at once.
	LeaseDuration = 10 * time.Second
	// RenewInterval is the interval at which a lease holder renews its leases by reading
	// the records in the store.
	RenewInterval = 3 * time.Second
)

// Daemon is a daemon as seen by one of its peers.
type Daemon struct {
	VM          string
	Zone        state.Zone
	Silence     time.Duration // time since its last message; zero for the observing daemon itself
	CannotClaim bool          // it does not reach the store, or is not a relay
	// IsNew is set if the daemon has run for less than TakeoverAfter: it can't know yet that a lease holder has been
	// silent for that long.
	IsNew bool
}

// ShouldClaim reports whether daemon self should claim the lease of an engine in the given
// zone. holder is the VM of the present lease holder, or "". daemons contains self. Daemons
// with the same view of the fleet agree on a single claimant.
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
	if !isZoneAlive(zone, daemons) {
		zone = ""
	}
	return state.RendezvousOwner(string(engine), eligibleVMs(zone, holder != "", daemons)) == self.VM
}

// isZoneAlive reports whether a daemon of a zone was heard within ZoneTakeoverAfter. For that
// time a partitioned zone keeps its engines, although other zones do not hear its daemons.
func isZoneAlive(zone state.Zone, daemons []Daemon) bool {
	return slices.ContainsFunc(daemons, func(d Daemon) bool { return d.Zone == zone && d.Silence < ZoneTakeoverAfter })
}

// eligibleVMs returns the sorted VMs of a zone, or of all zones if zone is "", whose daemons
// can claim an engine. Daemons that are new can't take over from another one, if there is one that is not new.
func eligibleVMs(zone state.Zone, isTakeover bool, daemons []Daemon) []string {
	var names, newNames []string
	for _, d := range daemons {
		switch {
		case zone != "" && d.Zone != zone, d.Silence >= TakeoverAfter, d.CannotClaim:
		case isTakeover && d.IsNew:
			newNames = append(newNames, d.VM)
		default:
			names = append(names, d.VM)
		}
	}
	if len(names) == 0 {
		names = newNames
	}
	slices.Sort(names)
	return names
}

// Lease is the right of a daemon to give orders to an engine. Its times are readings of a
// clock that also counts while the machine is suspended.
type Lease struct {
	RenewedAt time.Duration // when the last successful read of the records was sent
	ValidFrom time.Duration // when the previous lease holder's orders have ended; zero without a takeover
	// IsPending is set until the store has the record that the takeover is complete. Until then the previous lease
	// holder can take the engine back, and only it may have ordered.
	IsPending bool
}

// Valid reports whether the lease holder may send an order.
func (l Lease) Valid(now time.Duration) bool { return !l.IsPending && l.isCurrent(now) }

// IsCompletable reports whether the record that the takeover is complete may be written.
func (l Lease) IsCompletable(now time.Duration) bool { return l.IsPending && l.isCurrent(now) }

func (l Lease) isCurrent(now time.Duration) bool {
	return now >= l.ValidFrom && now-l.RenewedAt < LeaseDuration
}

// AfterTakeover returns the lease of a daemon that took an engine over at the given time. The
// previous lease holder may give orders until its own lease expires. minInterval is the
// minimum time between the orders of two lease holders.
func AfterTakeover(now, minInterval time.Duration) Lease {
	return Lease{RenewedAt: now, ValidFrom: now + HandoverTime(minInterval), IsPending: true}
}

// HandoverTime is how long after a takeover the previous lease holder's orders may still arrive. minInterval is the
// minimum time between the orders of two lease holders.
func HandoverTime(minInterval time.Duration) time.Duration {
	return LeaseDuration + minInterval + orderInFlightMargin
}

// orderInFlightMargin is the time allowed for orders of the previous lease holder that are
// still in flight when its lease expires.
const orderInFlightMargin = 500 * time.Millisecond
