// Package quarantine keeps requests away from engines that they crash. A request is
// known by a fingerprint of its content, as its caller sends it again.
package quarantine

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// limit is the number of upstreams that may crash under a request before it is refused.
	limit   = 2
	keepFor = 2 * time.Minute
	maxSize = 4096
)

// Crash is a crash of an upstream while a request ran there.
type Crash struct {
	Fingerprint uint64           `cbor:"1,keyasint"`
	Upstream    state.UpstreamID `cbor:"2,keyasint"`
}

type record struct {
	upstreams map[state.UpstreamID]bool
	last      time.Time
}

// Table holds the strikes of requests. It is not safe for concurrent use.
type Table struct{ records map[uint64]*record }

// New returns an empty table.
func New() *Table { return &Table{records: make(map[uint64]*record)} }

// RecordCrash notes a strike, seen here or by a peer.
func (t *Table) RecordCrash(now time.Time, s Crash) {
	r := t.records[s.Fingerprint]
	if r == nil {
		if len(t.records) >= maxSize {
			t.sweep(now)
		}
		r = &record{upstreams: make(map[state.UpstreamID]bool)}
		t.records[s.Fingerprint] = r
	}
	r.upstreams[s.Upstream] = true
	r.last = now
}

// RecordCompletion forgets the strikes of a request that ran to its end.
func (t *Table) RecordCompletion(fingerprint uint64) { delete(t.records, fingerprint) }

// Refused reports whether a request is kept from all upstreams.
func (t *Table) Refused(now time.Time, fingerprint uint64) bool {
	r := t.records[fingerprint]
	return r != nil && len(r.upstreams) >= limit && now.Sub(r.last) < keepFor
}

// sweep drops old records, and all if none is old.
func (t *Table) sweep(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.last) >= keepFor {
			delete(t.records, f)
		}
	}
	if len(t.records) >= maxSize {
		clear(t.records)
	}
}
