package routing

import "time"

// Weights are the constants of the scores. All costs are expected times until
// the first token; the lowest sum wins.
type Weights struct {
	LoadStall          time.Duration // until a cold adapter is loaded
	ReplicaCost        time.Duration // of a further replica: store budget and an eviction
	OrderCost          time.Duration // per position in the rendezvous order
	ZoneCost           time.Duration // of crossing zones
	FullBatch          time.Duration // slowdown of a batch that is just full
	InitialServiceTime time.Duration // run time of a request before one was observed
	QueueShare         float64       // part of a mean run time that each request in front costs
	TokenCost          time.Duration // prefill time of a prompt token
	DecodeOnlyCost     time.Duration // of prefill on an engine meant for decoding
	StaleAfter         time.Duration // an older report makes an upstream unknown

	// PeerSendShare is the share of the other daemons that is expected to send as
	// much to an upstream as this daemon did since the last report.
	PeerSendShare float64
	// Jitter is the largest relative error added to an expected wait, so that
	// daemons with the same report do not all choose the same upstream.
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

// seconds are the weights as floating-point seconds.
type seconds struct {
	loadStall, replicaCost, orderCost, zoneCost, fullBatch, tokenCost, decodeOnly float64
}

func (w *Weights) seconds() seconds {
	return seconds{
		loadStall:   w.LoadStall.Seconds(),
		replicaCost: w.ReplicaCost.Seconds(),
		orderCost:   w.OrderCost.Seconds(),
		zoneCost:    w.ZoneCost.Seconds(),
		fullBatch:   w.FullBatch.Seconds(),
		tokenCost:   w.TokenCost.Seconds(),
		decodeOnly:  w.DecodeOnlyCost.Seconds(),
	}
}
