// Package clientbudget decides what clients may hold of a machine's memory and descriptors, which of them
// give way when that is short, and which are too slow to be kept. It does no I/O and reads no clock.
package clientbudget

import "time"

// Limits are the limits for the clients of one listener.
type Limits struct {
	Connections int
	// HeadMemory, BodyMemory and ResponseMemory limit, in bytes, what all clients together hold in requests and their
	// heads in parsed size, in request bodies, and in responses that wait for their readers.
	HeadMemory, BodyMemory, ResponseMemory int64
	// HeadTimeout is the most time from the first byte of a request head to its end.
	HeadTimeout time.Duration
	// StallTimeout is the most time without progress of a body that is received, or of a response that is
	// sent.
	StallTimeout time.Duration
	// MinPace is the least bytes per second of a body or a response, once it has taken PaceGrace.
	MinPace int64
}

const (
	// PaceGrace is the time of a body or a response from which on MinPace counts.
	PaceGrace = 30 * time.Second
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// connectionShare is the callers' share of the other descriptors. A request takes a connection to an
	// upstream too, and the rest is for control and for unused connections to upstreams.
	connectionShare = 0.4
	minConnections  = 16
	// connectionCost is the memory of a connection between requests: the buffers of net/http and the stack of a
	// goroutine.
	connectionCost = 24 << 10
	// connectionMemory is the share of the machine's memory that connections may take.
	connectionMemory = 0.2

	// runtimeMemory is what a daemon takes without clients: program, stacks, and the state of the fleet.
	runtimeMemory = 24 << 20
	// usableShare is the part of the rest that is live at most. The garbage collector needs the other part.
	usableShare  = 0.6
	headShare    = 0.35
	bodyShare    = 0.4
	minMemory    = 12 << 20
	minBodies    = 8 << 20  // a body of the usual limit of 4 MiB fits in
	smallPart    = 1.0 / 64 // of the memory, for the listeners of readiness checks and of metrics
	minSmallPart = 1 << 20
)

const (
	// mappedMemory is the resident memory that the garbage collector doesn't count: the program itself, 22 MB,
	// and stacks of threads.
	mappedMemory = 24 << 20
	// peakShare is the part of the machine's memory that a daemon may have resident.
	peakShare = 0.8
	// maxHeapShare limits the heap of large machines, where kernel buffers grow with the traffic.
	maxHeapShare = 0.7
	minHeap      = 32 << 20
)

// HeapLimit returns the soft limit for the garbage collector, in bytes, on a machine with the given memory.
func HeapLimit(memory int64) int64 {
	return max(minHeap, min(int64(float64(memory)*maxHeapShare), int64(float64(memory)*peakShare)-mappedMemory))
}

// CallerLimits returns the default limits for callers on a machine with the given memory, in bytes, and
// number of descriptors.
func CallerLimits(memory int64, descriptors int) Limits {
	usable := max(minMemory, int64(float64(HeapLimit(memory)-runtimeMemory)*usableShare))
	connections := min(int(float64(descriptors-reservedDescriptors)*connectionShare), int(float64(memory)*connectionMemory)/connectionCost)
	heads, bodies := int64(float64(usable)*headShare), max(minBodies, int64(float64(usable)*bodyShare))
	return Limits{
		Connections: max(minConnections, connections),
		HeadMemory:  heads, BodyMemory: bodies, ResponseMemory: max(minMemory/2, usable-heads-bodies),
		HeadTimeout: 10 * time.Second, StallTimeout: 20 * time.Second, MinPace: 256,
	}
}

// Small returns limits for a listener of readiness checks or metrics on a machine with the given memory, with
// the timeouts of the callers' limits. Its clients hold nothing of the callers' part.
func (l Limits) Small(memory int64) Limits {
	l.Connections = minConnections
	l.HeadMemory = max(minSmallPart, int64(float64(memory)*smallPart))
	l.BodyMemory, l.ResponseMemory = minSmallPart, minSmallPart
	return l
}

// Fair is the fair part of one client, in bytes, of each part of the memory. The last quarter of a part is
// kept for clients within it. An ordinary request fits in; the first buffer of a long body or response does not,
// or crowds that receive long responses would take the room of ordinary ones.
const Fair = 40 << 10

// Ceiling returns how much of a part of the budget may be taken, all clients together, so that a client
// that then holds the given number of bytes of it may take more.
func Ceiling(limit, held int64) int64 {
	if held <= Fair {
		return limit
	}
	return limit * 3 / 4
}

// Costs of a request in memory, apart from its body and response, estimated before its head is parsed. Parsed by
// net/http and copied for the upstream, a field takes up to 300 bytes more than its text, at 1 to 3,500 fields
// (BenchmarkHeadCost in internal/transport/frontconn).
const (
	fieldCost = 300
	byteCost  = 3 // the text as received, as parsed, and as sent to the upstream
	// itemCost is for an item of a list, as a prompt names its parts.
	itemCost = 32
	// requestCost is for the goroutines of a request and the connection to its upstream. Without it, 1,500 clients that
	// pipeline took 149 MB of 184.
	requestCost = 24 << 10
)

// RequestCost estimates the memory of a request whose head has the given size in bytes, number of lines and number of items
// in lists.
func RequestCost(size, lines, items int) int64 {
	return requestCost + int64(size)*byteCost + int64(lines)*fieldCost + int64(items)*itemCost
}
