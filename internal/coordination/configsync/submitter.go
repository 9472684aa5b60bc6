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

// SubmitterEvent is an input of a Submitter.
type SubmitterEvent interface{ submitEvent() }

// Events of a Submitter.
type (
	// SubmissionStarted starts the submission.
	SubmissionStarted struct{}
	// RecordCreated reports that the platform confirmed the creation.
	RecordCreated struct{}
	// RecordExists reports that the record had existed before.
	RecordExists struct{}
	// CreateOutcomeUnknown reports a lost answer: the record may have been created.
	CreateOutcomeUnknown struct{}
	// ObjectStoreFailed reports that a call failed without effect.
	ObjectStoreFailed struct{}
	// RecordRead carries the record that was asked for, nil if it does not exist.
	RecordRead struct{ Record *ChangeRecord }
	// ManifestRead carries the compaction mark of the snapshot head.
	ManifestRead struct{ CompactedThrough uint64 }
	// ReplicaRefreshed reports that the replica is now at the head of the platform.
	ReplicaRefreshed struct{}
	// SubmissionDeadlineReached ends the submission.
	SubmissionDeadlineReached struct{}
)

func (SubmissionStarted) submitEvent()         {}
func (RecordCreated) submitEvent()             {}
func (RecordExists) submitEvent()              {}
func (CreateOutcomeUnknown) submitEvent()      {}
func (ObjectStoreFailed) submitEvent()         {}
func (RecordRead) submitEvent()                {}
func (ManifestRead) submitEvent()              {}
func (ReplicaRefreshed) submitEvent()          {}
func (SubmissionDeadlineReached) submitEvent() {}

// SubmitterAction is an output of a Submitter. There is exactly one per event.
type SubmitterAction interface{ submitAction() }

// Actions of a Submitter.
type (
	// CreateRecord creates a record if it does not exist.
	CreateRecord struct{ Record ChangeRecord }
	// ReadRecord reads a record.
	ReadRecord struct{ Revision uint64 }
	// ReadManifest reads the snapshot head.
	ReadManifest struct{}
	// RefreshReplica brings the replica to the head of the platform.
	RefreshReplica struct{}
	// RetryStep repeats the last step after a pause.
	RetryStep struct{ Step SubmitterAction }
	// FinishSubmission ends the submission.
	FinishSubmission struct {
		Accepted Accepted
		Err      error
		// Record is the confirmed record, to be brought into force at once. It is
		// nil for a repeated submission.
		Record *ChangeRecord
	}
)

func (CreateRecord) submitAction()     {}
func (ReadRecord) submitAction()       {}
func (ReadManifest) submitAction()     {}
func (RefreshReplica) submitAction()   {}
func (RetryStep) submitAction()        {}
func (FinishSubmission) submitAction() {}

// ReplicaView is what a Submitter needs of the replica.
type ReplicaView interface {
	// Prepare checks a submission against the revision in force and returns the
	// record that would accept it, in one step.
	Prepare(*Submission, time.Time) (ChangeRecord, error)
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
	view    ReplicaView
	pending SubmitterAction
	record  ChangeRecord
	sent    bool // a create may have taken effect and is not settled
}

// NewSubmitter returns a submitter that has not begun.
func NewSubmitter(sub *Submission, view ReplicaView) *Submitter {
	return &Submitter{sub: sub, view: view}
}

// Handle takes an event and returns what to do next.
func (s *Submitter) Handle(now time.Time, event SubmitterEvent) SubmitterAction {
	action := s.next(now, event)
	if _, retry := action.(RetryStep); !retry {
		s.pending = action
	}
	return action
}

func (s *Submitter) next(now time.Time, event SubmitterEvent) SubmitterAction {
	switch e := event.(type) {
	case SubmissionStarted:
		return RefreshReplica{}
	case ReplicaRefreshed:
		return s.create(now)
	case RecordCreated:
		return ReadManifest{}
	case RecordExists, CreateOutcomeUnknown:
		s.sent = true
		return ReadRecord{Revision: s.record.Revision}
	case ObjectStoreFailed:
		return RetryStep{Step: s.pending}
	case RecordRead:
		return s.settle(e.Record)
	case ManifestRead:
		return s.confirm(e.CompactedThrough)
	case SubmissionDeadlineReached:
		return s.giveUp()
	}
	panic("configsync: unknown event")
}

// create builds the record on the revision in force.
func (s *Submitter) create(now time.Time) SubmitterAction {
	s.sent = false
	if revision, ok := s.view.Accepted(s.sub); ok {
		return FinishSubmission{Accepted: Accepted{Revision: revision, Repeated: true}}
	}
	rec, err := s.view.Prepare(s.sub, now)
	if err != nil {
		return FinishSubmission{Err: err}
	}
	s.record = rec
	s.sent = true
	return CreateRecord{Record: s.record}
}

// settle compares the record that exists with our own.
func (s *Submitter) settle(rec *ChangeRecord) SubmitterAction {
	if rec == nil {
		// The create had no effect so far. It may still be on its way, so only the
		// same record is sent again.
		return CreateRecord{Record: s.record}
	}
	if rec.Submission.ID == s.sub.ID {
		return ReadManifest{}
	}
	s.sent = false
	return RefreshReplica{}
}

// confirm accepts the record unless it was written where records were deleted.
func (s *Submitter) confirm(compacted uint64) SubmitterAction {
	s.sent = false
	if s.record.Revision <= compacted {
		return RefreshReplica{}
	}
	return FinishSubmission{Accepted: Accepted{Revision: s.record.Revision}, Record: &s.record}
}

func (s *Submitter) giveUp() SubmitterAction {
	if _, done := s.pending.(FinishSubmission); done {
		return s.pending
	}
	if s.sent {
		return FinishSubmission{Err: ErrUnknownOutcome}
	}
	if _, confirming := s.pending.(ReadManifest); confirming {
		return FinishSubmission{Err: ErrUnknownOutcome}
	}
	return FinishSubmission{Err: ErrUnreachable}
}

// DebugKey returns the internal state in a form that tells states apart.
func (s *Submitter) DebugKey() string {
	return fmt.Sprintf("%d/%t/%T", s.record.Revision, s.sent, s.pending)
}
