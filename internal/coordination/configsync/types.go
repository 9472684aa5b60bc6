// Package configsync decides how configuration changes are accepted, ordered and
// brought into force.
//
// The configuration is a set of objects. A change record holds the changes of one
// submission; record N exists at most once in the platform, so that creating it
// conditionally orders all submissions. Every daemon applies the records in order
// and never goes back.
package configsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// ObjectKind tells the objects of a configuration apart.
type ObjectKind string

// Kinds of objects. The ranks form one object since their order matters.
const (
	ObjectRanks    ObjectKind = "ranks"
	ObjectCustomer ObjectKind = "customer"
	ObjectService  ObjectKind = "service"
	ObjectAdapter  ObjectKind = "adapter"
	ObjectOperator ObjectKind = "operator"
)

// ObjectKey names an object. Name is empty for ranks and service/adapter for
// adapters.
type ObjectKey struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name,omitempty"`
}

// String returns kind/name.
func (k ObjectKey) String() string {
	if k.Name == "" {
		return string(k.Kind)
	}
	return string(k.Kind) + "/" + k.Name
}

// Digest identifies the content of an object. It is empty for an absent object.
type Digest string

// Change replaces, creates or deletes one object.
type Change struct {
	Key ObjectKey `json:"key"`
	// Base is the digest of the object on which the change was based.
	Base Digest `json:"base,omitempty"`
	// Value is the canonical JSON of the object; null deletes it.
	Value json.RawMessage `json:"value,omitempty"`
}

// Submission is a set of changes that is accepted as a whole or not at all.
type Submission struct {
	ID      string   `json:"id"` // chosen by the submitter; a repeated id is accepted once
	Author  string   `json:"author"`
	Message string   `json:"message,omitempty"`
	Changes []Change `json:"changes"`
}

// Accepted tells which revision a submission became.
type Accepted struct {
	Revision uint64 `json:"revision"`
	// Repeated reports that the submission had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// ConflictError reports that an object of a submission was changed since its base.
type ConflictError struct {
	Key      ObjectKey `json:"key"`
	Revision uint64    `json:"revision"` // revision that changed the object, 0 if unknown
	Author   string    `json:"author,omitempty"`
	Message  string    `json:"message,omitempty"`
}

// Error names the object and the change that won.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s was changed by %q in revision %d", e.Key, e.Author, e.Revision)
	if e.Message == "" {
		return text
	}
	return text + " (" + e.Message + ")"
}

// RevisionInfo describes one revision for the history.
type RevisionInfo struct {
	Revision   uint64      `json:"revision"`
	Submission string      `json:"submission"`
	Author     string      `json:"author"`
	Message    string      `json:"message,omitempty"`
	At         time.Time   `json:"at"`
	Objects    []ObjectKey `json:"objects"`
}

// Progress tells at how many daemons a revision is in force.
type Progress struct {
	Revision uint64           `json:"revision"`
	InForce  int              `json:"in_force"`
	Daemons  int              `json:"daemons"`
	Behind   []state.DaemonID `json:"behind,omitempty"` // known daemons that have not reported it
}
