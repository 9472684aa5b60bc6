package configsync

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnknownOutcome reports a submission that may or may not have been accepted.
// Submitting it again with the same ID is safe.
var ErrUnknownOutcome = errors.New("configsync: the platform did not say whether the submission was accepted; send it again with the same id")

// ErrUnreachable reports a submission that was not accepted because the object
// store did not answer.
var ErrUnreachable = errors.New("configsync: the platform can't be reached; nothing was changed")

// ErrInvalid wraps the validation error of the configuration that a submission
// would lead to.
var ErrInvalid = errors.New("configsync: the submission leads to an invalid configuration")

// SubmitterEvent is an input of a Submitter.
type SubmitterEvent interface{ submitEvent() }

// Events of a Submitter.
type (
	// SubmissionStarted starts the submission.
	SubmissionStarted struct{}
	// RecordCreated reports that the object store confirmed the creation.
	RecordCreated struct{}
	// RecordExists reports that a record with this revision existed already.
	RecordExists struct{}
	// CreateOutcomeUnknown reports a create without an answer: the record may have
	// been created.
	CreateOutcomeUnknown struct{}
	// ObjectStoreFailed reports that a call failed without effect.
	ObjectStoreFailed struct{}
	// RecordRead carries the result of a ReadRecord, nil if the record does not
	// exist.
	RecordRead struct{ Record *ChangeRecord }
	// ManifestRead carries the compaction mark of the snapshot manifest.
	ManifestRead struct{ CompactedThrough uint64 }
	// ReplicaRefreshed reports that the replica has reached the newest stored
	// revision.
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

// SubmitterAction is an output of a Submitter. Each event yields exactly one.
type SubmitterAction interface{ submitAction() }

// Actions of a Submitter.
type (
	// CreateRecord creates a record if its revision does not exist.
	CreateRecord struct{ Record ChangeRecord }
	// ReadRecord reads the record of a revision.
	ReadRecord struct{ Revision uint64 }
	// ReadManifest reads the snapshot manifest.
	ReadManifest struct{}
	// RefreshReplica brings the replica to the newest stored revision.
	RefreshReplica struct{}
	// RetryStep repeats the previous action after a delay.
	RetryStep struct{ Step SubmitterAction }
	// FinishSubmission ends the submission.
	FinishSubmission struct {
		Accepted Accepted
		Err      error
		// Record is the confirmed record, to be applied at once. It is nil if the
		// submission had been accepted before.
		Record *ChangeRecord
	}
)

func (CreateRecord) submitAction()     {}
func (ReadRecord) submitAction()       {}
func (ReadManifest) submitAction()     {}
func (RefreshReplica) submitAction()   {}
func (RetryStep) submitAction()        {}
func (FinishSubmission) submitAction() {}

// ReplicaView is the access of a Submitter to the replica.
type ReplicaView interface {
	// Prepare checks a submission against the revision in force and returns the
	// record that would accept it, in one atomic step.
	Prepare(*Submission, time.Time) (ChangeRecord, error)
	// Accepted returns the revision of a submission that was accepted before.
	Accepted(*Submission) (uint64, bool)
}

// Submitter gets one submission stored as a change record. After a create without
// an answer it reads the record back; after a lost race it checks the submission
// again on top of the record that won. It never applies a record that it reads
// back: the record may lie at or below the compaction mark, where a delayed create
// can bring a deleted revision back.
//
// Invariant: it reports acceptance at revision N only if record N holds its
// submission and lies above the compaction mark that was read after the record
// existed.
type Submitter struct {
	sub     *Submission
	view    ReplicaView
	pending SubmitterAction // the action whose result is awaited
	record  ChangeRecord
	// createUnresolved reports that a create may have taken effect and that it is
	// not yet known which submission the record holds.
	createUnresolved bool
}

// NewSubmitter returns a submitter that waits for SubmissionStarted.
func NewSubmitter(sub *Submission, view ReplicaView) *Submitter {
	return &Submitter{sub: sub, view: view}
}

// Handle processes an event and returns the next action.
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
		s.createUnresolved = true
		return ReadRecord{Revision: s.record.Revision}
	case ObjectStoreFailed:
		return RetryStep{Step: s.pending}
	case RecordRead:
		return s.resolveCreate(e.Record)
	case ManifestRead:
		return s.confirm(e.CompactedThrough)
	case SubmissionDeadlineReached:
		return s.finishAtDeadline()
	}
	panic(fmt.Sprintf("configsync: unknown submitter event %T", event))
}

// create builds the record on top of the revision in force.
func (s *Submitter) create(now time.Time) SubmitterAction {
	s.createUnresolved = false
	if revision, ok := s.view.Accepted(s.sub); ok {
		return FinishSubmission{Accepted: Accepted{Revision: revision, Repeated: true}}
	}
	rec, err := s.view.Prepare(s.sub, now)
	if err != nil {
		return FinishSubmission{Err: err}
	}
	s.record = rec
	s.createUnresolved = true
	return CreateRecord{Record: s.record}
}

// resolveCreate compares the stored record with the submitter's own.
func (s *Submitter) resolveCreate(rec *ChangeRecord) SubmitterAction {
	if rec == nil {
		// The create has had no effect so far but may still take effect. Only the
		// same record may be sent again.
		return CreateRecord{Record: s.record}
	}
	if rec.Submission.ID == s.sub.ID {
		return ReadManifest{}
	}
	s.createUnresolved = false
	return RefreshReplica{}
}

// confirm accepts the record unless its revision may have been compacted: readers
// ignore such a record.
func (s *Submitter) confirm(compactedThrough uint64) SubmitterAction {
	s.createUnresolved = false
	if s.record.Revision <= compactedThrough {
		return RefreshReplica{}
	}
	return FinishSubmission{Accepted: Accepted{Revision: s.record.Revision}, Record: &s.record}
}

func (s *Submitter) finishAtDeadline() SubmitterAction {
	if _, done := s.pending.(FinishSubmission); done {
		return s.pending
	}
	if s.createUnresolved {
		return FinishSubmission{Err: ErrUnknownOutcome}
	}
	if _, confirming := s.pending.(ReadManifest); confirming {
		return FinishSubmission{Err: ErrUnknownOutcome}
	}
	return FinishSubmission{Err: ErrUnreachable}
}

// DebugKey returns a string that is equal for equal internal states. Model tests
// use it to recognize states that they have visited.
func (s *Submitter) DebugKey() string {
	return fmt.Sprintf("%d/%t/%T", s.record.Revision, s.createUnresolved, s.pending)
}
