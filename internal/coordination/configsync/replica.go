package configsync

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// Errors of a Replica.
var (
	ErrRevisionGap      = errors.New("configsync: record does not follow the revision in force")
	ErrDiverged         = errors.New("configsync: record leads to another state than its author computed")
	ErrDuplicate        = errors.New("configsync: submission changes an object twice")
	ErrEmpty            = errors.New("configsync: submission changes nothing")
	ErrNoReplacedValues = errors.New("configsync: record does not hold the values that it replaced")
	ErrNoID             = errors.New("configsync: submission has no id")
)

// maxRecentSubmissions is the number of latest submission IDs that a replica keeps
// to recognize repeated submissions.
const maxRecentSubmissions = 4096

// ChangeRecord is the stored form of an accepted submission. The record of revision
// N turns revision N-1 into N.
type ChangeRecord struct {
	Revision   uint64     `json:"revision"`
	At         time.Time  `json:"at"`
	Submission Submission `json:"submission"`
	// DigestAfter is the digest of the whole configuration after the record is
	// applied.
	DigestAfter StateDigest `json:"after"`
	// Replaced holds the values that the changes replaced, in the order of the
	// changes. The value of an object that did not exist is null. Undo needs these
	// values.
	Replaced []json.RawMessage `json:"replaced,omitempty"`
	// BlobCount is the number of separate objects in the object store that hold the
	// changes. It is 0 if the record itself holds the changes.
	BlobCount int `json:"blobs,omitempty"`
}

// StateDigest identifies the content of a whole configuration. It is the sum of the
// hashes of all objects, so the digest can be updated in constant time when an object
// changes.
type StateDigest uint64

// String returns the digest in hex.
func (d StateDigest) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(d))
	return hex.EncodeToString(b[:])
}

// StoredObject is an object in force with the submission that last changed it.
type StoredObject struct {
	Object
	Digest     Digest `json:"digest"`
	Revision   uint64 `json:"revision"`
	Submission string `json:"submission"`
	Author     string `json:"author"`
	Message    string `json:"message,omitempty"`
}

// Replica is one daemon's copy of the configuration. It is not safe for concurrent
// use.
//
// Invariants: the revision never decreases; equal revisions have equal digests.
type Replica struct {
	revision uint64
	digest   StateDigest
	objects  map[ObjectKey]StoredObject
	recent   []recentSubmission // submissions of the latest applied records, oldest first
	accepted map[string]uint64  // revisions of the recent submissions, by submission ID
}

type recentSubmission struct {
	id       string
	revision uint64
}

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica {
	return &Replica{objects: make(map[ObjectKey]StoredObject), accepted: make(map[string]uint64)}
}

// Revision returns the revision in force.
func (r *Replica) Revision() uint64 { return r.revision }

// Digest returns the digest of the revision in force.
func (r *Replica) Digest() StateDigest { return r.digest }

// Objects returns all objects, ordered by key.
func (r *Replica) Objects() []StoredObject {
	objects := make([]StoredObject, 0, len(r.objects))
	for _, o := range r.objects {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b StoredObject) int { return CompareKeys(a.Key, b.Key) })
	return objects
}

// Get returns the object with a key from the configuration in force.
func (r *Replica) Get(key ObjectKey) (StoredObject, bool) {
	o, ok := r.objects[key]
	return o, ok
}

// Accepted returns the revision at which a submission was accepted, and whether it is
// known to have been accepted. The replica recognizes the latest accepted submissions,
// and any earlier one that was the last to change an object still in force.
func (r *Replica) Accepted(s *Submission) (uint64, bool) {
	if revision, ok := r.accepted[s.ID]; ok {
		return revision, true
	}
	for _, c := range s.Changes {
		if o, ok := r.objects[c.Key]; ok && o.Submission == s.ID {
			return o.Revision, true
		}
	}
	return 0, false
}

// Check returns an error if a submission can't be accepted on top of the revision in
// force. The error is a *ConflictError if the digest of an object in force differs
// from the base of the submission's change of that object.
func (r *Replica) Check(s *Submission) error {
	if s.ID == "" {
		return ErrNoID
	}
	if len(s.Changes) == 0 {
		return ErrEmpty
	}
	seen := make(map[ObjectKey]bool, len(s.Changes))
	for _, c := range s.Changes {
		if seen[c.Key] {
			return fmt.Errorf("%w: %s", ErrDuplicate, c.Key)
		}
		seen[c.Key] = true
		current := r.objects[c.Key]
		if current.Digest != c.Base {
			return &ConflictError{
				Key:      c.Key,
				Revision: current.Revision,
				Author:   current.Author,
				Message:  current.Message,
			}
		}
	}
	return nil
}

// NextRecord returns the record that accepts a submission on top of the revision in
// force. The submission must have passed Check.
func (r *Replica) NextRecord(s *Submission, at time.Time) ChangeRecord {
	rec := ChangeRecord{Revision: r.revision + 1, At: at, Submission: *s, DigestAfter: r.digestAfter(s.Changes)}
	for _, c := range s.Changes {
		rec.Replaced = append(rec.Replaced, orNull(r.objects[c.Key].Value))
	}
	return rec
}

