package capacity

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Periods of membership and ownership, as set in the code, in seconds.
const (
	nearBeat     = 0.2 // between daemons of an availability zone
	feedPeriod   = 0.5 // of a relay to other relays and to its zone
	leaseRate    = 97.0
	listRate     = 200.0
	writesPerOwn = 2.0 // release or takeover, and the acquisition after it
)

// busyPart is the part of the upstreams whose load changes between two messages.
const busyPart = 1.0

// loadBytes returns the size of the load of one upstream in a message.
func loadBytes() float64 {
	load := protocol.UpstreamLoad{ID: "zone-07-engine-0123", Running: 20, Queued: 3, QueuedByRank: []int{0, 1, 2}}
	return float64(len(must(cbor.Marshal(load))))
}

// adapterChangeBytes returns the size of one adapter that came or went, alone.
func adapterChangeBytes() float64 {
	change := protocol.UpstreamStatus{ID: "zone-07-engine-0123", Resident: []state.AdapterRef{ref(117)}}
	full := protocol.UpstreamStatus{}
	return float64(len(must(cbor.Marshal(change))) - len(must(cbor.Marshal(full))))
}

// loadSeconds returns the CPU to encode and decode the load of one upstream.
func loadSeconds() float64 {
	load := protocol.UpstreamLoad{ID: "zone-07-engine-0123", Running: 20, Queued: 3, QueuedByRank: []int{0, 1, 2}}
	return timed(func(int) {
		data := must(cbor.Marshal(load))
		var out protocol.UpstreamLoad
		if err := cbor.Unmarshal(data, &out); err != nil {
			panic(err)
		}
	})
}

// adapterChanges returns the loads and unloads of one upstream a second, when the
// adapters that wake or fall idle are spread evenly.
func adapterChanges(t Target) float64 {
	const hour = 3600
	return t.AwakePart * float64(t.Adapters) / hour / float64(t.Engines)
}

// ClusterLines returns the cost of membership at a daemon, with the near heartbeat
// and the feeds at the given periods in seconds.
func ClusterLines(t Target, s Slopes, near, feed float64) []Line {
	peers := t.ZoneDaemons() - 1
	owned := t.OwnedEngines()
	beats := peers / near
	changed := adapterChanges(t) * owned * near * s.StatusBytes
	beatBytes := s.BeatBytes + changed + owned*busyPart*s.LoadBytes
	zone, region := owned*t.ZoneDaemons(), t.RegionEngines()
	feeds := (float64(t.Zones) - 1) / feed
	own := s.BeatBytes + zone*(busyPart*s.LoadBytes+adapterChanges(t)*feed*s.StatusBytes)
	far := s.BeatBytes + region*(busyPart*s.LoadBytes+adapterChanges(t)*feed*s.StatusBytes)
	return []Line{
		{
			Role: "member", Mechanism: "heartbeats to all daemons of the availability zone, as deltas",
			Messages: beats, Traffic: beats * beatBytes,
			CPU: beats * 2 * (s.BeatSeconds + owned*busyPart*s.LoadSeconds),
		},
		{
			Role: "relay", Mechanism: "feed of its availability zone to the relays of the others, as deltas",
			Messages: feeds, Traffic: feeds * own, CPU: feeds * (s.BeatSeconds + zone*busyPart*s.LoadSeconds),
		},
		{
			Role: "relay", Mechanism: "feed of the other zones of its region to its zone, as deltas",
			Messages: peers / feed, Traffic: peers / feed * far, CPU: peers / feed * (s.BeatSeconds + region*busyPart*s.LoadSeconds),
		},
	}
}

// ClusterCalls returns the calls of membership and ownership at the platform.
func ClusterCalls(t Target) []Call {
	daemons := float64(t.Daemons)
	vms := daemons + float64(t.Engines)
	moves := (t.Failures + t.Replacements) / day * daemons / vms * t.OwnedEngines() * 2
	const renewals = leaseRate
	return []Call{
		{Role: "lease holder", Mechanism: "one lease object per daemon, renewed each " + seconds(daemons/leaseRate), Writes: renewals},
		{Role: "owner", Mechanism: "ownership records when a daemon goes and when it comes", Writes: moves * writesPerOwn, Reads: moves},
		{Role: "owner", Mechanism: "pending unload before each unload, if no engine checks fencing numbers", Writes: adapterChanges(t) / 2 * float64(t.Engines) * writesPerOwn},
		{Role: "member", Mechanism: "list of VMs, each daemon every " + seconds(daemons/listRate), Reads: listRate},
	}
}

// lostDaemonSeconds returns the time to take the upstreams of a lost daemon over at
// the rate of writes that the leases leave.
func lostDaemonSeconds(t Target) float64 {
	return t.OwnedEngines() * writesPerOwn / (t.PlatformWrites - leaseRate)
}
