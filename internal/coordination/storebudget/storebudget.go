// Package storebudget divides the limits of the weight store among daemons and
// engines, so that the sum of what all may use never exceeds the limits, also
// when daemons can't hear each other and when they come and go.
//
// Each engine brings an equal base share to the daemon that owns it. A daemon
// lends what it does not need to daemons with demand, for a short term. The
// lender holds a grant back for longer than the borrower uses it, so a lost or
// late message wastes a part of the budget for a while and never doubles it.
package storebudget

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Amount is a part of the limits in thousandths, so that shares add up exactly.
type Amount struct {
	Rate     int64 `cbor:"1,keyasint,omitempty"` // loads a second, in thousandths
	InFlight int64 `cbor:"2,keyasint,omitempty"` // loads in flight, in thousandths
}

// Unit is the whole of which an Amount counts thousandths.
const Unit = 1000

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, InFlight: a.InFlight + b.InFlight}
}

// less returns a reduced by b, and nothing below zero.
func (a Amount) less(b Amount) Amount {
	return Amount{Rate: max(0, a.Rate-b.Rate), InFlight: max(0, a.InFlight-b.InFlight)}
}

func (a Amount) atMost(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), InFlight: min(a.InFlight, b.InFlight)}
}

// IsZero reports whether a is nothing.
func (a Amount) IsZero() bool { return a == Amount{} }

// Limits are the limits of the weight store and the terms of loans. All daemons
// must have the same limits; Engines must not be below the number of engines.
type Limits struct {
	Total              Amount
	Engines            int           // engines among which the total is divided
	GrantTTL           time.Duration // a grant ends this long after the borrower asked
	MaxClockDrift      float64       // largest relative difference between clocks of daemons
	LossDetectionDelay time.Duration // longest time until a daemon notices that it lost an engine
}

// Default terms of loans.
const (
	DefaultGrantTTL           = 2 * time.Second
	DefaultMaxClockDrift      = 0.05
	DefaultLossDetectionDelay = 250 * time.Millisecond
)

// share returns the base share of one engine.
func (l *Limits) share() Amount {
	n := int64(max(l.Engines, 1))
	return Amount{Rate: l.Total.Rate / n, InFlight: l.Total.InFlight / n}
}

// hold is how long a lender keeps a grant back, and how long a new owner of an
// engine waits before it uses the base share.
func (l *Limits) hold() time.Duration {
	return time.Duration(float64(l.GrantTTL)*(1+l.MaxClockDrift)) + l.LossDetectionDelay
}

// ShareRequest tells a peer what a daemon could use.
type ShareRequest struct {
	Sequence  uint64  `cbor:"1,keyasint"`
	Worth     float64 `cbor:"2,keyasint"` // worth of the loads that wait
	Requested Amount  `cbor:"3,keyasint"`
}

// Grant answers an Ask. It replaces all earlier grants of the lender.
type Grant struct {
	Sequence uint64 `cbor:"1,keyasint"` // of the Ask
	Amount   Amount `cbor:"2,keyasint"`
}

// Demand is what an engine could use.
type Demand struct {
	Worth         float64 // of the loads that wait
	PendingLoads  int     // loads that wait
	LoadsInFlight int     // loads in progress
}

// Budget is what an engine may use until the given time. A zero Until has no end.
type Budget struct {
	Upstream state.UpstreamID
	Rate     float64 // loads a second
	InFlight int
	Until    time.Time
}
