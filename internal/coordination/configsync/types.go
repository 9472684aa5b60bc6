// Package configsync decides how configuration changes are accepted, ordered and
// applied. It performs no I/O: its state machines take events and return actions.
//
// The configuration is a set of objects. A change record holds the changes of one
// submission and turns revision N-1 into revision N. The object store holds at
// most one record of each revision, so creating records conditionally puts all
// submissions into one order. Every daemon applies the records in this order, and
// its revision never decreases.
package configsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// Kinds of objects. All ranks form a single object because their order matters.
const (
	ObjectRanks    ObjectKind = "ranks"
	ObjectCustomer ObjectKind = "customer"
	ObjectService  ObjectKind = "service"
	ObjectAdapter  ObjectKind = "adapter"
	ObjectOperator ObjectKind = "operator"
)

// ObjectKey identifies an object. Name is empty for the ranks and has the form
// service/adapter for an adapter.
type ObjectKey struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name,omitempty"`
}

// String returns the key as kind/name, or as the kind alone without a name.
func (k ObjectKey) String() string {
	if k.Name == "" {
		return string(k.Kind)
	}
	return string(k.Kind) + "/" + k.Name
}

// Digest identifies the content of an object. It is empty for an absent object.
type Digest string

// Change creates, replaces or deletes one object.
type Change struct {
	Key ObjectKey `json:"key"`
	// Base is the digest of the object that the change was made from. It is empty
	// if the object did not exist.
	Base Digest `json:"base,omitempty"`
	// Value is the canonical JSON of the new object. An empty value deletes the
	// object.
	Value json.RawMessage `json:"value,omitempty"`
}

// Submission is a set of changes that is accepted as a whole or not at all.
type Submission struct {
	ID      string   `json:"id"` // chosen by the client; an ID is accepted at most once
	Author  string   `json:"author"`
	Message string   `json:"message,omitempty"`
	Changes []Change `json:"changes"`
}

// Accepted is the result of an accepted submission.
type Accepted struct {
	Revision uint64 `json:"revision"` // revision that the submission created
	// Repeated is set if an earlier attempt of the submission had been accepted already.
	Repeated bool `json:"repeated,omitempty"`
}

// ConflictError reports that another submission has changed an object since the
// content on which a change of the object is based.
type ConflictError struct {
	Key      ObjectKey `json:"key"`
	Revision uint64    `json:"revision"` // revision that changed the object, 0 if unknown
	Author   string    `json:"author,omitempty"`
	Message  string    `json:"message,omitempty"`
}

// Error names the object and the change that was accepted first.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s was changed by %q in revision %d", e.Key, e.Author, e.Revision)
	if e.Message == "" {
		return text
	}
	return text + " (" + e.Message + ")"
}

// RevisionInfo describes one revision in the history of the configuration.
type RevisionInfo struct {
	Revision   uint64      `json:"revision"`
	Submission string      `json:"submission"`
	Author     string      `json:"author"`
	Message    string      `json:"message,omitempty"`
	At         time.Time   `json:"at"`
	Objects    []ObjectKey `json:"objects"`
}

// Progress reports at how many daemons a revision is in force.
type Progress struct {
	Revision uint64           `json:"revision"`
	InForce  int              `json:"in_force"`
	Daemons  int              `json:"daemons"`
	Behind   []state.DaemonID `json:"behind,omitempty"` // known daemons that have not reported the revision
}
