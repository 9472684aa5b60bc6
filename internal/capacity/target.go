// Package capacity measures what each part of a daemon costs and works out what
// the whole costs at the size that the system is designed for.
package capacity

import "time"

// Target is the size that the system is designed for.
type Target struct {
	Daemons        int
	Engines        int
	Adapters       int
	Zones          int
	Regions        int
	Requests       float64 // a second, at the peak
	Tokens         float64 // a second, at the peak
	Changes        float64 // of the configuration, a day
	Failures       float64 // of VMs, a day
	Replacements   float64 // restarts and replacements of VMs, a day
	AwakePart      float64 // part of the adapters that wake or fall idle within an hour
	InForce        time.Duration
	ControlCPU     float64 // part of a core, for each daemon
	ControlMemory  float64 // bytes, for each daemon
	ControlTraffic float64 // bytes a second, for each daemon
	PlatformWrites float64 // a second, for all
	PlatformReads  float64 // a second, for all
}

const day = 24 * 60 * 60 // seconds

// DesignTarget is the size of the users' letter.
func DesignTarget() Target {
	return Target{
		Daemons:        390,
		Engines:        6200,
		Adapters:       82_000,
		Zones:          20,
		Regions:        6,
		Requests:       6200,
		Tokens:         2_200_000,
		Changes:        26_000,
		Failures:       61,
		Replacements:   1700,
		AwakePart:      0.39,
		InForce:        18 * time.Second,
		ControlCPU:     0.018,
		ControlMemory:  128 << 20,
		ControlTraffic: 3 << 10,
		PlatformWrites: 300,
		PlatformReads:  2000,
	}
}

// ZoneDaemons returns the daemons of an average availability zone.
func (t Target) ZoneDaemons() float64 { return float64(t.Daemons) / float64(t.Zones) }

// OwnedEngines returns the engines that an average daemon owns.
func (t Target) OwnedEngines() float64 { return float64(t.Engines) / float64(t.Daemons) }

// RegionEngines returns the engines of an average region.
func (t Target) RegionEngines() float64 { return float64(t.Engines) / float64(t.Regions) }
