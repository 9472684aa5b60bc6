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
	ErrNoReplacedValues = errors.New("configsync: record does not hold what it replaced")
	ErrNoID             = errors.New("configsync: submission has no id")
)

// recentSubmissions is the number of submission ids that a replica remembers.
const recentSubmissions = 4096

// ChangeRecord is the accepted form of a submission. ChangeRecord N turns revision N-1 into N.
type ChangeRecord struct {
	Revision   uint64     `json:"revision"`
	At         time.Time  `json:"at"`
	Submission Submission `json:"submission"`
	// DigestAfter is the digest of the whole configuration at Revision.
	DigestAfter StateDigest `json:"after"`
	// Replaced holds the values that the changes replaced, in their order. Undo
	// needs them.
	Replaced []json.RawMessage `json:"replaced,omitempty"`
	// BlobCount is the number of objects that hold the changes when these are too
	// large for the record itself.
	BlobCount int `json:"blobs,omitempty"`
}

// StateDigest identifies the content of a whole configuration. It is the sum of
// the digests of the objects, so that it follows changes in constant time.
type StateDigest uint64

// String returns the digest in hex.
func (d StateDigest) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(d))
	return hex.EncodeToString(b[:])
}

// StoredObject is an object in force with the change that put it there.
type StoredObject struct {
	Object
	Digest     Digest `json:"digest"`
	Revision   uint64 `json:"revision"`
	Submission string `json:"submission"`
	Author     string `json:"author"`
	Message    string `json:"message,omitempty"`
}

// Replica is the configuration of one daemon. It is not safe for concurrent use.
//
// Invariants: the revision only rises; equal revisions have equal digests.
type Replica struct {
	revision uint64
	digest   StateDigest
	objects  map[ObjectKey]StoredObject
	recent   []recentSubmission
	accepted map[string]uint64
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

// Get returns an object in force.
func (r *Replica) Get(key ObjectKey) (StoredObject, bool) {
	o, ok := r.objects[key]
	return o, ok
}

// Accepted returns the revision of a submission that is in force or recent.
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

// Check reports why a submission can't be accepted at the revision in force. The
// error is a *ConflictError when another change came first.
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

// NextRecord returns the record that would accept a submission now. The caller has
// called Check.
func (r *Replica) NextRecord(s *Submission, at time.Time) ChangeRecord {
	rec := ChangeRecord{Revision: r.revision + 1, At: at, Submission: *s, DigestAfter: r.digestAfter(s.Changes)}
	for _, c := range s.Changes {
		rec.Replaced = append(rec.Replaced, orNull(r.objects[c.Key].Value))
	}
	return rec
}

// Apply brings a record into force. It fails with ErrGap when records in between
// are missing, and does nothing for a record that is in force already.
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
		r.put(c, rec)
	}
	r.revision = rec.Revision
	r.digest = rec.DigestAfter
	r.remember(rec.Submission.ID, rec.Revision)
	return nil
}

// orNull returns an explicit null for an absent object, so that positions match.
func orNull(value json.RawMessage) json.RawMessage {
	if len(value) == 0 {
		return json.RawMessage("null")
	}
	return value
}

// Undo returns the objects as they were before a record. Objects must be those
// right after the record.
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

// Info returns the description of the record for the history.
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

// FirstRecord returns the record that brings a first configuration into force.
func FirstRecord(config *deckconfig.Config, author string, at time.Time) (ChangeRecord, error) {
	changes, err := Diff(nil, config)
	if err != nil {
		return ChangeRecord{}, err
	}
	sub := Submission{ID: "first", Author: author, Message: "first configuration", Changes: changes}
	return NewReplica().NextRecord(&sub, at), nil
}

// Restore replaces the state by a newer snapshot. An older one is ignored.
func (r *Replica) Restore(s *Snapshot) error {
	if s.Revision <= r.revision {
		return nil
	}
	var digest StateDigest
	for _, o := range s.Objects {
		digest += objectSum(o.Key, o.Digest)
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

// Snapshot returns a copy of the state.
func (r *Replica) Snapshot() *Snapshot {
	return &Snapshot{Revision: r.revision, Digest: r.digest, Objects: r.Objects()}
}

func (r *Replica) put(c Change, rec *ChangeRecord) {
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

func (r *Replica) digestAfter(changes []Change) StateDigest {
	digest := r.digest
	for _, c := range changes {
		if old, ok := r.objects[c.Key]; ok {
			digest -= objectSum(c.Key, old.Digest)
		}
		if len(c.Value) > 0 {
			digest += objectSum(c.Key, DigestOf(c.Value))
		}
	}
	return digest
}

func (r *Replica) remember(id string, revision uint64) {
	r.accepted[id] = revision
	r.recent = append(r.recent, recentSubmission{id: id, revision: revision})
	if len(r.recent) <= recentSubmissions {
		return
	}
	oldest := r.recent[0]
	if r.accepted[oldest.id] == oldest.revision {
		delete(r.accepted, oldest.id)
	}
	r.recent = r.recent[1:]
}

// objectSum is the part of an object in the digest of the configuration.
func objectSum(key ObjectKey, digest Digest) StateDigest {
	whole := DigestOf([]byte(key.String() + "\x00" + string(digest)))
	raw, err := hex.DecodeString(string(whole))
	if err != nil {
		panic("configsync: digest is not hex: " + err.Error())
	}
	return StateDigest(binary.BigEndian.Uint64(raw))
}
