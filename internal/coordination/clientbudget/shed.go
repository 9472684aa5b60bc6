package clientbudget

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a client's connection is used for.
type Phase uint8

// Phases of a connection.
const (
	Idle     Phase = iota // no byte of a request has arrived
	Head                  // a request head arrives
	Body                  // a request body arrives
	Running               // the daemon works on the request
	Response              // the client is to read a response, and the daemon waits for it
)

// Part is a part of the memory budget.
type Part uint8

// Parts of the memory budget.
const (
	Heads Part = iota
	Bodies
	Responses
	Parts // number of parts
)

// Client is what is known of a connection.
type Client struct {
	Addr     string // without the port
	Phase    Phase
	Since    time.Duration // start of the phase
	Progress time.Duration // last time that a byte arrived or was sent
	Moved    int64         // bytes that arrived or were sent in the phase
	Held     [Parts]int64  // memory
	Served   bool          // has completed a request
}

const (
	// MinQuiet is the time without progress after which a client gives way to others. It is longer than
	// the usual pauses between packets.
	MinQuiet = 500 * time.Millisecond
	// minGivingPace is the bytes per second under which a body or a response gives way to others even if
	// it makes progress.
	minGivingPace = 8 << 10
	// surplusDivisor sets how much more than needed slow clients give up at once, as a part of the limit, so that not every
	// client that arrives has to look for others.
	surplusDivisor = 8
)

// pace returns the mean bytes per second in the phase.
func (c Client) pace(now time.Duration) float64 {
	return float64(c.Moved) / max(now-c.Since, time.Millisecond).Seconds()
}

func (c Client) isSlow(now time.Duration) bool {
	return now-c.Progress >= MinQuiet || now-c.Since >= 2*MinQuiet && c.pace(now) < minGivingPace
}

// Reason is why a connection is closed, or a client is refused.
type Reason uint8

// Reasons.
const (
	None Reason = iota
	HeadTooSlow
	BodyTooSlow
	ResponseTooSlow
	ConnectionsShort
	HeadsShort
	BodiesShort
	ResponsesShort
	HeadTooLong
	Reasons // number of reasons
)

var reasonNames = [Reasons]string{
	"", "head too slow", "body too slow", "response too slow", "connections short", "memory for heads short", "memory for bodies short",
	"memory for responses short", "head too long",
}

func (r Reason) String() string { return reasonNames[r] }

// ShortOf returns the reason for what gives way because a part of the memory is short.
func ShortOf(p Part) Reason { return HeadsShort + Reason(p) }

// Expired returns why a client is closed although nothing is short, or None.
func (l Limits) Expired(now time.Duration, c Client) Reason {
	isStalled := now-c.Progress > l.StallTimeout || now-c.Since > PaceGrace && c.pace(now) < float64(l.MinPace)
	switch {
	case c.Phase == Head && now-c.Since > l.HeadTimeout:
		return HeadTooSlow
	case c.Phase == Body && isStalled:
		return BodyTooSlow
	case c.Phase == Response && isStalled:
		return ResponseTooSlow
	}
	return None
}

// candidate is a client that may give way. Those of a lower rank, and then of a lower order, come first.
type candidate struct {
	index, rank int
	order       float64
	frees       int64
}

func first(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order), cmp.Compare(b.frees, a.frees))
}

// GiveWay returns the indexes of the clients that are closed, so that another client can take need bytes of a
// part of the memory and then holds the given number of bytes of it. Slow clients that hold more than their fair part come
// first, then other slow ones, and for the sake of a client within its fair part also quick ones that hold
// more. Of each kind, those with the slowest pace come first. Requests that run are never given up.
func (l Limits) GiveWay(now time.Duration, p Part, clients []Client, need, held int64) []int {
	var found []candidate
	for i, c := range clients {
		if c.Held[p] == 0 || c.Phase == Running || c.Phase == Idle {
			continue
		}
		isLarge := c.Held[p] > Fair
		k := candidate{index: i, order: c.pace(now), frees: c.Held[p]}
		switch {
		case c.isSlow(now) && isLarge:
		case c.isSlow(now):
			k.rank = 1
		case isLarge && held <= Fair && p != Responses:
			k.rank = 2
		default:
			continue
		}
		found = append(found, k)
	}
	slices.SortFunc(found, first)
	var chosen []int
	for _, k := range found {
		if need <= 0 && (k.rank == 2 || need <= -l.Memory(p)/surplusDivisor) {
			break
		}
		chosen = append(chosen, k.index)
		need -= k.frees
	}
	return chosen
}

// Memory returns the limit of a part of the memory.
func (l Limits) Memory(p Part) int64 {
	return [Parts]int64{Heads: l.HeadMemory, Bodies: l.BodyMemory, Responses: l.ResponseMemory}[p]
}

// GiveUpConnections returns the indexes of up to count clients whose connections are closed in favor of new
// ones. Slow clients in the middle of a request come first, then those that never completed a request, then those
// of addresses with more than their fair part of the connections, then other idle ones; of each kind those with the longest time
// without progress. A client that made progress within MinQuiet gives way only to make room for a first
// connection. Requests that run are never given up.
func (l Limits) GiveUpConnections(now time.Duration, clients []Client, count int) []int {
	byAddr := make(map[string]int)
	for _, c := range clients {
		byAddr[c.Addr]++
	}
	fair := l.Connections / max(1, len(byAddr))
	var found []candidate
	for i, c := range clients {
		if c.Phase == Running {
			continue
		}
		k := candidate{index: i, order: -float64(now - c.Progress)}
		switch {
		case c.Phase != Idle && c.isSlow(now):
		case c.Phase == Idle && !c.Served && c.isSlow(now):
			k.rank = 1
		case byAddr[c.Addr] > fair:
			k.rank = 2
		default:
			k.rank = 3
		}
		found = append(found, k)
	}
	slices.SortFunc(found, first)
	var chosen []int
	for n, k := range found {
		if n >= count || n > 0 && now-clients[k.index].Progress < MinQuiet {
			break
		}
		chosen = append(chosen, k.index)
	}
	return chosen
}
