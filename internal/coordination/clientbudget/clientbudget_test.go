package clientbudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against limits that refuse requests which the configuration allows, or that together exceed the
// machine, on the machines of the deployments.
func TestDefaultsFitTheMachine(t *testing.T) {
	for memoryMB, descriptors := range map[int64]int{136: 2870, 184: 4100, 268: 4100, 536: 8192} {
		memory := memoryMB << 20
		l := CallerLimits(memory, descriptors)
		small := l.Small(memory)
		live := l.HeadMemory + l.BodyMemory + l.ResponseMemory + 2*(small.HeadMemory+small.BodyMemory+small.ResponseMemory)
		qt.Check(t, live+runtimeMemory < HeapLimit(memory), qt.IsTrue, qt.Commentf("%d MB: %d bytes", memoryMB, live))
		qt.Check(t, HeapLimit(memory)+mappedMemory <= memory*8/10, qt.IsTrue)
		qt.Check(t, 2*l.Connections+2*small.Connections < descriptors-reservedDescriptors, qt.IsTrue)
		qt.Check(t, RequestCost(16384, 3500, 0) <= Ceiling(l.HeadMemory, l.HeadMemory), qt.IsTrue)
		qt.Check(t, RequestCost(16384, 10, 16384) <= Ceiling(l.HeadMemory, l.HeadMemory), qt.IsTrue)
		qt.Check(t, 4<<20+1 <= Ceiling(l.BodyMemory, l.BodyMemory), qt.IsTrue)
	}
}

// Guards against closing callers that stay within the limits of the configuration.
func TestCallersWithinTheConfigurationAreNotClosed(t *testing.T) {
	l := CallerLimits(136<<20, 2870)
	const now = time.Hour
	for name, c := range map[string]Client{
		"head of 3 s":          {Phase: Head, Since: now - 3*time.Second, Progress: now - 3*time.Second},
		"idle for 15 s":        {Phase: Idle, Since: now - 15*time.Second, Progress: now - 15*time.Second},
		"body pauses 15 s":     {Phase: Body, Since: now - 25*time.Second, Progress: now - 15*time.Second, Moved: 1},
		"long body":            {Phase: Body, Since: now - time.Minute, Progress: now, Moved: 60 * 300},
		"runs for long":        {Phase: Running, Since: now - time.Minute, Progress: now - time.Minute},
		"reader pauses 15 s":   {Phase: Response, Since: now - 15*time.Second, Progress: now - 15*time.Second},
		"waits after a stream": {Phase: Idle, Since: now - time.Second, Progress: now - time.Second, Served: true},
	} {
		qt.Check(t, l.Expired(now, c), qt.Equals, None, qt.Commentf(name))
	}
	for want, c := range map[Reason]Client{
		HeadTooSlow:     {Phase: Head, Since: now - 11*time.Second, Progress: now},
		BodyTooSlow:     {Phase: Body, Since: now - time.Minute, Progress: now, Moved: 1000},
		ResponseTooSlow: {Phase: Response, Since: now - 21*time.Second, Progress: now - 21*time.Second},
	} {
		qt.Check(t, l.Expired(now, c), qt.Equals, want)
	}
}

// Guards against stalled clients that keep the memory of ordinary ones, and against ending requests that run.
func TestSlowClientsGiveWayFirst(t *testing.T) {
	l := CallerLimits(184<<20, 4100)
	const now = time.Hour
	const fair = Fair
	body := func(held int64, quiet time.Duration, moved int64) Client {
		return Client{Phase: Body, Since: now - 10*time.Second, Progress: now - quiet, Moved: moved, Held: [Parts]int64{Bodies: held}}
	}
	running := body(4*fair, time.Minute, 0)
	running.Phase = Running
	clients := []Client{
		running,
		body(fair, time.Second, 100),          // slow, within its part
		body(2*fair, 0, 1<<30),                // quick, more than its part
		body(2*fair, time.Second, 200<<10),    // slow, more than its part
		body(2*fair, time.Second, 100<<10),    // slower
		body(fair, 0, 1<<30),                  // quick, within its part
		{Phase: Body, Since: now - time.Hour}, // holds nothing
	}
	qt.Check(t, l.GiveWay(now, Bodies, clients, 1, 1)[0], qt.Equals, 4)
	qt.Check(t, l.GiveWay(now, Bodies, clients, l.BodyMemory, fair), qt.DeepEquals, []int{4, 3, 1, 2})
	qt.Check(t, l.GiveWay(now, Bodies, clients, l.BodyMemory, 2*fair), qt.DeepEquals, []int{4, 3, 1})
	qt.Check(t, l.GiveWay(now, Heads, clients, l.HeadMemory, 1), qt.HasLen, 0)
	qt.Check(t, l.GiveWay(now, Bodies, clients[2:3], 1, 1), qt.DeepEquals, []int{0})
}

// Guards against a crowd that keeps all connections, and against one connection in favor of which several active
// ones are closed.
func TestLeastActiveConnectionsAreGivenUp(t *testing.T) {
	l := CallerLimits(184<<20, 4100)
	l.Connections = 6
	const now = time.Hour
	clients := []Client{
		{Addr: "a", Phase: Running, Progress: now - time.Minute},
		{Addr: "a", Phase: Idle, Served: true, Progress: now - time.Second},
		{Addr: "a", Phase: Idle, Served: true, Progress: now - 2*time.Second},
		{Addr: "a", Phase: Idle, Progress: now - time.Second},
		{Addr: "b", Phase: Head, Since: now - time.Second, Progress: now - time.Second},
		{Addr: "b", Phase: Idle, Served: true, Progress: now - 3*time.Second},
	}
	qt.Check(t, l.GiveUpConnections(now, clients, 9), qt.DeepEquals, []int{4, 3, 2, 1, 5})
	active := []Client{{Phase: Idle, Progress: now - time.Millisecond}, {Phase: Idle, Progress: now - 2*time.Millisecond}}
	qt.Check(t, l.GiveUpConnections(now, active, 2), qt.DeepEquals, []int{1})
	qt.Check(t, l.GiveUpConnections(now, clients[:1], 1), qt.HasLen, 0)
}
