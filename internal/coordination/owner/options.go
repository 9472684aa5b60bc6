package owner

import "time"

// Options are the constants of a Scheduler.
type Options struct {
	MaxQueue       int           // waiting requests
	ReservedSlots  int           // adapter slots that each rank leaves to those above it
	ReservedBatch  float64       // least batch slots kept free for each more urgent rank
	ReleaseMargin  float64       // mean times to the next end of a request that another rank may have to wait
	PeakSigma      float64       // standard deviations of usual use for which slots are kept free
	OverloadQueue  int           // more requests than this wait for batch slots in overload
	BacklogPart    float64       // part of the target that a class within its entitlement may wait
	PatientPart    float64       // part of the target after which adapter slots are not left free
	FloodBacklog   time.Duration // backlog of a class beyond its entitlement
	DemandMemory   time.Duration // time constant of the demand for adapters
	EvictHorizon   time.Duration // demand of this long is weighed against a waiting load
	WaitWeight     float64       // growth of a load's value when it has waited for its target
	DrainAfter     float64       // part of the target after which a busy adapter is drained
	AheadMargin    float64       // demand of an adapter loaded ahead as a multiple of the evicted one's
	FloodWeight    float64       // weight of demand beyond a class's entitlement
	MaxLoadRetries int           // failed loads before the waiting requests are refused
	UseMemory      time.Duration // time constant of the usual use of a rank
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		MaxQueue:       4096,
		ReservedSlots:  1,
		ReservedBatch:  1,
		ReleaseMargin:  2,
		PeakSigma:      1,
		OverloadQueue:  2,
		BacklogPart:    0.1,
		PatientPart:    0.1,
		FloodBacklog:   2 * time.Second,
		DemandMemory:   60 * time.Second,
		EvictHorizon:   5 * time.Second,
		WaitWeight:     4,
		DrainAfter:     0.3,
		AheadMargin:    2,
		FloodWeight:    0.1,
		MaxLoadRetries: 2,
		UseMemory:      30 * time.Second,
	}
}
