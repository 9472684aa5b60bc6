// Package storebudget divides the limits of the weight store among daemons and
// engines. The sum of what all engines may use never exceeds the limits, even when
// daemons can't reach each other, stop or start.
//
// The limits are divided equally among the engines. The base share of a daemon is
// the sum of the shares of the engines whose leases it holds. A daemon with more
// demand than its base share, the borrower, sends a request to a peer, the lender.
// The lender answers with a grant: a part of the lender's base share that the
// borrower may use until a short TTL has passed.
//
// A lender reserves a grant for longer than the borrower may use the grant. A lost
// or delayed message therefore leaves a part of the limits unused for a short time,
// but never lets two daemons use the same part.
package storebudget

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Amount is a part of the limits. It counts thousandths, so that shares add up
// without rounding errors.
type Amount struct {
	Rate     int64 `cbor:"1,keyasint,omitempty"` // loads a second, in thousandths
	InFlight int64 `cbor:"2,keyasint,omitempty"` // loads in flight, in thousandths
}

// Unit is one load, or one load a second, in an Amount.
const Unit = 1000

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, InFlight: a.InFlight + b.InFlight}
}

// minus returns a reduced by b, with zero as the lower limit.
func (a Amount) minus(b Amount) Amount {
	return Amount{Rate: max(0, a.Rate-b.Rate), InFlight: max(0, a.InFlight-b.InFlight)}
}

// atMost returns a with each component limited to that component of b.
func (a Amount) atMost(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), InFlight: min(a.InFlight, b.InFlight)}
}

// IsZero reports whether a is zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// Limits are the limits of the weight store and the parameters of grants. All
// daemons must have the same Limits.
type Limits struct {
	Total Amount
	// Engines is the number of engines among which Total is divided. It must not
	// be below the number of engines that exist.
	Engines int
	// GrantTTL is how long a borrower may use a grant, counted from the time at which
	// the borrower sent its request.
	GrantTTL time.Duration
	// MaxClockDrift is the largest relative difference between the speeds of two
	// daemons' clocks.
	MaxClockDrift float64
	// LossDetectionDelay is the longest time until a daemon detects that it has
	// lost the lease of an engine.
	LossDetectionDelay time.Duration
}

// Default parameters of grants.
const (
	DefaultGrantTTL           = 2 * time.Second
	DefaultMaxClockDrift      = 0.05
	DefaultLossDetectionDelay = 250 * time.Millisecond
)

// engineShare returns the base share of one engine.
func (l *Limits) engineShare() Amount {
	n := int64(max(l.Engines, 1))
	return Amount{Rate: l.Total.Rate / n, InFlight: l.Total.InFlight / n}
}

// reservationTime returns how long a lender reserves a grant for the borrower. A new
// lease holder of an engine waits for the same time before it uses the engine's
// base share, because the previous holder may have lent that share.
func (l *Limits) reservationTime() time.Duration {
	return time.Duration(float64(l.GrantTTL)*(1+l.MaxClockDrift)) + l.LossDetectionDelay
}

// ShareRequest asks a lender for a part of the lender's base share. It also ends all
// earlier grants of the lender to this borrower.
type ShareRequest struct {
	Sequence  uint64  `cbor:"1,keyasint"` // increases with each request of a borrower
	Worth     float64 `cbor:"2,keyasint"` // total worth of the borrower's pending loads
	Requested Amount  `cbor:"3,keyasint"`
}

// Grant answers a ShareRequest. It replaces all earlier grants of the lender.
type Grant struct {
	Sequence uint64 `cbor:"1,keyasint"` // of the request
	Amount   Amount `cbor:"2,keyasint"`
}

// Demand is the demand for loads on one engine.
type Demand struct {
	Worth         float64 // total worth of the pending loads
	PendingLoads  int
	LoadsInFlight int
}

// Budget is the part of the limits that an engine may use until the time Until. A
// zero Until means no time limit.
type Budget struct {
	Upstream state.UpstreamID
	Rate     float64 // loads a second
	InFlight int     // loads
	Until    time.Time
}
