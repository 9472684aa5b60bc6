package capacity

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Parameters of membership and ownership. Their values repeat those in the packages that implement membership and
// ownership. Periods are in seconds. Rates are per second, for all daemons together.
const (
	minHeartbeatPeriod     = 0.2
	heartbeatPeriodPerPeer = 0.05
	maxHeartbeatPeriod     = 1.0
	minFeedPeriod          = 0.5
	feedPeriodPerDaemon    = 0.01
	maxFeedPeriod          = 1.0
	leaseWritesPerSecond   = 97.0
	listReadsPerSecond     = 200.0
	writesPerOwnerChange   = 2.0 // a release or a takeover, and the acquisition that follows
)

// Assumed fractions of the upstreams whose load a message reports, because the load has changed since the last
// message. changedLoadFraction is for heartbeats within a zone, which report every change. steppedLoadFraction is
// for feeds to other zones, which report loads in steps of a quarter of the batch: few loads cross a step between
// two feeds.
const (
	changedLoadFraction = 1.0
	steppedLoadFraction = 0.1
)

// heartbeatPeriod returns the seconds between heartbeats within an availability zone.
func heartbeatPeriod(t Target) float64 {
	return min(max(minHeartbeatPeriod, (t.DaemonsPerZone()-1)*heartbeatPeriodPerPeer), maxHeartbeatPeriod)
}

// feedPeriod returns the seconds between the feeds of a relay.
func feedPeriod(t Target) float64 {
	return min(max(minFeedPeriod, float64(t.Daemons)*feedPeriodPerDaemon), maxFeedPeriod)
}

// loadReportBytes returns the encoded size of the load of one upstream, its running and queued requests.
func loadReportBytes() float64 {
	load := protocol.UpstreamLoad{ID: "zone-07-engine-0123", Running: 20, Queued: 3, QueuedByRank: []int{0, 1, 2}}
	return float64(len(must(cbor.Marshal(load))))
}

// singleAdapterBytes returns the encoded size of the upstream id and one adapter. A message would need this size for
// a load or unload if it reported only the adapter concerned and not the whole status.
func singleAdapterBytes() float64 {
	change := protocol.UpstreamStatus{ID: "zone-07-engine-0123", Resident: []state.AdapterRef{adapterRef(117)}}
	full := protocol.UpstreamStatus{}
	return float64(len(must(cbor.Marshal(change))) - len(must(cbor.Marshal(full))))
}

// loadReportSeconds returns the CPU time to encode and decode the load of one upstream.
func loadReportSeconds() float64 {
	load := protocol.UpstreamLoad{ID: "zone-07-engine-0123", Running: 20, Queued: 3, QueuedByRank: []int{0, 1, 2}}
	return secondsPerCall(func(int) {
		data := must(cbor.Marshal(load))
		var out protocol.UpstreamLoad
		if err := cbor.Unmarshal(data, &out); err != nil {
			panic(err)
		}
	})
}

// adapterChangeRate returns the number of adapter loads and unloads per second at one upstream. It assumes that the
// adapters that become active or idle are distributed evenly over the upstreams.
func adapterChangeRate(t Target) float64 {
	const hour = 3600
	return t.HourlyActiveFraction * float64(t.Adapters) / hour / float64(t.Engines)
}

// MembershipCosts returns the costs of membership at a daemon that is the relay of its zone. Heartbeat is the period
// of heartbeats within the zone and feed the period of feeds between zones, both in seconds.
func MembershipCosts(t Target, s Slopes, heartbeat, feed float64) []Cost {
	peers := t.DaemonsPerZone() - 1
	owned := t.EnginesPerDaemon()
	heartbeats := peers / heartbeat
	changed := adapterChangeRate(t) * owned * heartbeat * s.StatusBytes
	heartbeatBytes := s.HeartbeatBytes + changed + owned*changedLoadFraction*s.LoadReportBytes
	zone, region := owned*t.DaemonsPerZone(), t.EnginesPerRegion()
	feeds := (float64(t.Zones) - 1) / feed
	own := s.HeartbeatBytes + zone*(steppedLoadFraction*s.LoadReportBytes+adapterChangeRate(t)*feed*s.StatusBytes)
	far := s.HeartbeatBytes + region*(steppedLoadFraction*s.LoadReportBytes+adapterChangeRate(t)*feed*s.StatusBytes)
	return []Cost{
		{
			Role: "member", Mechanism: "heartbeats to all daemons of the availability zone, as deltas",
			Messages: heartbeats, Traffic: heartbeats * heartbeatBytes,
			CPU: heartbeats * 2 * (s.HeartbeatSeconds + owned*changedLoadFraction*s.LoadReportSeconds),
		},
		{
			Role: "relay", Mechanism: "feed of its availability zone to the relays of the others, as deltas",
			Messages: feeds, Traffic: feeds * own, CPU: feeds * (s.HeartbeatSeconds + zone*steppedLoadFraction*s.LoadReportSeconds),
		},
		{
			Role: "relay", Mechanism: "feed of the other zones of its region to its zone, as deltas",
			Messages: peers / feed, Traffic: peers / feed * far, CPU: peers / feed * (s.HeartbeatSeconds + region*steppedLoadFraction*s.LoadReportSeconds),
		},
	}
}

// MembershipCalls returns the calls at the platform for membership and ownership.
func MembershipCalls(t Target) []Call {
	daemons := float64(t.Daemons)
	vms := daemons + float64(t.Engines)
	ownerChanges := (t.DailyFailures + t.DailyReplacements) / secondsPerDay * daemons / vms * t.EnginesPerDaemon() * 2
	const renewals = leaseWritesPerSecond
	return []Call{
		{Role: "lease holder", Mechanism: "one lease object per daemon, renewed each " + formatSeconds(daemons/leaseWritesPerSecond), Writes: renewals},
		{Role: "owner", Mechanism: "ownership records when a daemon goes and when it comes", Writes: ownerChanges * writesPerOwnerChange, Reads: ownerChanges},
		{Role: "owner", Mechanism: "pending unload before each unload, if no engine checks fencing numbers", Writes: adapterChangeRate(t) / 2 * float64(t.Engines) * writesPerOwnerChange},
		{Role: "member", Mechanism: "list of VMs, each daemon every " + formatSeconds(daemons/listReadsPerSecond), Reads: listReadsPerSecond},
	}
}

// takeoverSeconds returns the time to write the takeover of all upstreams of a lost daemon. The writes available for
// it are the limit of the platform less the writes that renew leases.
func takeoverSeconds(t Target) float64 {
	return t.EnginesPerDaemon() * writesPerOwnerChange / (t.PlatformWrites - leaseWritesPerSecond)
}
