package routing

import "time"

// Weights are the constants of Scored. The costs are added to the expected time to the
// first token of a candidate, and the candidate with the lowest sum is chosen.
type Weights struct {
	LoadStall          time.Duration // wait for the load of an adapter that is not resident
	ReplicaCost        time.Duration // cost of a further replica, which uses store budget and causes an eviction
	OrderCost          time.Duration // cost per position in the rendezvous order
	ZoneCost           time.Duration // cost of a call into another availability zone
	FullBatch          time.Duration // delay that a full batch without a queue adds
	InitialServiceTime time.Duration // assumed run time of a request until one was observed
	QueueShare         float64       // fraction of the mean run time that each request ahead in the queue adds
	TokenCost          time.Duration // prefill time of a prompt token
	DecodeOnlyCost     time.Duration // cost of prefill on an engine meant for decoding
	StaleAfter         time.Duration // age of a load report beyond which its upstream is not chosen

	// PeerSendShare estimates the requests of the other daemons: this fraction of them is
	// assumed to have sent as many requests to an upstream since its last report as this
	// daemon has.
	PeerSendShare float64
	// Jitter is the largest relative error that is added to an estimated start delay, so
	// that daemons with the same report do not all choose the same upstream.
	Jitter float64
}

// DefaultWeights returns the weights of the daemon.
func DefaultWeights() Weights {
	return Weights{
		LoadStall:          300 * time.Millisecond,
		ReplicaCost:        1500 * time.Millisecond,
		OrderCost:          20 * time.Millisecond,
		ZoneCost:           2 * time.Millisecond,
		FullBatch:          30 * time.Millisecond,
		InitialServiceTime: 3 * time.Second,
		QueueShare:         0.3,
		TokenCost:          100 * time.Microsecond,
		DecodeOnlyCost:     200 * time.Millisecond,
		StaleAfter:         3 * time.Second,
		PeerSendShare:      0.25,
		Jitter:             0.3,
	}
}

// costs are the durations of Weights in seconds.
type costs struct {
	loadStall, replicaCost, orderCost, zoneCost, fullBatch, tokenCost, decodeOnly float64
}

func (w *Weights) seconds() costs {
	return costs{
		loadStall:   w.LoadStall.Seconds(),
		replicaCost: w.ReplicaCost.Seconds(),
		orderCost:   w.OrderCost.Seconds(),
		zoneCost:    w.ZoneCost.Seconds(),
		fullBatch:   w.FullBatch.Seconds(),
		tokenCost:   w.TokenCost.Seconds(),
		decodeOnly:  w.DecodeOnlyCost.Seconds(),
	}
}
