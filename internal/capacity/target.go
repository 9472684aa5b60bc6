// Package capacity measures the cost per unit of each part of a daemon, extrapolates it to the size that the
// system is designed for and renders the capacity page.
package capacity

import "time"

// Target holds the size that the system is designed for and the limits on the cost of control.
type Target struct {
	Daemons              int
	Engines              int
	Adapters             int
	Zones                int
	Regions              int
	Requests             float64       // a second, at the peak
	Tokens               float64       // a second, at the peak
	DailyChanges         float64       // of the configuration
	DailyFailures        float64       // of VMs
	DailyReplacements    float64       // restarts and replacements of VMs
	HourlyActiveFraction float64       // fraction of the adapters that become active or idle within an hour
	MaxPropagationDelay  time.Duration // from acceptance of a configuration until it is in force at all daemons
	ControlCPU           float64       // limit for each daemon, as a fraction of a core
	ControlMemory        float64       // limit for each daemon, in bytes
	ControlTraffic       float64       // limit for each daemon, in bytes a second
	PlatformWrites       float64       // limit a second, for all daemons together
	PlatformReads        float64       // limit a second, for all daemons together
}

const secondsPerDay = 24 * 60 * 60

// DesignTarget returns the size and the limits that the users of the system require.
func DesignTarget() Target {
	return Target{
		Daemons:              390,
		Engines:              6200,
		Adapters:             82_000,
		Zones:                20,
		Regions:              6,
		Requests:             6200,
		Tokens:               2_200_000,
		DailyChanges:         26_000,
		DailyFailures:        61,
		DailyReplacements:    1700,
		HourlyActiveFraction: 0.39,
		MaxPropagationDelay:  18 * time.Second,
		ControlCPU:           0.018,
		ControlMemory:        128 << 20,
		ControlTraffic:       3 << 10,
		PlatformWrites:       300,
		PlatformReads:        2000,
	}
}

// DaemonsPerZone returns the number of daemons of an average availability zone.
func (t Target) DaemonsPerZone() float64 { return float64(t.Daemons) / float64(t.Zones) }

// EnginesPerDaemon returns the number of engines that an average daemon owns.
func (t Target) EnginesPerDaemon() float64 { return float64(t.Engines) / float64(t.Daemons) }

// EnginesPerRegion returns the number of engines of an average region.
func (t Target) EnginesPerRegion() float64 { return float64(t.Engines) / float64(t.Regions) }
