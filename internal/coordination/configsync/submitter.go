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
	// RecordCreated reports that the object store confirmed a CreateRecord.
	RecordCreated struct{}
	// RecordExists reports that CreateRecord found a record of the same revision.
	RecordExists struct{}
	// CreateOutcomeUnknown reports a create without an answer: the record may have
	// been created.
	CreateOutcomeUnknown struct{}
	// ObjectStoreFailed reports that a call of the object store failed without effect.
	ObjectStoreFailed struct{}
	// RecordRead carries the result of a ReadRecord, nil if the record does not
	// exist.
	RecordRead struct{ Record *ChangeRecord }
	// ManifestRead carries the compaction mark of the snapshot manifest.
	ManifestRead struct{ CompactedThrough uint64 }
	// ReplicaRefreshed reports that the replica has reached the newest stored
	// revision.
	ReplicaRefreshed struct{}
	// SubmissionDeadlineReached reports that the deadline of the submission has passed.
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

// SubmitterAction is an output of a Submitter. Each event yields exactly one action.
type SubmitterAction interface{ submitAction() }

// Actions of a Submitter.
type (
	// CreateRecord stores a record unless a record of the same revision exists.
	CreateRecord struct{ Record ChangeRecord }
	// ReadRecord reads the record of a revision.
	ReadRecord struct{ Revision uint64 }
	// ReadManifest reads the snapshot manifest.
	ReadManifest struct{}
	// RefreshReplica brings the replica to the newest stored revision.
	RefreshReplica struct{}
	// RetryStep executes the action Step again after a delay.
	RetryStep struct{ Step SubmitterAction }
	// FinishSubmission ends the submission.
	FinishSubmission struct {
		Accepted Accepted
		Err      error
		// Record is the confirmed record, to be applied at once. It is nil if the
		// submission failed, or if an earlier attempt had been accepted already.
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
	// Accepted returns the revision at which a submission was accepted, and whether it
	// is known to have been accepted.
	Accepted(*Submission) (uint64, bool)
}

// Submitter gets one submission stored as a change record. After a create of unknown
// outcome, it reads the record of that revision. If the record holds another
// submission, the submitter refreshes the replica and checks its own submission
// again.
//
// The submitter never applies a record that it has read this way: the record may lie
// at or below the compaction mark, where a delayed create can store a deleted revision
// again.
//
// Invariant: a submitter reports acceptance at revision N only if record N holds its
// submission, and N is above the compaction mark that it read after record N existed.
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

// create builds a record on top of the revision in force and requests its creation.
// It finishes instead if the submission was accepted already or can't be accepted.
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

// resolveCreate decides, after a create of unknown outcome or a conflict, what follows
// from the record that is stored at the submitter's revision.
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

// confirm reports acceptance if the record lies above the compaction mark. Readers
// ignore a record at or below the mark, so its submission starts again.
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
// use the string to recognize states that they have visited.
func (s *Submitter) DebugKey() string {
	return fmt.Sprintf("%d/%t/%T", s.record.Revision, s.createUnresolved, s.pending)
}
