// Package owner schedules the requests of one upstream. It decides which request is
// dispatched next, and which adapters the engine loads and evicts. A Core takes events
// and returns actions; it performs no I/O.
package owner

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Request is a request that is queued for the upstream or runs on it.
type Request struct {
	ID           string // request id and attempt number
	Class        state.Class
	Adapter      state.AdapterRef // zero for plain services
	Source       string           // location of the adapter's weights
	Deadline     time.Time
	PromptTokens uint32
	MaxTokens    uint32
	Prefix       uint64
	Fingerprint  uint64
	Repeatable   bool
	Excess       bool // beyond the usual rate of its class
	Alone        bool // no other request may run on the upstream at the same time
}

// Event is an input of a Core.
type Event interface{ event() }

// Events of a Core.
type (
	// Enqueue adds a request to the queue.
	Enqueue struct{ Request Request }
	// Cancel withdraws a queued or running request.
	Cancel struct{ ID string }
	// Ended reports that a dispatched request no longer runs on the upstream.
	Ended struct {
		ID     string
		Failed bool
	}
	// LoadDone reports the result of a Load order.
	LoadDone struct {
		Adapter state.AdapterRef
		Order   uint64 // copied from the Load action
		Boot    state.BootID
		Failed  bool
	}
	// UnloadDone reports the result of an Unload order.
	UnloadDone struct {
		Adapter state.AdapterRef
		Failed  bool
	}
	// Report is a load report of the upstream. It may be stale: it may lack orders and
	// requests that were sent after the upstream wrote it.
	Report struct {
		Boot     state.BootID
		Slots    int
		Batch    int
		Running  int
		Waiting  int
		Resident []state.AdapterRef
	}
	// Unreachable reports that the upstream did not answer a request for a load report.
	// A Report ends that state.
	Unreachable struct{}
	// Permissions replaces what this daemon may do at the upstream under its lease.
	Permissions struct {
		Epoch       state.Epoch
		MayDispatch bool
		MayLoad     bool
		MayUnload   bool
	}
	// Leaving reports that the upstream is to be drained. Queued and new requests are
	// refused until LeavingCleared; running requests continue.
	Leaving struct{}
	// StoreBudget sets the engine's share of the limits of the weight store. A Core that
	// has received no StoreBudget does not limit loads.
	StoreBudget struct {
		Rate     float64 // loads a second that the engine can expect
		Burst    float64 // loads that may start at once after a pause; 0 leaves the rate unlimited
		InFlight int     // loads that may be in flight at once
		// Until is when the share expires unless it is replaced; zero for no expiry.
		Until time.Time
	}
	// Ranks sets the first-token target, worth and guaranteed share of each rank, most
	// urgent rank first.
	Ranks struct{ Ranks []state.RankInfo }
	// LeavingCleared ends the draining that a Leaving event started.
	LeavingCleared struct{}
	// Tick reports that time has passed. Queued requests that have expired are refused.
	Tick struct{}
)

func (Enqueue) event()        {}
func (Cancel) event()         {}
func (Ended) event()          {}
func (LoadDone) event()       {}
func (UnloadDone) event()     {}
func (Report) event()         {}
func (Unreachable) event()    {}
func (Permissions) event()    {}
func (Leaving) event()        {}
func (StoreBudget) event()    {}
func (Ranks) event()          {}
func (LeavingCleared) event() {}
func (Tick) event()           {}

// Action is an output of a Core.
type Action interface{ action() }

// RefuseReason is the reason why a request was refused without being dispatched.
type RefuseReason string

// Reasons for a refusal.
const (
	RefuseOverload RefuseReason = "overload" // worth a retry only at an engine with the adapter resident
	RefuseBusy     RefuseReason = "busy"     // worth a retry at any other engine
	RefuseDeadline RefuseReason = "deadline"
	RefuseLeaving  RefuseReason = "leaving"
	RefuseNoOwner  RefuseReason = "not_owner"
	RefuseLoad     RefuseReason = "load_failed"
	RefuseDown     RefuseReason = "upstream_down"
	RefuseCanceled RefuseReason = "canceled"
)

// Actions of a Core.
type (
	// Dispatch sends a request to the upstream.
	Dispatch struct{ ID string }
	// Refuse ends a request that was never dispatched.
	Refuse struct {
		ID         string
		Reason     RefuseReason
		RetryAfter time.Duration
	}
	// Abort cancels a dispatched request at the upstream.
	Abort struct{ ID string }
	// Load orders the upstream to load an adapter.
	Load struct {
		Adapter state.AdapterRef
		Order   uint64 // distinguishes successive loads of the same adapter
		Source  string
		Epoch   state.Epoch
	}
	// Unload orders the upstream to unload an adapter.
	Unload struct {
		Adapter state.AdapterRef
		Epoch   state.Epoch
	}
)

func (Dispatch) action() {}
func (Refuse) action()   {}
func (Abort) action()    {}
func (Load) action()     {}
func (Unload) action()   {}

// Core schedules the requests and loads of one upstream. It is not safe for
// concurrent use: the caller holds a lock during Handle and releases it before it
// carries out the actions.
type Core interface {
	Handle(now time.Time, event Event) []Action
	Status() Status
}

// Status is a summary of a Core for heartbeats and operators.
type Status struct {
	Boot     state.BootID
	Healthy  bool
	Slots    int
	Batch    int
	Running  int
	Queued   int
	Resident []state.AdapterRef

	Loading           []state.AdapterRef // loads in flight
	QueuedByRank      []int              // requests that wait for batch slots, most urgent rank first
	LoadsStarted      uint64             // since the Core was created
	PendingLoads      int                // loads that queued requests need and that are not ordered yet
	LoadUrgency       float64            // of the most urgent pending load
	LoadKind          loading.Kind       // of the most urgent pending load
	PreloadWorthwhile bool               // loading an adapter before a request needs it is worth a slot
}

// EngineDemand returns the engine's demand for loads.
func (s *Status) EngineDemand(engine state.UpstreamID) loading.EngineDemand {
	return loading.EngineDemand{
		Engine:            engine,
		Started:           s.LoadsStarted,
		Loading:           len(s.Loading),
		Pending:           s.PendingLoads,
		Urgency:           s.LoadUrgency,
		Kind:              s.LoadKind,
		PreloadWorthwhile: s.PreloadWorthwhile,
	}
}
