package once

import "time"

// SweepInterval is the time between two sweeps of a daemon.
const SweepInterval = 10 * time.Second

const (
	sweepMargin = time.Hour
	// maxSweepRate bounds the deletes of all daemons together, per second.
	maxSweepRate = 20
	maxPerSweep  = 100
)

// StoredRecord is a record with its place in the platform.
type StoredRecord struct {
	Key     string
	Version Version
	Record  Record
}

// SweepLimit returns how many records one daemon of a fleet may delete in one
// sweep, so that all sweepers together stay under a fixed rate of writes.
func SweepLimit(daemons int) int {
	perDaemon := int(SweepInterval/time.Second) * maxSweepRate / max(daemons, 1)
	return min(max(perDaemon, 1), maxPerSweep)
}

// Expired returns the records that may be deleted, at most limit. A record stays
// far longer than any call that it could guard may still start: see RecordTTL and
// MaxRun.
func Expired(now time.Time, records []StoredRecord, limit int) []StoredRecord {
	var out []StoredRecord
	for _, s := range records {
		if len(out) >= limit {
			break
		}
		if now.After(s.Record.Expires.Add(sweepMargin)) {
			out = append(out, s)
		}
	}
	return out
}
