// Package quarantine detects requests that crash upstreams, so that they are refused
// before they crash further ones. A request is identified by a fingerprint of its
// content, which stays the same when the caller resends it.
package quarantine

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// crashLimit is the number of different upstreams that a request must have crashed
	// before it is refused.
	crashLimit = 2
	recordTTL  = 2 * time.Minute // time from the last crash until a record expires
	maxRecords = 4096
)

// Crash records that an upstream crashed while a request ran on it.
type Crash struct {
	Fingerprint uint64           `cbor:"1,keyasint"`
	Upstream    state.UpstreamID `cbor:"2,keyasint"`
}

// crashRecord holds the upstreams that crashed while one request ran on them.
type crashRecord struct {
	upstreams map[state.UpstreamID]bool
	lastCrash time.Time
}

// Table holds the crashes of requests by fingerprint. It is not safe for concurrent
// use.
type Table struct{ records map[uint64]*crashRecord }

// New returns an empty table.
func New() *Table { return &Table{records: make(map[uint64]*crashRecord)} }

// RecordCrash records a crash that this daemon or a peer observed. Several crashes of
// the same upstream under one request count once. If the table is full, RecordCrash
// evicts records first.
func (t *Table) RecordCrash(now time.Time, c Crash) {
	r := t.records[c.Fingerprint]
	if r == nil {
		if len(t.records) >= maxRecords {
			t.evict(now)
		}
		r = &crashRecord{upstreams: make(map[state.UpstreamID]bool)}
		t.records[c.Fingerprint] = r
	}
	r.upstreams[c.Upstream] = true
	r.lastCrash = now
}

// RecordCompletion removes the crashes of a request that completed.
func (t *Table) RecordCompletion(fingerprint uint64) { delete(t.records, fingerprint) }

// Refused reports whether a request must not be sent to any upstream.
func (t *Table) Refused(now time.Time, fingerprint uint64) bool {
	r := t.records[fingerprint]
	return r != nil && len(r.upstreams) >= crashLimit && now.Sub(r.lastCrash) < recordTTL
}

// evict removes the expired records, or all records if none has expired.
func (t *Table) evict(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.lastCrash) >= recordTTL {
			delete(t.records, f)
		}
	}
	if len(t.records) >= maxRecords {
		clear(t.records)
	}
}
