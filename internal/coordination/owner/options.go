package owner

import "time"

// Options are the constants of a Scheduler.
type Options struct {
	MaxQueue             int           // most queued requests
	ReservedSlotsPerRank int           // adapter slots that each rank leaves to every more urgent rank
	MinReservedBatch     float64       // least number of batch slots reserved for each more urgent rank
	ReleaseMargin        float64       // mean times between two ends of requests for which another rank may have to wait
	PeakStdDevs          float64       // standard deviations above the usual use that a reservation covers
	ContentionQueue      int           // runnable requests above which the batch counts as contended
	BacklogFraction      float64       // fraction of the first-token target that a request within the usual rate of its class may wait
	SlotReserveFraction  float64       // fraction of the first-token target after which a waiting request ignores reserved adapter slots
	ExcessBacklog        time.Duration // wait that is allowed to a request beyond the usual rate of its class
	DemandTimeConstant   time.Duration // time constant of the decay of the demand for adapters
	EvictHorizon         time.Duration // time over which the demand for an eviction candidate is compared with a pending load
	WaitWeight           float64       // growth of the stall cost of a request that has waited for its whole first-token target
	DrainAfterFraction   float64       // fraction of the first-token target after which a pending load makes a busy adapter drain
	PreloadMargin        float64       // least ratio of the demand for a preloaded adapter to the demand for the evicted adapter
	ExcessWeight         float64       // factor on the stall cost of a request beyond the usual rate of its class
	MaxLoadFailures      int           // failures in a row after which queued requests for the adapter are refused
	UsageTimeConstant    time.Duration // time constant of the mean use of the batch by a rank
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
