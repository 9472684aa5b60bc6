package once

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxCreates   = 3
	maxReads     = 4
	maxStores    = 8
	firstWait    = 50 * time.Millisecond
	longestWait  = 2 * time.Second
	finishMargin = 5 * time.Second
	// heardWithin is the age from which on the daemon of a record must have been heard
	// by the others, after a start as well.
	heardWithin = 5 * time.Second
)

// Event is an input of a Call.
type Event interface{ event() }

// Events of a Call.
type (
	// Start starts the call.
	Start struct{}
	// Created reports that the record was created at a version.
	Created struct{ Version Version }
	// CreateConflict reports that the key has a record.
	CreateConflict struct{}
	// CreateUnknown reports that the create may or may not have taken effect.
	CreateUnknown struct{}
	// CreateFailed reports that the create did not take effect.
	CreateFailed struct{}
	// Found is the answer to ReadRecord.
	Found struct {
		Record  Record
		Version Version
		// DaemonLost says that the daemon of the record has been silent for too long, or
		// has started anew. The call may have run.
		DaemonLost bool
	}
	// NotFound reports that ReadRecord found none.
	NotFound struct{}
	// ReadFailed reports that the record could not be read.
	ReadFailed struct{}
	// WaitElapsed reports that the time of a Wait has passed.
	WaitElapsed struct{}
	// Finished reports the end of the dispatched call.
	Finished struct{ Result Result }
	// WriteDone reports that StoreRecord or RemoveRecord took effect.
	WriteDone struct{}
	// WriteFailed reports that StoreRecord or RemoveRecord failed or may have failed.
	WriteFailed struct{}
)

func (Start) event()          {}
func (Created) event()        {}
func (CreateConflict) event() {}
func (CreateUnknown) event()  {}
func (CreateFailed) event()   {}
func (Found) event()          {}
func (NotFound) event()       {}
func (ReadFailed) event()     {}
func (WaitElapsed) event()    {}
func (Finished) event()       {}
func (WriteDone) event()      {}
func (WriteFailed) event()    {}

// Action is the next step of a Call. Every action but Replay, Refuse and Done is
// answered by one event.
type Action interface{ action() }

// Actions of a Call.
type (
	// CreateRecord creates the record if the key has none.
	CreateRecord struct{ Record Record }
	// ReadRecord reads the record.
	ReadRecord struct{}
	// WaitFor lets time pass.
	WaitFor struct{ Duration time.Duration }
	// Dispatch runs the call. It occurs at most once.
	Dispatch struct{}
	// UpdateRecord replaces the record if it still has the version.
	UpdateRecord struct {
		Record          Record
		ExpectedVersion Version
	}
	// DeleteRecord deletes the record if it still has the version.
	DeleteRecord struct{ ExpectedVersion Version }
	// Replay answers with a kept answer.
	Replay struct{ Record Record }
	// Refuse answers with an error.
	Refuse struct{ Reason Reason }
	// Done ends a call whose own answer was delivered.
	Done struct{}
)

func (CreateRecord) action() {}
func (ReadRecord) action()   {}
func (WaitFor) action()      {}
func (Dispatch) action()     {}
func (UpdateRecord) action() {}
func (DeleteRecord) action() {}
func (Replay) action()       {}
func (Refuse) action()       {}
func (Done) action()         {}

// Params describes one request with an idempotency key.
type Params struct {
	Key         string
	Nonce       string // unique to this request
	Digest      string
	RequestID   string
	Daemon      state.DaemonID
	Incarnation state.Incarnation
	Deadline    time.Time // deadline of the request
}

type phase uint8

const (
	phaseOpening phase = iota
	phaseRunning
	phaseStoring
	phaseRemoving
	phaseEnded
)

// Call is the state machine of one request with an idempotency key. It is not
// safe for concurrent use.
//
// Invariants: Dispatch occurs at most once, only after the platform confirmed a
// record with this request's nonce, and never after the deadline.
type Call struct {
	params  Params
	phase   phase
	record  Record
	version Version
	final   Action // answer after the record was stored or removed
	creates int
	reads   int
	stores  int
	wait    time.Duration
	other   bool // the key has a record of another request
}

// NewCall returns the state machine of a request.
func NewCall(p Params) *Call { return &Call{params: p, wait: firstWait} }

// Handle takes an event and returns the next step.
func (c *Call) Handle(now time.Time, event Event) Action {
	if c.phase == phaseEnded {
		panic(fmt.Sprintf("once: %T after the end of request %s", event, c.params.RequestID))
	}
	action := c.handle(now, event)
	switch action.(type) {
	case Replay, Refuse, Done:
		c.phase = phaseEnded
	}
	return action
}

func (c *Call) handle(now time.Time, event Event) Action {
	switch e := event.(type) {
	case Start:
		return c.begin(now)
	case Created:
		return c.created(now, e.Version)
	case CreateConflict, CreateUnknown:
		return ReadRecord{}
	case CreateFailed:
		return Refuse{Reason: ReasonObjectStore}
	case Found:
		return c.found(now, e)
	case NotFound:
		return c.missing(now)
	case ReadFailed:
		return c.readFailed(now)
	case WaitElapsed:
		return c.waited()
	case Finished:
		return c.finished(e.Result)
	case WriteDone:
		return c.final
	case WriteFailed:
		return c.storeFailed()
	}
	panic(fmt.Sprintf("once: unknown event %T", event))
}

