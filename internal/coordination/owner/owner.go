// Package owner decides what the owner of an upstream does: which request runs
// next, which adapter is loaded and which is unloaded.
package owner

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/loading"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Request is a request that waits for or runs on the upstream.
type Request struct {
	ID           string // request id and attempt
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
	Alone        bool // nothing else may run on the upstream at the same time
}

// Event is an input of a Core.
type Event interface{ event() }

// Events of a Core.
type (
	// Enqueue hands a new request to the owner.
	Enqueue struct{ Request Request }
	// Cancel withdraws a request.
	Cancel struct{ ID string }
	// Ended reports that a dispatched request has left the upstream.
	Ended struct {
		ID     string
		Failed bool
	}
	// LoadDone reports the answer to a Load order.
	LoadDone struct {
		Adapter state.AdapterRef
		Order   uint64 // of the Load
		Boot    state.BootID
		Failed  bool
	}
	// UnloadDone reports the answer to an Unload order.
	UnloadDone struct {
		Adapter state.AdapterRef
		Failed  bool
	}
	// Report is a load report of the upstream. It lags behind.
	Report struct {
		Boot     state.BootID
		Slots    int
		Batch    int
		Running  int
		Waiting  int
		Resident []state.AdapterRef
	}
	// Unreachable reports that the upstream does not answer.
	Unreachable struct{}
	// Permissions says what the owner may do at present.
	Permissions struct {
		Epoch       state.Epoch
		MayDispatch bool
		MayLoad     bool
		MayUnload   bool
	}
	// Leaving reports that the upstream is listed as leaving.
	Leaving struct{}
	// StoreBudget is the upstream's part of the weight store's limits. It holds
	// until the next one. A core that was given none is not limited.
	StoreBudget struct {
		Rate     float64 // loads a second to be expected
		Burst    float64 // loads that may start at once after a pause; 0 leaves the rate unlimited
		InFlight int     // loads that may be in progress
		// Until ends the share when no other event replaced it; zero for no end.
		Until time.Time
	}
	// Ranks sets the targets, worth and shares of the ranks, most urgent first.
	Ranks struct{ Ranks []state.RankInfo }
	// LeavingCleared reports that an upstream that was leaving takes work again.
	LeavingCleared struct{}
	// Tick lets time pass.
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

// RefuseReason says why a request was refused without being run.
type RefuseReason string

// Reasons for a refusal.
const (
	RefuseOverload RefuseReason = "overload" // another engine should take it only without a load
	RefuseBusy     RefuseReason = "busy"     // another engine should take it
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
	// Refuse returns a request that was never dispatched.
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
		Order   uint64 // tells loads of the same adapter apart
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

// Core decides for one upstream. It is not safe for concurrent use; the shell
// holds a lock around Handle and none while it runs the actions.
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

	Loading      []state.AdapterRef // loads in progress
	QueuedByRank []int              // requests that wait for the batch, most urgent first
	LoadsStarted uint64             // ever
	PendingLoads int                // loads that requests wait for and that have not started
	LoadUrgency  float64            // urgency of the most pressing of them
	LoadKind     loading.Kind       // of the most pressing of them
	PreloadPays  bool               // a load ahead of demand would pay
}

// EngineDemand returns the demand for loads of an engine.
func (s *Status) EngineDemand(engine state.UpstreamID) loading.EngineDemand {
	return loading.EngineDemand{
		Engine:      engine,
		Started:     s.LoadsStarted,
		Loading:     len(s.Loading),
		Pending:     s.PendingLoads,
		Urgency:     s.LoadUrgency,
		Kind:        s.LoadKind,
		PreloadPays: s.PreloadPays,
	}
}
