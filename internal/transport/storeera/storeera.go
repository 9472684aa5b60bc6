// Package storeera tracks the era of an object store: how many times the store has come back from an old copy. What an
// answer of an earlier era says was written may be gone, and its revisions are given out again.
package storeera

import (
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Errors of a Tracker.
var (
	// ErrOld reports an answer that the store gave before it came back from an old copy.
	ErrOld = errors.New("storeera: the answer is of an era that has ended")
	// ErrUnusable reports an era or a revision that is no number, or too large.
	ErrUnusable = errors.New("storeera: unusable era or revision")
)

// Tracker knows the newest era of a store that an answer has named, at first era 0. It is safe for concurrent use.
type Tracker struct{ newest atomic.Uint64 }

// Enter records the era that an answer names, empty for era 0, and returns it. It fails with ErrOld if a newer one
// is known.
func (t *Tracker) Enter(text string) (uint64, error) {
	var era uint64
	if text != "" {
		var err error
		if era, err = strconv.ParseUint(text, 10, 64); err != nil || era > state.MaxEra {
			return 0, fmt.Errorf("%w: era %q", ErrUnusable, text)
		}
	}
	for {
		known := t.newest.Load()
		switch {
		case era < known:
			return era, ErrOld
		case era == known || t.newest.CompareAndSwap(known, era):
			return era, nil
		}
	}
}

// IsCurrent reports whether a store revision is of the newest era. Otherwise it must not be a condition or the start
// of a watch: the store may have given it out again.
func (t *Tracker) IsCurrent(revision uint64) bool { return state.EraOf(revision) == t.newest.Load() }

// Revision returns the store revision for the store's own number in an answer of an era.
func Revision(era, own uint64) (uint64, error) {
	if own > state.MaxRevision {
		return 0, fmt.Errorf("%w: revision %d", ErrUnusable, own)
	}
	return state.StoreRevision(era, own), nil
}