func (c *Call) begin(now time.Time) Action {
	if reason := CheckKey(now, c.params.Key); reason != "" {
		return Refuse{Reason: reason}
	}
	c.record = Record{
		Nonce:       c.params.Nonce,
		Daemon:      c.params.Daemon,
		Incarnation: c.params.Incarnation,
		RequestID:   c.params.RequestID,
		Digest:      c.params.Digest,
		State:       StateRunning,
		Created:     now.Round(0),
		FinishBy:    c.params.Deadline.Round(0),
		Expires:     now.Round(0).Add(RecordTTL),
	}
	return c.create()
}

func (c *Call) create() Action {
	if c.creates >= maxCreates {
		return Refuse{Reason: ReasonObjectStore}
	}
	c.creates++
	return CreateRecord{Record: c.record}
}

// created dispatches the call, unless this daemon was paused for so long that the
// deadline has passed. Both clocks are checked: the monotonic one may stand still
// while a VM is suspended, and the wall clock may be set.
func (c *Call) created(now time.Time, version Version) Action {
	c.version = version
	if now.After(c.params.Deadline) || now.Round(0).After(c.record.FinishBy) {
		return c.remove(Refuse{Reason: ReasonDeadline})
	}
	if c.phase != phaseOpening {
		panic("once: second dispatch of request " + c.params.RequestID)
	}
	c.phase = phaseRunning
	return Dispatch{}
}

func (c *Call) found(now time.Time, e Found) Action {
	if c.phase == phaseStoring || c.phase == phaseRemoving {
		return c.restore(e)
	}
	if e.Record.Nonce == c.params.Nonce {
		return c.created(now, e.Version)
	}
	c.other = true
	c.reads = 0
	switch {
	case e.Record.Digest != c.params.Digest:
		return Refuse{Reason: ReasonDifferentRequest}
	case e.Record.State == StateCompleted && e.Record.Answer == nil:
		return Refuse{Reason: ReasonInterrupted}
	case e.Record.State == StateCompleted && e.Record.Answer.TooLarge:
		return Refuse{Reason: ReasonAnswerNotKept}
	case e.Record.State == StateCompleted:
		return Replay{Record: e.Record}
	case e.Record.State == StateUnknown || c.interrupted(now, &e):
		return Refuse{Reason: ReasonInterrupted}
	}
	return c.pause(now)
}

// interrupted reports whether the holder of a running record can't complete it.
func (c *Call) interrupted(now time.Time, e *Found) bool {
	r := &e.Record
	if e.DaemonLost && now.Round(0).Sub(r.Created) > heardWithin {
		return true
	}
	earlierRun := r.Daemon == c.params.Daemon && r.Incarnation != c.params.Incarnation
	return earlierRun || now.After(r.FinishBy.Add(finishMargin))
}

func (c *Call) pause(now time.Time) Action {
	wait := c.wait
	c.wait = min(2*c.wait, longestWait)
	if now.Add(wait).After(c.params.Deadline) {
		return c.undecided()
	}
	return WaitFor{Duration: wait}
}

// undecided ends a request that could not settle who holds the key.
func (c *Call) undecided() Action {
	if c.other {
		return Refuse{Reason: ReasonInProgress}
	}
	return Refuse{Reason: ReasonObjectStore}
}

// missing follows a create whose answer was lost, or the removal of another
// request's record. In both cases the same create is sent again: if the first one
// takes effect late, this one conflicts and the nonce tells.
func (c *Call) missing(now time.Time) Action {
	switch c.phase {
	case phaseStoring, phaseRemoving:
		return c.final
	}
	if now.After(c.params.Deadline) {
		return Refuse{Reason: ReasonDeadline}
	}
	c.other = false
	return c.create()
}

func (c *Call) readFailed(now time.Time) Action {
	c.reads++
	if c.phase == phaseStoring || c.phase == phaseRemoving {
		return c.storeFailed()
	}
	if c.reads >= maxReads {
		return c.undecided()
	}
	return c.pause(now)
}

func (c *Call) waited() Action { return ReadRecord{} }

func (c *Call) finished(r Result) Action {
	if c.phase != phaseRunning {
		panic("once: end of a call that was not dispatched")
	}
	switch r.Outcome {
	case OutcomeNotRun:
		return c.remove(Done{})
	case OutcomeRan:
		if r.Answer == nil {
			panic("once: a call that ran has no answer")
		}
		c.record.State = StateCompleted
		c.record.Answer = keep(r.Answer)
	default:
		c.record.State = StateUnknown
	}
	c.phase = phaseStoring
	c.final = Done{}
	return c.store()
}

// keep drops the data of an answer that is too large for a record.
func keep(a *Answer) *Answer {
	if len(a.Data) <= MaxReplayBytes {
		return a
	}
	return &Answer{Status: a.Status, Total: a.Total, TooLarge: true}
}

func (c *Call) store() Action { return UpdateRecord{Record: c.record, ExpectedVersion: c.version} }

func (c *Call) remove(final Action) Action {
	c.phase = phaseRemoving
	c.final = final
	return DeleteRecord{ExpectedVersion: c.version}
}

// storeFailed reads the record back to learn whether the write took effect. When
// the platform stays away the record is left as it is: it says that the call may
// have run, which is safe.
func (c *Call) storeFailed() Action {
	c.stores++
	if c.stores >= maxStores {
		return c.final
	}
	if c.stores%2 == 1 {
		return ReadRecord{}
	}
	wait := c.wait
	c.wait = min(2*c.wait, longestWait)
	return WaitFor{Duration: wait}
}

// restore compares the record that was read back with the intended one.
func (c *Call) restore(e Found) Action {
	if e.Record.Nonce != c.params.Nonce {
		return c.final
	}
	c.version = e.Version
	if c.phase == phaseRemoving {
		return DeleteRecord{ExpectedVersion: c.version}
	}
	if e.Record.State == c.record.State {
		return c.final
	}
	return c.store()
}
