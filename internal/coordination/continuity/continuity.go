// Package continuity decides whether the fleet has read the store without an interruption.
//
// Entries of the store expire while their owners cannot reach it. An entry that is missing after
// an interruption may have expired and come back; one that is missing without an interruption was
// removed. No daemon can tell the two apart by its own calls alone: they may fail while the store
// serves other daemons.
package continuity

import "time"

// Reads is a period in which the daemons of a fleet, together, read the store without an
// interruption. The zero value is no read.
type Reads struct {
	Since time.Time // of the first read after the last interruption
	Last  time.Time // of the last read
}

// At returns the period of a single read.
func At(at time.Time) Reads { return Reads{Since: at, Last: at} }

// Merge returns the union of two periods if the pause between them is at most maxPause.
// Otherwise there was an interruption between them, and the result is the later period. The
// order of the periods does not matter.
func Merge(a, b Reads, maxPause time.Duration) Reads {
	if a.Last.IsZero() || b.Since.Sub(a.Last) > maxPause {
		return b
	}
	if b.Last.IsZero() || a.Since.Sub(b.Last) > maxPause {
		return a
	}
	if b.Since.Before(a.Since) {
		a.Since = b.Since
	}
	if b.Last.After(a.Last) {
		a.Last = b.Last
	}
	return a
}
