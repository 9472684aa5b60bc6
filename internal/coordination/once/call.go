package once

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	maxCreates       = 3
	maxReads         = 4
	maxWriteFailures = 8
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	// finishGracePeriod is how long after the deadline of a call its daemon may still
	// complete the record.
	finishGracePeriod = 5 * time.Second
	// livenessDelay is the age that a record must exceed before the loss of its daemon
	// makes the call count as interrupted. A daemon that has just started may look lost
	// until the other daemons have received its first messages.
	livenessDelay = 5 * time.Second
)

// Event is an input of a Call.
type Event interface{ event() }

// Events of a Call.
type (
	// Start starts the call.
	Start struct{}
	// Created reports that CreateRecord took effect, and the version of the new record.
	Created struct{ Version Version }
	// CreateConflict reports that the key already has a record.
	CreateConflict struct{}
	// CreateUnknown reports that the outcome of CreateRecord is unknown.
	CreateUnknown struct{}
	// CreateFailed reports that CreateRecord had no effect.
	CreateFailed struct{}
	// Found is the result of ReadRecord if the key has a record.
	Found struct {
		Record  Record
		Version Version
		// DaemonLost is set if the daemon that created the record has been silent for too
		// long or has restarted. Its call may have run.
		DaemonLost bool
	}
	// NotFound is the result of ReadRecord if the key has no record.
	NotFound struct{}
	// ReadFailed reports that ReadRecord failed.
	ReadFailed struct{}
	// WaitElapsed reports that the duration of a Wait has passed.
	WaitElapsed struct{}
	// Finished reports the result of the dispatched call.
	Finished struct{ Result Result }
	// WriteDone reports that UpdateRecord or DeleteRecord took effect.
	WriteDone struct{}
	// WriteFailed reports that UpdateRecord or DeleteRecord failed, or that its outcome is
	// unknown.
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

// Action is the next step of a Call. Exactly one event answers each action except
// Replay, Refuse and Done, which end the call.
type Action interface{ action() }

// Actions of a Call.
type (
	// CreateRecord creates a record for the key unless the key has one already.
	CreateRecord struct{ Record Record }
	// ReadRecord reads the record of the key.
	ReadRecord struct{}
	// Wait waits for a duration.
	Wait struct{ Duration time.Duration }
	// Dispatch runs the call. It is returned at most once.
	Dispatch struct{}
	// UpdateRecord replaces the stored record if that has the expected version.
	UpdateRecord struct {
		Record          Record
		ExpectedVersion Version
	}
	// DeleteRecord deletes the stored record if that has the expected version.
	DeleteRecord struct{ ExpectedVersion Version }
	// Replay sends the caller the answer that is kept in a record.
	Replay struct{ Record Record }
	// Refuse ends a request that was not dispatched with an error for the caller.
	Refuse struct{ Reason Reason }
	// Done ends a request whose call was dispatched. The caller has its answer already.
	Done struct{}
)

func (CreateRecord) action() {}
func (ReadRecord) action()   {}
func (Wait) action()         {}
func (Dispatch) action()     {}
func (UpdateRecord) action() {}
func (DeleteRecord) action() {}
func (Replay) action()       {}
func (Refuse) action()       {}
func (Done) action()         {}

// Params describes a request with an idempotency key.
type Params struct {
	Key         string
	Nonce       string // unique to this request
	Digest      string // digest of the content of the call
	RequestID   string
	Daemon      state.DaemonID
	Incarnation state.Incarnation
	Deadline    time.Time
}

type phase uint8

const (
	phaseClaiming phase = iota // until the record of this request is confirmed
	phaseRunning
	phaseUpdating
	phaseDeleting
	phaseEnded
)

// Call is the state machine of one request with an idempotency key. It is not safe for
// concurrent use.
//
// Invariants: Dispatch is returned at most once, only after the object store has
// confirmed a record with the nonce of this request, and never after the deadline.
type Call struct {
	params        Params
	phase         phase
	record        Record
	version       Version
	finalAction   Action // ends the call once the record is updated or deleted
	creates       int
	reads         int
	writeFailures int
	backoff       time.Duration
	foundOther    bool // the key has a record of another request
}

// NewCall returns the state machine of a request.
func NewCall(p Params) *Call { return &Call{params: p, backoff: minBackoff} }

// Handle processes an event and returns the next action.
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
		return c.start(now)
	case Created:
		return c.created(now, e.Version)
	case CreateConflict, CreateUnknown:
		return ReadRecord{}
	case CreateFailed:
		return Refuse{Reason: ReasonObjectStore}
	case Found:
		return c.found(now, e)
	case NotFound:
		return c.notFound(now)
	case ReadFailed:
		return c.readFailed(now)
	case WaitElapsed:
		return c.waitElapsed()
	case Finished:
		return c.finished(e.Result)
	case WriteDone:
		return c.finalAction
	case WriteFailed:
		return c.writeFailed()
	}
	panic(fmt.Sprintf("once: unknown event %T", event))
}

