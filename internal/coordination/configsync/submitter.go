package configsync

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnknownOutcome reports a submission that may or may not have been accepted.
// Sending it again with the same id is safe.
var ErrUnknownOutcome = errors.New("configsync: the platform did not say whether the submission was accepted; send it again with the same id")

// ErrUnreachable reports a submission that was not accepted since the platform did
// not answer.
var ErrUnreachable = errors.New("configsync: the platform can't be reached; nothing was changed")

// ErrInvalid wraps an error of the configuration that a submission would lead to.
var ErrInvalid = errors.New("configsync: the submission leads to an invalid configuration")

// SubmitEvent is an input of a Submitter.
type SubmitEvent interface{ submitEvent() }

// Events of a Submitter.
type (
	// Begin starts the submission.
	Begin struct{}
	// RecordCreated reports that the platform confirmed the creation.
	RecordCreated struct{}
	// RecordExists reports that the record had existed before.
	RecordExists struct{}
	// CreateUnknown reports a lost answer: the record may have been created.
	CreateUnknown struct{}
	// PlatformFailed reports that a call failed without effect.
	PlatformFailed struct{}
	// RecordRead carries the record that was asked for, nil if it does not exist.
	RecordRead struct{ Record *Record }
	// HeadRead carries the compaction mark of the snapshot head.
	HeadRead struct{ Compacted uint64 }
	// Refreshed reports that the replica is now at the head of the platform.
	Refreshed struct{}
	// DeadlineReached ends the submission.
	DeadlineReached struct{}
)

func (Begin) submitEvent()           {}
func (RecordCreated) submitEvent()   {}
func (RecordExists) submitEvent()    {}
func (CreateUnknown) submitEvent()   {}
func (PlatformFailed) submitEvent()  {}
func (RecordRead) submitEvent()      {}
func (HeadRead) submitEvent()        {}
func (Refreshed) submitEvent()       {}
func (DeadlineReached) submitEvent() {}

// SubmitAction is an output of a Submitter. There is exactly one per event.
type SubmitAction interface{ submitAction() }

// Actions of a Submitter.
type (
	// CreateRecord creates a record if it does not exist.
	CreateRecord struct{ Record Record }
	// ReadRecord reads a record.
	ReadRecord struct{ Revision uint64 }
	// ReadHead reads the snapshot head.
	ReadHead struct{}
	// Refresh brings the replica to the head of the platform.
	Refresh struct{}
	// Retry repeats the last step after a pause.
	Retry struct{ Step SubmitAction }
	// Finish ends the submission.
	Finish struct {
		Accepted Accepted
		Err      error
		// Record is the confirmed record, to be brought into force at once. It is
		// nil for a repeated submission.
		Record *Record
	}
)

func (CreateRecord) submitAction() {}
func (ReadRecord) submitAction()   {}
func (ReadHead) submitAction()     {}
func (Refresh) submitAction()      {}
func (Retry) submitAction()        {}
func (Finish) submitAction()       {}

// View is what a Submitter needs of the replica.
type View interface {
	// Prepare checks a submission against the revision in force and returns the
	// record that would accept it, in one step.
	Prepare(*Submission, time.Time) (Record, error)
	// Accepted returns the revision of a submission that was accepted before.
	Accepted(*Submission) (uint64, bool)
}

// Submitter brings one submission into the order of records. It handles lost
// answers by reading the record back, and races by checking the submission again
// on top of the record that won. A record that was read here is never applied: it
// may lie below the compaction mark, where a late writer can create it anew.
//
// Invariant: it reports acceptance at revision N only if record N is its own and
// lies above the compaction mark that was read after the record existed.
type Submitter struct {
	sub     *Submission
	view    View
	pending SubmitAction
	record  Record
	sent    bool // a create may have taken effect and is not settled
}

// NewSubmitter returns a submitter that has not begun.
func NewSubmitter(sub *Submission, view View) *Submitter {
	return &Submitter{sub: sub, view: view}
}

// Handle takes an event and returns what to do next.
func (s *Submitter) Handle(now time.Time, event SubmitEvent) SubmitAction {
	action := s.next(now, event)
	if _, retry := action.(Retry); !retry {
		s.pending = action
	}
	return action
}

func (s *Submitter) next(now time.Time, event SubmitEvent) SubmitAction {
	switch e := event.(type) {
	case Begin:
		return Refresh{}
	case Refreshed:
		return s.create(now)
	case RecordCreated:
		return ReadHead{}
	case RecordExists, CreateUnknown:
		s.sent = true
		return ReadRecord{Revision: s.record.Revision}
	case PlatformFailed:
		return Retry{Step: s.pending}
	case RecordRead:
		return s.settle(e.Record)
	case HeadRead:
		return s.confirm(e.Compacted)
	case DeadlineReached:
		return s.giveUp()
	}
	panic("configsync: unknown event")
}

// create builds the record on the revision in force.
func (s *Submitter) create(now time.Time) SubmitAction {
	s.sent = false
	if revision, ok := s.view.Accepted(s.sub); ok {
		return Finish{Accepted: Accepted{Revision: revision, Repeated: true}}
	}
	rec, err := s.view.Prepare(s.sub, now)
	if err != nil {
		return Finish{Err: err}
	}
	s.record = rec
	s.sent = true
	return CreateRecord{Record: s.record}
}

// settle compares the record that exists with our own.
func (s *Submitter) settle(rec *Record) SubmitAction {
	if rec == nil {
		// The create had no effect so far. It may still be on its way, so only the
		// same record is sent again.
		return CreateRecord{Record: s.record}
	}
	if rec.Submission.ID == s.sub.ID {
		return ReadHead{}
	}
	s.sent = false
	return Refresh{}
}

// confirm accepts the record unless it was written where records were deleted.
func (s *Submitter) confirm(compacted uint64) SubmitAction {
	s.sent = false
	if s.record.Revision <= compacted {
		return Refresh{}
	}
	return Finish{Accepted: Accepted{Revision: s.record.Revision}, Record: &s.record}
}

func (s *Submitter) giveUp() SubmitAction {
	if _, done := s.pending.(Finish); done {
		return s.pending
	}
	if s.sent {
		return Finish{Err: ErrUnknownOutcome}
	}
	if _, confirming := s.pending.(ReadHead); confirming {
		return Finish{Err: ErrUnknownOutcome}
	}
	return Finish{Err: ErrUnreachable}
}

// DebugKey returns the internal state in a form that tells states apart.
func (s *Submitter) DebugKey() string {
	return fmt.Sprintf("%d/%t/%T", s.record.Revision, s.sent, s.pending)
}
