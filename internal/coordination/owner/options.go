package owner

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/admission"
)

// Options are the constants of a Scheduler.
type Options struct {
	MaxQueue       int           // waiting requests
	ReservedBatch  int           // batch slots that each rank leaves to those above it
	ReservedSlots  int           // adapter slots that each rank leaves to those above it
	FloodBacklog   time.Duration // backlog of a class beyond its entitlement
	DemandMemory   time.Duration // time constant of the demand for adapters
	EvictHorizon   time.Duration // demand of this long is weighed against a waiting load
	WaitWeight     float64       // growth of a load's value when it has waited for its target
	DrainAfter     float64       // part of the target after which a busy adapter is drained
	AheadMargin    float64       // demand of an adapter loaded ahead as a multiple of the evicted one's
	FloodWeight    float64       // weight of demand beyond a class's entitlement
	UrgentOverdraw float64       // loads that the most urgent rank may take in advance
	IdleReserve    float64       // budget that loads of the least urgent rank leave
	MaxLoadRetries int           // failed loads before the waiting requests are refused
	Admission      admission.Options
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		MaxQueue:       4096,
		ReservedBatch:  1,
		ReservedSlots:  1,
		FloodBacklog:   2 * time.Second,
		DemandMemory:   60 * time.Second,
		EvictHorizon:   5 * time.Second,
		WaitWeight:     4,
		DrainAfter:     0.3,
		AheadMargin:    2,
		FloodWeight:    0.1,
		UrgentOverdraw: 1,
		IdleReserve:    0,
		MaxLoadRetries: 2,
		Admission:      admission.DefaultOptions(),
	}
}