// Apply applies a record to the configuration and remembers its submission. It does
// nothing if the revision in force is at or above the record's revision. It fails with
// ErrRevisionGap if records in between are missing, and with ErrDiverged if the
// resulting digest would differ from the record's.
func (r *Replica) Apply(rec *ChangeRecord) error {
	if rec.Revision <= r.revision {
		return nil
	}
	if rec.Revision != r.revision+1 {
		return ErrRevisionGap
	}
	if r.digestAfter(rec.Submission.Changes) != rec.DigestAfter {
		return ErrDiverged
	}
	for _, c := range rec.Submission.Changes {
		r.applyChange(c, rec)
	}
	r.revision = rec.Revision
	r.digest = rec.DigestAfter
	r.rememberSubmission(rec.Submission.ID, rec.Revision)
	return nil
}

// orNull returns the value of an object, or a JSON null if the object does not exist.
// The null keeps the replaced values aligned with the changes.
func orNull(value json.RawMessage) json.RawMessage {
	if len(value) == 0 {
		return json.RawMessage("null")
	}
	return value
}

// Undo reverts the changes of a record in a map of objects. Before the call, objects
// must hold the configuration at the record's revision; afterwards it holds the
// configuration at the preceding revision.
func Undo(objects map[ObjectKey]json.RawMessage, rec *ChangeRecord) error {
	if len(rec.Replaced) != len(rec.Submission.Changes) {
		return ErrNoReplacedValues
	}
	for i, c := range rec.Submission.Changes {
		if len(rec.Replaced[i]) == 0 || string(rec.Replaced[i]) == "null" {
			delete(objects, c.Key)
			continue
		}
		objects[c.Key] = rec.Replaced[i]
	}
	return nil
}

// Info describes the record's revision for the history of the configuration.
func (rec *ChangeRecord) Info() RevisionInfo {
	info := RevisionInfo{
		Revision:   rec.Revision,
		Submission: rec.Submission.ID,
		Author:     rec.Submission.Author,
		Message:    rec.Submission.Message,
		At:         rec.At,
	}
	for _, c := range rec.Submission.Changes {
		info.Objects = append(info.Objects, c.Key)
	}
	return info
}

// FirstRecord returns the record that applies an initial configuration.
func FirstRecord(config *deckconfig.Config, author string, at time.Time) (ChangeRecord, error) {
	changes, err := Diff(nil, config)
	if err != nil {
		return ChangeRecord{}, err
	}
	sub := Submission{ID: "first", Author: author, Message: "first configuration", Changes: changes}
	return NewReplica().NextRecord(&sub, at), nil
}

// Restore replaces the configuration with that of a snapshot. It ignores a snapshot
// whose revision is not above the revision in force, and fails with ErrDiverged if
// the digest of the snapshot's objects does not match the snapshot.
func (r *Replica) Restore(s *Snapshot) error {
	if s.Revision <= r.revision {
		return nil
	}
	var digest StateDigest
	for _, o := range s.Objects {
		digest += objectHash(o.Key, o.Digest)
	}
	if digest != s.Digest {
		return ErrDiverged
	}
	r.objects = make(map[ObjectKey]StoredObject, len(s.Objects))
	for _, o := range s.Objects {
		r.objects[o.Key] = o
	}
	r.revision, r.digest = s.Revision, digest
	return nil
}

// Snapshot returns a copy of the configuration.
func (r *Replica) Snapshot() *Snapshot {
	return &Snapshot{Revision: r.revision, Digest: r.digest, Objects: r.Objects()}
}

func (r *Replica) applyChange(c Change, rec *ChangeRecord) {
	if len(c.Value) == 0 {
		delete(r.objects, c.Key)
		return
	}
	r.objects[c.Key] = StoredObject{
		Object:     Object{Key: c.Key, Value: c.Value},
		Digest:     DigestOf(c.Value),
		Revision:   rec.Revision,
		Submission: rec.Submission.ID,
		Author:     rec.Submission.Author,
		Message:    rec.Submission.Message,
	}
}

// digestAfter returns the digest that the configuration would have after the changes.
func (r *Replica) digestAfter(changes []Change) StateDigest {
	digest := r.digest
	for _, c := range changes {
		if current, ok := r.objects[c.Key]; ok {
			digest -= objectHash(c.Key, current.Digest)
		}
		if len(c.Value) > 0 {
			digest += objectHash(c.Key, DigestOf(c.Value))
		}
	}
	return digest
}

// rememberSubmission stores the revision of a submission. If more than
// maxRecentSubmissions are stored, it removes the oldest submission.
func (r *Replica) rememberSubmission(id string, revision uint64) {
	r.accepted[id] = revision
	r.recent = append(r.recent, recentSubmission{id: id, revision: revision})
	if len(r.recent) <= maxRecentSubmissions {
		return
	}
	oldest := r.recent[0]
	if r.accepted[oldest.id] == oldest.revision {
		delete(r.accepted, oldest.id)
	}
	r.recent = r.recent[1:]
}

// objectHash returns what an object adds to the digest of the configuration.
func objectHash(key ObjectKey, digest Digest) StateDigest {
	keyed := DigestOf([]byte(key.String() + "\x00" + string(digest)))
	raw, err := hex.DecodeString(string(keyed))
	if err != nil {
		panic("configsync: digest is not hex: " + err.Error())
	}
	return StateDigest(binary.BigEndian.Uint64(raw))
}
