package owner

import "time"

// Options are the constants of a Scheduler.
type Options struct {
	MaxQueue             int           // waiting requests
	ReservedSlotsPerRank int           // adapter slots that each rank leaves to those above it
	MinReservedBatch     float64       // least batch slots kept free for each more urgent rank
	ReleaseMargin        float64       // mean times to the next end of a request that another rank may have to wait
	PeakStdDevs          float64       // standard deviations of usual use for which slots are kept free
	ContentionQueue      int           // more requests than this wait for batch slots in overload
	BacklogFraction      float64       // part of the target that a class within its entitlement may wait
	SlotReserveFraction  float64       // part of the target after which adapter slots are not left free
	ExcessBacklog        time.Duration // backlog of a class beyond its entitlement
	DemandTimeConstant   time.Duration // time constant of the demand for adapters
	EvictHorizon         time.Duration // demand of this long is weighed against a waiting load
	WaitWeight           float64       // growth of a load's value when it has waited for its target
	DrainAfterFraction   float64       // part of the target after which a busy adapter is drained
	PreloadMargin        float64       // demand of an adapter loaded ahead as a multiple of the evicted one's
	ExcessWeight         float64       // weight of demand beyond a class's entitlement
	MaxLoadFailures      int           // failed loads before the waiting requests are refused
	UsageTimeConstant    time.Duration // time constant of the usual use of a rank
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		MaxQueue:             4096,
		ReservedSlotsPerRank: 1,
		MinReservedBatch:     1,
		ReleaseMargin:        2,
		PeakStdDevs:          1,
		ContentionQueue:      2,
		BacklogFraction:      0.1,
		SlotReserveFraction:  0.1,
		ExcessBacklog:        2 * time.Second,
		DemandTimeConstant:   60 * time.Second,
		EvictHorizon:         5 * time.Second,
		WaitWeight:           4,
		DrainAfterFraction:   0.3,
		PreloadMargin:        2,
		ExcessWeight:         0.1,
		MaxLoadFailures:      2,
		UsageTimeConstant:    30 * time.Second,
	}
}
