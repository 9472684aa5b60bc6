package state

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// DaemonID names a daemon. It is stable across restarts of the same VM address.
type DaemonID string

// Incarnation identifies one run of a daemon. It changes on every start.
type Incarnation string

// UpstreamID names an engine or an instance of a plain service.
type UpstreamID string

// CustomerID names a customer.
type CustomerID string

// ServiceID names a service.
type ServiceID string

// BootID identifies one run of an upstream. It changes on every restart.
type BootID string

// Epoch counts the owners of an upstream. It is the fencing number of orders.
type Epoch uint64

// Rank is the position of a rank of work. Rank 0 is the most urgent.
type Rank uint8

// Class is the unit of fairness: one customer's work of one rank on one service.
type Class struct {
	Customer CustomerID
	Service  ServiceID
	Rank     Rank
}

// UpstreamKind tells engines from plain services.
type UpstreamKind uint8

// Kinds of upstreams.
const (
	KindEngine UpstreamKind = iota + 1
	KindPlain
)

// Role is the part of the inference work that an engine takes.
type Role uint8

// Roles of an engine.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)
