package state

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// DaemonID names a daemon. It survives restarts at the same VM address.
type DaemonID string

// Incarnation identifies one run of a daemon. It changes on every start.
type Incarnation string

// UpstreamID names an engine or an instance of a plain service.
type UpstreamID string

// CustomerID names a customer.
type CustomerID string

// ServiceID names a service.
type ServiceID string

// BootID identifies one boot of an upstream. It changes on every restart.
type BootID string

// Epoch counts the successive owners of an upstream. Orders to the upstream carry the
// epoch as fencing token.
type Epoch uint64

// Rank is the position of a priority in the configured ranks. Rank 0 is the most urgent.
type Rank uint8

// Class is the unit of fairness: a customer's requests of one rank to one service.
type Class struct {
	Customer CustomerID
	Service  ServiceID
	Rank     Rank
}

// UpstreamKind distinguishes engines from instances of plain services.
type UpstreamKind uint8

// Kinds of upstreams.
const (
	KindEngine UpstreamKind = iota + 1
	KindPlain
)

// Role is the phase of inference that an engine runs.
type Role uint8

// Roles of an engine.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)