func (c *Call) start(now time.Time) Action {
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

// created dispatches the call after its record was created. If the deadline has passed
// meanwhile, for example because the daemon was paused, it deletes the record and refuses
// the request instead. It checks the deadline by two clocks: the monotonic clock may stop
// while a VM is suspended, and the wall clock may be set.
func (c *Call) created(now time.Time, version Version) Action {
	c.version = version
	if now.After(c.params.Deadline) || now.Round(0).After(c.record.FinishBy) {
		return c.deleteRecord(Refuse{Reason: ReasonDeadline})
	}
	if c.phase != phaseClaiming {
		panic("once: second dispatch of request " + c.params.RequestID)
	}
	c.phase = phaseRunning
	return Dispatch{}
}

func (c *Call) found(now time.Time, e Found) Action {
	if c.phase == phaseUpdating || c.phase == phaseDeleting {
		return c.reconcile(e)
	}
	if e.Record.Nonce == c.params.Nonce {
		return c.created(now, e.Version)
	}
	c.foundOther = true
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
	return c.waitOrRefuse(now)
}

// interrupted reports whether the call of a record in StateRunning counts as interrupted:
// its daemon is lost or has restarted, or the time to complete the record has passed.
func (c *Call) interrupted(now time.Time, e *Found) bool {
	r := &e.Record
	if e.DaemonLost && now.Round(0).Sub(r.Created) > livenessDelay {
		return true
	}
	earlierIncarnation := r.Daemon == c.params.Daemon && r.Incarnation != c.params.Incarnation
	return earlierIncarnation || now.After(r.FinishBy.Add(finishGracePeriod))
}

// waitOrRefuse waits with backoff before the next read of the record. It refuses the
// request if the deadline would pass during the wait.
func (c *Call) waitOrRefuse(now time.Time) Action {
	wait := c.backoff
	c.backoff = min(2*c.backoff, maxBackoff)
	if now.Add(wait).After(c.params.Deadline) {
		return c.refuseUnresolved()
	}
	return Wait{Duration: wait}
}

// refuseUnresolved refuses a request that neither created a record nor obtained the
// result of another request with the key.
func (c *Call) refuseUnresolved() Action {
	if c.foundOther {
		return Refuse{Reason: ReasonInProgress}
	}
	return Refuse{Reason: ReasonObjectStore}
}

// notFound handles a read that found no record. If this request was updating or deleting
// its record, the request ends.
//
// Otherwise a create of this request had an unknown outcome, or the record of another
// request was removed, and notFound repeats the create with the same record. If an earlier
// create takes effect late, the repeated create conflicts, and the nonce in the stored
// record shows that the record belongs to this request.
func (c *Call) notFound(now time.Time) Action {
	switch c.phase {
	case phaseUpdating, phaseDeleting:
		return c.finalAction
	}
	if now.After(c.params.Deadline) {
		return Refuse{Reason: ReasonDeadline}
	}
	c.foundOther = false
	return c.create()
}

func (c *Call) readFailed(now time.Time) Action {
	c.reads++
	if c.phase == phaseUpdating || c.phase == phaseDeleting {
		return c.writeFailed()
	}
	if c.reads >= maxReads {
		return c.refuseUnresolved()
	}
	return c.waitOrRefuse(now)
}

func (c *Call) waitElapsed() Action { return ReadRecord{} }

func (c *Call) finished(r Result) Action {
	if c.phase != phaseRunning {
		panic("once: result of a call that is not running")
	}
	switch r.Outcome {
	case OutcomeNotRun:
		return c.deleteRecord(Done{})
	case OutcomeRan:
		if r.Answer == nil {
			panic("once: a call that ran has no answer")
		}
		c.record.State = StateCompleted
		c.record.Answer = replayable(r.Answer)
	default:
		c.record.State = StateUnknown
	}
	c.phase = phaseUpdating
	c.finalAction = Done{}
	return c.updateRecord()
}

// replayable returns the form in which an answer is kept for replays. The data of an
// answer that is too large is left out.
func replayable(a *Answer) *Answer {
	if len(a.Data) <= MaxReplayBytes {
		return a
	}
	return &Answer{Status: a.Status, Total: a.Total, TooLarge: true}
}

func (c *Call) updateRecord() Action {
	return UpdateRecord{Record: c.record, ExpectedVersion: c.version}
}

func (c *Call) deleteRecord(final Action) Action {
	c.phase = phaseDeleting
	c.finalAction = final
	return DeleteRecord{ExpectedVersion: c.version}
}

// writeFailed handles a failed update or deletion of the record. It reads the record to
// find out whether the write took effect, and waits with backoff before every other read.
// After maxWriteFailures the request ends and the record stays as it is. This is safe,
// because a record in StateRunning means that the call may have run.
func (c *Call) writeFailed() Action {
	c.writeFailures++
	if c.writeFailures >= maxWriteFailures {
		return c.finalAction
	}
	if c.writeFailures%2 == 1 {
		return ReadRecord{}
	}
	wait := c.backoff
	c.backoff = min(2*c.backoff, maxBackoff)
	return Wait{Duration: wait}
}

// reconcile compares the stored record with the intended result of a failed update or
// deletion. It repeats the write if the write has not taken effect.
func (c *Call) reconcile(e Found) Action {
	if e.Record.Nonce != c.params.Nonce {
		return c.finalAction
	}
	c.version = e.Version
	if c.phase == phaseDeleting {
		return DeleteRecord{ExpectedVersion: c.version}
	}
	if e.Record.State == c.record.State {
		return c.finalAction
	}
	return c.updateRecord()
}
