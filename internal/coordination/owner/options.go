package owner

import "time"

// Options are the constants of a Scheduler.
type Options struct {
	MaxQueue             int           // queued requests
	ReservedSlotsPerRank int           // adapter slots that each rank leaves to every more urgent rank
	MinReservedBatch     float64       // batch slots that are at least reserved for each more urgent rank
	ReleaseMargin        float64       // mean times between two ends of requests that another rank may have to wait
	PeakStdDevs          float64       // standard deviations above the usual use that a reservation covers
	ContentionQueue      int           // runnable requests above which the batch counts as contended
	BacklogFraction      float64       // of the first-token target that a class within its usual rate may wait
	SlotReserveFraction  float64       // of the first-token target after which a request ignores reserved adapter slots
	ExcessBacklog        time.Duration // wait that is allowed to a class beyond its usual rate
	DemandTimeConstant   time.Duration // of the decay of the demand for adapters
	EvictHorizon         time.Duration // demand over this time is weighed against a pending load
	WaitWeight           float64       // growth of a pending load's value when it has waited for its target
	DrainAfterFraction   float64       // of the first-token target after which a busy adapter is drained
	PreloadMargin        float64       // least ratio of a preloaded adapter's demand to that of the evicted one
	ExcessWeight         float64       // weight of the demand of a class beyond its usual rate
	MaxLoadFailures      int           // in a row, after which queued requests for the adapter are refused
	UsageTimeConstant    time.Duration // of the mean use of the batch by a rank
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
